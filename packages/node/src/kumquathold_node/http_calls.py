"""HTTP/1.1 client for the store, with one keep-alive connection per thread.

The response of a call is bounded in size and time.
A connection on which a call failed or timed out is closed, so that no later
call waits on it. One that has gone silent fails within seconds, even if the
call may wait for longer.
"""

from __future__ import annotations

import http.client
import threading
from time import monotonic

import msgspec

from kumquathold_node import tcp_probes
from kumquathold_node.bounded_http import BoundedConnection
from kumquathold_node.store import StoreUnavailable

CALL_TIMEOUT_SECONDS = 1.0
MAX_BODY_BYTES = 16_777_216
"""Largest response of the store, far above its largest page."""


class HttpResponse(msgspec.Struct, frozen=True):
    """An HTTP response."""

    status: int
    """HTTP status."""

    body: bytes
    """The complete body."""

    headers: dict[str, str] = {}
    """Header fields, by their names in lower case."""


class _ProbedConnection(BoundedConnection):
    """A connection that the kernel probes while a call waits."""

    def connect(self) -> None:
        """Connect, and start the probes."""
        super().connect()
        tcp_probes.enable_probes(self.sock)


class HttpCalls:
    """Client of one address; any thread may use it."""

    def __init__(self, address: str) -> None:
        """Create the client without connecting."""
        self.address = address
        self.local = threading.local()

    def call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> HttpResponse:
        """Send a request and return its response.

        `timeout` is in seconds, up to the complete response. Raises
        `StoreUnavailable` without one; the request may have taken effect all
        the same.
        """
        try:
            return self._exchange(method, target, body, timeout)
        except (OSError, http.client.HTTPException) as error:
            self._close_connection()
            path = target.partition('?')[0]
            raise StoreUnavailable(f'{path}: {error!r}') from error

    def _exchange(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout: float,
    ) -> HttpResponse:
        connection = getattr(self.local, 'connection', None)
        if connection is None:
            connection = _ProbedConnection(
                self.address, CALL_TIMEOUT_SECONDS, MAX_BODY_BYTES
            )
            self.local.connection = connection
        if connection.sock is None:
            connection.connect()
        connection.deadline = monotonic() + timeout
        connection.sock.settimeout(timeout)
        headers = {} if body is None else {'Content-Type': 'application/json'}
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        fields = {name.lower(): text for name, text in response.headers.items()}
        return HttpResponse(response.status, response.read(), fields)

    def _close_connection(self) -> None:
        connection = getattr(self.local, 'connection', None)
        self.local.connection = None
        if connection is not None:
            connection.close()
