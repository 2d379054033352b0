"""Requests that come late in the grace period of a shutdown."""

from __future__ import annotations

import http.client
import threading
import time
import unittest
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_node import shutdown
from kumquathold_node.caller_server import RequestGate
from kumquathold_node.http_server import serving
from kumquathold_node.kernel import Kernel
from kumquathold_node.shutdown import GracefulShutdown

GRACE_SECONDS = 10.0
SENT_UNTIL_SECONDS = 3.0
"""Time after the signal until which a long request may be broken off."""

LAST_PART = 5 / 6
"""Share of the grace period after which it may be."""

PAUSE_SECONDS = 0.002
CALLERS = 8
SERVED_SECONDS = 0.5


def begin_shutdown(grace: float) -> RequestGate:
    """Begin a shutdown at time 0, and return the gate."""
    kernel = Kernel()
    task = SimpleNamespace(post=bool)
    kernel.register('owner', SimpleNamespace(task=task, in_flight=0))
    kernel.register('membership', SimpleNamespace(task=task))
    kernel.register('rate-election', SimpleNamespace(release_lease=bool))
    gate = RequestGate(kernel)
    gate.last_arrival = 0.0
    settings: Any = SimpleNamespace(quiet=0.0, grace=grace)
    draining = GracefulShutdown(kernel, settings)
    with mock.patch.object(shutdown, 'monotonic', return_value=0.0):
        draining.begin()
        draining.wait_and_drain()
    return gate


class LateRequestTest(unittest.TestCase):
    """A request that would be broken off is refused, unrun."""

    def may_accept(
        self, gate: RequestGate, now: float, deadline: float
    ) -> bool:
        """Ask the gate at a given time after the signal."""
        with mock.patch(
            'kumquathold_node.caller_server.monotonic', return_value=now
        ):
            return gate.may_accept(deadline)

    def test_long_request_is_taken_for_three_seconds_at_most(self) -> None:
        for grace in (6.0, 10.0, 90.0):
            gate = begin_shutdown(grace)
            with self.subTest(grace):
                self.assertTrue(self.may_accept(gate, 2.9, 3600.0))
                self.assertFalse(
                    self.may_accept(gate, SENT_UNTIL_SECONDS, 3600.0)
                )

    def test_request_that_ends_before_the_node_is_taken(self) -> None:
        gate = begin_shutdown(GRACE_SECONDS)
        end = gate.give_up_at
        self.assertGreaterEqual(end, LAST_PART * GRACE_SECONDS)
        self.assertTrue(self.may_accept(gate, 5.0, end))
        self.assertFalse(self.may_accept(gate, 5.0, end + 0.1))


class ServerEndTest(unittest.TestCase):
    """A server answers what it has read before it ends."""

    def respond(
        self, _: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request at once."""
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']

    def send_until_closed(self, port: int) -> None:
        """Send requests on one connection until the server closes it."""
        connection = http.client.HTTPConnection('127.0.0.2', port, timeout=5)
        connection.connect()
        while True:
            try:
                connection.request('GET', '/')
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                return
            time.sleep(PAUSE_SECONDS)

    def test_request_on_a_kept_connection_as_the_server_ends(self) -> None:
        threads: list[threading.Thread] = []
        # The library logs an error for a request that it reads and cannot run.
        with self.assertNoLogs('waitress', 'ERROR'):
            with serving(self.respond, '127.0.0.2:0', 4) as server:
                started: Any = server
                for _ in range(CALLERS):
                    thread = threading.Thread(
                        target=self.send_until_closed,
                        args=(int(started.effective_port),),
                    )
                    thread.start()
                    threads.append(thread)
                time.sleep(SERVED_SECONDS)
            for thread in threads:
                thread.join()


if __name__ == '__main__':
    unittest.main()
