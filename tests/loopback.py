"""Serves the HTTP stand-ins of the tests on loopback."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SERVER_POLL_SECONDS = 0.02


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
