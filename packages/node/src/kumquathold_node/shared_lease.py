"""A lease that the keys written within a while share.

They expire with it, so the store deletes them without a call for each.
"""

from __future__ import annotations

from time import monotonic

from kumquathold_node.store import KeyValueStore, Lease


class SharedLease:
    """Grants a lease when one is needed."""

    def __init__(
        self, store: KeyValueStore, *, retention: float, reuse: float
    ) -> None:
        """Start without a lease.

        `retention` is the time in seconds after which the store deletes the
        keys, `reuse` that after which new keys get another lease.
        """
        self.store = store
        self.retention = retention
        self.reuse = reuse
        self.lease: Lease | None = None
        self.renewal_at = 0.0
        """When a new one is granted, in seconds of the monotonic clock."""

    def get(self) -> Lease:
        """Return a lease of the present era; raises `StoreError`."""
        now = monotonic()
        lease = self.lease
        is_kept = lease is not None and lease.era == self.store.era
        if lease is None or not is_kept or now >= self.renewal_at:
            lease = self.store.grant_lease(self.retention)
            self.lease = lease
            self.renewal_at = now + self.reuse
        return lease

    def drop(self) -> None:
        """Grant a new lease next time, as the store has lost this one."""
        self.lease = None
