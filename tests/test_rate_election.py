"""The rate election with a fake in place of the platform."""

from __future__ import annotations

import unittest
from time import monotonic
from types import SimpleNamespace
from typing import Any

from kumquathold_core.identity import NodeRecord
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.rate_election import RateElection
from kumquathold_node.store import (
    Lease,
    ReadResult,
    StoredValue,
    StoreUnavailable,
    SwapResult,
    Write,
)

ADDRESS = '10.0.0.1:7400'
TERM = 100.0
GROUPS = 4


class FakePlatform:
    """Keeps values in memory; may lose the reply to a swap."""

    def __init__(self) -> None:
        self.stored: dict[str, StoredValue] = {}
        self.revision = 1
        self.loses_reply = False
        self.is_away = False
        self.left = TERM

    def grant_lease(self, seconds: float) -> Lease:
        """Grant the first lease."""
        return Lease(id=7, seconds=seconds)

    def keep_alive(self, lease: int) -> Lease:
        """Prolong it."""
        if self.is_away:
            raise StoreUnavailable('away')
        return Lease(id=lease, seconds=self.left)

    def read_prefix(self, prefix: str) -> ReadResult:
        """Read all."""
        found = [one for key, one in self.stored.items() if key >= prefix]
        return ReadResult(self.revision, tuple(found))

    def swap(self, writes: list[Write]) -> SwapResult:
        """Write all or nothing, and perhaps keep silent about it."""
        for write in writes:
            known = self.stored.get(write.key)
            if (known.mod_revision if known else 0) != write.expected_revision:
                return SwapResult(
                    succeeded=False, revision=self.revision, found=()
                )
        self.revision += 1
        for write in writes:
            value = write.value or b''
            self.stored[write.key] = StoredValue(
                write.key,
                value,
                self.revision,
                self.revision,
            )
        if self.loses_reply:
            self.loses_reply = False
            raise StoreUnavailable('reply lost')
        return SwapResult(succeeded=True, revision=self.revision, found=())


class HolderTask:
    """Goes by what it is told at once."""

    def __init__(self) -> None:
        self.ready_at: dict[int, float] = {}
        self.valid_until = 0.0

    def post(self, changed: Any) -> None:
        """Take new groups."""
        self.ready_at = changed.ready_at
        self.valid_until = changed.valid_until
        changed.done.set_result(None)


class RateElectionTest(unittest.TestCase):
    """Groups are taken once, and none is left without a holder."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.holder = HolderTask()

    def test_free_groups_are_taken(self) -> None:
        self._election(incarnation=5).check()
        self.assertEqual(set(self.holder.ready_at), set(range(GROUPS)))

    def test_lost_reply_leaves_no_group_without_a_holder(self) -> None:
        election = self._election(incarnation=5)
        self.platform.loses_reply = True
        election.check()
        self.assertEqual(self.holder.ready_at, {})
        election.read_at = -TERM
        election.check()
        self.assertEqual(set(self.holder.ready_at), set(range(GROUPS)))

    def test_later_process_on_the_address_takes_over(self) -> None:
        self._election(incarnation=5).check()
        self.holder.ready_at = {}
        self._election(incarnation=6).check()
        self.assertEqual(set(self.holder.ready_at), set(range(GROUPS)))

    def test_groups_of_another_address_are_left_alone(self) -> None:
        self._election(incarnation=5, address='10.0.0.9:7400').check()
        self.holder.ready_at = {}
        self._election(incarnation=6).check()
        self.assertEqual(self.holder.ready_at, {})

    def test_heard_holder_grants_on_while_the_store_is_away(self) -> None:
        election = self._holding_past_its_term()
        election.check()
        self.assertGreater(self.holder.valid_until, monotonic())

    def test_holder_that_paused_waits_for_the_store(self) -> None:
        election = self._holding_past_its_term()
        election.checked_at -= TERM
        election.check()
        self.assertEqual(self.holder.valid_until, 0.0)

    def test_lapsed_lease_is_taken_anew_with_the_same_buckets(self) -> None:
        election = self._holding_past_its_term()
        ready_at = dict(election.ready_at)
        self.platform.is_away = False
        self.platform.left = 0.0
        self.platform.stored.clear()
        election.check()
        self.assertEqual(election.ready_at, ready_at)
        self.assertGreater(self.holder.valid_until, monotonic())

    def test_lapsed_lease_of_a_succeeded_holder_is_given_up(self) -> None:
        election = self._holding_past_its_term()
        self.platform.is_away = False
        self.platform.left = 0.0
        self.platform.stored.clear()
        self._election(incarnation=7, address='10.0.0.9:7400').check()
        election.check()
        self.assertEqual(election.ready_at, {})

    def _holding_past_its_term(self) -> RateElection:
        """A holder whose last renewal is older than its lease."""
        election = self._election(incarnation=5)
        election.check()
        self.platform.is_away = True
        election.kept_alive_at -= 2 * TERM
        self.holder.valid_until = 0.0
        return election

    def test_node_that_leaves_last_takes_nothing(self) -> None:
        election = self._election(incarnation=5, leaving=True)
        election.started_at = 0.0
        election.check()
        self.assertEqual(self.holder.ready_at, {})

    def _election(
        self,
        incarnation: int,
        address: str = ADDRESS,
        *,
        leaving: bool = False,
    ) -> RateElection:
        own = NodeRecord(
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
        kernel = Kernel()
        kernel.register('store', self.platform)
        kernel.register('metrics', Metrics(None))
        kernel.register('transport', SimpleNamespace(incarnation=incarnation))
        kernel.register('rate-holder', SimpleNamespace(task=self.holder))
        kernel.register(
            'membership',
            SimpleNamespace(
                view=SimpleNamespace(nodes=(own,), holders={}),
                table=SimpleNamespace(own=own),
                task=SimpleNamespace(post=lambda _: None),
            ),
        )
        settings = SimpleNamespace(
            peer=address,
            region='north',
            regions=('north', 'east'),
            rate_groups=GROUPS,
            rate_term=TERM,
            rate_standing=10 * TERM,
        )
        return RateElection(kernel, settings)  # type: ignore[arg-type]
