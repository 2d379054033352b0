"""Graceful shutdown of nodes and upstreams under load.

Accepted requests must be answered, and a draining upstream must get no new
ones once the withdrawal has spread.
"""

from __future__ import annotations

import http.client
import threading
import time
import unittest
from collections import Counter

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import is_open, wait_until
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, small_spec, wide_spec

MAX_WITHDRAWAL_SECONDS = 3.0
GRACE_SECONDS = 8.0
LONG_ROUTE = 'route POST /long service=holds public deadline=60s  # asked by me'
STORE_DELAY_SECONDS = 2.0
LONG_REQUEST_INTERVAL = 20
LONG_WORK_SECONDS = 2.5


class CallerPool:
    """Callers that honour `Connection: close` and try the next node."""

    def __init__(self, fleet: Fleet, count: int, work_seconds: float) -> None:
        self.fleet = fleet
        self.work_seconds = work_seconds
        self.is_over = threading.Event()
        self.responses: list[Response] = []
        self.closed_addresses: set[str] = set()
        self.threads = [
            threading.Thread(target=self._run_caller, args=(number,))
            for number in range(count)
        ]

    def __enter__(self) -> CallerPool:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def cut_off(self) -> list[Response]:
        """Return the accepted requests that got no response."""
        return [
            response
            for response in self.responses
            if response.status == 0
            and 'ConnectionRefused' not in response.headers['error']
        ]

    def _run_caller(self, number: int) -> None:
        caller = Caller(KEYS['dealers'])
        turn = number
        while not self.is_over.is_set():
            turn += 1
            node = self.fleet.nodes[turn % len(self.fleet.nodes)]
            if node.callers in self.closed_addresses:
                time.sleep(0.01)
                continue
            self._send_until_closed(node, caller)

    def _choose_work_seconds(self) -> float:
        is_long = len(self.responses) % LONG_REQUEST_INTERVAL == 0
        return LONG_WORK_SECONDS if is_long else self.work_seconds

    def _send_until_closed(self, node: Node, caller: Caller) -> None:
        connection = http.client.HTTPConnection(node.callers, timeout=30)
        for _ in range(5):
            response = caller.send_on(
                connection,
                'POST',
                '/notes',
                body=b'x',
                headers={'X-Work': str(self._choose_work_seconds())},
            )
            self.responses.append(response)
            if response.headers.get('connection') == 'close':
                self.closed_addresses.add(node.callers)
            if response.status == 0 or node.callers in self.closed_addresses:
                break
        connection.close()


