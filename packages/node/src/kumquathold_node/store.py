"""Interface and types of the key-value store, as used by the node.

Each deployment has an adapter that implements `KeyValueStore` by the protocol
of its platform. A call that raises `StoreUnavailable` may or may not have taken
effect; a caller that writes must read the keys back to find out which.

The store may be restored from an older copy, which begins another era:
revisions go back and are given out again, and what was acknowledged since the
copy is gone. Revisions and leases therefore belong to an era, and adapters
refuse those of an earlier one. A user of the store that relies on something it
wrote compares `era` with the one it last saw, and reads or writes anew after a
change.
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


class StoreRestored(StoreUnavailable):
    """The store was restored during the call."""


class EarlierEra(StoreRefused):
    """A revision or lease is from before a restore; nothing was sent."""


class LeaseEnded(StoreRefused):
    """A key was to be bound to a lease that has ended; nothing was written."""


class Revision(msgspec.Struct, frozen=True, order=True):
    """A point in the history of the store; a later era is later."""

    era: int
    """Number of restores that this process had noticed before."""

    number: int
    """The store's own number; 0 for a key that is absent, or if not known."""


ABSENT = Revision(0, 0)
"""Expected revision of a key that must not exist, in any era."""


class StoredValue(msgspec.Struct, frozen=True):
    """A key with its value and revisions."""

    key: str
    """The key."""

    value: bytes
    """The value, as raw bytes."""

    mod_revision: Revision
    """Revision of the last change, to compare with in a swap."""


class ReadResult(msgspec.Struct, frozen=True):
    """The result of a read."""

    revision: Revision
    """Revision of the store at the time of the read, if reported."""

    found: tuple[StoredValue, ...]
    """The keys found, in order."""


class Lease(msgspec.Struct, frozen=True):
    """A lease granted by the store."""

    id: int
    """Id of the lease in the store."""

    seconds: float
    """Time to live from the last keep-alive; 0 once it has expired."""

    era: int = 0
    """Era in which it was granted."""


class Write(msgspec.Struct, frozen=True):
    """A conditional write of one key, as part of a transaction."""

    key: str
    """The key."""

    value: bytes | None
    """The value to store; `None` deletes the key."""

    expected_revision: Revision | None
    """Revision that the key must have, or `ABSENT`; `None` for any."""

    lease: Lease | None = None
    """Lease with which the key expires."""


class SwapResult(msgspec.Struct, frozen=True):
    """The result of a transaction of conditional writes."""

    succeeded: bool
    """Whether all conditions held, so that all keys were written."""

    revision: Revision
    """Revision of the store after the transaction, or of what was found."""

    found: tuple[StoredValue, ...]
    """If a condition failed, the keys that exist; otherwise empty."""


class HistoryCompacted(StoreError):
    """The changes since the given revision have been compacted."""


class KeyChange(msgspec.Struct, frozen=True):
    """A change of one key."""

    key: str
    """The key."""

    revision: Revision
    """Revision of the change."""

    stored: StoredValue | None
    """The key after the change; `None` if it was deleted."""


class ChangeBatch(msgspec.Struct, frozen=True):
    """The result of a watch."""

    revision: Revision
    """Revision up to which all changes have been reported."""

    changes: tuple[KeyChange, ...]
    """The changes, in order of revision; empty if there were none."""


class KeyValueStore(Protocol):
    """Interface of a store adapter.

    Methods may be called from any thread, and raise `StoreError` on failure.
    Any of them raises `StoreRestored` if the store was restored meanwhile.
    """

    @property
    def era(self) -> int:
        """Number of restores of the store that were noticed so far."""

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
        """Write several keys in one transaction if all conditions hold.

        Raises `EarlierEra` if a revision or a lease is from before a restore,
        and `LeaseEnded` if the store does not have a lease.
        """

    def grant_lease(self, seconds: float) -> Lease:
        """Create a lease with this time to live."""

    def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease; the result has 0 seconds if it has expired.

        So does one from before a restore: its id may be another node's now.
        """

    def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys, unless it has expired."""


class WatchableStore(KeyValueStore, Protocol):
    """A store whose changes can also be watched."""

    def watch(
        self, prefix: str, after: Revision, seconds: float
    ) -> ChangeBatch:
        """Wait up to `seconds` for changes after the revision `after`.

        Raises `HistoryCompacted` if changes after it are no longer available,
        and `EarlierEra` if it is from before a restore.
        """


def check_era(writes: Sequence[Write], era: int) -> None:
    """Raise `EarlierEra` if a condition or lease is not of the present era."""
    for write in writes:
        expected = write.expected_revision
        if expected and expected.number and expected.era != era:
            raise EarlierEra(f'{write.key}: {expected}, the era is {era}')
        if write.lease and write.lease.era != era:
            raise EarlierEra(f'{write.key}: {write.lease}, the era is {era}')
