"""Spaces the starts of requests at an upstream that takes a limited rate.

A token bucket: each start takes one token, and tokens come at the limit's rate.
Within `w` seconds at most `limit * (w + burst_seconds) + 1` requests start. The
module reads no clock; the caller passes the time in.
"""

from __future__ import annotations

BURST_SECONDS = 1.0
"""Time for which unused tokens are kept."""

MIN_STARTS_PER_SECOND = 0.25
"""Least rate of starts: only a response can tell that a limit has ended."""


class StartLimiter:
    """Starts that the limit of one upstream leaves room for."""

    __slots__ = ('burst_seconds', 'rate', 'tokens', 'updated_at')

    def __init__(self, burst_seconds: float = BURST_SECONDS) -> None:
        """Start without a limit; unused tokens are kept `burst_seconds`."""
        self.burst_seconds = burst_seconds
        self.rate: float | None = None
        """Starts a second, `None` without a limit."""
        self.tokens = 0.0
        self.updated_at = 0.0

    def set_limit(self, limit: float | None, now: float) -> None:
        """Apply a limit in requests a second, or `None` to lift it.

        A new limit starts without tokens, as it may have been exceeded already.
        """
        self._refill(now)
        if limit is None:
            self.rate = None
            self.tokens = 0.0
        else:
            self.rate = max(limit, MIN_STARTS_PER_SECOND)
            self.tokens = min(self.tokens, self._capacity(self.rate))

    def may_start(self, now: float) -> bool:
        """Return whether a request may start now."""
        self._refill(now)
        return self.rate is None or self.tokens >= 1

    def record_start(self, now: float) -> None:
        """Take a token for a request that starts now."""
        self._refill(now)
        if self.rate is not None:
            self.tokens -= 1

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a request behind `ahead` others starts."""
        self._refill(now)
        if self.rate is None:
            return 0.0
        return max(0.0, ahead + 1 - self.tokens) / self.rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        if self.rate is not None:
            gained = self.tokens + elapsed * self.rate
            self.tokens = min(gained, self._capacity(self.rate))

    def _capacity(self, rate: float) -> float:
        return 1 + rate * self.burst_seconds
