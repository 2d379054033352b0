"""Cache of the tokens that an ingress has acquired and not yet used.

The module reads no clock; the caller passes the time in. A grant expires
`GRANT_LIFETIME_SECONDS` after its request was sent, by the ingress's clock. The
holder counts the same time from its later response, so it never reuses a token
that is still usable here.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from kumquathold_core.distribution import GrantUsage
from kumquathold_core.token_bucket import GRANT_LIFETIME_SECONDS

RETURN_AFTER_SECONDS = 0.3
PREFETCH_SECONDS = 0.2
DEMAND_DECAY_SECONDS = 0.5
MAX_REQUESTED_TOKENS = 1000


class HeldGrant(msgspec.Struct):
    """Tokens of one grant."""

    holder: str
    """Peer address of the holder."""

    number: int
    """The grant's number."""

    tokens: int
    """Unused tokens."""

    requested_at: float
    """Own monotonic clock, in seconds, when the request was sent."""

    spent: int = 0
    """Tokens used and not yet reported."""

    returned: int = 0
    """Tokens returned and not yet reported."""


class TokenCache:
    """One workspace's tokens at one ingress."""

    __slots__ = ('demand', 'demand_updated_at', 'grants')

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.grants: deque[HeldGrant] = deque()
        self.demand = 0.0
        self.demand_updated_at = now

    def add(self, grant: HeldGrant) -> None:
        """Add the tokens of a grant."""
        self.grants.append(grant)

    def take(self, now: float) -> bool:
        """Use one token; return false where none is left."""
        for grant in self.grants:
            if grant.tokens > 0 and not _is_expired(grant, now):
                grant.tokens -= 1
                grant.spent += 1
                return True
        return False

    def count(self, now: float) -> int:
        """Return the number of tokens that can be used now."""
        return sum(
            grant.tokens for grant in self.grants if not _is_expired(grant, now)
        )

    def record_demand(self, now: float) -> None:
        """Count a request, so that tokens are prefetched for the next ones."""
        self._decay_demand(now)
        self.demand += 1

    def count_wanted(self, waiting: int, now: float) -> int:
        """Return how many tokens waiting and expected requests still need."""
        self._decay_demand(now)
        wanted = waiting + self._prefetch_target() - self.count(now)
        return min(max(0, wanted), MAX_REQUESTED_TOKENS)

    def is_low(self, now: float) -> bool:
        """Return whether less than half of the prefetch target is left."""
        self._decay_demand(now)
        return self.count(now) < self._prefetch_target() / 2

    def return_idle_tokens(self, now: float) -> None:
        """Mark unused tokens as returned after `RETURN_AFTER_SECONDS`."""
        for grant in self.grants:
            is_old = now - grant.requested_at >= RETURN_AFTER_SECONDS
            if is_old and not _is_expired(grant, now):
                grant.returned += grant.tokens
                grant.tokens = 0

    def take_reports(self, workspace: str, holder: str) -> list[GrantUsage]:
        """Remove and return the usage to report to a holder, each use once."""
        reports = []
        for grant in self.grants:
            if grant.holder == holder and (grant.spent or grant.returned):
                reports.append(
                    GrantUsage(
                        grant.number, workspace, grant.spent, grant.returned
                    ),
                )
                grant.spent = 0
                grant.returned = 0
        self.grants = deque(
            grant for grant in self.grants if _has_content(grant)
        )
        return reports

    def list_reporting_holders(self) -> set[str]:
        """Return the holders of grants whose usage is not yet reported."""
        return {
            grant.holder
            for grant in self.grants
            if grant.spent or grant.returned
        }

    def drop_expired(self, now: float) -> None:
        """Drop grants whose tokens can no longer be used."""
        self.grants = deque(
            grant for grant in self.grants if not _is_expired(grant, now)
        )

    def _prefetch_target(self) -> int:
        """Return how many tokens to hold: none after a single request."""
        if self.demand <= 1:
            return 0
        rate = self.demand / DEMAND_DECAY_SECONDS
        return math.ceil(rate * PREFETCH_SECONDS)

    def _decay_demand(self, now: float) -> None:
        elapsed = max(0, now - self.demand_updated_at)
        self.demand *= math.exp(-elapsed / DEMAND_DECAY_SECONDS)
        self.demand_updated_at = now


def _is_expired(grant: HeldGrant, now: float) -> bool:
    return now >= grant.requested_at + GRANT_LIFETIME_SECONDS


def _has_content(grant: HeldGrant) -> bool:
    return bool(grant.tokens or grant.spent or grant.returned)
