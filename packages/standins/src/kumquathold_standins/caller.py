"""An HTTP client that sends requests as a caller and records responses."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any

import msgspec

from kumquathold_core.forwarding import Outcome

TIMEOUT_SECONDS = 30.0


class Response(msgspec.Struct, frozen=True):
    """The response to a request, or the failure of its connection."""

    status: int
    """HTTP status; 0 if the connection failed or timed out."""

    headers: dict[str, str]
    """Values by name in lower case; `error` if the connection failed."""

    body: bytes
    """Complete body."""

    seconds: float
    """Seconds from the start of the request to the end of the body."""

    @property
    def outcome(self) -> str:
        """Value of `Kumquathold-Outcome`; `unknown` without that header."""
        return self.headers.get('kumquathold-outcome', Outcome.unknown)

    @property
    def reason(self) -> str:
        """Reason of a problem document; empty for other responses."""
        content_type = self.headers.get('content-type', '')
        if content_type != 'application/problem+json':
            return ''
        return str(json.loads(self.body)['reason'])

    def json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)


class Caller:
    """Sends requests to nodes, authenticated by one key."""

    __slots__ = ('key', 'timeout')

    def __init__(self, key: str = '', timeout: float = TIMEOUT_SECONDS) -> None:
        """Create a client; an empty key sends no `Authorization`."""
        self.key = key
        self.timeout = timeout

    def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request on a new connection."""
        connection = http.client.HTTPConnection(address, timeout=self.timeout)
        try:
            return self.send_on(
                connection,
                method,
                path,
                body=body,
                headers=headers,
            )
        finally:
            connection.close()

    def send_on(
        self,
        connection: http.client.HTTPConnection,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Send a request on a connection; close it only on failure."""
        started_at = time.monotonic()
        all_headers = dict(headers or {})
        if self.key:
            all_headers['Authorization'] = f'Bearer {self.key}'
        try:
            connection.request(method, path, body or None, all_headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            seconds = time.monotonic() - started_at
            return Response(0, {'error': repr(error)}, b'', seconds)
        return Response(
            status=response.status,
            headers={
                name.lower(): text for name, text in response.getheaders()
            },
            body=content,
            seconds=time.monotonic() - started_at,
        )
