"""Orders the upstreams that one request may go to, cheapest first.

Pure: the time is passed in. The load that this answers: a few upstreams of a
zone are shared by several ingresses, bytes that leave the zone are billed, and
gray spells last for seconds. Each upstream is priced in shares of what the
request is worth to its caller:

- waiting costs little while the answer still meets the route's objective, and
  most of the worth beyond it; the wait is the backlog that the upstream's
  owner last told, less what has been served since, and the time of the
  request itself where the upstream is slower than the others;
- a failure costs all of it, less where the request can be repeated;
- each kilobyte that leaves the zone or the region has a toll.

An owner corrects a wrong price by refusing at once, and the request is priced
anew. An upstream of the zone that is not heard of, and one that failed lately,
get one idempotent request at a time to try them.
"""

from __future__ import annotations

import math
import random

import msgspec

from kumquathold_core import admission, failure_risk, smoothing
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.rules import ZoneScope

FAILURE_PRICE = 1.2
REPEATABLE_FAILURE_PRICE = 0.4
TRIAL_BONUS = 0.02
LATE_PRICE = 0.8
IN_TIME_PRICE = 0.08
SAFE_SHARE_OF_OBJECTIVE = 0.7
TOLL_PER_KILOBYTE = (0.0, 0.05, 0.09)
TOLL_BASE = (0.0, 0.05, 0.08)
USUAL_SECONDS = 0.3
MIN_SERVICE_SECONDS = 0.001
FAR_BACKLOG_SHARE = 0.5
DEFAULT_OBJECTIVE_SECONDS = 1.0
TIE_PRICE = 0.02
IDLE_SECONDS = 1.0
REACH = {ZoneScope.zone: 0, ZoneScope.region: 1, ZoneScope.any: 2}


class LoadEstimate(msgspec.Struct):
    """What an ingress knows of an upstream's load."""

    in_flight: int = 0
    """Requests of this ingress under way."""

    backlog: int = 0
    """Requests that ran or waited there when its owner last told."""

    told_at: float = 0.0
    """When that was, in seconds of the own monotonic clock."""

    risk: float = failure_risk.risk_of(failure_risk.GRAY_SHARE)
    """Chance that it fails a request, as its owner then told."""

    service_seconds: float = USUAL_SECONDS
    """Smoothed time of a request."""

    slowness: float = 1.0
    """Smoothed time of a request, as a multiple of its route's usual time."""

    measured_at: float = 0.0
    """When a request was last timed."""

    def tell(self, backlog: int, risk: float, now: float) -> None:
        """Take in what an owner said."""
        self.backlog = backlog
        self.told_at = now
        self.risk = risk

    def measure(self, seconds: float, usual: float, now: float) -> None:
        """Take in how long a request took, and usually takes elsewhere."""
        smoothed = smoothing.update_average(self.service_seconds, seconds)
        self.service_seconds = max(smoothed, MIN_SERVICE_SECONDS)
        ratio = seconds / max(usual, MIN_SERVICE_SECONDS)
        self.slowness = smoothing.update_average(self.slowness_at(now), ratio)
        self.measured_at = now

    def slowness_at(self, now: float) -> float:
        """The slowness, relaxed since: slow spells end by themselves."""
        age = max(0.0, now - self.measured_at)
        excess = self.slowness - 1
        return 1 + excess * math.exp(-age / failure_risk.GRAY_PERIOD_SECONDS)

    def risk_at(self, now: float) -> float:
        """The chance that the next request fails, relaxed since."""
        return failure_risk.relax_belief(self.risk, now - self.told_at)


