"""Tests that rate and burst hold in any window over all nodes, under faults."""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_core.token_bucket import rate_group_of
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.load import Stream, StreamResult, run_load
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, wide_spec

RATE = 20
BURST = 20
HOT_RATE = 150
CLOCK_TOLERANCE_SECONDS = 0.05


def compute_max_excess(times: list[float], rate: float, burst: int) -> float:
    """Return by how many requests the worst window exceeds the rate limit.

    The limit holds if the result is at most 0. A token bucket that starts
    full and is never overdrawn admits exactly the sequences that stay within
    the limit in every window, so one pass over the times is enough.
    """
    tokens = float(burst)
    min_tokens = tokens
    last = times[0] if times else 0.0
    for at in sorted(times):
        tokens = min(burst, tokens + (at - last) * rate)
        last = at
        tokens -= 1
        min_tokens = min(min_tokens, tokens)
    return -min_tokens


def list_caller_addresses(fleet: Fleet) -> tuple[str, ...]:
    """Return the addresses at which the nodes take callers' requests."""
    return tuple(node.callers for node in fleet.nodes)


def make_hot_stream(fleet: Fleet, path: str = '/diffs/{n}') -> Stream:
    """Return a stream at several times its workspace's rate, to all nodes."""
    return Stream(
        'hot',
        KEYS['small'],
        list_caller_addresses(fleet),
        HOT_RATE,
        path=path,
        headers={'X-Operation': 'hot-{n}', 'X-Work': '0.001'},
        workers=64,
    )


def list_hot_run_times(fleet: Fleet) -> list[float]:
    """Return the times at which the hot workspace's requests ran."""
    return [
        run.at for run in fleet.ledger() if run.operation.startswith('hot-')
    ]


def find_hot_rate_holder(fleet: Fleet) -> Node:
    """Return the first node that holds the hot workspace's rate group."""
    status = fleet.client.get_json('/status')
    group = rate_group_of('small', fleet.spec.rate_groups)
    holder_addresses = {
        member['address']
        for member in status['nodes']
        if group in member['rate_groups']
    }
    return next(node for node in fleet.nodes if node.peer in holder_addresses)


class RatesTest(unittest.TestCase):
    """Each fault occurs while a workspace sends far above its rate."""

    def assert_limit_held(self, fleet: Fleet) -> None:
        times = list_hot_run_times(fleet)
        tolerance = RATE * CLOCK_TOLERANCE_SECONDS + 1
        self.assertGreater(len(times), RATE)
        self.assertLessEqual(compute_max_excess(times, RATE, BURST), tolerance)

    def run_hot_load(
        self, fleet: Fleet, seconds: float, *faults: object
    ) -> StreamResult:
        """Run the hot stream while another thread injects the faults."""

        def inject_faults() -> None:
            for fault in faults:
                fault()  # type: ignore[operator]

        thread = threading.Thread(target=inject_faults)
        thread.start()
        (result,) = run_load([make_hot_stream(fleet)], seconds)
        thread.join()
        return result

    def test_limit_holds_without_faults(self) -> None:
        with running_fleet(wide_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            result = self.run_hot_load(fleet, 6)
            self.assert_limit_held(fleet)
            self.assertGreater(result.answered, RATE * 6 * 0.7)

    def test_limit_holds_when_the_holder_restarts(self) -> None:
        with running_fleet(wide_spec(rate_term=3.0)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            holder = find_hot_rate_holder(fleet)
            self.run_hot_load(
                fleet,
                9,
                lambda: time.sleep(2),
                holder.process.kill,
                lambda: time.sleep(1),
                holder.process.restart,
            )
            self.assert_limit_held(fleet)

    def test_limit_holds_when_the_holder_pauses_past_its_lease(self) -> None:
        with running_fleet(wide_spec(rate_term=2.0)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            holder = find_hot_rate_holder(fleet)
            self.run_hot_load(
                fleet,
                12,
                lambda: time.sleep(2),
                holder.process.freeze,
                lambda: time.sleep(5),
                holder.process.resume,
            )
            self.assert_limit_held(fleet)

    def test_limit_holds_in_a_partition_without_the_store(self) -> None:
        with running_fleet(wide_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            east = fleet.in_region('east')
            rest = [node for node in fleet.nodes if node not in east]

            def partition() -> None:
                fleet.cut(east, rest)
                fleet.cut(rest, east)

            self.run_hot_load(
                fleet,
                10,
                lambda: time.sleep(1),
                lambda: fleet.set_platform(down=True),
                lambda: time.sleep(1),
                partition,
                lambda: time.sleep(4),
                fleet.heal,
                fleet.set_platform,
            )
            self.assert_limit_held(fleet)

    def test_workspaces_within_their_rate_are_not_refused(self) -> None:
        with running_fleet(wide_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            time.sleep(BURST / RATE)
            addresses = list_caller_addresses(fleet)
            steady = [
                Stream(
                    'dealers', KEYS['dealers'], addresses, 60, path='/diffs/1'
                ),
                Stream('small', KEYS['small'], addresses, 14, path='/diffs/'),
            ]
            for result in run_load(steady, 10):
                self.assertEqual(dict(result.refused), {}, result.name)
                self.assertEqual(result.answered, result.sent)


class MaxExcessTest(unittest.TestCase):
    """The check accepts a sequence at the limit and detects an excess."""

    def test_one_request_above_the_limit_is_detected(self) -> None:
        times = [0.0] * 20 + [0.05 * step for step in range(1, 41)]
        self.assertLessEqual(compute_max_excess(times, 20, 20), 1e-9)
        self.assertGreater(compute_max_excess([*times, 0.5], 20, 20), 0.9)
