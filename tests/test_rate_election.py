"""Tests of the election of rate holders against an in-memory store."""

from __future__ import annotations

import unittest
from time import monotonic
from types import SimpleNamespace
from typing import Any

from kumquathold_core import store_keys
from kumquathold_core.identity import NodeRecord
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.process_clock import read_boot_clock
from kumquathold_node.rate_election import RateElection
from kumquathold_node.store import (
    ABSENT,
    Lease,
    ReadResult,
    Revision,
    StoredValue,
    StoreUnavailable,
    SwapResult,
    Write,
)

ADDRESS = '10.0.0.1:7400'
LEASE_SECONDS = 100.0
STANDING_SECONDS = 1000.0
GROUPS = 4


class FakeStore:
    """Stores values in memory; can drop the reply to a swap."""

    def __init__(self) -> None:
        self.stored: dict[str, StoredValue] = {}
        self.era = 0
        self.revision = 1
        self.drops_next_reply = False
        self.is_unreachable = False
        self.remaining_seconds = LEASE_SECONDS

    @property
    def at(self) -> Revision:
        """The present revision."""
        return Revision(self.era, self.revision)

    def grant_lease(self, seconds: float) -> Lease:
        """Grant a lease."""
        return Lease(id=7, seconds=seconds)

    def keep_alive(self, lease: Lease) -> Lease:
        """Renew the lease for the remaining time that the test sets."""
        if self.is_unreachable:
            raise StoreUnavailable('unreachable')
        return Lease(id=lease.id, seconds=self.remaining_seconds)

    def read_prefix(self, prefix: str) -> ReadResult:
        """Return the values whose keys sort at or after the prefix."""
        found = [value for key, value in self.stored.items() if key >= prefix]
        return ReadResult(self.at, tuple(found))

    def swap(self, writes: list[Write]) -> SwapResult:
        """Apply all writes or none; raise if the reply is to be dropped."""
        for write in writes:
            current = self.stored.get(write.key)
            if (
                current.mod_revision if current else ABSENT
            ) != write.expected_revision:
                return SwapResult(succeeded=False, revision=self.at, found=())
        self.revision += 1
        for write in writes:
            value = write.value or b''
            self.stored[write.key] = StoredValue(
                write.key,
                value,
                self.at,
            )
        if self.drops_next_reply:
            self.drops_next_reply = False
            raise StoreUnavailable('reply lost')
        return SwapResult(succeeded=True, revision=self.at, found=())


class FakeHolderTask:
    """Applies a command synchronously."""

    def __init__(self) -> None:
        self.ready_at: dict[int, float] = {}
        self.valid_until = 0.0

    def post(self, command: Any) -> None:
        """Replace the held groups and the end of the lease."""
        self.ready_at = command.ready_at
        self.valid_until = command.valid_until
        command.done.set_result(None)


def make_region_node(
    address: str, incarnation: int = 1, *, leaving: bool = False
) -> NodeRecord:
    """Make the record of a node in the region of the elections."""
    return NodeRecord(
        address=address,
        incarnation=incarnation,
        version=1,
        zone='a',
        region='north',
        admin='',
        leaving=leaving,
        upstreams=(),
        rate_groups=(),
    )


class FakeMembership:
    """What a node knows of its region."""

    def __init__(self, stage: ElectionStage, own: NodeRecord) -> None:
        self.stage = stage
        self.table = SimpleNamespace(own=own)
        self.task = SimpleNamespace(post=lambda _: None)

    @property
    def view(self) -> SimpleNamespace:
        """The own node, its peers, and those that are dead."""
        return SimpleNamespace(
            nodes=(self.table.own, *self.stage.peers),
            lost=self.stage.lost,
            holders={},
        )

    def get_last_answer_time(self, peer: str) -> float:
        """Return when the heartbeat was sent that a peer answered last."""
        return self.stage.answered_at.get(peer, 0.0)


