"""How many requests may wait for the tokens of a workspace that has none left.

The module reads no clock; the caller passes the time in, in seconds.
"""

from __future__ import annotations

import math

AVERAGING_SECONDS = 1.0
"""Time over which the rate of tokens is averaged, with exponential decay."""

EXPECTED_WAIT_SHARE = 0.5
"""Largest expected wait, as a share of the time that a request may wait.

Tokens come unevenly, so one that is expected late often comes too late.
"""


class TokenRate:
    """Rate at which one ingress gets the tokens of a workspace."""

    __slots__ = ('tokens', 'updated_at')

    def __init__(self, now: float) -> None:
        """Start without tokens."""
        self.tokens = 0.0
        self.updated_at = now

    def record(self, tokens: int, now: float) -> None:
        """Count tokens that were granted."""
        self._decay(now)
        self.tokens += tokens

    def estimate(self, now: float) -> float:
        """Return the tokens per second of late."""
        self._decay(now)
        return self.tokens / AVERAGING_SECONDS

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens *= math.exp(-elapsed / AVERAGING_SECONDS)
        self.updated_at = now


def may_wait(position: int, rate: float, timeout: float) -> bool:
    """Whether a request is likely to get a token within its timeout.

    `position` is 1 for the next one to be served, `rate` in tokens per second.

    Example:
        may_wait(3, 5.0, 2.0)  # true: expected after 0.6 s, of 1 s at most
        may_wait(6, 5.0, 2.0)  # false: expected after 1.2 s

    """
    return position <= max(1.0, rate * timeout * EXPECTED_WAIT_SHARE)


def estimate_wait(position: int, rate: float, longest: float) -> float:
    """Return the seconds until a token is expected, up to `longest`."""
    return min(position / rate, longest) if rate > 0 else longest
