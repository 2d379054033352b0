"""Serves the HTTP stand-ins of the tests on loopback."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SERVER_POLL_SECONDS = 0.02


class QuietHandler(BaseHTTPRequestHandler):
    """Has `reply` answer every method, and logs nothing."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        self.reply()

    def do_POST(self) -> None:
        self.reply()

    def log_message(self, *_: object) -> None:
        """Keep quiet."""

    def reply(self) -> None:
        """Answer the request."""
        raise NotImplementedError

    def read_body(self) -> bytes:
        """The request's body."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))


@contextmanager
def serving(handler: type[BaseHTTPRequestHandler]) -> Iterator[str]:
    """Serve while the block runs; gives the address."""
    server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
    server.daemon_threads = True
    threading.Thread(
        target=server.serve_forever,
        args=(SERVER_POLL_SECONDS,),
        daemon=True,
    ).start()
    try:
        yield f'127.0.0.1:{server.server_port}'
    finally:
        server.shutdown()
        server.server_close()
