"""Orders the upstreams that one request may go to, cheapest first.

Pure: the time is passed in. The load that this answers: a few upstreams of a
zone are shared by several ingresses, bytes that leave the zone are dear, and
gray spells last for seconds. Each upstream is priced in seconds: the wait for
a slot as its owner last told it, less what has been served since; a toll for
the bytes that leave the zone or the region; and a surcharge while its owner
suspects it. The owner corrects a wrong price at once by refusing, and the
request is priced anew.
"""

from __future__ import annotations

import random

import msgspec

from kumquathold_core.balancing import Candidate, rank_distance
from kumquathold_core.rules import ZoneChoice

SUSPECT_SECONDS = 2.0
SUSPECT_MEMORY_SECONDS = 1.0
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

    suspect_until: float = 0.0
    """Up to when its owner's suspicion counts, by the same clock."""

    service_seconds: float = USUAL_SECONDS
    """Smoothed time of a request."""

    def tell(self, backlog: int, now: float, *, suspect: bool) -> None:
        """Take in what an owner said."""
        self.backlog = backlog
        self.told_at = now
        self.suspect_until = now + SUSPECT_MEMORY_SECONDS if suspect else 0.0


class Toll(msgspec.Struct, frozen=True):
    """What distance costs a request."""

    zone: str
    """The ingress's zone."""

    region: str
    """The ingress's region."""

    kilobytes: float
    """Size of the request and its answer, as expected."""

    def price(self, candidate: Candidate) -> float:
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
    toll: Toll,
    now: float,
) -> float:
    """What sending a request there costs, in seconds of waiting."""
    surcharge = SUSPECT_SECONDS if report.suspect_until > now else 0.0
    wait = expect_wait(candidate, report, now)
    return wait + toll.price(candidate) + surcharge


def cheapest(
    candidates: list[Candidate],
    reports: dict[str, LoadReport],
    toll: Toll,
    reach: ZoneChoice,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """The upstream with the lowest price within reach, ties at random."""
    within = [
        one
        for one in candidates
        if rank_distance(one, toll.zone, toll.region) <= REACH[reach]
    ]
    if not within:
        return None
    unknown = LoadReport()
    return min(
        within,
        key=lambda one: (
            price(one, reports.get(one.upstream, unknown), toll, now)
            + TIE_SECONDS * rng.random()
        ),
    )
