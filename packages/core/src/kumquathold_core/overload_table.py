"""Which upstreams are known to have no time for a request.

An owner that refuses a request because others go first says how much time it
would have needed. If all owners of a service have said so a moment ago, a
request with less time is refused without asking them again. The module reads no
clock; the caller passes the time in.
"""

from __future__ import annotations

import msgspec

VALID_SECONDS = 1.0
"""Age up to which a refusal still tells how busy an upstream is."""


class OverloadRefusal(msgspec.Struct, frozen=True):
    """The latest refusal of an upstream for want of time."""

    rank: int
    """Priority of the refused request, 0 first."""

    seconds_needed: float
    """Time that it would have needed to its deadline."""

    refused_at: float
    """When it was refused, in seconds of the monotonic clock."""

    def holds_for(self, rank: int, seconds_left: float, now: float) -> bool:
        """Whether a request would be refused as well.

        The upstream works off its queue meanwhile, and more urgent requests go
        first.
        """
        age = now - self.refused_at
        if age > VALID_SECONDS or rank < self.rank:
            return False
        return self.seconds_needed - age > seconds_left


class OverloadTable:
    """The latest such refusal of each upstream, by name."""

    __slots__ = ('refusals',)

    def __init__(self) -> None:
        """Start empty."""
        self.refusals: dict[str, OverloadRefusal] = {}

    def record(
        self, upstream: str, rank: int, seconds_needed: float, now: float
    ) -> None:
        """Record a refusal of a request of this rank."""
        self.refusals[upstream] = OverloadRefusal(rank, seconds_needed, now)

    def retain(self, upstreams: set[str]) -> None:
        """Forget all other upstreams."""
        for upstream in self.refusals.keys() - upstreams:
            self.refusals.pop(upstream)

    def is_hopeless(
        self, upstreams: list[str], rank: int, seconds_left: float, now: float
    ) -> bool:
        """Whether all of these upstreams are known to refuse a request.

        Of no upstreams nothing is known.
        """
        if not upstreams:
            return False
        return all(
            self._is_known_to_refuse(upstream, rank, seconds_left, now)
            for upstream in upstreams
        )

    def _is_known_to_refuse(
        self, upstream: str, rank: int, seconds_left: float, now: float
    ) -> bool:
        refusal = self.refusals.get(upstream)
        return refusal is not None and refusal.holds_for(
            rank, seconds_left, now
        )
