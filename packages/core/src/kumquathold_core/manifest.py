"""The manifest of an accepted configuration, as the store holds it.

The text of the rules is compressed and stored in chunks beside the manifest.
"""

from __future__ import annotations

import enum
import hashlib
import zlib

import msgspec

DIGEST_BYTES = 16
CHUNK_BYTES = 524_288
"""Size of a stored chunk, within the store's limit for one value."""


class ManifestError(Exception):
    """An accepted configuration cannot be loaded."""


class CorruptConfiguration(ManifestError):
    """The compressed text does not match the digest in its manifest."""


class Manifest(msgspec.Struct, frozen=True):
    """Identifies one accepted configuration.

    Replacing the manifest by one compare-and-swap switches the configuration.
    """

    version: int
    """Number of the accepted configuration, from 1."""

    digest: str
    """Hexadecimal BLAKE2b digest of the compressed text."""

    chunks: int
    """Number of stored values that hold the compressed text."""

    author: str
    """The operator who accepted it."""

    note: str
    """The operator's note on the change."""

    accepted_at: str
    """Time of acceptance by the node's clock, ISO 8601; for display only."""

    acceptance: str
    """Unique id of this acceptance.

    Shows whether a write whose response was lost was applied.
    """


class ManifestStep(enum.Enum):
    """What a node does about the manifest that it has read."""

    confirm = enum.auto()
    """Nothing: it names the configuration in force."""

    adopt = enum.auto()
    """Put its configuration in force."""

    put_back = enum.auto()
    """Write the configuration in force again, as the store has lost it."""

    renumber = enum.auto()
    """Accept its text under the next version, as the version is taken."""


def decide_step(
    found: Manifest | None, version: int, digest: str
) -> ManifestStep:
    """Decide what follows from a manifest that was read.

    `version` and `digest` are those of the configuration in force, version 0 if
    there is none. Accepted versions only rise, unless the store was restored
    from an older copy: then a version may be missing, or have been accepted
    again with another text.
    """
    found_version = found.version if found else 0
    if found_version > version:
        return ManifestStep.adopt
    if found_version < version:
        return ManifestStep.put_back
    if found is not None and found.digest != digest:
        return ManifestStep.renumber
    return ManifestStep.confirm


def compress_text(text: str) -> bytes:
    """Compress a rules file's text."""
    return zlib.compress(text.encode())


def decompress_text(compressed: bytes, digest: str) -> str:
    """Verify the digest and decompress.

    Raises `CorruptConfiguration` if the digest differs.
    """
    if digest_compressed(compressed) != digest:
        raise CorruptConfiguration(
            f'{len(compressed)} compressed bytes do not match digest {digest}'
        )
    return zlib.decompress(compressed).decode()


def digest_compressed(compressed: bytes) -> str:
    """Compute the digest that identifies a compressed text."""
    return hashlib.blake2b(compressed, digest_size=DIGEST_BYTES).hexdigest()


def split_chunks(compressed: bytes) -> list[bytes]:
    """Split a compressed text into values of at most `CHUNK_BYTES`."""
    starts = range(0, max(len(compressed), 1), CHUNK_BYTES)
    return [compressed[start : start + CHUNK_BYTES] for start in starts]
