"""Reading of upstreams' responses, within bounds on their size and time.

Beside the bounds of each response, all the bodies that a node reads at the same
time have a largest size.
"""

from __future__ import annotations

import http.client
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from kumquathold_core.forwarding import Headers
from kumquathold_node.bounded_http import BoundedConnection, ResponseTooLarge
from kumquathold_node.response_statements import ResponseStatement

MAX_RESPONSE_BYTES = 67_108_864
MAX_READING_BYTES = 67_108_864
"""Size of all bodies that a node reads at the same time."""

READ_CHUNK_BYTES = 262_144
BODILESS_STATUSES = frozenset(
    (http.HTTPStatus.NO_CONTENT, http.HTTPStatus.NOT_MODIFIED)
)
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
    )
)


class ForeignResponse(http.client.HTTPException):
    """A response carries the id of another request."""


class UpstreamResponse(msgspec.Struct, frozen=True):
    """A complete response of an upstream."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    body: bytes
    """The complete body."""

    seconds: float
    """Duration of the call."""

    keep_alive: str = ''
    """Value of the `Keep-Alive` header, or empty."""

    names_request: bool = False
    """Whether it carries the id of the request that it answers."""

    statement: ResponseStatement | None = None
    """What it states about the upstream; `None` if it is a stored one."""


class ResponseMemory:
    """Counts the bytes of all bodies being read, up to a limit; thread-safe."""

    def __init__(self, limit: int = MAX_READING_BYTES) -> None:
        """Start empty, with a limit in bytes."""
        self.limit = limit
        self.reserved = 0
        self.lock = threading.Lock()

    def reserve(self, size: int) -> None:
        """Add bytes; raises `ResponseTooLarge` if they pass the limit."""
        with self.lock:
            if self.reserved + size > self.limit:
                raise ResponseTooLarge(
                    f'bodies being read exceed {self.limit} bytes'
                )
            self.reserved += size

    def release(self, size: int) -> None:
        """Remove bytes that were reserved."""
        with self.lock:
            self.reserved -= size


class BodyReservation:
    """The part of a `ResponseMemory` that one body takes up."""

    def __init__(self, memory: ResponseMemory) -> None:
        """Start empty."""
        self.memory = memory
        self.size = 0

    def grow(self, size: int) -> None:
        """Add bytes; raises `ResponseTooLarge` if they pass the limit."""
        self.memory.reserve(size)
        self.size += size


@contextmanager
def reserving(memory: ResponseMemory) -> Iterator[BodyReservation]:
    """Yield a reservation for a body, and release it as the block ends.

    Example:
        with reserving(memory) as reservation:
            reservation.grow(len(chunk))

    """
    reservation = BodyReservation(memory)
    try:
        yield reservation
    finally:
        memory.release(reservation.size)


class UpstreamConnection(BoundedConnection):
    """A connection to an upstream."""

    def __init__(self, address: str, connect_timeout: float) -> None:
        """Prepare to connect to `address` within `connect_timeout` seconds."""
        super().__init__(address, connect_timeout, MAX_RESPONSE_BYTES)
        self.carried_ids: set[str] = set()
        """Ids of the requests sent on it, by which late copies are told."""


def read_body(
    response: http.client.HTTPResponse,
    method: str,
    memory: ResponseMemory,
) -> bytes:
    """Read the whole body; raises `HTTPException` if it is cut or too large."""
    length = response.length
    has_body = method != 'HEAD' and response.status not in BODILESS_STATUSES
    if has_body and length is not None and length > MAX_RESPONSE_BYTES:
        raise ResponseTooLarge(f'response body of {length} bytes too large')
    with reserving(memory) as reservation:
        body = b''.join(_read_chunks(response, reservation))
    if has_body and length is not None and length != len(body):
        raise http.client.IncompleteRead(b'', length - len(body))
    return body


def _read_chunks(
    response: http.client.HTTPResponse,
    reservation: BodyReservation,
) -> Iterator[bytes]:
    while True:
        chunk = response.read(READ_CHUNK_BYTES)
        if not chunk:
            return
        reservation.grow(len(chunk))
        if reservation.size > MAX_RESPONSE_BYTES:
            raise ResponseTooLarge('response body too large')
        yield chunk


def strip_hop_by_hop_headers(headers: list[tuple[str, str]]) -> Headers:
    """Return the end-to-end headers.

    Drops the hop-by-hop headers, those that `Connection` lists, and
    `Content-Length`, which each hop sets itself.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, text in headers:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in dropped and name.lower() != 'content-length'
    )
