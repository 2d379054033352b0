"""Estimates from recent outcomes how likely an upstream fails a request.

A two-state hidden Markov model: an upstream is gray, so that it fails most
requests for several seconds while its health check passes, or healthy, so that
it fails about one in fifty. Each outcome updates the belief that it is
gray by Bayes' rule. Between outcomes the belief relaxes towards the share of
gray upstreams, because gray periods begin and end without being observed. One
failure makes an upstream suspect for about two seconds; one success clears it.
After a failure it gets few requests until one succeeds.

The estimate only biases placement: requests go elsewhere while that costs
little. It needs no floor, since a request with no better choice still runs at
a suspect upstream. The module reads no clock; the caller passes the time in.
"""

from __future__ import annotations

import math

GRAY_SHARE = 0.25
"""Share of upstreams taken to be gray at any time; the prior belief."""

GRAY_FAILURE_RATE = 0.85
HEALTHY_FAILURE_RATE = 0.02

GRAY_PERIOD_SECONDS = 3.5
"""Mean length of a gray period."""

RELAXATION_SECONDS = GRAY_PERIOD_SECONDS * (1 - GRAY_SHARE)
"""Time constant with which the belief relaxes towards `GRAY_SHARE`.

That of a chain whose gray periods have this mean length and share.
"""

SUSPECT_RISK = 0.5
ONCE_ONLY_RISK = 0.35
"""Risk up to which an upstream gets requests that cannot be repeated.

They are lost with a failure; others may find out whether a gray period is over.
"""


TRIAL_INTERVAL_SECONDS = 0.8
"""Time without an outcome after which a suspect may get a trial request."""

MAX_BELIEF = 0.995
MIN_BELIEF = 0.005


def relax_belief(belief: float, seconds: float) -> float:
    """Return the belief after `seconds` without outcomes."""
    excess = belief - GRAY_SHARE
    return GRAY_SHARE + excess * math.exp(-max(seconds, 0) / RELAXATION_SECONDS)


def update_belief(belief: float, *, failed: bool) -> float:
    """Return the belief after an outcome, by Bayes' rule."""
    gray = GRAY_FAILURE_RATE if failed else 1 - GRAY_FAILURE_RATE
    healthy = HEALTHY_FAILURE_RATE if failed else 1 - HEALTHY_FAILURE_RATE
    updated = belief * gray / (belief * gray + (1 - belief) * healthy)
    return min(max(updated, MIN_BELIEF), MAX_BELIEF)


def risk_of(belief: float) -> float:
    """Return the probability that the next request fails."""
    return belief * GRAY_FAILURE_RATE + (1 - belief) * HEALTHY_FAILURE_RATE


class FailureRiskEstimator:
    """Failure risk of one upstream, as its owner estimates it.

    `belief` is the probability that the upstream is gray, as of `updated_at`
    (seconds of the monotonic clock).
    """

    __slots__ = (
        'belief',
        'has_failed_last',
        'is_tried_since',
        'started_at',
        'trials_in_flight',
        'updated_at',
    )

    def __init__(self) -> None:
        """Start from the share of gray upstreams."""
        self.belief = GRAY_SHARE
        self.updated_at = 0.0
        self.trials_in_flight = 0
        self.has_failed_last = False
        self.is_tried_since = False
        """Whether a request has started since the latest outcome."""
        self.started_at = -math.inf
        """When the latest request started."""

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the belief with the outcome of a request."""
        relaxed = relax_belief(self.belief, now - self.updated_at)
        self.belief = update_belief(relaxed, failed=failed)
        self.updated_at = now
        self.has_failed_last = failed
        self.is_tried_since = False

    def may_start(self, now: float) -> bool:
        """Whether a request may start.

        After a failure one does, which shows whether the gray period is over;
        and a further one each `TRIAL_INTERVAL_SECONDS`, as that one may hang.
        """
        if not self.has_failed_last or not self.is_tried_since:
            return True
        return now - self.started_at >= TRIAL_INTERVAL_SECONDS

    def record_start(self, now: float) -> None:
        """Record that a request starts."""
        self.is_tried_since = True
        self.started_at = now

    def estimate_risk(self, now: float) -> float:
        """Return the probability that the next request fails."""
        return risk_of(relax_belief(self.belief, now - self.updated_at))

    def is_trial_due(self, now: float) -> bool:
        """Whether a suspect upstream may get an idempotent trial request."""
        return (
            not self.trials_in_flight
            and now - self.updated_at >= TRIAL_INTERVAL_SECONDS
        )

    def is_suspect(self, now: float) -> bool:
        """Whether the next request is more likely to fail than to succeed."""
        return self.estimate_risk(now) > SUSPECT_RISK
