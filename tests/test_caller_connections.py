"""Connections of callers while a node drains: no accepted request is cut."""

from __future__ import annotations

import http.client
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

from kumquathold_node.caller_server import RequestGate
from kumquathold_node.http_server import serving
from kumquathold_node.kernel import Kernel
from kumquathold_node.shutdown import GracefulShutdown

WORK_SECONDS = 0.8
IDLE_PERIOD_SECONDS = 0.1
GRACE_SECONDS = 10.0
TIMEOUT_SECONDS = 5.0
THREADS = 4
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
FREE_ADDRESS = '127.0.0.1:0'


class LateCallerGate(RequestGate):
    """Gate that lets a caller send a request just as the node closes."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.send_late_request: Callable[[], object] = bool

    def close(self) -> None:
        super().close()
        # Late, but the server has not ended yet.
        time.sleep(IDLE_PERIOD_SECONDS)
        self.send_late_request()


class DrainTest(unittest.TestCase):
    """Shutdown of a node on which requests arrive until its end."""

    def setUp(self) -> None:
        kernel = Kernel()
        task = SimpleNamespace(post=bool)
        kernel.register('owner', SimpleNamespace(task=task, in_flight=0))
        kernel.register('membership', SimpleNamespace(task=task))
        kernel.register('rate-election', SimpleNamespace(release_lease=bool))
        self.gate = LateCallerGate(kernel)
        settings: Any = SimpleNamespace(
            quiet=IDLE_PERIOD_SECONDS, grace=GRACE_SECONDS
        )
        self.shutdown = GracefulShutdown(kernel, settings)
        self.gate.server = self.enterContext(
            serving(self.respond, FREE_ADDRESS, THREADS)
        )
        server: Any = self.gate.server
        self.address = ('127.0.0.1', int(server.effective_port))

    def respond(
        self, _: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request after `WORK_SECONDS`."""
        with self.gate.track_request():
            time.sleep(WORK_SECONDS)
            start_response('200 OK', [('Content-Length', '2')])
            return [b'ok']

    def connect(self) -> socket.socket:
        """Open a connection that is closed as the test ends."""
        connection = socket.create_connection(self.address, TIMEOUT_SECONDS)
        self.addCleanup(connection.close)
        return connection

    def drain(self) -> None:
        """Drain the node, which then ends."""
        self.shutdown.begin()
        self.shutdown.wait_and_drain()

    def read_body(self, connection: socket.socket) -> bytes:
        """Read what has arrived on a connection by now."""
        response = http.client.HTTPResponse(connection)
        connection.settimeout(0.1)
        response.begin()
        return response.read()

    def test_request_on_an_open_connection_after_the_port_closed(self) -> None:
        connection = self.connect()
        # Accepted by the server, which must not take it for idle.
        connection.sendall(REQUEST[:5])
        self.gate.send_late_request = lambda: connection.sendall(REQUEST[5:])
        self.drain()
        self.assertEqual(self.read_body(connection), b'ok')

    def test_request_that_no_worker_has_taken_yet(self) -> None:
        connections = [self.connect() for _ in range(2 * THREADS)]

        def send_requests() -> None:
            for connection in connections:
                connection.sendall(REQUEST)

        threading.Timer(IDLE_PERIOD_SECONDS / 2, send_requests).start()
        self.drain()
        for connection in connections:
            self.assertEqual(self.read_body(connection), b'ok')

    def test_idle_connection_does_not_delay_the_end(self) -> None:
        connection = self.connect()
        started = time.monotonic()
        self.drain()
        self.assertLess(time.monotonic() - started, GRACE_SECONDS / 2)
        connection.settimeout(TIMEOUT_SECONDS)
        self.assertEqual(connection.recv(1), b'')

    def test_connection_that_waits_to_be_accepted(self) -> None:
        server: Any = self.gate.server
        is_blocked = threading.Event()
        is_released = threading.Event()

        def block() -> None:
            is_blocked.set()
            is_released.wait(TIMEOUT_SECONDS)

        server.trigger.pull_trigger(block)
        is_blocked.wait(TIMEOUT_SECONDS)
        connection = self.connect()
        connection.sendall(REQUEST)
        self.gate.close()
        is_released.set()
        time.sleep(IDLE_PERIOD_SECONDS)
        self.drain()
        self.assertEqual(self.read_body(connection), b'ok')


if __name__ == '__main__':
    unittest.main()
