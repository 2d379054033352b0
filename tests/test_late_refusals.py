"""Refusals that an upstream writes once more on a kept connection."""

from __future__ import annotations

import itertools
import socket
import unittest
from contextlib import suppress

from kumquathold_core.forwarding import Outcome
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.upstream_calls import CallFailed, UpstreamCalls
from tests.test_upstream_trouble import make_response, make_work, raw_upstream

CALLER_ID = 'X-Caller-Id'
CALLER_DIALECT = UpstreamDialect(
    request_id=CALLER_ID,
    passes_request_id=True,
    reuses_for_non_idempotent=True,
)


def make_refusal(caller_id: str) -> bytes:
    """Return a refusal, with a caller's id unless that is empty."""
    name = f'{CALLER_ID}: {caller_id}\r\n' if caller_id else ''
    head = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    return f'{head}Kumquathold-Outcome: not-run\r\n{name}\r\n'.encode()


class LateRefusalTest(unittest.TestCase):
    """A late copy of a refusal never says of the next request it has not run.

    The upstream answers a first request, runs a second one that comes on the
    same connection, and writes a refusal there before its response.
    """

    def call_second(self, first: bytes, copy: bytes, second_id: str) -> Outcome:
        """Return the outcome of the second request."""
        served = itertools.count(1)
        response = make_response('', b'ran').replace(
            b'\r\n\r\n', f'\r\n{CALLER_ID}: {second_id}\r\n\r\n'.encode()
        )

        def serve(connection: socket.socket) -> None:
            number_here = itertools.count(1)
            while connection.recv(65536):
                is_reused = next(number_here) > 1
                late = copy if is_reused else b''
                connection.sendall(
                    first if next(served) == 1 else late + response
                )

        with raw_upstream(serve) as upstream:
            calls = UpstreamCalls(upstream.address, dialect=CALLER_DIALECT)
            with suppress(CallFailed):
                calls.run(make_work(1, headers=((CALLER_ID, 'a'),)), b'')
            try:
                calls.run(make_work(2, headers=((CALLER_ID, second_id),)), b'')
            except CallFailed as failed:
                return failed.outcome
            return Outcome.ran

    def test_refusal_of_the_same_request_sent_once_more(self) -> None:
        refusal = make_refusal('a')
        outcome = self.call_second(refusal, refusal, 'a')
        self.assertNotEqual(outcome, Outcome.not_run)

    def test_refusal_of_an_earlier_request(self) -> None:
        refusal = make_refusal('a')
        outcome = self.call_second(refusal, refusal, 'b')
        self.assertNotEqual(outcome, Outcome.not_run)

    def test_refusal_without_an_id(self) -> None:
        refusal = make_refusal('a')
        outcome = self.call_second(refusal, make_refusal(''), 'b')
        self.assertNotEqual(outcome, Outcome.not_run)


if __name__ == '__main__':
    unittest.main()
