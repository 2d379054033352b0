"""The tokens that an ingress has drawn and not yet used.

Pure: the time is passed in. A grant expires `GRANT_SECONDS` after the question
was sent, by the own clock; the holder, who answered later, counts it as usable
for longer than that.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from kumquathold_core.distribution import GrantUsage
from kumquathold_core.token_bucket import GRANT_SECONDS

RETURN_AFTER_SECONDS = 0.3
AHEAD_SECONDS = 0.2
DEMAND_MEMORY_SECONDS = 0.5
MAX_WANTED = 1000


class HeldGrant(msgspec.Struct):
    """Tokens of one grant."""

    holder: str
    """Peer address of the holder."""

    number: int
    """The grant's number."""

    tokens: int
    """Left to use."""

    asked_at: float
    """Own monotonic clock, in seconds, when the question was sent."""

    spent: int = 0
    """Used, and not yet reported."""

    returned: int = 0
    """Given back, and not yet reported."""


class TokenCache:
    """One workspace's tokens at one ingress."""

    __slots__ = ('demand', 'demand_at', 'lots')

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.lots: deque[HeldGrant] = deque()
        self.demand = 0.0
        self.demand_at = now

    def add(self, lot: HeldGrant) -> None:
        """Take in a grant."""
        self.lots.append(lot)

    def take(self, now: float) -> bool:
        """Use one token; false where none is left."""
        for lot in self.lots:
            if lot.tokens > 0 and not _is_expired(lot, now):
                lot.tokens -= 1
                lot.spent += 1
                return True
        return False

    def count(self, now: float) -> int:
        """Tokens that can be used now."""
        return sum(lot.tokens for lot in self.lots if not _is_expired(lot, now))

    def note_demand(self, now: float) -> None:
        """Count a request, so that tokens are drawn ahead of the next."""
        self._fade(now)
        self.demand += 1

    def wanted(self, waiting: int, now: float) -> int:
        """Tokens to draw for those who wait and those who will come soon."""
        self._fade(now)
        wanted = waiting + self._ahead() - self.count(now)
        return min(max(0, wanted), MAX_WANTED)

    def is_low(self, now: float) -> bool:
        """Whether to draw ahead: half of what is kept ahead is gone."""
        self._fade(now)
        return self.count(now) < self._ahead() / 2

    def give_back_old(self, now: float) -> None:
        """Mark tokens that nobody wanted for a while as returned."""
        for lot in self.lots:
            is_old = now - lot.asked_at >= RETURN_AFTER_SECONDS
            if is_old and not _is_expired(lot, now):
                lot.returned += lot.tokens
                lot.tokens = 0

    def take_reports(self, workspace: str, holder: str) -> list[GrantUsage]:
        """What to tell a holder; each use is told once."""
        reports = []
        for lot in self.lots:
            if lot.holder == holder and (lot.spent or lot.returned):
                reports.append(
                    GrantUsage(lot.number, workspace, lot.spent, lot.returned),
                )
                lot.spent = 0
                lot.returned = 0
        self.lots = deque(lot for lot in self.lots if _is_of_use(lot))
        return reports

    def holders(self) -> set[str]:
        """The holders that await a report."""
        return {lot.holder for lot in self.lots if lot.spent or lot.returned}

    def drop_expired(self, now: float) -> None:
        """Forget tokens that can no longer be used."""
        self.lots = deque(lot for lot in self.lots if not _is_expired(lot, now))

    def _ahead(self) -> int:
        """Tokens to keep: none after a single request, then one or more."""
        if self.demand <= 1:
            return 0
        rate = self.demand / DEMAND_MEMORY_SECONDS
        return math.ceil(rate * AHEAD_SECONDS)

    def _fade(self, now: float) -> None:
        elapsed = max(0, now - self.demand_at)
        self.demand *= math.exp(-elapsed / DEMAND_MEMORY_SECONDS)
        self.demand_at = now


def _is_expired(lot: HeldGrant, now: float) -> bool:
    return now >= lot.asked_at + GRANT_SECONDS


def _is_of_use(lot: HeldGrant) -> bool:
    return bool(lot.tokens or lot.spent or lot.returned)
