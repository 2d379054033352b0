"""Reading of upstreams' responses, within bounds on their size and time.

Beside the bounds of each response, all the bodies that a process holds at the
same time have a largest size.
"""

from __future__ import annotations

import http.client
import io
from time import monotonic

import msgspec

from kumquathold_core.forwarding import Headers
from kumquathold_node.body_memory import BodyMemoryFull, Reservation
from kumquathold_node.bounded_http import BoundedConnection, ResponseTooLarge
from kumquathold_node.response_statements import ResponseStatement

MAX_RESPONSE_BYTES = 67_108_864
READ_CHUNK_BYTES = 65_536
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

    reservation: Reservation | None = None
    """Memory for its body; `None` if it is a stored one."""


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
    reservation: Reservation,
    deadline: float,
) -> bytes:
    """Read the whole body; raises `HTTPException` if it is cut or too large.

    A body of a stated length waits until there is memory for it, at most until
    `deadline`, in seconds of the monotonic clock.
    """
    stated = _find_stated_length(response, method)
    if stated is not None and stated > MAX_RESPONSE_BYTES:
        raise ResponseTooLarge(f'response body of {stated} bytes too large')
    buffer = io.BytesIO()
    try:
        reservation.grow(stated or 0, timeout=deadline - monotonic())
        _read_chunks(response, buffer, reservation)
    except Exception as error:
        # Its traceback would keep the bytes as long as somebody keeps it.
        buffer.close()
        reservation.release()
        if isinstance(error, BodyMemoryFull):
            raise ResponseTooLarge(str(error)) from error
        raise
    body = buffer.getvalue()
    if stated is not None and stated != len(body):
        raise http.client.IncompleteRead(b'', stated - len(body))
    return body


def _find_stated_length(
    response: http.client.HTTPResponse, method: str
) -> int | None:
    """Return the length that a response with a body states, if it does."""
    if method == 'HEAD' or response.status in BODILESS_STATUSES:
        return None
    return response.length


def _read_chunks(
    response: http.client.HTTPResponse,
    buffer: io.BytesIO,
    reservation: Reservation,
) -> None:
    while True:
        chunk = response.read(READ_CHUNK_BYTES)
        if not chunk:
            return
        size = buffer.tell() + len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise ResponseTooLarge('response body too large')
        reservation.grow(max(0, size - reservation.size))
        buffer.write(chunk)


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
