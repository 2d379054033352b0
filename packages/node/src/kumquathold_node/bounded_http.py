"""HTTP/1.1 client connections whose responses are bounded in size and time.

The other end may be in trouble and send bytes without end, in the head or in
the body, or a few bytes at a time. Every read therefore ends at a deadline, and
a head and a body have a largest size.
"""

from __future__ import annotations

import http.client
import io
import socket
from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)
from email.message import Message
from time import monotonic
from typing import Any

MAX_HEAD_BYTES = 262_144
"""Largest head, together with the interim responses that precede it."""

MAX_CODING_FACTOR = 2
"""Received bytes of a chunked body per byte of the largest body."""

HEAD = 'head'
BODY = 'body'
"""Parts of a response."""

BROKEN_HEAD_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    MissingHeaderBodySeparatorDefect,
)
"""Defects from which on the parser reads no further header fields."""


class ResponseTooLarge(http.client.HTTPException):
    """A response exceeded a limit; the message names the limit."""


class AmbiguousFraming(http.client.HTTPException):
    """The head of a response does not tell where its body ends."""


class BoundedStream(io.RawIOBase):
    """The bytes of a socket, up to a deadline and a number of bytes.

    A read raises `TimeoutError` past the deadline, and `ResponseTooLarge` past
    the number of bytes.
    """

    def __init__(
        self, sock: socket.socket, deadline: float, max_body_bytes: int
    ) -> None:
        """Limit the reads from `sock`, first to the size of a head."""
        super().__init__()
        self.max_body_bytes = max_body_bytes
        self.sock = sock
        self.source = sock.makefile('rb', buffering=0)
        self.deadline = deadline
        self.bytes_left = MAX_HEAD_BYTES
        self.part = HEAD

    def begin_body(self) -> None:
        """Limit the reads from now on to the size of a body."""
        self.part = BODY
        self.bytes_left = self.max_body_bytes * MAX_CODING_FACTOR

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
        max_body_bytes: int,
        method: str | None,
    ) -> None:
        """Prepare to read from `sock` until `deadline`."""
        super().__init__(sock, method=method)
        self.fp.close()
        self.stream = BoundedStream(sock, deadline, max_body_bytes)
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


class BoundedConnection(http.client.HTTPConnection):
    """A connection whose responses are read until a deadline."""

    def __init__(
        self, address: str, connect_timeout: float, max_body_bytes: int
    ) -> None:
        """Prepare to connect to `address` within `connect_timeout` seconds."""
        super().__init__(address, timeout=connect_timeout)
        self.max_body_bytes = max_body_bytes
        self.deadline = 0.0
        """End of the present call, in seconds of the monotonic clock."""
        self.response_class = self._make_response  # type: ignore[assignment]

    def _make_response(
        self,
        sock: socket.socket,
        *,
        method: str | None = None,
    ) -> BoundedResponse:
        return BoundedResponse(sock, self.deadline, self.max_body_bytes, method)
