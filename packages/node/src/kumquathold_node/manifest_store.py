"""The manifest and the text of the accepted configuration in the store.

The text is written first, in chunks whose keys name its digest; then the
manifest is replaced by a compare-and-swap. Its history key is created by the
same swap, so each version is accepted at most once.
"""

from __future__ import annotations

import datetime
import uuid

import msgspec

from kumquathold_core import manifest as manifests
from kumquathold_core import store_keys
from kumquathold_core.manifest import Manifest
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    Revision,
    StoredValue,
    SwapResult,
    Write,
)


def make_manifest(
    version: int, compressed: bytes, *, author: str, note: str
) -> Manifest:
    """Make the manifest of a text that is accepted now."""
    return Manifest(
        version=version,
        digest=manifests.digest_compressed(compressed),
        chunks=len(manifests.split_chunks(compressed)),
        author=author,
        note=note,
        accepted_at=datetime.datetime.now(datetime.UTC).isoformat(),
        acceptance=uuid.uuid4().hex,
    )


def read_manifest(store: KeyValueStore) -> StoredValue | None:
    """Read the stored manifest; raises `StoreError`."""
    reading = store.read(store_keys.MANIFEST_KEY)
    return reading.found[0] if reading.found else None


def decode_manifest(stored: StoredValue) -> Manifest:
    """Decode a manifest as the store holds it."""
    return msgspec.json.decode(stored.value, type=Manifest)


def read_text(store: KeyValueStore, digest: str) -> bytes:
    """Read the compressed text with this digest; raises `StoreError`."""
    reading = store.read_prefix(store_keys.chunk_prefix(digest))
    return b''.join(stored.value for stored in reading.found)


def write_text(store: KeyValueStore, compressed: bytes) -> None:
    """Write the chunks of a text; raises `StoreError`."""
    digest = manifests.digest_compressed(compressed)
    for number, chunk in enumerate(manifests.split_chunks(compressed)):
        key = store_keys.chunk_key(digest, number)
        store.swap([Write(key, chunk, expected_revision=None)])


def swap_manifest(
    store: KeyValueStore, manifest: Manifest, expected: Revision
) -> SwapResult:
    """Replace the manifest that has a revision; raises `StoreError`."""
    value = msgspec.json.encode(manifest)
    history_key = store_keys.history_key(manifest.version)
    return store.swap(
        [
            Write(store_keys.MANIFEST_KEY, value, expected_revision=expected),
            Write(history_key, value, expected_revision=ABSENT),
        ]
    )
