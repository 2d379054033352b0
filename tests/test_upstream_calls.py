"""Tests of persistent connections to upstreams that close them.

A request on a stale connection is sent again, unless it may have run.
"""

from __future__ import annotations

import re
import socket
import threading
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from kumquathold_core.forwarding import Outcome
from kumquathold_node.upstream_calls import CallFailed, UpstreamCalls
from tests.test_jobs import WORK

RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n'
    b'Kumquathold-Request: %s\r\n\r\nok'
)
ID_PATTERN = re.compile(rb'Kumquathold-Request: (\S+)')
RUN_SECONDS = 0.3
DEADLINE_SECONDS = 5.0


class ClosingUpstream:
    """Upstream that closes a persistent connection on its second request."""

    def __init__(self, run_seconds: float) -> None:
        self.run_seconds = run_seconds
        self.request_count = 0
        self.listener = socket.create_server(('127.0.0.1', 0))

    @property
    def address(self) -> str:
        """Address on which it listens."""
        host, port = self.listener.getsockname()
        return f'{host}:{port}'

    def serve(self) -> None:
        """Serve connections one at a time."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                self._serve_connection(connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        for index in range(2):
            received = connection.recv(65536)
            if not received:
                return
            self.request_count += 1
            if index:
                time.sleep(self.run_seconds)
                return
            request_id = ID_PATTERN.findall(received)[0]
            connection.sendall(RESPONSE % request_id)


@contextmanager
def closing_upstream(run_seconds: float) -> Iterator[ClosingUpstream]:
    """Run an upstream that takes `run_seconds` before it closes."""
    upstream = ClosingUpstream(run_seconds)
    thread = threading.Thread(target=upstream.serve, daemon=True)
    thread.start()
    try:
        yield upstream
    finally:
        upstream.listener.shutdown(socket.SHUT_RDWR)
        upstream.listener.close()
        thread.join()


class KeptConnectionTest(unittest.TestCase):
    """Second request on a persistent connection that the upstream closes."""

    def call_twice(self, upstream: ClosingUpstream) -> None:
        calls = UpstreamCalls(upstream.address)
        deadline = time.monotonic() + DEADLINE_SECONDS
        work = msgspec.structs.replace(
            WORK,
            deadline=deadline,
            idempotent=True,
            method='GET',
        )
        second = msgspec.structs.replace(
            work, request=msgspec.structs.replace(work.request, number=2)
        )
        calls.run(work, b'')
        try:
            calls.run(second, b'')
        finally:
            calls.close()

    def test_stale_connection_is_replaced(self) -> None:
        with closing_upstream(0.0) as upstream:
            self.call_twice(upstream)

    def test_lost_response_is_left_to_the_retry_budget(self) -> None:
        with closing_upstream(RUN_SECONDS) as upstream:
            with self.assertRaises(CallFailed) as failed:
                self.call_twice(upstream)
            self.assertEqual(upstream.request_count, 2)
        self.assertEqual(failed.exception.outcome, Outcome.unknown)


if __name__ == '__main__':
    unittest.main()
