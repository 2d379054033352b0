"""The memory of a node's process, held against the limit of its VM.

Large bodies, and bodies without end, in requests and in responses.
"""

from __future__ import annotations

import socket
import threading
import unittest
from collections.abc import Callable
from http.client import parse_headers

from tests.memory_stage import MemoryStage, memory_stage
from tests.test_upstream_trouble import OK_HEAD, Serve, repeat

LIMIT_MEGABYTES = 300
"""Memory of a machine by the users' pages."""

SECONDS = 3.0
CALLERS = 24
UPLOAD_CALLERS = 8
UPLOAD = b'x' * 12_500_000
LARGEST_UPLOAD = b'x' * 60_000_000
OK = 200
PIECE_BYTES = 262_144
UNAVAILABLE = 503
PROMPT_SECONDS = 2.0
"""Within half of the deadline of the requests."""

CHUNKED_HEAD = OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'10000\r\n' + b'x' * 65_536 + b'\r\n'
LARGE = 60_000_000
ENDLESS = {
    'body without length': repeat(OK_HEAD + b'\r\n', b'x' * PIECE_BYTES),
    'large chunks': repeat(CHUNKED_HEAD, CHUNK),
    'small chunks': repeat(CHUNKED_HEAD, b'1\r\nx\r\n' * 1000),
    'stated length': repeat(
        OK_HEAD + b'Content-Length: %d\r\n\r\n' % LARGE, b'x' * PIECE_BYTES
    ),
    'headers': repeat(OK_HEAD, b'A: x\r\n' * 1000),
}


def answer_in_full(size: int) -> Serve:
    """Return a function that reads one request, and sends a sealed body."""

    def serve(connection: socket.socket) -> None:
        with connection.makefile('rb') as reader:
            reader.readline()
            head = parse_headers(reader)
            left = int(head.get('Content-Length', 0))
            while left:
                left -= len(reader.read(min(left, PIECE_BYTES)))
        name = 'X-Kumquathold-Request-Id'
        start = (
            f'HTTP/1.1 200 OK\r\n{name}: {head[name]}\r\n'
            f'Content-Length: {size}\r\nConnection: close\r\n'
            'X-Kumquathold-Response-Seal: 3e1b\r\n\r\n'
        )
        connection.sendall(start.encode())
        for sent in range(0, size, PIECE_BYTES):
            connection.sendall(b'x' * min(PIECE_BYTES, size - sent))

    return serve


class MemoryTest(unittest.TestCase):
    """Whatever comes, the process stays within the limit, and others served."""

    def check(self, stage: MemoryStage) -> None:
        """Check the peak, and that the sound service was served."""
        self.assertLess(stage.peak_megabytes, LIMIT_MEGABYTES)
        self.assertIsNone(stage.node.process.poll())
        self.assertEqual(stage.send('sound'), OK)

    def run_beside_sound(
        self, stage: MemoryStage, callers: int, send: Callable[[], object]
    ) -> None:
        """Let callers send, beside one of the sound service."""
        sound = threading.Thread(
            target=stage.run_callers,
            args=(1, SECONDS, lambda: stage.send('sound')),
        )
        sound.start()
        stage.run_callers(callers, SECONDS, send)
        sound.join()

    def test_responses_without_end(self) -> None:
        for name, serve in ENDLESS.items():
            with self.subTest(name), memory_stage(serve) as stage:
                self.run_beside_sound(
                    stage, CALLERS, lambda: stage.send('faulty')
                )
                self.check(stage)
                sound = {
                    status: count
                    for (service, status), count in stage.statuses.items()
                    if service == 'sound'
                }
                self.assertEqual(set(sound), {OK})
                self.assertLess(stage.slowest, PROMPT_SECONDS)

    def test_large_responses_in_full(self) -> None:
        with memory_stage(answer_in_full(LARGE)) as stage:
            self.run_beside_sound(stage, CALLERS, lambda: stage.send('faulty'))
            self.check(stage)
            self.assertGreater(stage.statuses['faulty', OK], 0)

    def test_large_requests(self) -> None:
        with memory_stage(answer_in_full(10)) as stage:
            self.run_beside_sound(
                stage, UPLOAD_CALLERS, lambda: stage.send('faulty', UPLOAD)
            )
            self.check(stage)
            self.assertGreater(stage.statuses['faulty', OK], 0)
            served = {('sound', OK), ('faulty', OK)}
            others = set(stage.statuses) - served
            self.assertLessEqual(others, {('faulty', UNAVAILABLE)})

    def test_largest_request_alone_is_served(self) -> None:
        with memory_stage(answer_in_full(10)) as stage:
            self.assertEqual(stage.send('faulty', LARGEST_UPLOAD), OK)
            self.check(stage)


if __name__ == '__main__':
    unittest.main()
