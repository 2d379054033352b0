"""Upstreams in trouble: endless bytes, late second copies, and crashes."""

from __future__ import annotations

import itertools
import socket
import threading
import time
import tracemalloc
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from unittest import mock

import msgspec

from kumquathold_core.forwarding import ForwardRequest, Outcome, Refusal
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_node import owner_outcomes, upstream_probes
from kumquathold_node.body_memory import BodyMemory
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.upstream_calls import CallFailed, UpstreamCalls
from tests.test_jobs import WORK

OK_HEAD = b'HTTP/1.1 200 OK\r\n'
DEADLINE_SECONDS = 1.0
LATENESS_SECONDS = 0.5
MEMORY_LIMIT_BYTES = 2_000_000
MAX_PEAK_BYTES = 8_000_000
DRIP_SECONDS = 0.05
PORT_CLOSE_DELAY_SECONDS = 0.06

Serve = Callable[[socket.socket], None]


class RawUpstream:
    """Upstream that serves each connection by a function."""

    def __init__(self, serve: Serve) -> None:
        self.serve = serve
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.closed_by_node = threading.Event()

    @property
    def address(self) -> str:
        """Address on which it listens."""
        host, port = self.listener.getsockname()
        return f'{host}:{port}'

    def run(self) -> None:
        """Serve connections until the listener is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_connection, args=(connection,), daemon=True
            ).start()

    def _serve_connection(self, connection: socket.socket) -> None:
        with connection:
            try:
                self.serve(connection)
            except OSError:
                self.closed_by_node.set()


@contextmanager
def raw_upstream(serve: Serve) -> Iterator[RawUpstream]:
    """Run an upstream until the block ends."""
    upstream = RawUpstream(serve)
    thread = threading.Thread(target=upstream.run, daemon=True)
    thread.start()
    try:
        yield upstream
    finally:
        with suppress(OSError):
            upstream.listener.shutdown(socket.SHUT_RDWR)
        upstream.listener.close()
        thread.join()


def repeat(start: bytes, piece: bytes, pause: float = 0.0) -> Serve:
    """Return a function that sends `start`, then `piece` without end."""

    def serve(connection: socket.socket) -> None:
        connection.recv(65536)
        connection.sendall(start)
        while connection.fileno() >= 0:
            connection.sendall(piece)
            time.sleep(pause)

    return serve


def make_work(number: int = 1, **changes: object) -> ForwardRequest:
    """Make a request that ends `DEADLINE_SECONDS` from now."""
    return msgspec.structs.replace(
        WORK,
        request=RequestId('10.0.0.1:1', 1, number),
        deadline=time.monotonic() + DEADLINE_SECONDS,
        **changes,
    )


ENDLESS = {
    'status line': repeat(b'HTTP/1.1 200 ', b'x' * 1000),
    'header line': repeat(OK_HEAD + b'A: ', b'x' * 1000),
    'headers': repeat(OK_HEAD, b'A: x\r\n' * 50),
    'interim responses': repeat(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 50),
    'slow status line': repeat(b'HTTP/1.1 200 ', b'x', DRIP_SECONDS),
    'slow headers': repeat(OK_HEAD, b'A: x\r\n', DRIP_SECONDS),
    'body without length': repeat(OK_HEAD + b'\r\n', b'x' * 100_000),
    'body of chunks': repeat(
        OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'3e8\r\n' + b'x' * 1000 + b'\r\n',
    ),
    'chunk line': repeat(
        OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n', b'0' * 1000
    ),
    'trailers': repeat(
        OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'A: x\r\n' * 50,
    ),
    'slow body': repeat(OK_HEAD + b'\r\n', b'x', DRIP_SECONDS),
    'slow chunks': repeat(
        OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n',
        DRIP_SECONDS,
    ),
    'no response at all': repeat(b'', b'\0' * 1000),
}


class EndlessResponseTest(unittest.TestCase):
    """Bytes without end fail the call in time and hold no memory."""

    def test_call_fails_by_its_deadline_and_closes_the_connection(
        self,
    ) -> None:
        for name, serve in ENDLESS.items():
            with self.subTest(name), raw_upstream(serve) as upstream:
                self.check(upstream)

    def check(self, upstream: RawUpstream) -> None:
        memory = BodyMemory(MEMORY_LIMIT_BYTES)
        calls = UpstreamCalls(upstream.address, memory=memory)
        work = make_work()
        tracemalloc.start()
        with self.assertRaises(CallFailed) as failed:
            calls.run(work, b'')
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        late = time.monotonic() - work.deadline
        self.assertLess(late, LATENESS_SECONDS)
        self.assertLess(peak, MAX_PEAK_BYTES)
        self.assertEqual(memory.used, 0)
        self.assertEqual(failed.exception.outcome, Outcome.unknown)
        self.assertFalse(failed.exception.crashed)
        self.assertIn(
            failed.exception.reason,
            {Refusal.upstream_failed, Refusal.deadline_passed},
        )
        self.assertTrue(upstream.closed_by_node.wait(1.0))

    def test_stated_length_beyond_the_limit_is_not_read(self) -> None:
        head = OK_HEAD + b'Content-Length: 99999999999\r\n\r\n'
        with raw_upstream(repeat(head, b'x' * 1000)) as upstream:
            calls = UpstreamCalls(upstream.address)
            started = time.monotonic()
            with self.assertRaises(CallFailed):
                calls.run(make_work(), b'')
            self.assertLess(time.monotonic() - started, DEADLINE_SECONDS / 2)


def make_response(request: str, body: bytes) -> bytes:
    """Return a response, with the id of its request unless that is empty."""
    name = f'Kumquathold-Request: {request}\r\n' if request else ''
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{name}\r\n'
    return head.encode() + body


class LateCopyTest(unittest.TestCase):
    """A late second copy of a response never answers the next request."""

    def call_twice(self, *, names_request: bool) -> bytes:
        """Return the response to the second of two requests."""
        numbers = itertools.count(1)
        works = [make_work(number, idempotent=True) for number in (1, 2)]
        names = [str(work.request) if names_request else '' for work in works]

        def serve(connection: socket.socket) -> None:
            copy = b''
            while connection.recv(65536):
                number = next(numbers)
                body = b'body %d' % number
                response = make_response(names[number - 1], body)
                connection.sendall(copy + response)
                copy = response

        with raw_upstream(serve) as upstream:
            calls = UpstreamCalls(upstream.address)
            calls.run(works[0], b'')
            return calls.run(works[1], b'').body

    def test_copy_without_an_id(self) -> None:
        self.assertEqual(self.call_twice(names_request=False), b'body 2')

    def test_copy_with_the_id_of_its_request(self) -> None:
        with self.assertRaises(CallFailed) as failed:
            self.call_twice(names_request=True)
        self.assertEqual(failed.exception.outcome, Outcome.unknown)


PLAIN_RESPONSE = (
    OK_HEAD + b'A: b\r\nContent-Length: 12\r\nC: d\r\n\r\nhello, world'
)
CHUNKED_RESPONSE = (
    OK_HEAD + b'Transfer-Encoding: chunked\r\nA: b\r\n\r\n'
    b'0000c\r\nhello, world\r\n0\r\n\r\n'
)
END_OF_CHUNKS = b'0\r\n'


class CutResponseTest(unittest.TestCase):
    """A response that ends early is never taken for a whole one."""

    def run_call(self, sent: bytes) -> bytes:
        """Return the body of a response that ends after these bytes."""

        def serve(connection: socket.socket) -> None:
            connection.recv(65536)
            connection.sendall(sent)

        is_running = mock.patch.object(
            upstream_probes, 'has_ended', return_value=False
        )
        with raw_upstream(serve) as upstream, is_running:
            return UpstreamCalls(upstream.address).run(make_work(), b'').body

    def check_cuts(self, response: bytes, complete_from: int) -> None:
        """Check that every cut before `complete_from` bytes fails."""
        self.assertEqual(self.run_call(response), b'hello, world')
        for end in range(complete_from):
            with self.subTest(response[:end]):
                with self.assertRaises(CallFailed) as failed:
                    self.run_call(response[:end])
                self.assertEqual(failed.exception.outcome, Outcome.unknown)

    def test_response_with_a_length(self) -> None:
        self.check_cuts(PLAIN_RESPONSE, len(PLAIN_RESPONSE))

    def test_response_in_chunks(self) -> None:
        last_chunk = CHUNKED_RESPONSE.index(b'\r\n' + END_OF_CHUNKS) + 2
        self.check_cuts(CHUNKED_RESPONSE, last_chunk + len(END_OF_CHUNKS))

    def test_head_that_hides_the_length_of_the_body(self) -> None:
        for lines in (
            b'no header field\r\nContent-Length: 12',
            b'Content-Length: 1x2',
            b'Content-Length: 12\r\nContent-Length: 13',
            b'Transfer-Encoding: gzip, chunked',
        ):
            with self.subTest(lines), self.assertRaises(CallFailed):
                self.run_call(OK_HEAD + lines + b'\r\n\r\nhello')


class EndedProcessTest(unittest.TestCase):
    """A crash is blamed on the request that caused it."""

    def test_port_that_closes_after_the_connection(self) -> None:
        listener = socket.create_server(('127.0.0.1', 0))
        host, port = listener.getsockname()

        def crash() -> None:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
            time.sleep(PORT_CLOSE_DELAY_SECONDS)
            listener.close()

        thread = threading.Thread(target=crash)
        thread.start()
        broken_at: list[float] = []
        with self.assertRaises(CallFailed) as failed:
            UpstreamCalls(f'{host}:{port}').run(
                make_work(),
                b'',
                lambda: broken_at.append(time.monotonic()),
            )
        ended_at = time.monotonic()
        thread.join()
        self.assertTrue(failed.exception.crashed)
        # The failure counts at once, while the port is still watched.
        self.assertEqual(len(broken_at), 1)
        self.assertGreater(
            ended_at - broken_at[0], PORT_CLOSE_DELAY_SECONDS / 2
        )

    def test_upstream_that_goes_on_is_not_crashed(self) -> None:
        def serve(connection: socket.socket) -> None:
            connection.recv(65536)

        with (
            raw_upstream(serve) as upstream,
            self.assertRaises(CallFailed) as failed,
        ):
            UpstreamCalls(upstream.address).run(make_work(), b'')
        self.assertFalse(failed.exception.crashed)

    def test_request_that_started_after_the_crash_is_not_blamed(self) -> None:
        record = UpstreamRecord('u', 's', 2, ready=True, leaving=False)
        upstream = Upstream(record, 1e9, UpstreamDialect())
        poison, later = (
            OwnerRequest(message=WORK, reply_to='', queued_at=0, started_at=at)
            for at in (1.0, 3.0)
        )
        self.assertTrue(owner_outcomes.may_have_crashed(upstream, poison))
        upstream.record_end(2.0)
        upstream.record_end(4.0)
        self.assertTrue(owner_outcomes.may_have_crashed(upstream, poison))
        self.assertFalse(owner_outcomes.may_have_crashed(upstream, later))
        upstream.record_restart()
        self.assertTrue(owner_outcomes.may_have_crashed(upstream, later))


if __name__ == '__main__':
    unittest.main()
