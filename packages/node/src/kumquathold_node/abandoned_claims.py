"""Deletion of claims whose requests were refused.

A write without a reply may take effect later, so a refused request may leave a
claim that would block all its repeats.
"""

from __future__ import annotations

from time import monotonic

import msgspec

from kumquathold_core import claims
from kumquathold_node.claim_writes import PendingWrite
from kumquathold_node.recent_claims import RecentClaims
from kumquathold_node.store import KeyValueStore, Write

LOOKUP_SECONDS = 30.0
"""How long the claim of a refused request is looked for, to delete it."""


class AbandonedClaim(msgspec.Struct, frozen=True, eq=False):
    """A claim that may have been written although its request was refused."""

    pending: PendingWrite
    """The write that may have taken effect."""

    expires_at: float
    """When to stop looking for it, in seconds of the monotonic clock."""


class AbandonedClaims:
    """The claims of refused requests that are still looked for."""

    def __init__(self, store: KeyValueStore, recent: RecentClaims) -> None:
        """Start without any; deletions are recorded as recent writes."""
        self.store = store
        self.recent = recent
        self.remaining: list[AbandonedClaim] = []

    def add(self, pending: PendingWrite) -> None:
        """Look for the claim of a write from now on."""
        expires_at = monotonic() + LOOKUP_SECONDS
        self.remaining.append(AbandonedClaim(pending, expires_at))

    def delete_all(self) -> None:
        """Delete the claims that are there, and forget those that expired.

        Raises `StoreError`; the claims that are left are tried again.
        """
        now = monotonic()
        for abandoned in tuple(self.remaining):
            is_done = self._try_delete(abandoned.pending)
            if is_done or abandoned.expires_at <= now:
                self.remaining.remove(abandoned)

    def _try_delete(self, pending: PendingWrite) -> bool:
        """Delete a claim; return whether it needs no further try.

        A missing key does not suffice, since the write may yet take effect.
        """
        read = self.store.read(pending.key)
        if not read.found:
            return False
        stored = read.found[0]
        found = claims.decode_claim(stored.value)
        if found is None or found.claim_id != pending.claim.claim_id:
            return True
        write = Write(pending.key, None, stored.mod_revision)
        is_deleted = self.store.swap([write]).succeeded
        if is_deleted:
            deletion = msgspec.structs.replace(pending, is_delete=True)
            self.recent.record(deletion, monotonic())
        return is_deleted