class ElectionStage(unittest.TestCase):
    """An election without a network: its services are replaced by fakes."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.holder = FakeHolderTask()
        self.peers: list[NodeRecord] = []
        self.lost: tuple[NodeRecord, ...] = ()
        self.answered_at: dict[str, float] = {}

    def add_peers(self, count: int, answering: int) -> None:
        """Add nodes of the region, some of which answer heartbeats."""
        for number in range(count):
            peer = f'10.0.1.{number}:7400'
            self.peers.append(make_region_node(peer))
            has_answered = number < answering
            self.answered_at[peer] = monotonic() if has_answered else 0.0

    def make_holder_past_its_lease(self) -> RateElection:
        """Return a holder whose last renewal is older than its lease."""
        self.store.stored.clear()
        self.store.is_unreachable = False
        self.peers.clear()
        election = self.make_election(incarnation=5)
        election.check()
        self.store.is_unreachable = True
        election.kept_alive_at -= 2 * LEASE_SECONDS
        self.holder.valid_until = 0.0
        return election

    def make_election(
        self,
        incarnation: int,
        address: str = ADDRESS,
        *,
        leaving: bool = False,
        standing: float = STANDING_SECONDS,
    ) -> RateElection:
        """Return the election of a node that sees itself and the peers."""
        own = make_region_node(address, incarnation, leaving=leaving)
        kernel = Kernel()
        kernel.register('store', self.store)
        kernel.register('metrics', Metrics(None))
        kernel.register('transport', SimpleNamespace(incarnation=incarnation))
        kernel.register('rate-holder', SimpleNamespace(task=self.holder))
        kernel.register('membership', FakeMembership(self, own))
        settings = SimpleNamespace(
            peer=address,
            region='north',
            regions=('north', 'east'),
            rate_groups=GROUPS,
            rate_term=LEASE_SECONDS,
            rate_standing=standing,
        )
        return RateElection(kernel, settings)  # type: ignore[arg-type]


class RateElectionTest(ElectionStage):
    """Each group has one holder, and none is left without one."""

    def test_free_groups_are_taken(self) -> None:
        self.make_election(incarnation=5).check()
        self.assertEqual(set(self.holder.ready_at), set(range(GROUPS)))

    def test_lost_reply_leaves_no_group_without_a_holder(self) -> None:
        election = self.make_election(incarnation=5)
        self.store.drops_next_reply = True
        election.check()
        self.assertEqual(self.holder.ready_at, {})
        election.read_at = -LEASE_SECONDS
        election.check()
        self.assertEqual(set(self.holder.ready_at), set(range(GROUPS)))

    def test_later_process_on_the_address_takes_over(self) -> None:
        self.make_election(incarnation=5).check()
        self.holder.ready_at = {}
        self.make_election(incarnation=6).check()
        self.assertEqual(set(self.holder.ready_at), set(range(GROUPS)))

    def test_groups_of_another_address_are_left_alone(self) -> None:
        self.make_election(incarnation=5, address='10.0.0.9:7400').check()
        self.holder.ready_at = {}
        self.make_election(incarnation=6).check()
        self.assertEqual(self.holder.ready_at, {})

    def test_record_of_another_writer_costs_its_own_group_only(self) -> None:
        key = store_keys.rate_key('north', 0)
        self.store.stored[key] = StoredValue(
            key, b'{"address": 7}', Revision(0, 1)
        )
        self.make_election(incarnation=5).check()
        self.assertEqual(set(self.holder.ready_at), set(range(1, GROUPS)))

    def test_holder_keeps_granting_while_the_store_is_unreachable(self) -> None:
        election = self.make_holder_past_its_lease()
        election.check()
        self.assertGreater(self.holder.valid_until, read_boot_clock())

    def test_holder_that_paused_waits_for_the_store(self) -> None:
        election = self.make_holder_past_its_lease()
        election.checked_at -= LEASE_SECONDS
        election.check()
        self.assertEqual(self.holder.valid_until, 0.0)

    def test_expired_lease_is_reacquired_with_the_same_buckets(self) -> None:
        election = self.make_holder_past_its_lease()
        ready_at = dict(election.ready_at)
        self.store.is_unreachable = False
        self.store.remaining_seconds = 0.0
        self.store.stored.clear()
        election.check()
        self.assertEqual(election.ready_at, ready_at)
        self.assertGreater(self.holder.valid_until, read_boot_clock())

    def test_holder_with_an_expired_lease_yields_to_its_successor(self) -> None:
        election = self.make_holder_past_its_lease()
        self.store.is_unreachable = False
        self.store.remaining_seconds = 0.0
        self.store.stored.clear()
        self.make_election(incarnation=7, address='10.0.0.9:7400').check()
        election.check()
        self.assertEqual(election.ready_at, {})

    def test_groups_are_kept_if_their_new_records_get_no_reply(self) -> None:
        election = self.make_holder_past_its_lease()
        ready_at = dict(election.ready_at)
        self.store.is_unreachable = False
        self.store.remaining_seconds = 0.0
        self.store.drops_next_reply = True
        election.check()
        election.check()
        self.assertEqual(election.ready_at, ready_at)

    def test_draining_node_takes_no_group(self) -> None:
        election = self.make_election(incarnation=5, leaving=True)
        election.started_at = 0.0
        election.check()
        self.assertEqual(self.holder.ready_at, {})
