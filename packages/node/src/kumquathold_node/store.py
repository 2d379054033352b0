"""Interface and types of the key-value store, as used by the node.

Each deployment has an adapter that implements `KeyValueStore` by the protocol
of its platform. A call that raises `StoreUnavailable` may or may not have taken
effect; a caller that writes must read the keys back to find out which.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec


class StoreError(Exception):
    """A call to the store failed."""


class StoreUnavailable(StoreError):
    """The store gave no reply or was down; a write may have taken effect."""


class StoreRefused(StoreError):
    """The store responded with an error."""


class StoredValue(msgspec.Struct, frozen=True):
    """A key with its value and revisions."""

    key: str
    """The key."""

    value: bytes
    """The value, as raw bytes."""

    mod_revision: int
    """Revision of the last change, to compare with in a swap."""

    create_revision: int
    """Revision in which the key was created."""


class ReadResult(msgspec.Struct, frozen=True):
    """The result of a read."""

    revision: int
    """Revision of the store at the time of the read; 0 if not reported."""

    found: tuple[StoredValue, ...]
    """The keys found, in order."""


class Write(msgspec.Struct, frozen=True):
    """A conditional write of one key, as part of a transaction."""

    key: str
    """The key."""

    value: bytes | None
    """The value to store; `None` deletes the key."""

    expected_revision: int | None
    """Revision that the key must have; 0 if absent, `None` for any."""

    lease: int = 0
    """Lease with which the key expires; 0 for none."""


class SwapResult(msgspec.Struct, frozen=True):
    """The result of a transaction of conditional writes."""

    succeeded: bool
    """Whether all conditions held, so that all keys were written."""

    revision: int
    """Revision of the store after the transaction, or of what was found."""

    found: tuple[StoredValue, ...]
    """If a condition failed, the keys that exist; otherwise empty."""


class Lease(msgspec.Struct, frozen=True):
    """A lease granted by the store."""

    id: int
    """Id of the lease in the store."""

    seconds: float
    """Time to live from the last keep-alive."""


class HistoryCompacted(StoreError):
    """The changes since the given revision have been compacted."""


class KeyChange(msgspec.Struct, frozen=True):
    """A change of one key."""

    key: str
    """The key."""

    revision: int
    """Revision of the change."""

    stored: StoredValue | None
    """The key after the change; `None` if it was deleted."""


class ChangeBatch(msgspec.Struct, frozen=True):
    """The result of a watch."""

    revision: int
    """Revision up to which all changes have been reported."""

    changes: tuple[KeyChange, ...]
    """The changes, in order of revision; empty if there were none."""


class KeyValueStore(Protocol):
    """Interface of a store adapter.

    Methods may be called from any thread, and raise `StoreError` on failure.
    """

    def read(self, key: str) -> ReadResult:
        """Read one key."""

    def read_prefix(
        self,
        prefix: str,
        *,
        limit: int = 0,
        keys_only: bool = False,
    ) -> ReadResult:
        """Read the keys that start with a prefix.

        `limit` is the largest number of keys to return, 0 for all. With
        `keys_only` the adapter may leave out the values.
        """

    def swap(self, writes: Sequence[Write]) -> SwapResult:
        """Write several keys in one transaction if all conditions hold."""

    def grant_lease(self, seconds: float) -> Lease:
        """Create a lease with this time to live."""

    def keep_alive(self, lease: int) -> Lease:
        """Renew a lease; the result has 0 seconds if it has expired."""

    def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete its keys."""


class WatchableStore(KeyValueStore, Protocol):
    """A store whose changes can also be watched."""

    def watch(self, prefix: str, after: int, seconds: float) -> ChangeBatch:
        """Wait up to `seconds` for changes after the revision `after`.

        Raises `HistoryCompacted` if changes after it are no longer available.
        """
