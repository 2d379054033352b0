"""Limits the starts of requests at an upstream while it is cold.

A cold upstream takes a stated rate from all nodes together and crashes well
above it. All its requests pass its owner, so the owner keeps the limit. It has
no unused tokens at its start: an owner that restarts does not know what its
earlier process sent. The module reads no clock; the caller passes the time in.
"""

from __future__ import annotations

import math

from kumquathold_core.start_limiter import StartLimiter

COLD_BURST_SECONDS = 0.4
"""Time for which unused starts are kept.

Any second then has at most 1.4 times the rate and one more: an upstream
tolerates one and a half times its rate.
"""


class ColdLimiter:
    """Whether one upstream is cold, and the starts that leaves room for."""

    __slots__ = ('cold_until', 'limiter')

    def __init__(self) -> None:
        """Start warm."""
        self.limiter = StartLimiter(COLD_BURST_SECONDS)
        self.cold_until = -math.inf
        """End of the cold start, in seconds of the owner's clock."""

    @property
    def rate(self) -> float | None:
        """Starts a second while cold; `None` while warm or not limited."""
        return self.limiter.rate

    def record_cold(self, seconds: float, now: float) -> None:
        """Record how much longer the upstream is cold, 0 if it is warm.

        Infinite seconds mean that it may be cold, until it is known.
        """
        self.cold_until = now + seconds if seconds > 0 else -math.inf

    def update(self, rate: float, now: float) -> bool:
        """Apply or lift the limit; return whether it changed.

        `rate` is that of the upstream's service, 0 for none.
        """
        is_limited = rate > 0 and now < self.cold_until
        before = self.limiter.rate
        self.limiter.set_limit(rate if is_limited else None, now)
        return self.limiter.rate != before

    def may_start(self, now: float) -> bool:
        """Whether a request may start now."""
        return self.limiter.may_start(now)

    def record_start(self, now: float) -> None:
        """Count a request that starts now."""
        self.limiter.record_start(now)

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a request behind `ahead` others starts."""
        return self.limiter.estimate_wait(ahead, now)