class PlacementRequest(msgspec.Struct, frozen=True):
    """What decides how dear an upstream is for a request."""

    zone: str
    """The ingress's zone."""

    region: str
    """The ingress's region."""

    kilobytes: float
    """Size of the request and its answer, as expected."""

    objective: float = DEFAULT_OBJECTIVE_SECONDS
    """Seconds within which the answer is worth most."""

    usual_seconds: float = USUAL_SECONDS
    """How long a request of its route usually runs."""

    idempotent: bool = False
    """Whether a second run does no harm."""

    may_try: bool = False
    """Whether there is a retry left in case that a trial fails."""

    def toll(self, candidate: Candidate) -> float:
        """What the way costs."""
        distance = rank_distance(candidate, self.zone, self.region)
        by_size = TOLL_PER_KILOBYTE[distance] * self.kilobytes
        return TOLL_BASE[distance] + by_size

    def delay(self, seconds: float) -> float:
        """What it costs to be answered after so many seconds."""
        share = seconds / max(
            self.objective, failure_risk.TRIAL_INTERVAL_SECONDS / 2
        )
        lateness = (share - SAFE_SHARE_OF_OBJECTIVE) / SAFE_SHARE_OF_OBJECTIVE
        return IN_TIME_PRICE * share + LATE_PRICE * min(max(lateness, 0), 1)


def expect_backlog(
    candidate: Candidate,
    report: LoadEstimate,
    now: float,
) -> float:
    """Requests at the upstream, as far as known."""
    pace = candidate.slots / report.service_seconds
    served = max(0, now - report.told_at) * pace
    return max(report.backlog - served, report.in_flight)


def is_due_for_trial(
    candidate: Candidate,
    report: LoadEstimate,
    errand: PlacementRequest,
    now: float,
) -> bool:
    """Whether this request should try an upstream, its price aside.

    Tried are upstreams that failed lately, and those of the own zone that
    nothing was heard of for a while or ever: the others, known to be good,
    would otherwise get everything.
    """
    if not errand.may_try or report.in_flight:
        return False
    age = now - report.told_at
    is_idle = candidate.zone == errand.zone and age >= IDLE_SECONDS
    is_suspect = report.risk_at(now) > failure_risk.SUSPECT_RISK
    return is_idle or (
        is_suspect and age >= failure_risk.TRIAL_INTERVAL_SECONDS
    )


def estimate_cost(
    candidate: Candidate,
    report: LoadEstimate,
    errand: PlacementRequest,
    now: float,
    least_backlog: float = 0.0,
) -> float:
    """What sending a request there costs.

    `least_backlog` stands in where little is known. A request that may be
    repeated loses less by a failure, so that such requests are the ones that
    try an upstream that failed lately.
    """
    if is_due_for_trial(candidate, report, errand, now):
        return errand.toll(candidate) - TRIAL_BONUS
    backlog = expect_backlog(candidate, report, now)
    if now - report.told_at >= failure_risk.TRIAL_INTERVAL_SECONDS:
        backlog = max(backlog, least_backlog)
    slots = candidate.slots
    wait = admission.estimate_slot_wait(slots, backlog, report.service_seconds)
    usual = errand.usual_seconds
    seconds = usual * report.slowness_at(now)
    failure = FAILURE_PRICE
    if errand.idempotent:
        failure = REPEATABLE_FAILURE_PRICE
    risk = report.risk_at(now) * failure
    tie = TIE_PRICE * min(backlog / slots, 1)
    delay = errand.delay(wait + seconds) - errand.delay(usual)
    return delay + errand.toll(candidate) + risk + tie


def choose_cheapest(
    candidates: list[Candidate],
    reports: dict[str, LoadEstimate],
    errand: PlacementRequest,
    reach: ZoneScope,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """The upstream with the lowest price within reach, ties at random.

    Of upstreams beyond the own zone little is known; they are taken to be
    `FAR_BACKLOG_SHARE` as busy as the least busy one of the zone.
    """
    unknown = LoadEstimate()
    near = [
        expect_backlog(one, reports.get(one.upstream, unknown), now)
        for one in candidates
        if one.zone == errand.zone
    ]
    usual = FAR_BACKLOG_SHARE * min(near, default=0.0)
    within = [
        one
        for one in candidates
        if rank_distance(one, errand.zone, errand.region) <= REACH[reach]
    ]

    def weigh(one: Candidate) -> float:
        report = reports.get(one.upstream, unknown)
        least = 0.0 if one.zone == errand.zone else usual
        priced = estimate_cost(one, report, errand, now, least)
        return priced + TIE_PRICE * rng.random()

    return min(within, key=weigh, default=None)
