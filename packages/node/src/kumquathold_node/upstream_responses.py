"""Reading of upstreams' responses, within bounds on their size and time.

An upstream in trouble may send bytes without end, in the head or in the body,
or a few bytes at a time. Every read therefore ends at the deadline of the
request, a head and a body have a largest size, and so have all the bodies that
a node reads at the same time.
"""

from __future__ import annotations

import http.client
import io
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)
from email.message import Message
from time import monotonic
from typing import Any

import msgspec

from kumquathold_core.forwarding import Headers
from kumquathold_node.response_statements import ResponseStatement

MAX_HEAD_BYTES = 262_144
"""Largest head, together with the interim responses that precede it."""

MAX_RESPONSE_BYTES = 67_108_864
MAX_CODING_FACTOR = 2
"""Received bytes of a chunked body per byte of the largest body."""

MAX_READING_BYTES = 67_108_864
"""Size of all bodies that a node reads at the same time."""

HEAD = 'head'
BODY = 'body'
"""Parts of a response."""

BROKEN_HEAD_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)
"""Defects from which on the parser reads no further header fields."""

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


class ResponseTooLarge(http.client.HTTPException):
    """A response exceeded a limit; the message names the limit."""


class AmbiguousFraming(http.client.HTTPException):
    """The head of a response does not tell where its body ends."""


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


class BoundedStream(io.RawIOBase):
    """The bytes of a socket, up to a deadline and a number of bytes.

    A read raises `TimeoutError` past the deadline, and `ResponseTooLarge` past
    the number of bytes.
    """

    def __init__(self, sock: socket.socket, deadline: float) -> None:
        """Limit the reads from `sock`, first to the size of a head."""
        super().__init__()
        self.sock = sock
        self.source = sock.makefile('rb', buffering=0)
        self.deadline = deadline
        self.bytes_left = MAX_HEAD_BYTES
        self.part = HEAD

    def begin_body(self) -> None:
        """Limit the reads from now on to the size of a body."""
        self.part = BODY
        self.bytes_left = MAX_RESPONSE_BYTES * MAX_CODING_FACTOR

    def readable(self) -> bool:
        """Return true, as buffered readers require."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes into `buffer`; return how many, 0 at the end."""
        if self.bytes_left <= 0:
            raise ResponseTooLarge(f'response {self.part} too large')
        remaining = self.deadline - monotonic()
        if remaining <= 0:
            raise TimeoutError('deadline passed')
        self.sock.settimeout(remaining)
        count = self.source.readinto(memoryview(buffer)[: self.bytes_left])
        self.bytes_left -= count or 0
        return count

    def close(self) -> None:
        """Release the socket, which its connection may still use."""
        self.source.close()
        super().close()


class LineReader(io.BufferedReader):
    """A buffered reader in which no line ends with the stream.

    A line that is cut raises `IncompleteRead`, and so does a head that ends
    after its first line: `http.client` takes the end of the stream for the end
    of the head, and the part of a line for the line.
    """

    def __init__(self, stream: BoundedStream) -> None:
        """Read from `stream`."""
        super().__init__(stream)
        self.stream = stream
        self.has_first_line = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line with its end, or up to `size` bytes of it."""
        line = super().readline(size)
        limit = -1 if size is None else size
        is_whole = line.endswith(b'\n') or 0 <= limit <= len(line)
        is_cut_head = self.has_first_line and self.stream.part == HEAD
        if not is_whole and (line or is_cut_head):
            raise http.client.IncompleteRead(line)
        self.has_first_line = True
        return line


class BoundedResponse(http.client.HTTPResponse):
    """A response whose head and body are read through a `BoundedStream`."""

    def __init__(
        self,
        sock: socket.socket,
        deadline: float,
        method: str | None,
    ) -> None:
        """Prepare to read from `sock` until `deadline`."""
        super().__init__(sock, method=method)
        self.fp.close()
        self.stream = BoundedStream(sock, deadline)
        self.fp = LineReader(self.stream)

    def begin(self) -> None:
        """Read the head.

        Raises `HTTPException` if the length of the body cannot be told for
        sure.
        """
        super().begin()
        check_framing(self.msg)
        self.stream.begin_body()


def check_framing(head: Message) -> None:
    """Raise `AmbiguousFraming` if a head does not tell where the body ends.

    `http.client` reads such a body to the end of the stream, so that one which
    is cut looks complete.
    """
    if any(isinstance(one, BROKEN_HEAD_DEFECTS) for one in head.defects):
        raise AmbiguousFraming('a line of the head is no header field')
    codings = head.get_all('Transfer-Encoding', [])
    if codings:
        if [one.strip().lower() for one in codings] != ['chunked']:
            raise AmbiguousFraming(f'transfer coding {codings}')
        return
    lengths = {one.strip() for one in head.get_all('Content-Length', [])}
    are_numbers = all(one.isascii() and one.isdigit() for one in lengths)
    if len(lengths) > 1 or not are_numbers:
        raise AmbiguousFraming(f'content length {sorted(lengths)}')


class UpstreamConnection(http.client.HTTPConnection):
    """A connection whose responses are read until a deadline."""

    def __init__(self, address: str, connect_timeout: float) -> None:
        """Prepare to connect to `address` within `connect_timeout` seconds."""
        super().__init__(address, timeout=connect_timeout)
        self.deadline = 0.0
        self.carried_ids: set[str] = set()
        """Ids of the requests sent on it, by which late copies are told."""
        self.response_class = self._make_response  # type: ignore[assignment]

    def _make_response(
        self,
        sock: socket.socket,
        *,
        method: str | None = None,
    ) -> BoundedResponse:
        return BoundedResponse(sock, self.deadline, method)


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
