"""Requests that are known to crash upstreams, after a restart of a node."""

from __future__ import annotations

import time
import unittest

from kumquathold_core.crash_tracker import REFUSAL_SECONDS, CrashTracker
from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, small_spec

FINGERPRINT = b'f' * 16
SYNC_SECONDS = 1.0


class KnownCrashesTest(unittest.TestCase):
    """What is told of a tracker's records."""

    def test_records_are_listed_by_upstream_with_their_age(self) -> None:
        tracker = CrashTracker()
        tracker.record_crash(FINGERPRINT, 'u', 10.0)
        tracker.record_crash(FINGERPRINT, 'v', 12.0)
        crashes = tracker.list_crashes(15.0)
        self.assertEqual({one.upstream for one in crashes}, {'u', 'v'})
        for one in crashes:
            self.assertEqual((one.fingerprint, one.age), (FINGERPRINT, 3.0))
        self.assertEqual(tracker.list_crashes(12.0 + REFUSAL_SECONDS), [])

    def test_older_report_does_not_shorten_a_record(self) -> None:
        tracker = CrashTracker()
        tracker.record_crash(FINGERPRINT, 'u', 10.0)
        tracker.record_crash(FINGERPRINT, 'v', 2.0)
        self.assertTrue(tracker.is_refused(FINGERPRINT, 9.0 + REFUSAL_SECONDS))


class RestartTest(unittest.TestCase):
    """A node that starts anew is told what its peers know."""

    def test_poisonous_request_stays_stopped_after_a_restart(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            wait_until(
                lambda: send(fleet.nodes[0]).reason == 'crashes-upstreams',
                'refusal of the request',
            )
            runs = len(fleet.runs_of('poison'))
            survivor = find_survivor(fleet)
            survivor.process.kill()
            survivor.process.restart()
            wait_until(
                lambda: send(survivor, '/diffs/1').status == 200,
                'restarted node',
            )
            time.sleep(SYNC_SECONDS)
            response = send(survivor)
            self.assertEqual(response.reason, 'crashes-upstreams', response)
            self.assertEqual(len(fleet.runs_of('poison')), runs)


def send(node: Node, path: str = '/diffs/poison') -> Response:
    """Send a request to a node."""
    return Caller(KEYS['dealers']).send(
        node.callers,
        'GET',
        path,
        headers={'X-Operation': path.rpartition('/')[2]},
    )


def find_survivor(fleet: Fleet) -> Node:
    """Return a node beside which no upstream was crashed."""
    crashed = {run.upstream for run in fleet.runs_of('poison')}
    return next(
        node
        for node in fleet.nodes
        if not crashed & {one.address for one in node.upstreams}
    )


if __name__ == '__main__':
    unittest.main()
