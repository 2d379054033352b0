"""Leader election for rate groups, by leases and compare-and-swap in the store.

Each group of a region has one holder, whose record in the store is bound to
its lease. The election tells the rate holder which groups this node holds and
until when it may grant their tokens.
"""

from __future__ import annotations

from concurrent.futures import Future

import msgspec
from loguru import logger

from kumquathold_core import (
    holder_validity,
    member_table,
    store_keys,
    token_bucket,
)
from kumquathold_core.decoding import InvalidContent, decode_json
from kumquathold_node.holder_contacts import HolderContacts
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import GroupsHeldEvent
from kumquathold_node.metrics import Metrics
from kumquathold_node.process_clock import read_boot_clock
from kumquathold_node.rate_holder import HoldGroupsCommand, RateHolder
from kumquathold_node.settings import Settings
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    Lease,
    StoredValue,
    StoreError,
    Write,
)
from kumquathold_node.transport import Transport

CHECK_INTERVAL_SECONDS = 0.5
READ_INTERVAL_SECONDS = 1.0
KEEP_ALIVES_PER_TERM = 6
MAX_KEEP_ALIVE_INTERVAL_SECONDS = 60.0
MAX_WRITES_PER_SWAP = 16
VALIDITY_EXTENSION_SECONDS = 1.5
MIN_PAUSE_SECONDS = 2.0
"""Time without a check after which the process counts as paused."""

HOLDER_TIMEOUT_SECONDS = 2.0


class HolderRecord(msgspec.Struct, frozen=True):
    """Holder of a group, as recorded in the store."""

    address: str
    """Peer address of the holder."""

    incarnation: int
    """Incarnation of the holder's process."""

    layout: str
    """Regions and number of groups, see `describe_layout`."""


def describe_layout(settings: Settings) -> str:
    """Return the regions and the number of groups, in one text.

    They must be equal on all nodes, else the limits of the regions do not add
    up to a workspace's rate.
    """
    return f'{",".join(sorted(settings.regions))}/{settings.rate_groups}'


def _find_start(ended_at: float) -> float:
    """Return when all grants of a holder that has ended are expired."""
    return ended_at + token_bucket.GRANT_LIFETIME_SECONDS


