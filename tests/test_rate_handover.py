"""Two nodes that hold one rate group in turn: only one of them acts."""

from __future__ import annotations

import time
import unittest
from concurrent.futures import Future
from time import monotonic
from unittest import mock

from kumquathold_core import holder_validity, member_table
from kumquathold_node import heartbeat_tracker, rate_holder
from kumquathold_node.process_clock import read_boot_clock
from kumquathold_node.rate_holder import HoldGroupsCommand
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Node
from tests import test_rate_election, test_rate_holder, test_rates_fleet
from tests.support import make_rules, wide_spec
from tests.test_rates_fleet import compute_max_excess, find_hot_rate_holder

NOW = 6.0
TERM_SECONDS = 2.0
SUSPENDED_SECONDS = 60.0
OPEN_PATH = '/hot/{n}'
OPEN_ROUTE = 'route GET /hot/* service=listings stale=serve  # asked by tests'


class QuorumTest(unittest.TestCase):
    """A holder past its lease counts on most of its region to hear it."""

    def test_it_is_as_old_as_the_answer_that_makes_the_majority(self) -> None:
        for answered_at, expected in (
            ([], NOW),
            ([5.0], 5.0),
            ([5.0, 0.0], 5.0),
            ([5.0, 4.0, 3.0], 4.0),
            ([5.0, 4.0, 3.0, 2.0, 0.0], 3.0),
            ([5.0, 4.0, 0.0, 0.0, 0.0], 0.0),
        ):
            with self.subTest(answered_at):
                self.assertEqual(
                    holder_validity.find_quorum_time(answered_at, NOW),
                    expected,
                )

    def test_it_expires_before_a_peer_declares_the_holder_dead(self) -> None:
        declared_dead_after = (
            heartbeat_tracker.DIRECT_TIMEOUT_SECONDS
            + heartbeat_tracker.INDIRECT_TIMEOUT_SECONDS
            + member_table.SUSPICION_TIMEOUT_SECONDS
        )
        self.assertLess(holder_validity.CONTACT_SECONDS, declared_dead_after)


class ElectionTest(test_rate_election.ElectionStage):
    """The time until which a holder may grant."""

    def test_grants_end_with_the_lease(self) -> None:
        election = self.make_election(
            incarnation=5, standing=test_rate_election.LEASE_SECONDS
        )
        election.check()
        self.store.is_unreachable = True
        election.kept_alive_at -= test_rate_election.LEASE_SECONDS - 0.5
        lease_end = election.kept_alive_at + test_rate_election.LEASE_SECONDS
        election.check()
        self.assertLessEqual(self.holder.valid_until, lease_end)

    def test_holder_cut_off_from_its_region_stops_with_its_lease(self) -> None:
        for answering in (0, 1, 2, 3):
            election = self.make_holder_past_its_lease()
            self.add_peers(count=3, answering=answering)
            election.check()
            may_grant = self.holder.valid_until > read_boot_clock()
            with self.subTest(answering=answering):
                self.assertEqual(may_grant, answering >= 2)

    def test_holder_that_was_cut_off_waits_for_the_store(self) -> None:
        election = self.make_holder_past_its_lease()
        self.add_peers(count=1, answering=0)
        election.check()
        self.answered_at = dict.fromkeys(self.answered_at, monotonic())
        election.check()
        self.assertEqual(self.holder.valid_until, 0.0)
        self.store.is_unreachable = False
        election.check()
        self.assertGreater(self.holder.valid_until, read_boot_clock())

    def test_dead_nodes_of_the_region_count_as_cut_off(self) -> None:
        election = self.make_holder_past_its_lease()
        self.add_peers(count=1, answering=0)
        self.lost = tuple(self.peers)
        self.peers.clear()
        election.check()
        self.assertEqual(self.holder.valid_until, 0.0)


class SuspendedHolderTest(test_rate_holder.HolderStage):
    """A VM that is suspended stops the monotonic clock, but not the lease."""

    def test_nothing_is_granted_after_a_suspension_past_the_lease(self) -> None:
        now = read_boot_clock()
        self.holder.on_hold_groups(
            HoldGroupsCommand({0: now - 5}, now + TERM_SECONDS, Future())
        )
        self.assertEqual(self.request_grant().tokens, 3)
        with mock.patch.object(
            rate_holder,
            'read_boot_clock',
            lambda: read_boot_clock() + SUSPENDED_SECONDS,
        ):
            self.assertEqual(self.request_grant().tokens, 0)


class IsolatedHolderTest(unittest.TestCase):
    """A holder that only its own callers reach, beside its successor."""

    def test_limit_holds_when_the_holder_is_cut_off(self) -> None:
        spec = wide_spec(relayed=True, rate_term=TERM_SECONDS)
        with running_fleet(spec) as fleet:
            fleet.accept(make_rules(OPEN_ROUTE))
            fleet.wait_for_rate_holders()
            holder = find_hot_rate_holder(fleet)
            isolate(fleet, holder)
            wait_until(
                lambda: has_successor(fleet, holder), 'successor of the holder'
            )
            started_at = time.time()
            stream = test_rates_fleet.make_hot_stream(fleet, OPEN_PATH)
            test_rates_fleet.run_load([stream], 6)
            times = [
                at
                for at in test_rates_fleet.list_hot_run_times(fleet)
                if at >= started_at
            ]
            tolerance = (
                test_rates_fleet.RATE * test_rates_fleet.CLOCK_TOLERANCE_SECONDS
                + 1
            )
            excess = compute_max_excess(
                times, test_rates_fleet.RATE, test_rates_fleet.BURST
            )
            self.assertGreater(len(times), test_rates_fleet.RATE)
            self.assertLessEqual(excess, tolerance)


def isolate(fleet: Fleet, node: Node) -> None:
    """Cut a node off from the store and from all other nodes."""
    others = [one for one in fleet.nodes if one is not node]
    fleet.cut_store([node])
    fleet.cut([node], others)
    fleet.cut(others, [node])


def has_successor(fleet: Fleet, holder: Node) -> bool:
    """Whether another node of the region holds the groups of `holder`."""
    other = next(one for one in fleet.nodes if one is not holder)
    held = {
        group
        for member in other.client.get_json('/status')['nodes']
        if member['region'] == holder.vm.region
        and member['address'] != holder.peer
        for group in member['rate_groups']
    }
    return len(held) == fleet.spec.rate_groups


if __name__ == '__main__':
    unittest.main()
