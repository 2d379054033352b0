"""Reassembly of bodies that are sent in chunks.

The module reads no clock; the caller passes the time in. Chunks may
arrive late, twice or out of order. A body is returned only when it is complete
and its digest matches.
"""

from __future__ import annotations

import io
from collections.abc import Callable, Hashable, Iterator

from kumquathold_core import wire
from kumquathold_core.forwarding import BODY_CHUNK_BYTES

BodyReceiver = Callable[[], bytes | None]
"""Adds a received chunk to a body; returns the body if it is complete.

Raises a `ReassemblyError` if the chunks do not form the announced body.
"""

CHUNK_TIMEOUT_SECONDS = 2.0


class ReassemblyError(Exception):
    """A body cannot be reassembled."""


class BodyLengthMismatch(ReassemblyError):
    """The chunks do not add up to the announced length."""


class DigestMismatch(ReassemblyError):
    """The body does not match the announced digest."""


def split_body(body: bytes) -> tuple[bytes, Iterator[tuple[int, bytes]]]:
    """Return the first chunk, and the offset and bytes of each further one."""
    offsets = range(BODY_CHUNK_BYTES, len(body), BODY_CHUNK_BYTES)
    rest = (
        (start, body[start : start + BODY_CHUNK_BYTES]) for start in offsets
    )
    return body[:BODY_CHUNK_BYTES], rest


class PartialBody:
    """The chunks of one body that have arrived so far.

    They are put into one buffer as they arrive, so that the complete body needs
    no second copy. A single chunk is not copied at all.
    """

    __slots__ = (
        'buffer',
        'deadline',
        'digest',
        'first',
        'offsets',
        'received',
        'total',
    )

    def __init__(self) -> None:
        """Start without chunks, of a body of unknown length."""
        self.deadline = 0.0
        self.digest = b''
        self.total = -1
        self.buffer = io.BytesIO()
        self.first: bytes | None = None
        """The chunk at the start, until another one arrives."""
        self.offsets: set[int] = set()
        self.received = 0

    def add(self, offset: int, chunk: bytes) -> None:
        """Add a chunk; ignore a duplicate."""
        if offset in self.offsets:
            return
        self.offsets.add(offset)
        self.received += len(chunk)
        if offset == 0 and self.received == len(chunk):
            self.first = chunk
            return
        if self.first is not None:
            self._put(0, self.first)
            self.first = None
        self._put(offset, chunk)

    def announce(self, total: int, digest: bytes) -> None:
        """Set the length and digest of the body from its first message."""
        self.total = total
        self.digest = digest

    def take_if_complete(self) -> bytes | None:
        """Return the body if it is complete, else `None`.

        Raises a `ReassemblyError` if the chunks do not form the announced body.
        """
        if self.total < 0 or self.received < self.total:
            return None
        body = self.buffer.getvalue() if self.first is None else self.first
        if len(body) != self.total:
            raise BodyLengthMismatch(
                f'chunks hold {len(body)} bytes, announced were {self.total}'
            )
        if wire.digest_body(body) != self.digest:
            raise DigestMismatch(
                f'digest of {self.total} bytes differs from the announced one'
            )
        return body

    def _put(self, offset: int, chunk: bytes) -> None:
        self.buffer.seek(offset)
        self.buffer.write(chunk)


class Reassembler:
    """The incomplete bodies of one task, by key."""

    def __init__(self) -> None:
        """Start empty."""
        self.partial: dict[Hashable, PartialBody] = {}

    def announce(
        self,
        key: Hashable,
        total: int,
        digest: bytes,
        first: bytes,
        now: float,
    ) -> bytes | None:
        """Add the first message of a body; return the body if complete."""
        partial = self._find(key, now)
        partial.announce(total, digest)
        partial.add(0, first)
        return self._finish(key, partial)

    def add_chunk(
        self,
        key: Hashable,
        offset: int,
        chunk: bytes,
        now: float,
    ) -> bytes | None:
        """Add a further chunk; return the body if complete."""
        partial = self._find(key, now)
        partial.add(offset, chunk)
        return self._finish(key, partial)

    def forget(self, key: Hashable) -> None:
        """Drop the chunks of a body."""
        self.partial.pop(key, None)

    def expire(self, now: float) -> list[Hashable]:
        """Drop the bodies that have timed out, and return their keys."""
        expired = [
            key
            for key, partial in self.partial.items()
            if partial.deadline <= now
        ]
        for key in expired:
            self.forget(key)
        return expired

    def _find(self, key: Hashable, now: float) -> PartialBody:
        partial = self.partial.get(key)
        if partial is None:
            partial = PartialBody()
            self.partial[key] = partial
        partial.deadline = now + CHUNK_TIMEOUT_SECONDS
        return partial

    def _finish(self, key: Hashable, partial: PartialBody) -> bytes | None:
        try:
            body = partial.take_if_complete()
        except ReassemblyError:
            self.forget(key)
            raise
        if body is not None:
            self.forget(key)
        return body
