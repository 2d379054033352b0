"""Rate and burst hold over any window, across all nodes, under faults."""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_core.token_bucket import rate_group_of
from kumquathold_standins.fleet import Fleet, Node, running_fleet
from kumquathold_standins.load import Stream, StreamResult, run_load
from tests.support import KEYS, make_rules, wide_spec

RATE = 20
BURST = 20
HOT_RATE = 150
CLOCK_SLACK_SECONDS = 0.05


def worst_excess(times: list[float], rate: float, burst: int) -> float:
    """Most requests above what any window allows; at most 0 is right.

    A bucket that starts full and is never overdrawn admits exactly the
    sequences that stay within every window, so one pass tells.
    """
    level = float(burst)
    lowest = level
    last = times[0] if times else 0.0
    for at in sorted(times):
        level = min(burst, level + (at - last) * rate)
        last = at
        level -= 1
        lowest = min(lowest, level)
    return -lowest


def all_addresses(fleet: Fleet) -> tuple[str, ...]:
    """Callers' addresses of all nodes."""
    return tuple(node.callers for node in fleet.nodes)


def hot_stream(fleet: Fleet) -> Stream:
    """A workspace at several times its rate, through all nodes."""
    return Stream(
        'hot',
        KEYS['small'],
        all_addresses(fleet),
        HOT_RATE,
        path='/diffs/{n}',
        headers={'X-Operation': 'hot-{n}', 'X-Work': '0.001'},
        workers=64,
    )


def hot_times(fleet: Fleet) -> list[float]:
    """When the hot workspace's requests ran."""
    return [
        run.at for run in fleet.ledger() if run.operation.startswith('hot-')
    ]


def holder_of_small(fleet: Fleet) -> Node:
    """The first node that holds the hot workspace's group."""
    status = fleet.client.get_json('/status')
    group = rate_group_of('small', fleet.spec.rate_groups)
    holding = {
        one['address'] for one in status['nodes'] if group in one['rate_groups']
    }
    return next(node for node in fleet.nodes if node.peer in holding)


class RatesTest(unittest.TestCase):
    """Each fault comes while a hot workspace presses on."""

    def assert_strict(self, fleet: Fleet) -> None:
        times = hot_times(fleet)
        slack = RATE * CLOCK_SLACK_SECONDS + 1
        self.assertGreater(len(times), RATE)
        self.assertLessEqual(worst_excess(times, RATE, BURST), slack)

    def press(
        self, fleet: Fleet, seconds: float, *faults: object
    ) -> StreamResult:
        """Run the hot workspace while faults happen on another thread."""

        def happen() -> None:
            for fault in faults:
                fault()  # type: ignore[operator]

        thread = threading.Thread(target=happen)
        thread.start()
        (result,) = run_load([hot_stream(fleet)], seconds)
        thread.join()
        return result

    def test_calm_and_hot(self) -> None:
        with running_fleet(wide_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            result = self.press(fleet, 6)
            self.assert_strict(fleet)
            self.assertGreater(result.answered, RATE * 6 * 0.7)

    def test_holder_killed_and_restarted(self) -> None:
        with running_fleet(wide_spec(rate_term=3.0)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            holder = holder_of_small(fleet)
            self.press(
                fleet,
                9,
                lambda: time.sleep(2),
                holder.process.kill,
                lambda: time.sleep(1),
                holder.process.restart,
            )
            self.assert_strict(fleet)

    def test_holder_paused_past_its_lease(self) -> None:
        with running_fleet(wide_spec(rate_term=2.0)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            holder = holder_of_small(fleet)
            self.press(
                fleet,
                12,
                lambda: time.sleep(2),
                holder.process.freeze,
                lambda: time.sleep(5),
                holder.process.resume,
            )
            self.assert_strict(fleet)

    def test_region_cut_and_platform_down(self) -> None:
        with running_fleet(wide_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            east = fleet.in_region('east')
            rest = [node for node in fleet.nodes if node not in east]

            def cut() -> None:
                fleet.cut(east, rest)
                fleet.cut(rest, east)

            self.press(
                fleet,
                10,
                lambda: time.sleep(1),
                lambda: fleet.set_platform(down=True),
                lambda: time.sleep(1),
                cut,
                lambda: time.sleep(4),
                fleet.heal,
                fleet.set_platform,
            )
            self.assert_strict(fleet)

    def test_workspaces_within_their_rate_are_not_refused(self) -> None:
        with running_fleet(wide_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            time.sleep(BURST / RATE)
            addresses = all_addresses(fleet)
            steady = [
                Stream(
                    'dealers', KEYS['dealers'], addresses, 60, path='/diffs/1'
                ),
                Stream('small', KEYS['small'], addresses, 14, path='/diffs/'),
            ]
            for result in run_load(steady, 10):
                self.assertEqual(dict(result.refused), {}, result.name)
                self.assertEqual(result.answered, result.sent)


class WorstExcessTest(unittest.TestCase):
    """The check itself sees what it must."""

    def test_agrees_with_every_window(self) -> None:
        times = [0.0] * 20 + [0.05 * step for step in range(1, 41)]
        self.assertLessEqual(worst_excess(times, 20, 20), 1e-9)
        self.assertGreater(worst_excess([*times, 0.5], 20, 20), 0.9)