class RateElection:
    """Acquires, keeps and releases this node's rate groups.

    All times are of the boot clock: a lease also runs out while this VM
    is suspended.
    """

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.store: KeyValueStore = kernel.find('store')
        self.membership: Membership = kernel.find('membership')
        self.transport: Transport = kernel.find('transport')
        self.holder: RateHolder = kernel.find('rate-holder')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        self.layout = describe_layout(settings)
        self.lease: Lease | None = None
        self.valid_until = 0.0
        self.kept_alive_at = 0.0
        self.checked_at = read_boot_clock()
        self.store_failed_at = 0.0
        self.paused_at = 0.0
        self.yielded_at = 0.0
        """When it last stopped granting, as most of its region was silent."""
        self.contacts = HolderContacts(self.membership, settings)
        # Set to 0 once this process has tried to acquire the groups that an
        # earlier process at this address held.
        self.started_at = read_boot_clock()
        self.read_at = -READ_INTERVAL_SECONDS
        self.ready_at: dict[int, float] = {}
        self.is_stopping = False
        self.task = Task(
            'rate-election',
            {},
            tick=self.check,
            tick_seconds=CHECK_INTERVAL_SECONDS,
        )
        kernel.register('rate-election', self)
        kernel.add_task(self.task)

    def check(self) -> None:
        """Renew the lease, and acquire groups without a holder."""
        if self.is_stopping:
            return
        check_started_at = read_boot_clock()
        if check_started_at - self.checked_at > MIN_PAUSE_SECONDS:
            self.paused_at = check_started_at
        try:
            self._keep_alive()
            self._acquire_free_groups()
        except StoreError as error:
            self.store_failed_at = check_started_at
            self.metrics.count('rates.store_unavailable')
            logger.debug('rate election failed', cause=str(error))
        self.contacts.watch(
            is_needed=bool(self.ready_at) and self._is_store_failing()
        )
        self._extend_validity()
        self.checked_at = read_boot_clock()

    def release_lease(self) -> None:
        """Stop granting, then revoke the lease to free the groups."""
        self.is_stopping = True
        self.ready_at = {}
        self._publish()
        if self.lease is None:
            return
        try:
            self.store.revoke_lease(self.lease)
        except StoreError as error:
            logger.warning('rate lease not released', cause=str(error))

    def _keep_alive(self) -> None:
        if self.lease is None:
            return
        now = read_boot_clock()
        interval = min(
            self.settings.rate_term / KEEP_ALIVES_PER_TERM,
            MAX_KEEP_ALIVE_INTERVAL_SECONDS,
        )
        is_kept = self.lease.era == self.store.era
        if is_kept and now - self.kept_alive_at < interval:
            return
        kept = self.store.keep_alive(self.lease)
        if kept.seconds <= 0:
            self._reacquire_groups()
            return
        self.kept_alive_at = now

    def _reacquire_groups(self) -> None:
        """Acquire the groups with a new lease, unless another node has them.

        The lease expired during an outage of the store or while the node was
        isolated from it. Other nodes do not take the groups of a node that
        membership reports alive, so its buckets remain valid. If it may have
        been reported dead, a successor may have granted meanwhile.
        """
        groups = self.ready_at
        may_have_successor = self._may_have_successor()
        self.metrics.count('rates.lease_lost')
        logger.warning('rate lease ended', groups=sorted(groups))
        acquired = self._acquire_with_new_lease(sorted(groups))
        self.ready_at = {}
        for group in acquired:
            ready_at = groups[group]
            if may_have_successor:
                ready_at = _find_start(read_boot_clock())
            self.ready_at[group] = ready_at
        self._publish()

    def _acquire_with_new_lease(self, groups: list[int]) -> list[int]:
        """Write records of groups with a new lease; return those acquired.

        If the store fails, the next check finds the lease ended and tries
        again.
        """
        stored = self._read_records()
        ended, kept_alive_at = self.lease, self.kept_alive_at
        self.lease = None
        try:
            return self._acquire(groups, stored)
        except StoreError:
            self.lease, self.kept_alive_at = ended, kept_alive_at
            raise

    def _is_store_failing(self) -> bool:
        """Whether a call to the store has failed since the last renewal."""
        return self.store_failed_at > self.kept_alive_at

    def _may_have_successor(self) -> bool:
        """Whether the node may have been declared dead since its renewal."""
        return max(self.paused_at, self.yielded_at) > self.kept_alive_at

    def _extend_validity(self) -> None:
        """Extend the time until which tokens of the groups may be granted.

        That is the lease's own term, and the reclaim period after it.
        """
        if not self.ready_at:
            return
        now = read_boot_clock()
        valid_until = self.kept_alive_at + self.settings.rate_term
        if now >= valid_until:
            valid_until = self._find_reclaim_end(now)
        if now >= valid_until:
            return
        self.valid_until = min(valid_until, now + VALIDITY_EXTENSION_SECONDS)
        self._publish()

    def _find_reclaim_end(self, now: float) -> float:
        """Return until when tokens may be granted without the lease.

        While the store does not respond, this node keeps its groups for the
        reclaim period, since other nodes leave the groups of a live node alone.
        After a pause of this process, or once most of its region was silent,
        another node may have taken them, until the store responds.
        """
        if not self._is_store_failing() or self._may_have_successor():
            return 0.0
        silent_for = self.contacts.measure_silence()
        if silent_for >= holder_validity.CONTACT_SECONDS:
            self._yield_groups(now, silent_for)
            return 0.0
        return min(
            self.kept_alive_at + self.settings.rate_standing,
            now + holder_validity.CONTACT_SECONDS - silent_for,
        )

    def _yield_groups(self, now: float, silent_for: float) -> None:
        self.yielded_at = now
        self.metrics.count('rates.yielded')
        logger.warning(
            'rate groups yielded',
            groups=sorted(self.ready_at),
            lease_age=round(now - self.kept_alive_at, 3),
            silent_for=round(silent_for, 3),
            contacts=len(self.contacts.peers),
        )

    def _acquire_free_groups(self) -> None:
        now = read_boot_clock()
        if now - self.read_at < READ_INTERVAL_SECONDS:
            return
        free = self._list_free_groups()
        wanted = free if self.started_at else self._select_preferred(free)
        if not wanted:
            return
        self.read_at = now
        stored = self._read_records()
        former = (
            self._select_former_groups(free, stored) if self.started_at else []
        )
        groups = dict.fromkeys([*former, *self._select_preferred(free)])
        acquired = self._acquire(list(groups), stored)
        for group in acquired:
            # The last process at this address ended before this one began, so
            # its grants expire at most one lifetime after that.
            is_former = group in former
            ended_at = self.started_at if is_former else read_boot_clock()
            self.ready_at[group] = _find_start(ended_at)
        self.started_at = 0.0
        if acquired:
            self._publish()
            logger.info('rate groups held', groups=sorted(self.ready_at))

    def _list_free_groups(self) -> list[int]:
        """Return the region's groups that no live node holds."""
        region = self.settings.region
        return [
            group
            for group in range(self.settings.rate_groups)
            if (region, group) not in self.membership.view.holders
            and group not in self.ready_at
        ]

    def _select_preferred(self, groups: list[int]) -> list[int]:
        """Return the groups that rendezvous hashing assigns to this node."""
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
        found = self.store.read_prefix(prefix).found
        return {record.key: record for record in found}

    def _select_former_groups(
        self,
        groups: list[int],
        stored: dict[str, StoredValue],
    ) -> list[int]:
        """Return the groups that the last process at this address held."""
        return [
            group
            for group in groups
            if self._record_key(group) in stored
            and self._is_free(group, stored)
        ]

    def _acquire(
        self, groups: list[int], stored: dict[str, StoredValue]
    ) -> list[int]:
        """Write this node's record for free groups; return those acquired."""
        free = [group for group in groups if self._is_free(group, stored)]
        acquired: list[int] = []
        for start in range(0, len(free), MAX_WRITES_PER_SWAP):
            part = free[start : start + MAX_WRITES_PER_SWAP]
            writes = [self._make_write(group, stored) for group in part]
            if self.store.swap(writes).succeeded:
                acquired.extend(part)
            else:
                self.metrics.count('rates.election_lost')
        return acquired

    def _is_free(self, group: int, stored: dict[str, StoredValue]) -> bool:
        found = stored.get(self._record_key(group))
        if found is None:
            return True
        try:
            record = decode_json(found.value, HolderRecord)
        except InvalidContent as error:
            logger.error(
                'rate holder record unreadable',
                group=group,
                cause=str(error),
            )
            return False
        if record.layout != self.layout:
            logger.error(
                'rate layout differs',
                other=record.layout,
                own=self.layout,
            )
            return False
        # This process has bound the address, so an earlier process there has
        # ended. A record of this process itself comes from a swap whose
        # response was lost.
        return record.address == self.settings.peer

    def _make_write(self, group: int, stored: dict[str, StoredValue]) -> Write:
        found = stored.get(self._record_key(group))
        record = HolderRecord(
            address=self.settings.peer,
            incarnation=self.transport.incarnation,
            layout=self.layout,
        )
        return Write(
            key=self._record_key(group),
            value=msgspec.json.encode(record),
            expected_revision=found.mod_revision if found else ABSENT,
            lease=self._get_lease(),
        )

    def _get_lease(self) -> Lease:
        if self.lease is None:
            requested_at = read_boot_clock()
            self.lease = self.store.grant_lease(self.settings.rate_term)
            self.kept_alive_at = requested_at
            self.valid_until = requested_at + VALIDITY_EXTENSION_SECONDS
        return self.lease

    def _publish(self) -> None:
        command = HoldGroupsCommand(
            dict(self.ready_at),
            self.valid_until,
            Future(),
        )
        self.holder.task.post(command)
        command.done.result(HOLDER_TIMEOUT_SECONDS)
        groups = tuple(sorted(self.ready_at))
        if groups != self.membership.table.own.rate_groups:
            self.membership.task.post(GroupsHeldEvent(groups))

    def _record_key(self, group: int) -> str:
        return store_keys.rate_key(self.settings.region, group)
