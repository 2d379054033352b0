"""Threads of an ingress: a service short of slots leaves some to the others."""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_core.thread_shares import ThreadShares
from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, small_spec

THREADS = 48
LOOKUP_PATH = '/diffs/1'
NOTES_PATH = '/notes'
OK = 200
WORK_SECONDS = 3.0
FLEET_THREADS = 9
PRESSING_CALLERS = 24
LOOKUPS = 10
LOOKUP_SECONDS = 1.0
"""Far below the 3 s for which each pressing request holds a thread."""


class ShareTest(unittest.TestCase):
    """What services may hold of the threads."""

    def press(self, shares: ThreadShares, *services: str) -> dict[str, int]:
        """Let services enter in turn as often as they may."""
        is_over = False
        while not is_over:
            entered = [shares.enter(one) for one in services]
            is_over = not any(entered)
        return dict(shares.held)

    def test_service_that_presses_leaves_some_free(self) -> None:
        shares = ThreadShares(THREADS)
        self.assertEqual(self.press(shares, 'a'), {'a': 32})
        self.assertTrue(shares.enter('b'))

    def test_services_that_press_share_evenly_and_leave_some_free(self) -> None:
        shares = ThreadShares(THREADS)
        held = self.press(shares, 'a', 'b', 'c')
        self.assertEqual(len(set(held.values())), 1)
        self.assertTrue(shares.enter('d'))

    def test_nested_calls_are_refused_last_and_leave_some_free(self) -> None:
        shares = ThreadShares(THREADS)
        self.press(shares, 'a')
        entered = [shares.enter('a', is_nested=True) for _ in range(THREADS)]
        self.assertFalse(entered[-1])
        self.assertEqual(shares.held, {'a': 42})
        self.assertTrue(shares.enter('b'))

    def test_ended_request_makes_room(self) -> None:
        shares = ThreadShares(THREADS)
        self.press(shares, 'a')
        self.assertFalse(shares.enter('a'))
        shares.leave('a')
        self.assertTrue(shares.enter('a'))

    def test_single_thread_serves(self) -> None:
        shares = ThreadShares(1)
        self.assertTrue(shares.enter('a'))
        shares.leave('a')
        self.assertEqual(shares.held, {})


class PressedNodeTest(unittest.TestCase):
    """One service is short of slots at a node with few threads."""

    def test_requests_to_an_idle_service_are_answered(self) -> None:
        """Guards against requests that wait for a thread until they are late.

        Those of the pressing service wait in the queues of their owners, each
        on a thread of the node.
        """
        with running_fleet(small_spec(threads=FLEET_THREADS, slots=1)) as fleet:
            fleet.accept(make_rules())
            node = fleet.nodes[0]
            wait_until(
                lambda: send(node, LOOKUP_PATH).status == OK, 'idle service'
            )
            wait_until(
                lambda: send(node, NOTES_PATH).status == OK, 'other service'
            )
            pressing = [
                threading.Thread(
                    target=send, args=(node, NOTES_PATH, WORK_SECONDS)
                )
                for _ in range(PRESSING_CALLERS)
            ]
            for thread in pressing:
                thread.start()
            time.sleep(WORK_SECONDS / 4)
            slowest = 0.0
            for _ in range(LOOKUPS):
                started_at = time.monotonic()
                status = send(node, LOOKUP_PATH).status
                slowest = max(slowest, time.monotonic() - started_at)
                self.assertEqual(status, OK)
            for thread in pressing:
                thread.join()
        self.assertLess(slowest, LOOKUP_SECONDS)


def send(node: Node, path: str, work: float = 0.001) -> Response:
    """Send a request that takes an upstream `work` seconds."""
    method = 'POST' if path == NOTES_PATH else 'GET'
    headers = {
        'X-Work': str(work),
        'Authorization': f'Bearer {KEYS["dealers"]}',
    }
    return Caller().send(node.callers, method, path, headers=headers)


if __name__ == '__main__':
    unittest.main()
