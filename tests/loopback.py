"""HTTP servers on the loopback interface for the stand-ins of the tests."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SERVER_POLL_SECONDS = 0.02


class QuietHandler(BaseHTTPRequestHandler):
    """Handle GET and POST with `reply`, and log nothing."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:
        self.reply()

    def do_POST(self) -> None:
        self.reply()

    def log_message(self, *_: object) -> None:
        """Suppress the access log."""

    def reply(self) -> None:
        """Send the response; subclasses implement it."""
        raise NotImplementedError

    def read_body(self) -> bytes:
        """Read the body of the request."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))


@contextmanager
def serving(handler: type[BaseHTTPRequestHandler]) -> Iterator[str]:
    """Serve while the block runs; yield the address as `host:port`."""
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
