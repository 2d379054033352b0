"""Orders the upstreams that one request may go to, cheapest first.

Pure: the time is passed in. The load that this answers: a few upstreams of a
zone are shared by several ingresses, bytes that leave the zone are dear, and
gray spells last for seconds. Each upstream is priced in seconds: the wait for
a slot as its owner last told it, less what has been served since; a toll for
the bytes that leave the zone or the region; and the risk that it fails the
request, as its owner told it, relaxed since. The owner corrects a wrong price
at once by refusing, and the request is priced anew.
"""

from __future__ import annotations

import random

import msgspec

from kumquathold_core import suspicion
from kumquathold_core.balancing import Candidate, rank_distance
from kumquathold_core.rules import ZoneChoice

FAILURE_SECONDS = 3.0
REPEATABLE_FAILURE_SECONDS = 0.8
TRIAL_BONUS_SECONDS = 0.04
TOLL_SECONDS_PER_KILOBYTE = (0.0, 0.08, 0.2)
TOLL_BASE_SECONDS = (0.0, 0.05, 0.1)
USUAL_SECONDS = 0.3
TIE_SECONDS = 0.02
REACH = {ZoneChoice.zone: 0, ZoneChoice.region: 1, ZoneChoice.any: 2}


class LoadReport(msgspec.Struct):
    """What an ingress knows of an upstream's load."""

    in_flight: int = 0
    """Requests of this ingress under way."""

    backlog: int = 0
    """Requests that ran or waited there when its owner last told."""

    told_at: float = 0.0
    """When that was, in seconds of the own monotonic clock."""

    risk: float = suspicion.risk_of(suspicion.GRAY_SHARE)
    """Chance that it fails a request, as its owner then told."""

    service_seconds: float = USUAL_SECONDS
    """Smoothed time of a request."""

    def tell(self, backlog: int, risk: float, now: float) -> None:
        """Take in what an owner said."""
        self.backlog = backlog
        self.told_at = now
        self.risk = risk

    def risk_at(self, now: float) -> float:
        """The chance that the next request fails, relaxed since."""
        return suspicion.relax(self.risk, now - self.told_at)


class Errand(msgspec.Struct, frozen=True):
    """What decides how dear an upstream is for a request."""

    zone: str
    """The ingress's zone."""

    region: str
    """The ingress's region."""

    kilobytes: float
    """Size of the request and its answer, as expected."""

    idempotent: bool = False
    """Whether a second run does no harm."""

    may_try: bool = False
    """Whether there is a retry left in case that a trial fails."""

    def toll(self, candidate: Candidate) -> float:
        """Seconds of waiting that are as dear as the way."""
        distance = rank_distance(candidate, self.zone, self.region)
        by_size = TOLL_SECONDS_PER_KILOBYTE[distance] * self.kilobytes
        return TOLL_BASE_SECONDS[distance] + by_size


def expect_wait(candidate: Candidate, report: LoadReport, now: float) -> float:
    """Seconds until the upstream has a slot, as far as known."""
    pace = candidate.slots / report.service_seconds
    served = max(0, now - report.told_at) * pace
    backlog = max(report.backlog - served, report.in_flight)
    waiting = max(0, backlog - candidate.slots + 1)
    tie = TIE_SECONDS * backlog / candidate.slots
    return waiting / pace + tie


def price(
    candidate: Candidate,
    report: LoadReport,
    errand: Errand,
    now: float,
) -> float:
    """What sending a request there costs, in seconds of waiting.

    A request that may be repeated loses less by a failure, so that such
    requests are the ones that try an upstream of which little is known.
    """
    wait = expect_wait(candidate, report, now)
    failure = FAILURE_SECONDS
    if errand.idempotent:
        failure = REPEATABLE_FAILURE_SECONDS
    risk = report.risk_at(now)
    is_stale = now - report.told_at >= suspicion.TRIAL_SECONDS
    if errand.may_try and risk > suspicion.SUSPECT_RISK and is_stale:
        return errand.toll(candidate) - TRIAL_BONUS_SECONDS
    return wait + errand.toll(candidate) + risk * failure


def cheapest(
    candidates: list[Candidate],
    reports: dict[str, LoadReport],
    errand: Errand,
    reach: ZoneChoice,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """The upstream with the lowest price within reach, ties at random."""
    within = [
        one
        for one in candidates
        if rank_distance(one, errand.zone, errand.region) <= REACH[reach]
    ]
    if not within:
        return None
    unknown = LoadReport()
    return min(
        within,
        key=lambda one: (
            price(one, reports.get(one.upstream, unknown), errand, now)
            + TIE_SECONDS * rng.random()
        ),
    )
