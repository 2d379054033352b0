"""Starts and returns the requests that wait for the upstreams of a node.

Not thread-safe: only the owner's task may call it.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from time import monotonic

import msgspec

from kumquathold_core.forwarding import Refusal
from kumquathold_node import owner_statements
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_admission import OwnerAdmission
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.upstream_roster import UpstreamRoster


class QueueActions(msgspec.Struct, frozen=True):
    """What the owner does with a request that leaves its queue."""

    refuse: Callable[[OwnerRequest, Refusal], None]
    """Refuses a request that has not run."""

    run: Callable[[OwnerRequest], None]
    """Runs a request that has got its slot."""


class OwnerQueues:
    """The queues of the upstreams beside this node."""

    def __init__(
        self,
        metrics: Metrics,
        roster: UpstreamRoster,
        admission: OwnerAdmission,
        actions: QueueActions,
    ) -> None:
        """Set what the queues belong to, and what becomes of requests."""
        self.metrics = metrics
        self.roster = roster
        self.admission = admission
        self.actions = actions
        self.was_evacuated = False

    def return_queued(
        self,
        upstream: Upstream,
        waiting: list[OwnerRequest],
        reason: Refusal,
    ) -> None:
        """Refuse some of an upstream's queued requests; others may run them."""
        for request in waiting:
            upstream.queue.remove(request)
            self.actions.refuse(request, reason)

    def return_all(self, upstream: Upstream, reason: Refusal) -> None:
        """Refuse all that waits for an upstream."""
        self.return_queued(upstream, upstream.queue.items(), reason)

    def return_unstartable(self, upstream: Upstream) -> None:
        """Refuse what the limits of an upstream make too late."""
        unstartable = upstream.find_unstartable(monotonic())
        self.return_queued(upstream, unstartable, Refusal.upstream_busy)

    def start_queued(self, upstream: Upstream) -> None:
        """Start what slots and limits leave room for, by rank.

        Requests that the end of a draining node would break off are returned,
        as other nodes may still run them.
        """
        unfinishable = upstream.find_unfinishable(
            self.admission.drain_end_at, monotonic()
        )
        self.return_queued(upstream, unfinishable, Refusal.node_leaving)
        while upstream.may_start(monotonic()):
            end_at = monotonic() + upstream.service_seconds
            request = upstream.queue.pop(end_at)
            for shed in upstream.queue.take_dropped():
                self.actions.refuse(shed, Refusal.overloaded)
            if request is None:
                return
            self._start(upstream, request)

    def drain(self, end_at: float) -> None:
        """Prepare for the end of the node, by the monotonic clock."""
        self.admission.drain_end_at = end_at
        for upstream in self.roster.upstreams.values():
            self.start_queued(upstream)

    def check(self, now: float) -> None:
        """Return what is overdue, and start what has room by now."""
        self.follow_evacuation()
        for upstream in list(self.roster.upstreams.values()):
            self.roster.update_cold(upstream, now)
            overdue = upstream.find_overdue(now)
            self.return_queued(upstream, overdue, Refusal.overloaded)
            self.return_unstartable(upstream)
            self.start_queued(upstream)
            if owner_statements.is_limit_unconfirmed(upstream, now):
                self.roster.withdraw_limit(upstream)

    def follow_evacuation(self) -> None:
        """Return what waits in a zone that is evacuated.

        Upstreams of a zone that is taken back may be cold. They count as cold
        until they announce themselves the next time.
        """
        is_evacuated = self.admission.location.is_evacuated()
        upstreams = list(self.roster.upstreams.values())
        if is_evacuated:
            for upstream in upstreams:
                self.return_all(upstream, Refusal.zone_evacuated)
        elif self.was_evacuated:
            now = monotonic()
            for upstream in upstreams:
                upstream.cold.record_cold(math.inf, now)
                self.roster.update_cold(upstream, now)
        self.was_evacuated = is_evacuated

    def _start(self, upstream: Upstream, request: OwnerRequest) -> None:
        now = monotonic()
        self.metrics.time('owner.queue', now - request.queued_at)
        if upstream.is_overdue(request, now):
            self.actions.refuse(request, Refusal.overloaded)
            return
        withdrawal = self.admission.find_withdrawal(request.message)
        if withdrawal is not None:
            self.actions.refuse(request, withdrawal)
            return
        upstream.begin(request, now)
        self.actions.run(request)
