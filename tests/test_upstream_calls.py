"""Kept connections to upstreams: when a request is sent once more."""

from __future__ import annotations

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

ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok'
)
RUN_SECONDS = 0.3
PATIENCE_SECONDS = 5.0


class Closing:
    """An upstream that closes a kept connection on its second request."""

    def __init__(self, run_seconds: float) -> None:
        self.run_seconds = run_seconds
        self.arrived = 0
        self.listener = socket.create_server(('127.0.0.1', 0))

    @property
    def address(self) -> str:
        """Where it listens."""
        host, port = self.listener.getsockname()
        return f'{host}:{port}'

    def serve(self) -> None:
        """Serve one connection after the other."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                self._serve_connection(connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        for number in range(2):
            if not connection.recv(65536):
                return
            self.arrived += 1
            if number:
                time.sleep(self.run_seconds)
                return
            connection.sendall(ANSWER)


@contextmanager
def closing_upstream(run_seconds: float) -> Iterator[Closing]:
    """Run such an upstream while the block runs."""
    upstream = Closing(run_seconds)
    thread = threading.Thread(target=upstream.serve, daemon=True)
    thread.start()
    try:
        yield upstream
    finally:
        upstream.listener.shutdown(socket.SHUT_RDWR)
        upstream.listener.close()
        thread.join()


class KeptConnectionTest(unittest.TestCase):
    """A second request on a kept connection that the upstream closes."""

    def call_twice(self, upstream: Closing) -> None:
        calls = UpstreamCalls(upstream.address)
        deadline = time.monotonic() + PATIENCE_SECONDS
        work = msgspec.structs.replace(
            WORK,
            deadline=deadline,
            idempotent=True,
            method='GET',
        )
        calls.run(work, b'')
        try:
            calls.run(work, b'')
        finally:
            calls.close()

    def test_stale_connection_costs_nothing(self) -> None:
        with closing_upstream(0.0) as upstream:
            self.call_twice(upstream)

    def test_run_whose_answer_was_lost_is_left_to_the_budget(self) -> None:
        with closing_upstream(RUN_SECONDS) as upstream:
            with self.assertRaises(CallFailed) as failed:
                self.call_twice(upstream)
            self.assertEqual(upstream.arrived, 2)
        self.assertEqual(failed.exception.outcome, Outcome.unknown)


if __name__ == '__main__':
    unittest.main()
