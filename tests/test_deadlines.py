"""The time left that reaches an upstream never exceeds the caller's."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from types import SimpleNamespace
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from kumquathold_core import peer_clock
from kumquathold_core.peer_clock import PeerClockReading
from kumquathold_node.caller_requests import CallerRequest, CallerResponse
from kumquathold_node.caller_server import RequestGate, make_caller_app
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.http_server import serving
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import running_fleet
from tests.properties import repeatable
from tests.support import make_rules, small_spec

REGION_DELAY_SECONDS = 0.3
CALLER_TIMEOUT_SECONDS = 2.0
ROUNDING_SECONDS = 0.02
WORK_SECONDS = 0.5
WAITING_REQUESTS = 3
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'

delays = st.floats(0.0, 1.5)
trips = st.tuples(delays, delays)


def read_clock(
    sent_at: float, there: float, back: float, offset: float
) -> PeerClockReading:
    """Return a reading of a clock that is `offset` ahead of the own."""
    return PeerClockReading(
        incarnation=1,
        clock=sent_at + there + offset,
        requested_at=sent_at,
        received_at=sent_at + there + back,
    )


class PeerClockTest(unittest.TestCase):
    """Deadlines by a peer's clock are early by a round trip at most."""

    @repeatable(max_examples=300)
    @given(st.floats(-1e6, 1e6), trips, trips)
    def test_bound_is_never_late(
        self,
        offset: float,
        trip: tuple[float, float],
        later_trip: tuple[float, float],
    ) -> None:
        first = read_clock(10.0, *trip, offset)
        second = read_clock(15.0, *later_trip, offset)
        kept = peer_clock.select_reading(first, second)
        self.assertLessEqual(kept.round_trip, second.round_trip + 1e-6)
        now = 20.0
        bound = peer_clock.bound_peer_clock(kept, now)
        self.assertLessEqual(bound, now + offset + 1e-6)
        self.assertGreaterEqual(bound, now + offset - kept.round_trip - 1e-6)

    def test_reading_of_a_clock_that_stood_still_is_replaced(self) -> None:
        before = read_clock(10.0, 0.01, 0.01, 5.0)
        after = read_clock(20.0, 0.2, 0.2, 1.0)
        self.assertIs(peer_clock.select_reading(before, after), after)

    def test_old_reading_is_replaced(self) -> None:
        exact = read_clock(10.0, 0.0, 0.01, 5.0)
        later = 11.0 + peer_clock.MAX_READING_AGE_SECONDS
        vague = read_clock(later, 0.2, 0.2, 5.0)
        self.assertIs(peer_clock.select_reading(exact, vague), vague)


class DelayedLinkTest(unittest.TestCase):
    """Links that take as long as half of the deadline."""

    def test_upstream_gets_no_more_time_than_is_left(self) -> None:
        spec = small_spec(relayed=True, region_delay=REGION_DELAY_SECONDS)
        with running_fleet(spec) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            ingress = fleet.nodes[0]
            for upstream in ingress.upstreams:
                upstream.process.kill()
            ends = {}
            for number in range(10):
                operation = f'far-{number}'
                ends[operation] = time.time() + CALLER_TIMEOUT_SECONDS
                Caller().send(
                    ingress.callers,
                    'GET',
                    '/listings/1',
                    headers={
                        'X-Operation': operation,
                        'Request-Timeout': str(CALLER_TIMEOUT_SECONDS),
                    },
                )
            runs = [run for run in fleet.ledger() if run.operation in ends]
            self.assertGreater(len(runs), 5)
            for run in runs:
                left = int(run.headers['Kumquathold-Deadline-Ms']) / 1000
                self.assertLessEqual(
                    run.at + left, ends[run.operation] + ROUNDING_SECONDS
                )


class BusyThreadsTest(unittest.TestCase):
    """Requests that wait for a thread of the node's server."""

    def test_wait_for_a_thread_counts_against_the_deadline(self) -> None:
        arrivals: list[float] = []

        def handle(request: CallerRequest) -> CallerResponse:
            arrivals.append(request.arrived_at)
            time.sleep(WORK_SECONDS)
            return CallerResponse(status=200, headers=(), body=b'')

        kernel = Kernel()
        kernel.register('ingress', SimpleNamespace(handle=handle))
        kernel.register('metrics', Metrics(None))
        RequestGate(kernel)
        app = make_caller_app(kernel, CallerDialect())
        with serving(app, '127.0.0.1:0', threads=1) as server:
            port: Any = server.effective_port
            sent_at = time.monotonic()
            callers = [
                threading.Thread(target=self.call, args=(int(port),))
                for _ in range(WAITING_REQUESTS)
            ]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
        self.assertEqual(len(arrivals), WAITING_REQUESTS)
        for arrived_at in arrivals:
            self.assertLess(arrived_at - sent_at, WORK_SECONDS / 2)

    def call(self, port: int) -> None:
        """Send a request, and wait for the head of its response."""
        with socket.create_connection(('127.0.0.1', port), 5) as connection:
            connection.sendall(REQUEST)
            connection.recv(100)


if __name__ == '__main__':
    unittest.main()
