"""Load of upstreams, as an ingress estimates it from what it was told last.

The module reads no clock; the caller passes the time in.
"""

from __future__ import annotations

import math

import msgspec

from kumquathold_core import admission, failure_risk, smoothing
from kumquathold_core.candidates import Candidate
from kumquathold_core.load_table import KnownLoad
from kumquathold_core.start_limiter import MIN_STARTS_PER_SECOND

DEFAULT_SERVICE_SECONDS = 0.3
MIN_SERVICE_SECONDS = 0.001
EXCHANGED_STEADY_SECONDS = 2.0
"""Time in which a newer exchanged load is expected to arrive."""

SLOW_PERIOD_SECONDS = 9.0
"""Time constant with which the slowness of an upstream is forgotten."""

LIMIT_SPREAD_SECONDS = 2.0
"""Time that a change of a stated limit may take to reach all nodes."""


class LoadEstimate(msgspec.Struct):
    """Load of an upstream, as an ingress estimates it."""

    in_flight: int = 0
    """Requests of this ingress in flight."""

    backlog: int = 0
    """Requests running or queued there at the owner's latest report."""

    reported_at: float = 0.0
    """Time of that report, in seconds of the own monotonic clock."""

    outcome_at: float = 0.0
    """Time of the latest outcome that the report tells of."""

    steady_seconds: float = 0.0
    """Time after a report for which its backlog is taken to stay as it is."""

    sent_since: int = 0
    """Requests that this ingress has sent there since that report."""

    risk: float = failure_risk.risk_of(failure_risk.GRAY_SHARE)
    """Probability that it fails a request, from the same report."""

    service_seconds: float = DEFAULT_SERVICE_SECONDS
    """Moving average of the service time of a request."""

    slowness: float = 1.0
    """Moving average of the service time relative to the route's usual one."""

    measured_at: float = 0.0
    """Time of the latest sample of `slowness`."""

    limit: float | None = None
    """Requests a second that it takes from all nodes, if it states so."""

    may_start_at: float = 0.0
    """Time from which that limit leaves room for a further request."""

    def record_limit(
        self, limit: float | None, wait: float, now: float
    ) -> None:
        """Store the stated limit, and the wait that its owner expects."""
        self.limit = limit
        self.may_start_at = 0.0 if limit is None else now + wait

    def record_send(self, now: float) -> None:
        """Count a request of this ingress, also against the stated limit."""
        self.sent_since += 1
        if self.limit is not None:
            interval = 1 / max(self.limit, MIN_STARTS_PER_SECOND)
            self.may_start_at = max(self.may_start_at, now) + interval

    def record_report(self, backlog: int, risk: float, now: float) -> None:
        """Store the load that the owner reported."""
        self.backlog = backlog
        self.sent_since = 0
        self.reported_at = now
        self.outcome_at = now
        self.risk = risk

    def record_exchanged(self, known: KnownLoad) -> None:
        """Replace the report by a load that nodes exchanged, if it is newer."""
        if known.measured_at <= self.reported_at:
            return
        self.steady_seconds = EXCHANGED_STEADY_SECONDS
        self.record_report(known.backlog, known.risk, known.measured_at)
        self.outcome_at = known.outcome_at
        if known.service_seconds:
            self.service_seconds = known.service_seconds

    def record_duration(self, seconds: float, usual: float, now: float) -> None:
        """Update the moving averages with the duration of a request.

        `usual` is the average duration of the route, in seconds.
        """
        average = smoothing.update_average(self.service_seconds, seconds)
        self.service_seconds = max(average, MIN_SERVICE_SECONDS)
        ratio = seconds / max(usual, MIN_SERVICE_SECONDS)
        self.slowness = smoothing.update_average(self.slowness_at(now), ratio)
        self.measured_at = now

    def slowness_at(self, now: float) -> float:
        """Return the slowness, relaxed towards 1 since the last sample.

        The end of a slow period is not observed, so the excess decays with age.
        """
        age = max(0.0, now - self.measured_at)
        excess = self.slowness - 1
        return 1 + excess * math.exp(-age / SLOW_PERIOD_SECONDS)

    def risk_at(self, now: float) -> float:
        """Return the failure risk, relaxed since the latest report."""
        return failure_risk.relax_belief(self.risk, now - self.reported_at)


def estimate_backlog(
    candidate: Candidate,
    report: LoadEstimate,
    now: float,
) -> float:
    """Return the expected number of requests running or queued at a candidate.

    The reported backlog grows by what this ingress has sent since, and shrinks
    at the service rate of the upstream, but never below the requests that this
    ingress has in flight there. Where loads are exchanged, a recent report is
    taken as it is: what is served meanwhile is replaced by what others send.
    """
    service_rate = candidate.slots / report.service_seconds
    age = now - report.reported_at - report.steady_seconds
    served = max(0, age) * service_rate
    known = report.backlog + report.sent_since
    return max(known - served, report.in_flight)


def estimate_limit_wait(
    candidate: Candidate,
    report: LoadEstimate,
    now: float,
) -> float:
    """Return the expected wait for the limit that a candidate states.

    Right after a report the owner's own estimate counts. Later, others have
    used what the limit left room for, and the wait for one start is assumed.
    """
    age = now - report.reported_at
    limit = report.limit if age < LIMIT_SPREAD_SECONDS else candidate.limit
    if limit is None:
        return 0.0
    interval = 1 / max(limit, MIN_STARTS_PER_SECOND)
    assumed = interval if age >= interval else 0.0
    return max(assumed, report.may_start_at - now)


def estimate_wait(
    candidate: Candidate, report: LoadEstimate, backlog: float, now: float
) -> float:
    """Return the expected wait for a slot and for the limits to allow it."""
    return max(
        admission.estimate_slot_wait(
            candidate.slots, backlog, report.service_seconds
        ),
        estimate_limit_wait(candidate, report, now),
    )
