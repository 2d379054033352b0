"""The rate election: agrees with the platform which groups this node holds."""

from __future__ import annotations

from concurrent.futures import Future
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import buckets, members, platform_keys
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import GroupsHeld, Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.rate_holder import GroupsChanged, RateHolder
from kumquathold_node.settings import Settings
from kumquathold_node.store import (
    Lease,
    Platform,
    PlatformError,
    Stored,
    Write,
)
from kumquathold_node.transport import Transport

ELECTION_SECONDS = 0.5
READ_AGAIN_SECONDS = 2.0
KEEP_ALIVES_PER_TERM = 6
MAX_KEEP_ALIVE_SECONDS = 60.0
WRITES_PER_SWAP = 48
STOP_SECONDS = 2.0


class HolderRecord(msgspec.Struct, frozen=True):
    """Who holds a group, as the platform keeps it."""

    address: str
    """Peer address."""

    incarnation: int
    """The holder's process."""

    layout: str
    """Regions and number of groups; equal on all nodes."""


def describe_layout(settings: Settings) -> str:
    """What all nodes must agree on for the parts to add up."""
    return f'{",".join(sorted(settings.regions))}/{settings.rate_groups}'


class RateElection:
    """Agrees with the platform which groups this node holds."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.platform: Platform = kernel.find('platform')
        self.membership: Membership = kernel.find('membership')
        self.transport: Transport = kernel.find('transport')
        self.holder: RateHolder = kernel.find('rate-holder')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        self.layout = describe_layout(settings)
        self.lease: Lease | None = None
        self.valid_until = 0.0
        self.kept_alive_at = 0.0
        self.read_at = -READ_AGAIN_SECONDS
        self.ready_at: dict[int, float] = {}
        self.is_stopping = False
        self.task = Task(
            'rate-election',
            {},
            tick=self.check,
            tick_seconds=ELECTION_SECONDS,
        )
        kernel.register('rate-election', self)
        kernel.add_task(self.task)

    def check(self) -> None:
        """Keep the lease alive, and take groups that nobody holds."""
        if self.is_stopping:
            return
        try:
            self._keep_alive()
            self._take_free_groups()
        except PlatformError as error:
            self.metrics.count('rates.store_unavailable')
            logger.debug('rate election waits', cause=str(error))

    def hand_back(self) -> None:
        """Stop granting, then free the groups for other nodes."""
        self.is_stopping = True
        self.ready_at = {}
        self._publish()
        if self.lease is None:
            return
        try:
            self.platform.revoke_lease(self.lease.id)
        except PlatformError as error:
            logger.warning('rate lease not handed back', cause=str(error))

    def _keep_alive(self) -> None:
        if self.lease is None:
            return
        now = monotonic()
        interval = min(
            self.settings.rate_term / KEEP_ALIVES_PER_TERM,
            MAX_KEEP_ALIVE_SECONDS,
        )
        if now - self.kept_alive_at < interval:
            return
        kept = self.platform.keep_alive(self.lease.id)
        if kept.seconds <= 0:
            self._lose_lease()
            return
        self.kept_alive_at = now
        self.valid_until = now + kept.seconds
        self._publish()

    def _lose_lease(self) -> None:
        logger.warning('rate lease ended', groups=len(self.ready_at))
        self.metrics.count('rates.lease_lost')
        self.lease = None
        self.ready_at = {}
        self._publish()

    def _take_free_groups(self) -> None:
        now = monotonic()
        if now - self.read_at < READ_AGAIN_SECONDS:
            return
        wanted = self._preferred_free_groups()
        if not wanted:
            return
        self.read_at = now
        prefix = platform_keys.rate_prefix(self.settings.region)
        stored = self.platform.read_prefix(prefix).found
        by_key = {one.key: one for one in stored}
        writes = [
            self._make_write(group, by_key)
            for group in wanted
            if self._is_free(group, by_key)
        ]
        for start in range(0, len(writes), WRITES_PER_SWAP):
            self._take(writes[start : start + WRITES_PER_SWAP])

    def _preferred_free_groups(self) -> list[int]:
        view = self.membership.view
        region = self.settings.region
        nodes = [
            node
            for node in view.nodes
            if node.region == region and not node.leaving
        ]
        return [
            group
            for group in range(self.settings.rate_groups)
            if (region, group) not in view.holders
            and group not in self.ready_at
            and members.rank_nodes(nodes, f'group {group}')[0].address
            == self.settings.peer
        ]

    def _is_free(self, group: int, stored: dict[str, Stored]) -> bool:
        found = stored.get(self._key(group))
        if found is None:
            return True
        record = msgspec.json.decode(found.value, type=HolderRecord)
        if record.layout != self.layout:
            logger.error(
                'rate layout differs',
                other=record.layout,
                own=self.layout,
            )
            return False
        # Binding the address proves that an earlier process is gone; a record
        # of this process was written by a swap whose reply was lost.
        is_same_address = record.address == self.settings.peer
        is_later = record.incarnation > self.transport.incarnation
        return is_same_address and not is_later

    def _make_write(self, group: int, stored: dict[str, Stored]) -> Write:
        found = stored.get(self._key(group))
        record = HolderRecord(
            address=self.settings.peer,
            incarnation=self.transport.incarnation,
            layout=self.layout,
        )
        return Write(
            key=self._key(group),
            value=msgspec.json.encode(record),
            expected_revision=found.mod_revision if found else 0,
            lease=self._own_lease().id,
        )

    def _own_lease(self) -> Lease:
        if self.lease is None:
            asked_at = monotonic()
            self.lease = self.platform.grant_lease(self.settings.rate_term)
            self.kept_alive_at = asked_at
            self.valid_until = asked_at + self.lease.seconds
        return self.lease

    def _take(self, writes: list[Write]) -> None:
        swap = self.platform.swap(writes)
        if not swap.succeeded:
            self.metrics.count('rates.election_lost')
            return
        ready_at = monotonic() + buckets.GRANT_SECONDS
        for write in writes:
            self.ready_at[self._group_of(write.key)] = ready_at
        self._publish()
        logger.info('rate groups held', groups=len(self.ready_at))

    def _publish(self) -> None:
        changed = GroupsChanged(
            dict(self.ready_at),
            self.valid_until,
            Future(),
        )
        self.holder.task.post(changed)
        changed.done.result(STOP_SECONDS)
        groups = tuple(sorted(self.ready_at))
        if groups != self.membership.table.own.rate_groups:
            self.membership.task.post(GroupsHeld(groups))

    def _key(self, group: int) -> str:
        return platform_keys.rate_key(self.settings.region, group)

    def _group_of(self, key: str) -> int:
        return int(key.rpartition('/')[2])
