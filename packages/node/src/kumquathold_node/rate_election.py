"""The rate election: agrees with the platform which groups this node holds."""

from __future__ import annotations

from concurrent.futures import Future
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import member_table, store_keys, token_bucket
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import GroupsHeldEvent, Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.process_clock import boot_time
from kumquathold_node.rate_holder import HoldGroupsCommand, RateHolder
from kumquathold_node.settings import Settings
from kumquathold_node.store import (
    KeyValueStore,
    Lease,
    StoredValue,
    StoreError,
    Write,
)
from kumquathold_node.transport import Transport

ELECTION_SECONDS = 0.5
READ_AGAIN_SECONDS = 1.0
KEEP_ALIVES_PER_TERM = 6
MAX_KEEP_ALIVE_SECONDS = 60.0
WRITES_PER_SWAP = 16
EXTENSION_SECONDS = 1.5
PAUSE_SECONDS = 2.0
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
        self.platform: KeyValueStore = kernel.find('store')
        self.membership: Membership = kernel.find('membership')
        self.transport: Transport = kernel.find('transport')
        self.holder: RateHolder = kernel.find('rate-holder')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        self.layout = describe_layout(settings)
        self.lease: Lease | None = None
        self.valid_until = 0.0
        self.kept_alive_at = 0.0
        self.checked_at = boot_time()
        self.failed_at = 0.0
        self.paused_at = 0.0
        self.started_at = monotonic()
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
        began_at = boot_time()
        if began_at - self.checked_at > PAUSE_SECONDS:
            self.paused_at = began_at
        try:
            self._keep_alive()
            self._take_free_groups()
        except StoreError as error:
            self.failed_at = began_at
            self.metrics.count('rates.store_unavailable')
            logger.debug('rate election waits', cause=str(error))
        self._extend()
        self.checked_at = boot_time()

    def hand_back(self) -> None:
        """Stop granting, then free the groups for other nodes."""
        self.is_stopping = True
        self.ready_at = {}
        self._publish()
        if self.lease is None:
            return
        try:
            self.platform.revoke_lease(self.lease.id)
        except StoreError as error:
            logger.warning('rate lease not handed back', cause=str(error))

    def _keep_alive(self) -> None:
        if self.lease is None:
            return
        now = boot_time()
        interval = min(
            self.settings.rate_term / KEEP_ALIVES_PER_TERM,
            MAX_KEEP_ALIVE_SECONDS,
        )
        if now - self.kept_alive_at < interval:
            return
        kept = self.platform.keep_alive(self.lease.id)
        if kept.seconds <= 0:
            self._retake()
            return
        self.kept_alive_at = now

    def _retake(self) -> None:
        """Take the same groups by a new lease where nobody else has.

        The lease ended while the store was away or the node was cut off from
        it. Others leave the groups of a node that they hear to that node, so
        its buckets go on.
        """
        groups = self.ready_at
        self.metrics.count('rates.lease_lost')
        logger.warning('rate lease ended', groups=sorted(groups))
        self.lease = None
        self.ready_at = {}
        kept = self._take(sorted(groups), self._read_records())
        self.ready_at.update({group: groups[group] for group in kept})
        self._publish()

    def _extend(self) -> None:
        """Let the holder grant on, unless the lease may be another's now.

        While the store does not answer this node, the groups stay its own: a
        node that is heard keeps them. After a pause of this process the first
        answer of the store decides.
        """
        since = boot_time() - self.kept_alive_at
        is_unanswered = self.failed_at > self.kept_alive_at
        has_paused = self.paused_at > self.kept_alive_at
        is_standing = is_unanswered and not has_paused
        limit = self.settings.rate_term
        if is_standing:
            limit = max(limit, self.settings.rate_standing)
        if not self.ready_at or since >= limit:
            return
        self.valid_until = monotonic() + EXTENSION_SECONDS
        self._publish()

    def _take_free_groups(self) -> None:
        now = monotonic()
        if now - self.read_at < READ_AGAIN_SECONDS:
            return
        free = self._free_groups()
        wanted = free if self.started_at else self._preferred(free)
        if not wanted:
            return
        self.read_at = now
        stored = self._read_records()
        own = self._own_groups(free, stored) if self.started_at else []
        groups = dict.fromkeys([*own, *self._preferred(free)])
        taken = self._take(list(groups), stored)
        for group in taken:
            # What the last process at this address granted has expired a
            # while after this one began.
            granted_at = self.started_at if group in own else monotonic()
            self.ready_at[group] = (
                granted_at + token_bucket.GRANT_LIFETIME_SECONDS
            )
        self.started_at = 0.0
        if taken:
            self._publish()
            logger.info('rate groups held', groups=sorted(self.ready_at))

    def _free_groups(self) -> list[int]:
        """Groups without a living holder."""
        region = self.settings.region
        return [
            group
            for group in range(self.settings.rate_groups)
            if (region, group) not in self.membership.view.holders
            and group not in self.ready_at
        ]

    def _preferred(self, groups: list[int]) -> list[int]:
        """The groups that this node is first to take."""
        region = self.settings.region
        nodes = [
            node
            for node in self.membership.view.nodes
            if node.region == region and not node.leaving
        ]
        if not nodes:
            return []
        return [
            group
            for group in groups
            if member_table.rank_by_rendezvous(nodes, f'group {group}')[
                0
            ].address
            == self.settings.peer
        ]

    def _read_records(self) -> dict[str, StoredValue]:
        prefix = store_keys.rate_prefix(self.settings.region)
        found = self.platform.read_prefix(prefix).found
        return {one.key: one for one in found}

    def _own_groups(
        self,
        groups: list[int],
        stored: dict[str, StoredValue],
    ) -> list[int]:
        """What the last process at this address held when it ended."""
        return [
            group
            for group in groups
            if self._key(group) in stored and self._is_free(group, stored)
        ]

    def _take(
        self, groups: list[int], stored: dict[str, StoredValue]
    ) -> list[int]:
        """Write the own record for groups; give those that are held now."""
        free = [one for one in groups if self._is_free(one, stored)]
        taken: list[int] = []
        for start in range(0, len(free), WRITES_PER_SWAP):
            part = free[start : start + WRITES_PER_SWAP]
            writes = [self._make_write(group, stored) for group in part]
            if self.platform.swap(writes).succeeded:
                taken.extend(part)
            else:
                self.metrics.count('rates.election_lost')
        return taken

    def _is_free(self, group: int, stored: dict[str, StoredValue]) -> bool:
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
        return record.address == self.settings.peer

    def _make_write(self, group: int, stored: dict[str, StoredValue]) -> Write:
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
            asked_at = boot_time()
            self.lease = self.platform.grant_lease(self.settings.rate_term)
            self.kept_alive_at = asked_at
            self.valid_until = monotonic() + EXTENSION_SECONDS
        return self.lease

    def _publish(self) -> None:
        changed = HoldGroupsCommand(
            dict(self.ready_at),
            self.valid_until,
            Future(),
        )
        self.holder.task.post(changed)
        changed.done.result(STOP_SECONDS)
        groups = tuple(sorted(self.ready_at))
        if groups != self.membership.table.own.rate_groups:
            self.membership.task.post(GroupsHeldEvent(groups))

    def _key(self, group: int) -> str:
        return store_keys.rate_key(self.settings.region, group)
