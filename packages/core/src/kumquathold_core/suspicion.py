"""Judges from the latest outcomes whether an upstream will fail the next one.

Pure: the time is passed in. An upstream turns gray for seconds at a time, and
fails most of its requests then, while a sound one fails one in a hundred. The
odds of being gray are kept as a logarithm: each outcome shifts them by its
likelihood ratio, and between outcomes they relax towards the prior, because
spells begin and end by themselves. One failure makes an upstream suspect for
about a second, two for several.

The suspicion is soft: it moves requests elsewhere while that costs little, and
needs no floor, as a request that finds nothing better runs here all the same.
"""

from __future__ import annotations

import math

GRAY_PRIOR = 0.03
GRAY_FAILURE_SHARE = 0.8
SOUND_FAILURE_SHARE = 0.012
SPELL_SECONDS = 4.0
MAX_LOG_ODDS = 5.0
PRIOR_LOG_ODDS = math.log(GRAY_PRIOR / (1 - GRAY_PRIOR))
FAILURE_SHIFT = math.log(GRAY_FAILURE_SHARE / SOUND_FAILURE_SHARE)
SUCCESS_SHIFT = math.log((1 - GRAY_FAILURE_SHARE) / (1 - SOUND_FAILURE_SHARE))


class Suspicion:
    """What an owner believes of one upstream."""

    __slots__ = ('log_odds', 'trials', 'updated_at')

    def __init__(self) -> None:
        """Start with the prior."""
        self.log_odds = PRIOR_LOG_ODDS
        self.updated_at = -math.inf
        self.trials = 0

    def note(self, now: float, *, failed: bool) -> None:
        """Take in an outcome."""
        shift = FAILURE_SHIFT if failed else SUCCESS_SHIFT
        log_odds = self.relaxed(now) + shift
        self.log_odds = min(max(log_odds, PRIOR_LOG_ODDS), MAX_LOG_ODDS)
        self.updated_at = now

    def is_suspect(self, now: float) -> bool:
        """Whether the next request will more likely fail than not."""
        return self.relaxed(now) > 0

    def relaxed(self, now: float) -> float:
        """The logarithm of the odds, relaxed towards the prior."""
        elapsed = max(0, now - self.updated_at)
        excess = self.log_odds - PRIOR_LOG_ODDS
        return PRIOR_LOG_ODDS + excess * math.exp(-elapsed / SPELL_SECONDS)
