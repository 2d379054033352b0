"""Judges from the latest outcomes whether an upstream will fail the next one.

Pure: the time is passed in. At any time some upstreams are gray: they fail
most of their requests for several seconds, while their health check is good. A
sound one fails one in a hundred. The belief is a Markov chain with these two
states: each outcome shifts it by Bayes' rule, and between outcomes it relaxes
towards the share of gray ones, because spells begin and end by themselves. One
failure makes an upstream suspect for some seconds; one success clears it.

The suspicion is soft: it moves requests elsewhere while that costs little, and
needs no floor, as a request that finds nothing better runs here all the same.
"""

from __future__ import annotations

import math

GRAY_SHARE = 0.25
GRAY_FAILURES = 0.85
SOUND_FAILURES = 0.02
SPELL_SECONDS = 9.0
SUSPECT_RISK = 0.5
TRIAL_SECONDS = 0.8
MAX_BELIEF = 0.995
MIN_BELIEF = 0.005


def relax(belief: float, seconds: float) -> float:
    """The belief that an upstream is gray, after time without outcomes."""
    excess = belief - GRAY_SHARE
    return GRAY_SHARE + excess * math.exp(-max(seconds, 0) / SPELL_SECONDS)


def revise(belief: float, *, failed: bool) -> float:
    """The belief after an outcome, by Bayes' rule."""
    gray = GRAY_FAILURES if failed else 1 - GRAY_FAILURES
    sound = SOUND_FAILURES if failed else 1 - SOUND_FAILURES
    revised = belief * gray / (belief * gray + (1 - belief) * sound)
    return min(max(revised, MIN_BELIEF), MAX_BELIEF)


def risk_of(belief: float) -> float:
    """The chance that the next request fails."""
    return belief * GRAY_FAILURES + (1 - belief) * SOUND_FAILURES


class FailureRiskEstimator:
    """What an owner believes of one upstream."""

    __slots__ = ('belief', 'trials', 'updated_at')

    def __init__(self) -> None:
        """Start with the share of gray upstreams."""
        self.belief = GRAY_SHARE
        self.updated_at = 0.0
        self.trials = 0

    def note(self, now: float, *, failed: bool) -> None:
        """Take in an outcome."""
        relaxed = relax(self.belief, now - self.updated_at)
        self.belief = revise(relaxed, failed=failed)
        self.updated_at = now

    def risk(self, now: float) -> float:
        """The chance that the next request fails."""
        return risk_of(relax(self.belief, now - self.updated_at))

    def is_trial_due(self, now: float) -> bool:
        """Whether an idempotent request may try it while it is suspect."""
        return not self.trials and now - self.updated_at >= TRIAL_SECONDS

    def is_suspect(self, now: float) -> bool:
        """Whether the next request will more likely fail than not."""
        return self.risk(now) > SUSPECT_RISK
