"""Registry of the upstreams beside this node, built from announcements.

Each change is passed to membership at once, which spreads it over the fleet.
Not thread-safe: only the owner's task may call it.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic, time

import msgspec
from loguru import logger

from kumquathold_core.announcement_tracker import (
    MILLISECONDS_PER_SECOND,
    AnnouncementTracker,
)
from kumquathold_core.departures import Departure
from kumquathold_core.first_announcements import FirstAnnouncements
from kumquathold_core.identity import UpstreamRecord
from kumquathold_node.announcements import AnnouncedEvent, DeregisteredEvent
from kumquathold_node.body_memory import BodyMemory
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.departure_records import DepartureRecords
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import UpstreamsChangedEvent
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import Upstream

MAX_LIMIT_RATIO = 1.5
"""Ratio of two limits up to which the second is not published."""


class UpstreamRoster:
    """The upstreams beside this node, by name."""

    def __init__(
        self,
        kernel: Kernel,
        dialect: UpstreamDialect,
        refuse_waiting: Callable[[Upstream], None],
    ) -> None:
        """Start empty.

        `refuse_waiting` refuses the requests that wait for an upstream; it is
        called before the upstream is removed.
        """
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.dialect = dialect
        self.refuse_waiting = refuse_waiting
        self.body_memory: BodyMemory = kernel.find('body-memory')
        self.departure_records: DepartureRecords = kernel.find(
            'departure-records'
        )
        self.announcement_tracker = AnnouncementTracker()
        self.first_announcements = FirstAnnouncements(
            _read_unix_milliseconds(), monotonic()
        )
        self.upstreams: dict[str, Upstream] = {}

    def announce(self, announced: AnnouncedEvent) -> Upstream | None:
        """Record an announcement and return its upstream.

        Returns none for an announcement that a newer one or a newer process
        supersedes.
        """
        record = announced.record
        is_current = self.announcement_tracker.admit(
            record.name,
            announced.stamp,
            leaving=record.leaving,
        ) and not is_superseded(self.upstreams, record)
        if not is_current:
            self.metrics.count('owner.announcements_late')
            return None
        if record.leaving:
            self.departure_records.record(record.name, record.lifetime)
        elif not self._may_use(announced):
            record = msgspec.structs.replace(record, ready=False)
        for predecessor in find_predecessors(self.upstreams, record):
            self.remove(predecessor)
        upstream = self.upstreams.get(record.name)
        if upstream is None:
            upstream = Upstream(
                record,
                announced.expires_at,
                self.dialect,
                self.body_memory,
            )
            self.upstreams[record.name] = upstream
            self._publish('upstream announced', record)
        upstream.expires_at = announced.expires_at
        upstream.record_restart()
        now = monotonic()
        upstream.cold.record_cold(announced.cold_seconds, now)
        self.update_cold(upstream, now)
        record = msgspec.structs.replace(record, limit=upstream.record.limit)
        known = upstream.known_statement
        if known is not None and known.is_leaving_at(monotonic()):
            record = msgspec.structs.replace(record, leaving=True)
        if upstream.record != record:
            upstream.record = record
            self._publish('upstream changed', record)
        return upstream

    def deregister(self, deregistered: DeregisteredEvent) -> Upstream | None:
        """Mark an upstream as leaving.

        Returns none if it is unknown, or if it was an earlier process of that
        name which deregistered: the present one stays.
        """
        lifetime = self._find_left_lifetime(deregistered)
        self._record_departure(deregistered.name, lifetime)
        upstream = self.upstreams.get(deregistered.name)
        if upstream is None or 0 < lifetime < upstream.record.lifetime:
            return None
        self._set_leaving('upstream deregistered', upstream)
        return upstream

    def record_read_departures(
        self, departures: tuple[Departure, ...]
    ) -> list[Upstream]:
        """Record the departures that earlier processes of this node stored.

        Returns the upstreams that have announced themselves as ready since.
        """
        self.first_announcements.are_departures_known = True
        return [
            upstream
            for one in departures
            for upstream in self._record_left(one.name, one.lifetime)
        ]

    def record_recalled(self, upstreams: tuple[UpstreamRecord, ...]) -> None:
        """Record which upstreams an earlier process of this node used."""
        now = monotonic()
        for one in upstreams:
            self.first_announcements.confirm(one.name, one.lifetime, now)

    def record_listening(self) -> None:
        """Record that upstreams can announce themselves from now on."""
        self.first_announcements.listening_since = monotonic()

    def record_departures(
        self, departed: tuple[UpstreamRecord, ...]
    ) -> list[Upstream]:
        """Record which upstreams an earlier process of this node saw leave.

        Returns those that have announced themselves as ready since then.
        """
        found: list[Upstream] = []
        for left in departed:
            self.departure_records.record(left.name, left.lifetime)
            found.extend(self._record_left(left.name, left.lifetime))
        return found

    def record_leaving(self, upstream: Upstream) -> None:
        """Mark an upstream as leaving that stated so in a response.

        Announcements of the same process that say otherwise are outdated.
        """
        self._record_departure(upstream.record.name, upstream.record.lifetime)
        self._set_leaving('upstream stated leaving', upstream)

    def record_limit(self, upstream: Upstream) -> None:
        """Publish the limit of an upstream if it is another one.

        Small changes are not worth a message to all nodes: an owner holds each
        request against the exact limit.
        """
        limit = upstream.find_limit()
        if is_about_equal(upstream.record.limit, limit):
            return
        self._publish_limit('upstream limit changed', upstream, limit)

    def update_cold(self, upstream: Upstream, now: float) -> None:
        """Apply or lift the limit of a cold upstream, and publish it."""
        service = self.configuration.current.rules.services.get(
            upstream.record.service
        )
        rate = service.cold_rate if service else 0.0
        if upstream.cold.update(rate, now):
            is_cold = upstream.cold.rate is not None
            self.metrics.count('owner.cold_starts', int(is_cold))
            self.record_limit(upstream)

    def withdraw_limit(self, upstream: Upstream) -> None:
        """Publish no stated limit any more; the owner still keeps to it."""
        limit = upstream.cold.rate
        if upstream.record.limit != limit:
            self._publish_limit('upstream limit unconfirmed', upstream, limit)

    def _may_use(self, announced: AnnouncedEvent) -> bool:
        record = announced.record
        may_use = self.first_announcements.may_use(
            record.name, record.lifetime, announced.interval, monotonic()
        )
        if not may_use:
            self.metrics.count('owner.announcements_unconfirmed')
            logger.info(
                'announcement unconfirmed',
                upstream=record.name,
                lifetime=record.lifetime,
            )
        return may_use

    def _find_left_lifetime(self, deregistered: DeregisteredEvent) -> int:
        """Return the lifetime of the process that deregistered.

        Without one, that of the current process, or else of any before now.
        """
        if deregistered.lifetime:
            return deregistered.lifetime
        name = deregistered.name
        if name in self.announcement_tracker.latest:
            return self.announcement_tracker.find_lifetime(name)
        return _read_unix_milliseconds()

    def _record_departure(self, name: str, lifetime: int) -> None:
        """Record that a process has left, here and in the store."""
        self.announcement_tracker.record_deregistration(name, lifetime)
        self.departure_records.record(name, lifetime)

    def _record_left(self, name: str, lifetime: int) -> list[Upstream]:
        """Record that a process had left before this node started.

        Returns its upstream if it has announced itself as ready since.
        """
        self.announcement_tracker.record_deregistration(name, lifetime)
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.record.leaving:
            return []
        if upstream.record.lifetime > lifetime or not upstream.record.lifetime:
            return []
        self._set_leaving('upstream had left', upstream)
        return [upstream]

    def _publish_limit(
        self, event: str, upstream: Upstream, limit: float | None
    ) -> None:
        upstream.record = msgspec.structs.replace(upstream.record, limit=limit)
        self._publish(event, upstream.record)

    def _set_leaving(self, event: str, upstream: Upstream) -> None:
        upstream.record = msgspec.structs.replace(upstream.record, leaving=True)
        self._publish(event, upstream.record)

    def record_down(self, name: str) -> None:
        """Mark an upstream whose process is not there as not ready.

        It stays so until its next announcement. This is not an ejection: the
        floor counts only upstreams that are ready.
        """
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        upstream.record_end(monotonic())
        if not upstream.record.ready:
            return
        self.metrics.count('owner.upstreams_down')
        upstream.record = msgspec.structs.replace(
            upstream.record,
            ready=False,
        )
        self._publish('upstream down', upstream.record)

    def remove_expired(self, now: float) -> None:
        """Remove idle upstreams whose announcement has expired."""
        for upstream in list(self.upstreams.values()):
            is_busy = upstream.in_use or upstream.queue.size
            if upstream.expires_at <= now and not is_busy:
                self.remove(upstream)

    def remove(self, upstream: Upstream) -> None:
        """Remove an upstream whose process has ended."""
        self.refuse_waiting(upstream)
        upstream.calls.close()
        self.upstreams.pop(upstream.record.name, None)
        self._publish('upstream vanished', upstream.record)

    def _publish(self, event: str, record: UpstreamRecord) -> None:
        records = tuple(known.record for known in self.upstreams.values())
        self.membership.task.post(UpstreamsChangedEvent(records))
        logger.info(event, **msgspec.structs.asdict(record))


def _read_unix_milliseconds() -> int:
    return int(time() * MILLISECONDS_PER_SECOND)


def is_about_equal(published: float | None, limit: float | None) -> bool:
    """Whether a published limit still describes a limit well enough."""
    if published is None or limit is None:
        return published is limit
    lower, higher = sorted((published, limit))
    return higher <= lower * MAX_LIMIT_RATIO


def find_predecessors(
    upstreams: dict[str, Upstream],
    record: UpstreamRecord,
) -> list[Upstream]:
    """Return the upstreams that the process in `record` replaces.

    It replaces an older process of the same name, and any other upstream at
    the same address.
    """
    return [
        known
        for name, known in upstreams.items()
        if _is_predecessor(name, known.record, record)
    ]


def _is_predecessor(
    name: str,
    known: UpstreamRecord,
    record: UpstreamRecord,
) -> bool:
    if name == record.name:
        return known.lifetime < record.lifetime
    return known.address == record.address


def is_superseded(
    upstreams: dict[str, Upstream],
    record: UpstreamRecord,
) -> bool:
    """Return whether a newer process under another name has the address."""
    return any(
        known.record.address == record.address
        and known.record.lifetime > record.lifetime
        for name, known in upstreams.items()
        if name != record.name
    )
