"""Token bucket of one workspace in one region, which hands out grants.

A workspace's rate and burst are divided among the regions, and one node, the
holder, keeps the bucket of a region. Granted tokens count against the burst
until they are reported spent, returned, or have certainly expired, so that

    tokens in the bucket + granted tokens that may still be used <= burst

holds at every moment, and over any window at most `burst + rate * window`
requests run. A lost message loses its tokens; no fault duplicates any. The
module reads no clock; the caller passes the time in.
"""

from __future__ import annotations

import hashlib
import math

import msgspec

from kumquathold_core.distribution import GrantUsage
from kumquathold_core.rules import Workspace

GRANT_LIFETIME_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.01
MIN_BURST = 1
"""Least burst, in requests, of a workspace that has a rate.

A bucket that holds no whole token serves nothing.
"""

USAGE_REPORT_SECONDS = 0.05
"""Time in which ingresses report what they used of their grants."""


class RegionLimit(msgspec.Struct, frozen=True):
    """One region's share of a workspace's limits."""

    rate: float
    """Tokens per second."""

    burst: int
    """Bucket size; whole, so that no region waits for a fraction of a token."""


class OutstandingGrant(msgspec.Struct):
    """Tokens of one grant that are neither spent, returned nor expired."""

    tokens: int
    """Tokens that may still be used."""

    expires_at: float
    """When the tokens become unusable, by the holder's clock."""


def rate_group_of(workspace: str, groups: int) -> int:
    """Return the rate group whose holder keeps a workspace's tokens."""
    digest = hashlib.blake2b(workspace.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % groups


def region_limit_of(
    workspace: Workspace,
    region: str,
    regions: tuple[str, ...],
) -> RegionLimit:
    """Return one region's share; the shares of all regions add up to the limit.

    The burst is divided in whole tokens. The remainder goes to regions in an
    order that differs by workspace, and the rate is divided like the burst. A
    burst of 0 counts as `MIN_BURST`: the region that has it has the whole rate.
    """

    def hash_region(name: str) -> bytes:
        text = f'{workspace.name} {name}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    rank = sorted(regions, key=hash_region).index(region)
    total = max(workspace.burst, MIN_BURST)
    whole, remainder = divmod(total, len(regions))
    burst = whole + int(rank < remainder)
    return RegionLimit(rate=workspace.rate * burst / total, burst=burst)


class TokenBucket:
    """Bucket of one workspace's tokens in one region, kept by the holder."""

    __slots__ = ('grants', 'level', 'limit', 'updated_at')

    def __init__(self, limit: RegionLimit, starts_at: float) -> None:
        """Start empty; the bucket refills from `starts_at` on."""
        self.limit = limit
        self.level = 0.0
        self.updated_at = starts_at
        self.grants: dict[tuple[str, int, int], OutstandingGrant] = {}

    def change_limit(self, limit: RegionLimit, now: float) -> None:
        """Apply new limits; tokens above the new burst are dropped."""
        self._refill(now)
        self.limit = limit
        self._refill(now)

    def grant(
        self,
        grant_id: tuple[str, int, int],
        wanted: int,
        now: float,
    ) -> int:
        """Hand out at most `wanted` tokens, and return their number.

        `grant_id` is the ingress's address, its incarnation and the number of
        its request; a duplicate of an outstanding request gets no tokens.
        """
        self._refill(now)
        tokens = min(wanted, math.floor(self.level))
        if tokens < 1 or grant_id in self.grants:
            return 0
        self.level -= tokens
        self.grants[grant_id] = OutstandingGrant(
            tokens, now + GRANT_LIFETIME_SECONDS
        )
        return tokens

    def apply_usage(
        self,
        grant_id: tuple[str, int, int],
        usage: GrantUsage,
        now: float,
    ) -> None:
        """Account for the usage of a grant; an expired grant is not revived."""
        self._refill(now)
        grant = self.grants.get(grant_id)
        if grant is None:
            return
        spent = min(usage.spent, grant.tokens)
        grant.tokens -= spent
        returned = min(usage.returned, grant.tokens)
        grant.tokens -= returned
        self.level += returned
        if grant.tokens <= 0:
            self.grants.pop(grant_id)

    def estimate_token_wait(self, now: float) -> float:
        """Return the seconds until a whole token is likely to be available.

        Tokens that are granted and not reported as used leave no room for new
        ones: reports are due within `USAGE_REPORT_SECONDS`.
        """
        self._refill(now)
        if self.limit.burst < 1:
            return math.inf
        missing = max(0, 1 - self.level)
        refill = max(missing / self.limit.rate, MIN_RETRY_SECONDS)
        room = self.limit.burst - self._count_outstanding()
        return refill if room >= 1 else max(refill, USAGE_REPORT_SECONDS)

    def is_idle(self, now: float) -> bool:
        """Return whether the bucket is full and can be dropped without loss."""
        self._refill(now)
        return not self.grants and self.level >= self.limit.burst

    def _count_outstanding(self) -> int:
        return sum(grant.tokens for grant in self.grants.values())

    def _refill(self, now: float) -> None:
        for grant_id, grant in list(self.grants.items()):
            if grant.expires_at <= now:
                self.grants.pop(grant_id)
        elapsed = max(0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        room = self.limit.burst - self._count_outstanding()
        level = self.level + elapsed * self.limit.rate
        self.level = max(0, min(level, room))
