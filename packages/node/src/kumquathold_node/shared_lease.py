"""The lease that the claims of one hour share.

Claims expire with it, so the store deletes them without a call for each.
"""

from __future__ import annotations

from time import monotonic

from kumquathold_node.store import KeyValueStore, Lease

HOUR_SECONDS = 3600
RETENTION_SECONDS = 7 * 24 * HOUR_SECONDS
"""Time after which the store deletes the claims of a lease."""

REUSE_SECONDS = HOUR_SECONDS
"""How long new claims share a lease before a new one is granted."""


class SharedLease:
    """Grants a lease when one is needed."""

    def __init__(self, store: KeyValueStore) -> None:
        """Start without a lease."""
        self.store = store
        self.lease: Lease | None = None
        self.renewal_at = 0.0
        """When a new one is granted, in seconds of the monotonic clock."""

    def get(self) -> Lease:
        """Return a lease of the present era; raises `StoreError`."""
        now = monotonic()
        lease = self.lease
        is_kept = lease is not None and lease.era == self.store.era
        if lease is None or not is_kept or now >= self.renewal_at:
            lease = self.store.grant_lease(RETENTION_SECONDS)
            self.lease = lease
            self.renewal_at = now + REUSE_SECONDS
        return lease

    def drop(self) -> None:
        """Grant a new lease next time, as the store has lost this one."""
        self.lease = None
