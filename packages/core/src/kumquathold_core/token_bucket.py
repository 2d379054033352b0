"""Token buckets that hand out grants, strict over every window.

Pure: the time is passed in. A workspace's rate and burst are divided among the
regions, and each region's part lies with one holder. Tokens that are out on
grant count against the burst until they are reported spent, returned, or
surely expired, so that

    tokens in the bucket + tokens that may still be used <= burst

holds at every moment, and over any window at most `burst + rate * window`
requests run. Lost messages lose tokens; nothing doubles them.
"""

from __future__ import annotations

import hashlib
import math

import msgspec

from kumquathold_core.distribution import GrantUsage
from kumquathold_core.rules import Workspace

GRANT_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.01


class RegionLimit(msgspec.Struct, frozen=True):
    """One region's part of a workspace's limits."""

    rate: float
    """Tokens a second."""

    burst: int
    """Most tokens at once, whole so that no region waits for a fraction."""


class OutstandingGrant(msgspec.Struct):
    """Tokens out on one grant."""

    tokens: int
    """Tokens that may still be used."""

    expires_at: float
    """When none of them can be used any more, by the holder's clock."""


def rate_group_of(workspace: str, groups: int) -> int:
    """The group whose holder keeps a workspace's tokens."""
    digest = hashlib.blake2b(workspace.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % groups


def region_limit_of(
    workspace: Workspace,
    region: str,
    regions: tuple[str, ...],
) -> RegionLimit:
    """One region's part; the parts of all regions add up to the whole.

    The burst is divided in whole tokens, the odd ones going to regions in an
    order that differs by workspace, and the rate follows the burst.
    """

    def weight(name: str) -> bytes:
        text = f'{workspace.name} {name}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    place = sorted(regions, key=weight).index(region)
    whole, odd = divmod(workspace.burst, len(regions))
    burst = whole + int(place < odd)
    return RegionLimit(
        rate=workspace.rate * burst / workspace.burst, burst=burst
    )


class TokenBucket:
    """One region's tokens of one workspace, at their holder."""

    __slots__ = ('level', 'lots', 'share', 'updated_at')

    def __init__(self, share: RegionLimit, starts_at: float) -> None:
        """Start empty; tokens begin to come at `starts_at`."""
        self.share = share
        self.level = 0.0
        self.updated_at = starts_at
        self.lots: dict[tuple[str, int, int], OutstandingGrant] = {}

    def change_share(self, share: RegionLimit, now: float) -> None:
        """Take new limits over; tokens above the new burst are dropped."""
        self._refill(now)
        self.share = share
        self._refill(now)

    def grant(
        self,
        asker: tuple[str, int, int],
        wanted: int,
        now: float,
    ) -> int:
        """Hand out at most `wanted` tokens, and give their number.

        `asker` is the ingress's address, its incarnation and the number of
        its question; a question that comes twice gets nothing more.
        """
        self._refill(now)
        tokens = min(wanted, math.floor(self.level))
        if tokens < 1 or asker in self.lots:
            return 0
        self.level -= tokens
        self.lots[asker] = OutstandingGrant(tokens, now + GRANT_SECONDS)
        return tokens

    def settle(
        self,
        asker: tuple[str, int, int],
        report: GrantUsage,
        now: float,
    ) -> None:
        """Take in what became of a grant; an expired one stays so."""
        self._refill(now)
        lot = self.lots.get(asker)
        if lot is None:
            return
        spent = min(report.spent, lot.tokens)
        lot.tokens -= spent
        returned = min(report.returned, lot.tokens)
        lot.tokens -= returned
        self.level += returned
        if lot.tokens <= 0:
            self.lots.pop(asker)

    def wait_for_token(self, now: float) -> float:
        """Seconds until a whole token can be there, at the least."""
        self._refill(now)
        if self.share.burst < 1:
            return math.inf
        missing = max(0, 1 - self.level)
        room = self.share.burst - self._outstanding()
        if room < 1:
            soonest = min(lot.expires_at for lot in self.lots.values())
            return max(soonest - now, MIN_RETRY_SECONDS)
        return max(missing / self.share.rate, MIN_RETRY_SECONDS)

    def is_idle(self, now: float) -> bool:
        """Whether the bucket is full, so that forgetting it loses nothing."""
        self._refill(now)
        return not self.lots and self.level >= self.share.burst

    def _outstanding(self) -> int:
        return sum(lot.tokens for lot in self.lots.values())

    def _refill(self, now: float) -> None:
        for asker, lot in list(self.lots.items()):
            if lot.expires_at <= now:
                self.lots.pop(asker)
        elapsed = max(0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        room = self.share.burst - self._outstanding()
        level = self.level + elapsed * self.share.rate
        self.level = max(0, min(level, room))
