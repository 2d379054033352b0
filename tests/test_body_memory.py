"""The budget of all bodies that a process holds, and who is held to it."""

from __future__ import annotations

import http.client
import sys
import threading
import unittest
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import wire
from kumquathold_core.forwarding import (
    ForwardResponse,
    Outcome,
    Refusal,
    ResponseChunk,
)
from kumquathold_core.identity import RequestId
from kumquathold_core.reassembly import split_body
from kumquathold_core.wire import Envelope
from kumquathold_node.body_memory import (
    BodyMemory,
    BodyMemoryFull,
    Reservation,
)
from kumquathold_node.http_server import serving
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.pending_requests import (
    CloseCommand,
    OpenCommand,
    PendingRequests,
    ResponseEvent,
)
from kumquathold_standins.loopback import loopback_address, wait_until
from kumquathold_standins.ports import free_port
from tests.owner_stage import BODY_MEMORY_BYTES, INCARNATION, OwnerStage
from tests.test_jobs import WORK

LIMIT_BYTES = 100_000
LARGE_BYTES = 60_000
SMALL_BYTES = 1000
OWNER = '10.0.0.5:1'
ATTEMPT = RequestId('10.0.0.1:1', 1, 1)


class BudgetTest(unittest.TestCase):
    """Reservations within one budget."""

    def setUp(self) -> None:
        self.memory = BodyMemory(LIMIT_BYTES)

    def reserve(self, size: int, timeout: float = 0.0) -> Reservation:
        reservation = Reservation(self.memory)
        reservation.grow(size, timeout)
        return reservation

    def test_large_body_that_does_not_fit_is_refused(self) -> None:
        kept = self.reserve(LARGE_BYTES)
        with self.assertRaises(BodyMemoryFull):
            self.reserve(LARGE_BYTES)
        kept.release()
        self.reserve(LARGE_BYTES)

    def test_small_bodies_fit_beside_large_ones(self) -> None:
        kept = [self.reserve(LIMIT_BYTES), self.reserve(SMALL_BYTES)]
        self.assertEqual(self.memory.used, LIMIT_BYTES + SMALL_BYTES)
        self.assertEqual(len(kept), 2)

    def test_body_that_is_dropped_is_given_back(self) -> None:
        kept = [self.reserve(LARGE_BYTES)]
        self.assertEqual(self.memory.used, LARGE_BYTES)
        kept.clear()
        self.assertEqual(self.memory.used, 0)

    def test_body_may_wait_for_another_to_end(self) -> None:
        kept = [self.reserve(LARGE_BYTES)]
        threading.Timer(0.1, kept.clear).start()
        self.reserve(LARGE_BYTES, timeout=10.0)

    def test_threads_that_resize_one_at_once_leave_nothing_behind(
        self,
    ) -> None:
        kept = Reservation(self.memory)

        def resize() -> None:
            for size in range(20_000):
                kept.resize(size % 7)

        switch_interval = sys.getswitchinterval()
        self.addCleanup(sys.setswitchinterval, switch_interval)
        sys.setswitchinterval(1e-6)
        threads = [threading.Thread(target=resize) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        kept.release()
        self.assertEqual(self.memory.used, 0)

    def test_body_beyond_the_limit_does_not_wait(self) -> None:
        with self.assertRaises(BodyMemoryFull):
            self.reserve(LIMIT_BYTES + 1, timeout=1e6)


class RequestBodyTest(unittest.TestCase):
    """Bodies of requests at an ingress and at an owner."""

    def setUp(self) -> None:
        self.memory = BodyMemory(LIMIT_BYTES)
        self.sizes: list[int] = []
        self.address = loopback_address(free_port())
        self.enterContext(
            serving(self.answer, self.address, 2, memory=self.memory)
        )

    def answer(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        """Record the size of a request's body."""
        self.sizes.append(len(environ['wsgi.input'].read()))
        start('200 OK', [('Content-Length', '0')])
        return [b'']

    def send(self, body: Any) -> int:
        connection = http.client.HTTPConnection(self.address, timeout=10)
        self.addCleanup(connection.close)
        connection.request('POST', '/x', body)
        response = connection.getresponse()
        response.read()
        return response.status

    def test_body_without_memory_is_refused_and_not_kept(self) -> None:
        pieces = [b'x' * LARGE_BYTES] * 2
        for body in (b''.join(pieces), iter(pieces)):
            self.assertEqual(
                self.send(body), http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        self.assertEqual(self.sizes, [])
        wait_until(lambda: self.memory.used == 0, 'memory given back')

    def test_memory_is_given_back_after_each_request(self) -> None:
        for _ in range(5):
            self.assertEqual(self.send(b'x' * LARGE_BYTES), http.HTTPStatus.OK)
        self.assertEqual(self.sizes, [LARGE_BYTES] * 5)

    def test_owner_without_memory_refuses_as_not_run(self) -> None:
        stage = OwnerStage.for_test(self)
        stage.announce()
        message = msgspec.structs.replace(
            WORK,
            owner_incarnation=INCARNATION,
            body_bytes=BODY_MEMORY_BYTES + 1,
        )
        stage.owner.on_forward_request(Envelope('10.0.0.9:1', 1, message))
        (failure,) = stage.list_failures()
        self.assertEqual(
            (failure.outcome, failure.reason),
            (Outcome.not_run, Refusal.overloaded),
        )
        self.assertEqual(stage.started, [])


class ResponseBodyTest(unittest.TestCase):
    """Bodies of responses that an owner sends to an ingress."""

    def setUp(self) -> None:
        kernel = Kernel()
        transport = mock.MagicMock(address='10.0.0.1:1')
        self.memory = BodyMemory(LIMIT_BYTES)
        kernel.register('transport', transport)
        kernel.register('metrics', Metrics(None))
        kernel.register('body-memory', self.memory)
        self.pending = PendingRequests(kernel)
        self.events: list[Any] = []
        mailbox: Any = SimpleNamespace(put=self.events.append)
        self.pending.on_open(OpenCommand(ATTEMPT, mailbox))

    def deliver(self, body: bytes) -> None:
        """Deliver a response with all of its chunks."""
        first, rest = split_body(body)
        response = msgspec.structs.replace(
            make_response(), body=first, body_bytes=len(body)
        )
        response = msgspec.structs.replace(
            response, body_digest=wire.digest_body(body)
        )
        self.pending.on_forward_response(Envelope(OWNER, 1, response))
        for offset, chunk in rest:
            part = ResponseChunk(request=ATTEMPT, offset=offset, chunk=chunk)
            self.pending.on_response_chunk(Envelope(OWNER, 1, part))

    def list_bodies(self) -> list[bytes]:
        return [
            one.body for one in self.events if isinstance(one, ResponseEvent)
        ]

    def test_response_is_taken_once_there_is_memory(self) -> None:
        body = b'x' * (LIMIT_BYTES - SMALL_BYTES)
        others = Reservation(self.memory)
        others.grow(LARGE_BYTES)
        self.deliver(body)
        self.assertEqual(self.events, [])
        others.release()
        self.deliver(body)
        self.assertEqual(self.list_bodies(), [body])
        self.pending.on_close(CloseCommand(ATTEMPT))
        self.events.clear()
        self.assertEqual(self.memory.used, 0)


def make_response() -> ForwardResponse:
    """Return the head of a response."""
    return ForwardResponse(
        request=ATTEMPT,
        status=200,
        headers=(),
        service_seconds=0.1,
        queued_seconds=0.0,
        backlog=0,
        risk=0.0,
        replayed=False,
        body_bytes=0,
        body_digest=b'',
        body=b'',
    )


if __name__ == '__main__':
    unittest.main()
