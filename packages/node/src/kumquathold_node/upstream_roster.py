"""The upstreams beside this node, as they announce themselves.

Belongs to the owner's task, which alone calls it. The fleet is told of each
change at once.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from loguru import logger

from kumquathold_core.announcement_tracker import AnnouncementTracker
from kumquathold_core.identity import UpstreamRecord
from kumquathold_node.announcements import AnnouncedEvent, DeregisteredEvent
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership, UpstreamsChangedEvent
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import Upstream


class UpstreamRoster:
    """The upstreams beside this node, by name."""

    def __init__(
        self,
        kernel: Kernel,
        dialect: UpstreamDialect,
        refuse_waiting: Callable[[Upstream], None],
    ) -> None:
        """Start empty; `refuse_waiting` refuses what waits for an upstream."""
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.dialect = dialect
        self.refuse_waiting = refuse_waiting
        self.lifetimes = AnnouncementTracker()
        self.upstreams: dict[str, Upstream] = {}

    def announce(self, announced: AnnouncedEvent) -> Upstream | None:
        """Take an announcement in; nothing where a later one is known."""
        record = announced.record
        is_news = self.lifetimes.admit(
            record.name,
            announced.stamp,
            leaving=record.leaving,
        ) and not is_outlived(self.upstreams, record)
        if not is_news:
            self.metrics.count('owner.announcements_late')
            return None
        for older in find_predecessors(self.upstreams, record):
            self.forget(older)
        upstream = self.upstreams.get(record.name)
        if upstream is None:
            upstream = Upstream(record, announced.expires_at, self.dialect)
            self.upstreams[record.name] = upstream
            self._tell('upstream announced', record)
        upstream.expires_at = announced.expires_at
        if upstream.record != record:
            upstream.record = record
            self._tell('upstream changed', record)
        return upstream

    def deregister(self, deregistered: DeregisteredEvent) -> Upstream | None:
        """Mark an upstream as leaving; nothing where it is not known."""
        self.lifetimes.record_deregistration(
            deregistered.name, deregistered.lifetime
        )
        upstream = self.upstreams.get(deregistered.name)
        if upstream is not None:
            upstream.record = msgspec.structs.replace(
                upstream.record,
                leaving=True,
            )
            self._tell('upstream deregistered', upstream.record)
        return upstream

    def note_down(self, name: str) -> None:
        """Take an upstream that refuses connections out until it announces.

        That is no gray failure: the floor counts only what is there.
        """
        upstream = self.upstreams.get(name)
        if upstream is None or not upstream.record.ready:
            return
        self.metrics.count('owner.upstreams_down')
        upstream.record = msgspec.structs.replace(
            upstream.record,
            ready=False,
        )
        self._tell('upstream down', upstream.record)

    def drop_vanished(self, now: float) -> None:
        """Forget the upstreams that stopped announcing themselves."""
        for upstream in list(self.upstreams.values()):
            is_busy = upstream.in_use or upstream.queue.size
            if upstream.expires_at <= now and not is_busy:
                self.forget(upstream)

    def forget(self, upstream: Upstream) -> None:
        """Drop an upstream whose process is gone."""
        self.refuse_waiting(upstream)
        upstream.calls.close()
        self.upstreams.pop(upstream.record.name, None)
        self._tell('upstream vanished', upstream.record)

    def _tell(self, event: str, record: UpstreamRecord) -> None:
        records = tuple(one.record for one in self.upstreams.values())
        self.membership.task.post(UpstreamsChangedEvent(records))
        logger.info(event, **msgspec.structs.asdict(record))


def find_predecessors(
    upstreams: dict[str, Upstream],
    record: UpstreamRecord,
) -> list[Upstream]:
    """The upstreams whose name or address has a new process."""
    return [
        known
        for name, known in upstreams.items()
        if _is_succeeded(name, known.record, record)
    ]


def _is_succeeded(
    name: str,
    known: UpstreamRecord,
    record: UpstreamRecord,
) -> bool:
    if name == record.name:
        return known.lifetime < record.lifetime
    return known.address == record.address


def is_outlived(
    upstreams: dict[str, Upstream],
    record: UpstreamRecord,
) -> bool:
    """Whether a later process has the address of an announced upstream."""
    return any(
        known.record.address == record.address
        and known.record.lifetime > record.lifetime
        for name, known in upstreams.items()
        if name != record.name
    )
