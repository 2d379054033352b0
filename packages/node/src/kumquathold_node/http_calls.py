"""HTTP calls to the platform on connections that stay open.

Each thread has a connection of its own. A connection on which a call failed
or timed out is closed, so that no later call waits on it.
"""

from __future__ import annotations

import http.client
import threading

import msgspec

from kumquathold_node.store import StoreUnavailable

CALL_TIMEOUT_SECONDS = 1.0


class HttpReply(msgspec.Struct, frozen=True):
    """An HTTP answer."""

    status: int
    """HTTP status."""

    body: bytes
    """The whole body."""


class HttpCalls:
    """Calls one address; any thread may use it."""

    def __init__(self, address: str) -> None:
        """Connect to nothing yet."""
        self.address = address
        self.local = threading.local()

    def call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> HttpReply:
        """Make a call; raises `StoreUnavailable` where no answer came."""
        try:
            return self._exchange(method, target, body, timeout)
        except (OSError, http.client.HTTPException) as error:
            self._forget_connection()
            path = target.partition('?')[0]
            raise StoreUnavailable(f'{path}: {error!r}') from error

    def _exchange(
        self,
        method: str,
        target: str,
        body: bytes | None,
        timeout: float,
    ) -> HttpReply:
        connection = getattr(self.local, 'connection', None)
        if connection is None:
            connection = http.client.HTTPConnection(
                self.address,
                timeout=CALL_TIMEOUT_SECONDS,
            )
            self.local.connection = connection
        if connection.sock is None:
            connection.connect()
        connection.sock.settimeout(timeout)
        headers = {} if body is None else {'Content-Type': 'application/json'}
        connection.request(method, target, body, headers)
        response = connection.getresponse()
        return HttpReply(response.status, response.read())

    def _forget_connection(self) -> None:
        connection = getattr(self.local, 'connection', None)
        self.local.connection = None
        if connection is not None:
            connection.close()
