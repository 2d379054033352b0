"""What an owner does when upstreams beside it announce themselves or leave.

Not thread-safe: the handlers run on the owner's task.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from kumquathold_node.announcements import AnnouncedEvent, DeregisteredEvent
from kumquathold_node.membership_messages import (
    DeparturesLearnedEvent,
    DeparturesReadEvent,
    ListeningEvent,
    UpstreamsRecalledEvent,
)
from kumquathold_node.owner_requests import Upstream
from kumquathold_node.upstream_roster import UpstreamRoster


class OwnerAnnouncements:
    """Handles announcements, and what is known of earlier ones."""

    def __init__(
        self,
        roster: UpstreamRoster,
        refuse_queued: Callable[[Upstream], None],
        start_queued: Callable[[Upstream], None],
    ) -> None:
        """Set the functions that refuse and start an upstream's queue."""
        self.roster = roster
        self.refuse_queued = refuse_queued
        self.start_queued = start_queued

    def make_handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers by class of message."""
        return {
            AnnouncedEvent: self.on_announced,
            DeregisteredEvent: self.on_deregistered,
            DeparturesLearnedEvent: self.on_departures_learned,
            DeparturesReadEvent: self.on_departures_read,
            UpstreamsRecalledEvent: self.on_upstreams_recalled,
            ListeningEvent: self.on_listening,
        }

    def on_announced(self, announced: AnnouncedEvent) -> None:
        """Update an upstream from its announcement, and reply with its load."""
        upstream = self.roster.announce(announced)
        if upstream is None:
            announced.reply.set_result((0, 0))
            return
        if upstream.record.leaving:
            self.refuse_queued(upstream)
        self.start_queued(upstream)
        announced.reply.set_result((upstream.in_use, upstream.queue.size))

    def on_deregistered(self, deregistered: DeregisteredEvent) -> None:
        """Start no further requests on an upstream; running ones continue."""
        upstream = self.roster.deregister(deregistered)
        in_use = 0
        if upstream is not None:
            in_use = upstream.in_use
            self.refuse_queued(upstream)
        deregistered.reply.set_result((in_use, 0))

    def on_departures_learned(self, event: DeparturesLearnedEvent) -> None:
        """Learn from peers which upstreams had left before this process."""
        for upstream in self.roster.record_departures(event.upstreams):
            self.refuse_queued(upstream)

    def on_departures_read(self, event: DeparturesReadEvent) -> None:
        """Learn from the store which upstreams had left before this process."""
        for upstream in self.roster.record_read_departures(event.departures):
            self.refuse_queued(upstream)

    def on_upstreams_recalled(self, event: UpstreamsRecalledEvent) -> None:
        """Learn which upstreams an earlier process of this node used."""
        self.roster.record_recalled(event.upstreams)

    def on_listening(self, _: ListeningEvent) -> None:
        """Expect the first announcements from now on."""
        self.roster.record_listening()
