"""The record of an accepted configuration, as the platform keeps it."""

from __future__ import annotations

import hashlib
import zlib

import msgspec

DIGEST_BYTES = 16
CHUNK_BYTES = 524_288


class ManifestError(Exception):
    """A configuration that cannot be read back."""


class CorruptConfiguration(ManifestError):
    """The text is not the one that was accepted."""


class Manifest(msgspec.Struct, frozen=True):
    """Names one accepted configuration; a single swap switches it."""

    version: int
    """Counts the accepted configurations, from 1."""

    digest: str
    """Hexadecimal BLAKE2b digest of the packed text."""

    chunks: int
    """How many values hold the packed text."""

    author: str
    """The operator who accepted it."""

    note: str
    """What the operator said of it."""

    accepted_at: str
    """Time of acceptance by the node's clock, ISO 8601, for people only."""

    acceptance: str
    """Unique to this acceptance, to find it after a lost reply."""


def compress_text(text: str) -> bytes:
    """Compress a rules file's text."""
    return zlib.compress(text.encode())


def decompress_text(packed: bytes, digest: str) -> str:
    """Check and decompress; raises `CorruptConfiguration`."""
    if digest_compressed(packed) != digest:
        raise CorruptConfiguration(f'{len(packed)} bytes, not {digest}')
    return zlib.decompress(packed).decode()


def digest_compressed(packed: bytes) -> str:
    """The digest that names a packed text."""
    return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).hexdigest()


def split_chunks(packed: bytes) -> list[bytes]:
    """Cut a packed text into values that the platform can hold."""
    starts = range(0, max(len(packed), 1), CHUNK_BYTES)
    return [packed[start : start + CHUNK_BYTES] for start in starts]
