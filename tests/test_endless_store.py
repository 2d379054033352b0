"""A store in trouble that sends bytes without end."""

from __future__ import annotations

import socket
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

from kumquathold_node.http_calls import HttpCalls
from kumquathold_node.store import StoreUnavailable

CALL_SECONDS = 0.5
END_SECONDS = 20.0
"""Time after which a call counts as one that never ends."""

TRICKLE_SECONDS = 0.05


class EndlessStore:
    """Sends a first part, then the same piece until the caller closes."""

    def __init__(self, first: bytes, piece: bytes, pause: float) -> None:
        self.first = first
        self.piece = piece
        self.pause = pause
        self.is_stopped = threading.Event()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Serve one connection."""
        connection, _ = self.listener.accept()
        with connection, suppress(OSError):
            connection.sendall(self.first)
            while not self.is_stopped.wait(self.pause):
                connection.sendall(self.piece)

    def stop(self) -> None:
        """Stop sending."""
        self.is_stopped.set()
        self.listener.close()


class EndlessStoreTest(unittest.TestCase):
    """Each call ends, so that its thread can make the next one."""

    def assert_call_ends(self, first: bytes, piece: bytes) -> None:
        """Check that a call fails, sent slowly and as fast as possible."""
        for pause in (TRICKLE_SECONDS, 0):
            store = EndlessStore(first, piece, pause)
            self.addCleanup(store.stop)
            store.thread.start()
            calls = HttpCalls(store.address)
            executor = ThreadPoolExecutor(1)
            self.addCleanup(executor.shutdown, wait=False)
            call = executor.submit(calls.call, 'GET', '/', None, CALL_SECONDS)
            self.assertIsInstance(call.exception(END_SECONDS), StoreUnavailable)

    def test_call_ends_though_the_head_does_not(self) -> None:
        self.assert_call_ends(b'HTTP/1.1 200 OK\r\n', b'A: b\r\n')

    def test_call_ends_though_a_line_does_not(self) -> None:
        self.assert_call_ends(b'HTTP/1.1 200 OK\r\nA: ', b'b' * 100)

    def test_call_ends_though_interim_responses_do_not(self) -> None:
        self.assert_call_ends(b'', b'HTTP/1.1 100 Continue\r\n\r\n')

    def test_call_ends_though_the_body_does_not(self) -> None:
        self.assert_call_ends(b'HTTP/1.1 200 OK\r\n\r\n', b'b' * 100)

    def test_call_ends_though_the_chunks_do_not(self) -> None:
        head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        self.assert_call_ends(head, b'1\r\nb\r\n')