class ShutdownTest(unittest.TestCase):
    """Shut down nodes and upstreams while callers send requests."""

    def test_rolling_restart_of_the_fleet_cuts_off_nothing(self) -> None:
        with running_fleet(small_spec(quiet=0.7)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            with CallerPool(fleet, 12, 0.05) as pool:
                for node in fleet.nodes:
                    time.sleep(0.5)
                    node.process.terminate()
                    self.assertEqual(node.process.wait(40), 0)
                    node.process.restart()
                    self._wait_ready(node)
                    pool.closed_addresses.discard(node.callers)
            self.assertEqual(pool.cut_off(), [])
            self.assertGreater(len(pool.responses), 100)
            failed = [
                response
                for response in pool.responses
                if response.status not in {0, 200}
            ]
            self.assertLessEqual(
                len(failed),
                len(pool.responses) / 100,
                Counter(response.reason for response in failed),
            )
            for response in failed:
                self.assertEqual(response.outcome, 'not-run', response)

    def test_node_exits_within_its_grace_period_despite_running_work(
        self,
    ) -> None:
        with running_fleet(small_spec(grace=GRACE_SECONDS)) as fleet:
            fleet.accept(make_rules(LONG_ROUTE))
            fleet.wait_for_rate_holders()
            node = fleet.nodes[0]
            responses: list[Response] = []

            def call() -> None:
                caller = Caller(KEYS['dealers'])
                response = caller.send(
                    node.callers,
                    'POST',
                    '/long',
                    headers={'X-Work': '30'},
                )
                responses.append(response)

            calling_thread = threading.Thread(target=call)
            calling_thread.start()
            time.sleep(0.5)
            terminated_at = time.monotonic()
            node.process.terminate()
            self.assertEqual(node.process.wait(20), 0)
            elapsed = time.monotonic() - terminated_at
            calling_thread.join()
            self.assertLess(elapsed, GRACE_SECONDS)
            self.assertNotEqual(responses[0].status, 0, responses)

    def test_node_shuts_down_gracefully_during_startup(self) -> None:
        with running_fleet(small_spec()) as fleet:
            node = fleet.nodes[0]
            node.process.kill()
            fleet.set_platform(delay=STORE_DELAY_SECONDS)
            node.process.restart()
            wait_until(
                lambda: is_open(node.callers), 'port for callers of the node'
            )
            node.process.terminate()
            self.assertEqual(node.process.wait(40), 0)

    def test_upstream_that_leaves_finishes_its_requests(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            with CallerPool(fleet, 9, 0.2) as pool:
                time.sleep(0.5)
                leaving = fleet.upstreams[1]
                left_at = time.time()
                leaving.process.terminate()
                self.assertEqual(leaving.process.wait(20), 0)
                time.sleep(0.5)
            self.assertEqual(pool.cut_off(), [])
            for response in pool.responses:
                self.assertEqual(response.status, 200, response)
            late = [
                run
                for run in fleet.ledger()
                if run.upstream == leaving.address
                and run.at > left_at + MAX_WITHDRAWAL_SECONDS
            ]
            self.assertEqual(late, [])

    def test_draining_upstream_gets_no_new_requests_despite_a_one_way_cut(
        self,
    ) -> None:
        with running_fleet(wide_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            owner = fleet.nodes[0]
            leaving = next(
                one for one in owner.upstreams if one.service == 'holds'
            )
            fleet.cut([owner], fleet.nodes[1:])
            with CallerPool(fleet, 12, 0.02):
                time.sleep(0.5)
                leaving.behave(state='leaving')
                left_at = time.time()
                time.sleep(2 * MAX_WITHDRAWAL_SECONDS)
            late = [
                run
                for run in fleet.ledger()
                if run.upstream == leaving.address
                and run.at > left_at + MAX_WITHDRAWAL_SECONDS
            ]
            self.assertEqual(late, [])

    def test_owner_refuses_requests_of_an_ingress_with_a_stale_view(
        self,
    ) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            ingress, owner, _ = fleet.nodes
            for node in (ingress, fleet.nodes[2]):
                for upstream in node.upstreams:
                    upstream.process.kill()
            leaving = next(
                one for one in owner.upstreams if one.service == 'holds'
            )
            wait_until(
                lambda: self._note(ingress, 'before').status == 200,
                'path to the only upstream',
            )
            ingress.process.freeze()
            leaving.behave(state='leaving')
            time.sleep(MAX_WITHDRAWAL_SECONDS + 1)
            responses: list[Response] = []
            threads = [
                threading.Thread(
                    target=lambda: responses.append(
                        self._note(ingress, 'after')
                    ),
                )
                for _ in range(6)
            ]
            for thread in threads:
                thread.start()
            time.sleep(0.3)
            ingress.process.resume()
            for thread in threads:
                thread.join()
            self.assertEqual(fleet.runs_of('after'), [], responses)
            for response in responses:
                self.assertEqual(response.outcome, 'not-run', response)

    def _note(self, node: Node, operation: str) -> Response:
        return Caller().send(
            node.callers,
            'POST',
            '/open-notes',
            body=b'x',
            headers={'X-Operation': operation},
        )

    def _wait_ready(self, node: Node) -> None:
        wait_until(
            lambda: node.client.get_json('/status')['freshness'] == 'fresh',
            'restarted node',
        )
