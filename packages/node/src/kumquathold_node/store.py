"""The platform's key-value service as the node sees it: types and interface.

Each deployment brings an adapter that speaks its platform's protocol. A call
without an answer may have taken effect: `StoreUnavailable` says nothing about
that, and callers that write must read before they say either.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec


class StoreError(Exception):
    """A call to the platform that failed."""


class StoreUnavailable(StoreError):
    """No answer came; a write may have taken effect all the same."""


class StoreRefused(StoreError):
    """The platform answered, with an error."""


class StoredValue(msgspec.Struct, frozen=True):
    """A value and its revision."""

    key: str
    """The key."""

    value: bytes
    """What is stored."""

    mod_revision: int
    """Revision of the last change, for compare-and-swap."""

    create_revision: int
    """Revision of the creation."""


class ReadResult(msgspec.Struct, frozen=True):
    """The answer to a read."""

    revision: int
    """The store's revision when it answered."""

    found: tuple[StoredValue, ...]
    """In the order of their keys."""


class Write(msgspec.Struct, frozen=True):
    """A conditional write of one key, with others in one transaction."""

    key: str
    """The key."""

    value: bytes | None
    """What to store; nothing deletes the key."""

    expected_revision: int | None
    """Revision that must be in place; 0 for no key, nothing for any."""

    lease: int = 0
    """The lease that the key goes with, 0 for none."""


class SwapResult(msgspec.Struct, frozen=True):
    """The answer to a conditional write."""

    succeeded: bool
    """Whether all conditions held and everything was written."""

    revision: int
    """The store's revision when it answered."""

    found: tuple[StoredValue, ...]
    """Where the conditions failed, the keys as they are."""


class Lease(msgspec.Struct, frozen=True):
    """A lease of the platform."""

    id: int
    """The platform's number for it."""

    seconds: float
    """How long it lasts from the last keep-alive."""


class HistoryCompacted(StoreError):
    """The changes since the given revision are not kept any more."""


class KeyChange(msgspec.Struct, frozen=True):
    """A change of one key."""

    key: str
    """The key."""

    revision: int
    """Revision of the change."""

    stored: StoredValue | None
    """What was stored; nothing where the key was deleted."""


class ChangeBatch(msgspec.Struct, frozen=True):
    """The answer to a watch."""

    revision: int
    """Up to which revision the changes are told."""

    changes: tuple[KeyChange, ...]
    """In the order of their revisions; empty where nothing changed."""


class KeyValueStore(Protocol):
    """What every adapter offers; its methods may be called from any thread."""

    def read(self, key: str) -> ReadResult:
        """Read one key."""

    def read_prefix(
        self,
        prefix: str,
        *,
        limit: int = 0,
        keys_only: bool = False,
    ) -> ReadResult:
        """Read all keys that start with a prefix."""

    def swap(self, writes: Sequence[Write]) -> SwapResult:
        """Write several keys together if all conditions hold."""

    def grant_lease(self, seconds: float) -> Lease:
        """Start a lease."""

    def keep_alive(self, lease: int) -> Lease:
        """Prolong a lease; 0 seconds mean that it has ended."""

    def revoke_lease(self, lease: int) -> None:
        """End a lease, and with it the keys that go with it."""


class WatchableStore(KeyValueStore, Protocol):
    """A platform that can also be watched."""

    def watch(self, prefix: str, after: int, seconds: float) -> ChangeBatch:
        """Wait for changes after a revision; raises `HistoryCompacted`."""
