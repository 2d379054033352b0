"""Leaving: nothing is cut off, and nothing new comes after a few seconds."""

from __future__ import annotations

import http.client
import threading
import time
import unittest
from collections import Counter

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import (
    Fleet,
    Node,
    is_open,
    running_fleet,
    wait_until,
)
from tests.support import KEYS, make_rules, small_spec, wide_spec

LEAVING_BOUND_SECONDS = 3.0
GRACE_SECONDS = 8.0
LONG_ROUTE = 'route POST /long service=holds public deadline=60s  # asked by me'
SLOW_STORE_SECONDS = 2.0
LONG_EVERY = 20
LONG_SECONDS = 2.5


class Visitors:
    """Callers that heed `Connection: close` and go elsewhere when refused."""

    def __init__(self, fleet: Fleet, count: int, work: float) -> None:
        self.fleet = fleet
        self.work = work
        self.is_over = threading.Event()
        self.answers: list[Response] = []
        self.shut: set[str] = set()
        self.threads = [
            threading.Thread(target=self._visit, args=(number,))
            for number in range(count)
        ]

    def __enter__(self) -> Visitors:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def cut_off(self) -> list[Response]:
        """Requests that were taken and then got no answer."""
        return [
            answer
            for answer in self.answers
            if answer.status == 0
            and 'ConnectionRefused' not in answer.headers['error']
        ]

    def _visit(self, number: int) -> None:
        caller = Caller(KEYS['dealers'])
        turn = number
        while not self.is_over.is_set():
            turn += 1
            node = self.fleet.nodes[turn % len(self.fleet.nodes)]
            if node.callers in self.shut:
                time.sleep(0.01)
                continue
            self._stay_at(node, caller)

    def _draw_work(self) -> float:
        is_long = len(self.answers) % LONG_EVERY == 0
        return LONG_SECONDS if is_long else self.work

    def _stay_at(self, node: Node, caller: Caller) -> None:
        connection = http.client.HTTPConnection(node.callers, timeout=30)
        for _ in range(5):
            answer = caller.send_on(
                connection,
                'POST',
                '/notes',
                body=b'x',
                headers={'X-Work': str(self._draw_work())},
            )
            self.answers.append(answer)
            if answer.headers.get('connection') == 'close':
                self.shut.add(node.callers)
            if answer.status == 0 or node.callers in self.shut:
                break
        connection.close()


class ShutdownTest(unittest.TestCase):
    """Nodes and upstreams leave under load."""

    def test_rolling_restart_of_the_fleet_cuts_off_nothing(self) -> None:
        with running_fleet(small_spec(quiet=0.7)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            with Visitors(fleet, 12, 0.05) as visitors:
                for node in fleet.nodes:
                    time.sleep(0.5)
                    node.process.terminate()
                    self.assertEqual(node.process.wait(40), 0)
                    node.process.restart()
                    self._wait_ready(node)
                    visitors.shut.discard(node.callers)
            self.assertEqual(visitors.cut_off(), [])
            self.assertGreater(len(visitors.answers), 100)
            failed = [
                answer
                for answer in visitors.answers
                if answer.status not in {0, 200}
            ]
            self.assertLessEqual(
                len(failed),
                len(visitors.answers) / 100,
                Counter(answer.reason for answer in failed),
            )
            for answer in failed:
                self.assertEqual(answer.outcome, 'not-run', answer)

    def test_node_is_gone_within_its_grace_though_work_goes_on(self) -> None:
        with running_fleet(small_spec(grace=GRACE_SECONDS)) as fleet:
            fleet.accept(make_rules(LONG_ROUTE))
            fleet.wait_for_rate_holders()
            node = fleet.nodes[0]
            answers: list[Response] = []

            def call() -> None:
                caller = Caller(KEYS['dealers'])
                answer = caller.send(
                    node.callers,
                    'POST',
                    '/long',
                    headers={'X-Work': '30'},
                )
                answers.append(answer)

            calling = threading.Thread(target=call)
            calling.start()
            time.sleep(0.5)
            asked_at = time.monotonic()
            node.process.terminate()
            self.assertEqual(node.process.wait(20), 0)
            took = time.monotonic() - asked_at
            calling.join()
            self.assertLess(took, GRACE_SECONDS)
            self.assertNotEqual(answers[0].status, 0, answers)

    def test_node_that_still_starts_leaves_gracefully(self) -> None:
        with running_fleet(small_spec()) as fleet:
            node = fleet.nodes[0]
            node.process.kill()
            fleet.set_platform(delay=SLOW_STORE_SECONDS)
            node.process.restart()
            wait_until(lambda: is_open(node.callers), 'door of the node')
            node.process.terminate()
            self.assertEqual(node.process.wait(40), 0)

    def test_upstream_that_leaves_finishes_its_requests(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            with Visitors(fleet, 9, 0.2) as visitors:
                time.sleep(0.5)
                leaving = fleet.upstreams[1]
                left_at = time.time()
                leaving.process.terminate()
                self.assertEqual(leaving.process.wait(20), 0)
                time.sleep(0.5)
            self.assertEqual(visitors.cut_off(), [])
            for answer in visitors.answers:
                self.assertEqual(answer.status, 200, answer)
            late = [
                run
                for run in fleet.ledger()
                if run.upstream == leaving.address
                and run.at > left_at + LEAVING_BOUND_SECONDS
            ]
            self.assertEqual(late, [])

    def test_leaving_upstream_gets_nothing_new_past_a_one_way_cut(
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
            with Visitors(fleet, 12, 0.02):
                time.sleep(0.5)
                leaving.behave(state='leaving')
                left_at = time.time()
                time.sleep(2 * LEAVING_BOUND_SECONDS)
            late = [
                run
                for run in fleet.ledger()
                if run.upstream == leaving.address
                and run.at > left_at + LEAVING_BOUND_SECONDS
            ]
            self.assertEqual(late, [])

    def test_ingress_with_an_old_view_is_refused_by_the_owner(self) -> None:
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
            time.sleep(LEAVING_BOUND_SECONDS + 1)
            answers: list[Response] = []
            threads = [
                threading.Thread(
                    target=lambda: answers.append(self._note(ingress, 'after')),
                )
                for _ in range(6)
            ]
            for thread in threads:
                thread.start()
            time.sleep(0.3)
            ingress.process.resume()
            for thread in threads:
                thread.join()
            self.assertEqual(fleet.runs_of('after'), [], answers)
            for answer in answers:
                self.assertEqual(answer.outcome, 'not-run', answer)

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
