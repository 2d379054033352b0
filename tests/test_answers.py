"""A caller gets the whole response to its own request."""

from __future__ import annotations

import hashlib
import threading
import unittest

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from tests.support import KEYS, make_rules, small_spec

MIB = 1024 * 1024
CALLERS = 24
REQUESTS_EACH = 40


def expected_body(operation: str, size: int) -> bytes:
    """Return the body that the stand-in upstream responds with."""
    seed = f'{operation}:{size}'.encode()
    return (hashlib.sha256(seed).digest() * (size // 32 + 1))[:size]


class AnswersTest(unittest.TestCase):
    """Large, concurrent, truncated and empty responses."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(
            running_fleet(small_spec(latency=0.001)),
        )
        cls.fleet.accept(make_rules())
        cls.fleet.wait_for_rate_holders()

    def test_eight_megabytes_travel_both_ways(self) -> None:
        for node in self.fleet.nodes:
            body = hashlib.sha256(node.peer.encode()).digest() * (MIB // 4)
            response = self._put(
                node.callers, f'big-{node.peer}', body, 8 * MIB
            )
            self.assertEqual(response.status, 200)
            self.assertEqual(len(body), 8 * MIB)
            expected = expected_body(f'big-{node.peer}', 8 * MIB)
            self.assertEqual(response.body, expected)
            runs = self.fleet.runs_of(f'big-{node.peer}')
            digest = hashlib.sha256(body).hexdigest()
            self.assertEqual(runs[0].body_digest, digest)

    def test_a_thousand_requests_get_their_own_answers(self) -> None:
        wrong: list[tuple[str, Response]] = []

        def call(caller_number: int) -> None:
            for number in range(REQUESTS_EACH):
                operation = f'own-{caller_number}-{number}'
                size = MIB if number % 13 == 0 else 100 + number
                node = self.fleet.nodes[(caller_number + number) % 3]
                response = self._put(node.callers, operation, b'x', size)
                if response.body != expected_body(operation, size):
                    wrong.append((operation, response))

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(wrong[:3], [])

    def test_answer_cut_short_by_the_upstream_is_not_passed_on(self) -> None:
        holds = [one for one in self.fleet.upstreams if one.service == 'holds']
        for upstream in holds:
            upstream.behave(cut_share=1.0)
        try:
            response = Caller(KEYS['dealers']).send(
                self.fleet.nodes[0].callers,
                'POST',
                '/notes',
                body=b'x',
            )
        finally:
            for upstream in holds:
                upstream.behave()
        self.assertEqual(response.status, 502, response)
        self.assertEqual(response.outcome, 'unknown')

    def test_head_and_empty_bodies(self) -> None:
        address = self.fleet.nodes[0].callers
        caller = Caller(KEYS['dealers'])
        head = caller.send(address, 'HEAD', '/diffs/1')
        self.assertEqual((head.status, head.body), (200, b''))
        self.assertGreater(int(head.headers['content-length']), 0)
        empty = caller.send(address, 'PUT', '/files/empty')
        self.assertEqual(empty.status, 200)

    def _put(
        self,
        address: str,
        operation: str,
        body: bytes,
        response_bytes: int,
    ) -> Response:
        return Caller(KEYS['dealers']).send(
            address,
            'PUT',
            f'/files/{operation}',
            body=body,
            headers={
                'X-Operation': operation,
                'X-Answer-Bytes': str(response_bytes),
            },
        )
