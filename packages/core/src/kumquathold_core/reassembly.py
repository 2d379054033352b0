"""Puts bodies that travel in pieces together again.

Pure: the time is passed in. Pieces may come late, twice or out of order; a
body is given out only when it is complete and its digest agrees.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator

from kumquathold_core import wire
from kumquathold_core.forwarding import BODY_CHUNK_BYTES

TakeChunk = Callable[[], bytes | None]

PIECE_PATIENCE_SECONDS = 2.0


class ReassemblyError(Exception):
    """A body that cannot be put together."""


class ChunkOutOfBounds(ReassemblyError):
    """A piece lies outside the announced length."""


class DigestMismatch(ReassemblyError):
    """The complete body is not the one that was announced."""


def split_body(body: bytes) -> tuple[bytes, Iterator[tuple[int, bytes]]]:
    """Give the first piece, and the offset and bytes of each further one."""
    offsets = range(BODY_CHUNK_BYTES, len(body), BODY_CHUNK_BYTES)
    rest = (
        (start, body[start : start + BODY_CHUNK_BYTES]) for start in offsets
    )
    return body[:BODY_CHUNK_BYTES], rest


class PartialBody:
    """The pieces of one body that have come so far."""

    __slots__ = ('deadline', 'digest', 'pieces', 'received', 'total')

    def __init__(self) -> None:
        """Start with nothing known."""
        self.deadline = 0.0
        self.digest = b''
        self.total = -1
        self.pieces: dict[int, bytes] = {}
        self.received = 0

    def add(self, offset: int, chunk: bytes) -> None:
        """Keep a piece; one that was there already changes nothing."""
        if offset in self.pieces:
            return
        self.pieces[offset] = chunk
        self.received += len(chunk)

    def announce(self, total: int, digest: bytes) -> None:
        """Keep what the first message says of the whole body."""
        self.total = total
        self.digest = digest

    def take_if_complete(self) -> bytes | None:
        """Give the body when all of it is there, else nothing."""
        if self.total < 0 or self.received < self.total:
            return None
        body = b''.join(chunk for _, chunk in sorted(self.pieces.items()))
        if len(body) != self.total:
            raise ChunkOutOfBounds(f'{len(body)} of {self.total} bytes')
        if wire.digest_body(body) != self.digest:
            raise DigestMismatch(f'{self.total} bytes')
        return body


class Reassembler:
    """All bodies under way to one task."""

    def __init__(self) -> None:
        """Start empty."""
        self.partial: dict[Hashable, PartialBody] = {}

    def announce(
        self,
        name: Hashable,
        total: int,
        digest: bytes,
        first: bytes,
        now: float,
    ) -> bytes | None:
        """Take the message that opens a body; give the body if complete."""
        partial = self._find(name, now)
        partial.announce(total, digest)
        partial.add(0, first)
        return self._finish(name, partial)

    def add_piece(
        self,
        name: Hashable,
        offset: int,
        chunk: bytes,
        now: float,
    ) -> bytes | None:
        """Take a further piece; give the body if complete."""
        partial = self._find(name, now)
        partial.add(offset, chunk)
        return self._finish(name, partial)

    def forget(self, name: Hashable) -> None:
        """Drop what has come of a body."""
        self.partial.pop(name, None)

    def expire(self, now: float) -> list[Hashable]:
        """Drop the bodies whose rest never came, and name them."""
        late = [
            name
            for name, partial in self.partial.items()
            if partial.deadline <= now
        ]
        for name in late:
            self.forget(name)
        return late

    def _find(self, name: Hashable, now: float) -> PartialBody:
        partial = self.partial.get(name)
        if partial is None:
            partial = PartialBody()
            self.partial[name] = partial
        partial.deadline = now + PIECE_PATIENCE_SECONDS
        return partial

    def _finish(self, name: Hashable, partial: PartialBody) -> bytes | None:
        try:
            body = partial.take_if_complete()
        except ReassemblyError:
            self.forget(name)
            raise
        if body is not None:
            self.forget(name)
        return body
