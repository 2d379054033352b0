"""A caller: one HTTP request, and what became of it."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any

import msgspec

from kumquathold_core.forwarding import Outcome

TIMEOUT_SECONDS = 30.0


class Answer(msgspec.Struct, frozen=True):
    """What a caller got."""

    status: int
    """HTTP status; 0 where the connection failed."""

    headers: dict[str, str]
    """By small name."""

    body: bytes
    """The whole body."""

    seconds: float
    """From the start to the end."""

    @property
    def outcome(self) -> str:
        """What the fleet says of whether it ran."""
        return self.headers.get('kumquathold-outcome', Outcome.unknown)

    @property
    def reason(self) -> str:
        """Why it was refused, empty for an answer."""
        kind = self.headers.get('content-type', '')
        if kind != 'application/problem+json':
            return ''
        return str(json.loads(self.body)['reason'])

    def json(self) -> Any:
        """The body, decoded."""
        return json.loads(self.body)


class Caller:
    """Sends requests to nodes with one key."""

    __slots__ = ('key', 'timeout')

    def __init__(self, key: str = '', timeout: float = TIMEOUT_SECONDS) -> None:
        """Take the key, if any."""
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
    ) -> Answer:
        """Send one request on a connection of its own."""
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
    ) -> Answer:
        """Send one request on a connection that is kept."""
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
            return Answer(0, {'error': repr(error)}, b'', seconds)
        return Answer(
            status=response.status,
            headers={
                name.lower(): text for name, text in response.getheaders()
            },
            body=content,
            seconds=time.monotonic() - started_at,
        )
