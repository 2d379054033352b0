"""Ranks the upstreams that one request may go to by their estimated cost.

Costs are shares of the value of the request to its caller:

- delay: low while the response still meets the route's latency objective, up
  to most of the value beyond it. The wait for a slot follows from the backlog
  in the owner's latest report, less the requests served since then, and from
  the limit that the upstream states. The service time is the route's, times the
  slowness of the upstream.
- failure: the whole value, or less if the request can be repeated.
- network: the distance, and each kilobyte that leaves the zone or the region,
  where the settings say that such traffic is billed.

Estimates may be out of date, because several ingresses share the few upstreams
of a zone and gray periods last only seconds. An owner corrects a wrong estimate
by refusing the request at once, after which the costs are estimated again.
Upstreams of the zone without a recent report, and upstreams that failed
recently, get one idempotent trial request at a time. The module reads no
clock; the caller passes the time in.
"""

from __future__ import annotations

import math
import random

import msgspec

from kumquathold_core import failure_risk
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.load_estimates import (
    DEFAULT_SERVICE_SECONDS,
    LoadEstimate,
    estimate_backlog,
    estimate_limit_wait,
    estimate_wait,
)
from kumquathold_core.rules import ZoneScope

FAILURE_COST = 1.2
REPEATABLE_FAILURE_COST = 0.4
TRIAL_DISCOUNT = 0.02
"""A trial request costs this much less than its network path alone."""

LATE_COST = 0.8
ON_TIME_COST = 0.08
SAFE_SHARE_OF_OBJECTIVE = 0.6
"""Share of the objective from which delay costs more.

The additional cost grows evenly and reaches `LATE_COST` at twice this share.
"""

NETWORK_BASE_COST = (0.0, 0.05, 0.08)
"""By `rank_distance`: same zone, same region, other region.

Distance alone decides where traffic has no cost: a request leaves its zone once
it would wait there for about as long as that makes its response late.
"""

FAR_BACKLOG_SHARE = 0.5
"""Assumed backlog outside the zone, as a share of the zone's smallest."""

DEFAULT_OBJECTIVE_SECONDS = 1.0
TIE_BREAK_COST = 0.02
WAIT_MARGIN_SHARE = 0.1
"""Share of the objective by which a wait may exceed what was estimated."""

IDLE_SECONDS = 1.0
"""Age of a report from which an upstream of the zone gets a trial request."""

MAX_DISTANCE = {ZoneScope.zone: 0, ZoneScope.region: 1, ZoneScope.any: 2}
"""Largest `rank_distance` that each scope allows."""


class PlacementRequest(msgspec.Struct, frozen=True):
    """Properties of a request that determine its cost at each upstream."""

    zone: str
    """Zone of the ingress."""

    region: str
    """Region of the ingress."""

    kilobytes: float
    """Expected size of the request and its response."""

    objective: float = DEFAULT_OBJECTIVE_SECONDS
    """Latency objective, in seconds."""

    usual_seconds: float = DEFAULT_SERVICE_SECONDS
    """Average duration of a request of the route."""

    kilobyte_costs: tuple[float, float, float] = (0.0, 0.0, 0.0)
    """Cost of a kilobyte in shares of the value, by `rank_distance`."""

    idempotent: bool = False
    """Whether the request may be repeated safely."""

    may_send_trial: bool = False
    """Whether a retry is left on failure, so that it may be a trial request."""

    def estimate_network_cost(self, candidate: Candidate) -> float:
        """Return the cost of the network path to a candidate."""
        distance = rank_distance(candidate, self.zone, self.region)
        by_size = self.kilobyte_costs[distance] * self.kilobytes
        return NETWORK_BASE_COST[distance] + by_size

    @property
    def delay_unit(self) -> float:
        """Seconds by which delays are measured: the objective if not tiny."""
        return max(self.objective, failure_risk.TRIAL_INTERVAL_SECONDS / 2)

    def estimate_delay_cost(self, seconds: float) -> float:
        """Return the cost of a response after `seconds`."""
        share = seconds / self.delay_unit
        lateness = (share - SAFE_SHARE_OF_OBJECTIVE) / SAFE_SHARE_OF_OBJECTIVE
        return ON_TIME_COST * share + LATE_COST * min(max(lateness, 0), 1)

    def find_delay(self, cost: float) -> float:
        """Return the seconds of delay that have a cost.

        The inverse of `estimate_delay_cost`; 0 for a cost below 0.
        """
        if cost <= ON_TIME_COST * SAFE_SHARE_OF_OBJECTIVE:
            share = cost / ON_TIME_COST
        elif cost >= LATE_COST + 2 * ON_TIME_COST * SAFE_SHARE_OF_OBJECTIVE:
            share = (cost - LATE_COST) / ON_TIME_COST
        else:
            slope = ON_TIME_COST + LATE_COST / SAFE_SHARE_OF_OBJECTIVE
            share = (cost + LATE_COST) / slope
        return max(share, 0.0) * self.delay_unit


def is_due_for_trial(
    candidate: Candidate,
    report: LoadEstimate,
    request: PlacementRequest,
    now: float,
) -> bool:
    """Whether the candidate gets the request as a trial request.

    The expected delay and the risk then do not count. Trial requests go to
    upstreams that failed recently, and to those of the own zone without a
    recent report. Otherwise upstreams that are known to be good would get all
    requests.
    """
    if not request.may_send_trial or report.in_flight:
        return False
    if estimate_limit_wait(candidate, report, now) > 0:
        return False
    age = now - report.outcome_at
    is_idle = candidate.zone == request.zone and age >= IDLE_SECONDS
    is_suspect = report.risk_at(now) > failure_risk.SUSPECT_RISK
    return is_idle or (
        is_suspect and age >= failure_risk.TRIAL_INTERVAL_SECONDS
    )


class CostParts(msgspec.Struct, frozen=True, gc=False):
    """What sending a request to one candidate costs, by cause."""

    wait_seconds: float
    """Expected wait for a slot and for the limits to allow it."""

    delay: float
    """Cost of the delay, beyond that of the route's usual duration."""

    network: float
    """Cost of the network path."""

    failure: float
    """Cost of a failure, times its probability."""

    occupancy: float
    """Small cost by which equal candidates with free slots are told apart."""

    is_trial: bool = False
    """Whether it would be a trial request; only the network counts then."""

    @property
    def total(self) -> float:
        """The whole cost."""
        return self.delay + self.network + self.failure + self.occupancy


def estimate_parts(
    candidate: Candidate,
    report: LoadEstimate,
    request: PlacementRequest,
    now: float,
    min_backlog: float = 0.0,
) -> CostParts:
    """Return the cost of sending a request to a candidate, by cause.

    `min_backlog` is the lowest backlog to assume if the latest report is at
    least `TRIAL_INTERVAL_SECONDS` old. A failure costs an idempotent request
    less, so that these requests are the first to go to an upstream that failed
    recently.
    """
    network = request.estimate_network_cost(candidate)
    if is_due_for_trial(candidate, report, request, now):
        return CostParts(0.0, 0.0, network, -TRIAL_DISCOUNT, 0.0, is_trial=True)
    backlog = estimate_backlog(candidate, report, now)
    if now - report.reported_at >= failure_risk.TRIAL_INTERVAL_SECONDS:
        backlog = max(backlog, min_backlog)
    wait = estimate_wait(candidate, report, backlog, now)
    usual = request.usual_seconds
    seconds = usual * report.slowness_at(now)
    failure = FAILURE_COST
    if request.idempotent:
        failure = REPEATABLE_FAILURE_COST
    delay = request.estimate_delay_cost(
        wait + seconds
    ) - request.estimate_delay_cost(usual)
    return CostParts(
        wait_seconds=wait,
        delay=delay,
        network=network,
        failure=report.risk_at(now) * failure,
        occupancy=TIE_BREAK_COST * min(backlog / candidate.slots, 1),
    )


def estimate_cost(
    candidate: Candidate,
    report: LoadEstimate,
    request: PlacementRequest,
    now: float,
    min_backlog: float = 0.0,
) -> float:
    """Return the cost of sending a request to a candidate."""
    parts = estimate_parts(candidate, report, request, now, min_backlog)
    return parts.total


class Choice(msgspec.Struct, frozen=True):
    """The cheapest candidate, and what the next one would cost."""

    candidate: Candidate
    """The cheapest one."""

    cost: float
    """Its cost."""

    next_cost: float
    """Cost of the next one, infinite if there is none."""


def find_max_wait(
    choice: Choice, wait: float, request: PlacementRequest
) -> float:
    """Return the seconds of wait up to which a choice stays the cheapest.

    `wait` is the estimated one. Its owner returns the request if the actual
    wait is longer. A little more than the estimate is always allowed, as a
    return costs a message and the next owner may be as busy.
    """
    margin = WAIT_MARGIN_SHARE * request.delay_unit
    if math.isinf(choice.next_cost):
        return math.inf
    usual = request.usual_seconds
    delay_cost = request.estimate_delay_cost(wait + usual)
    spare = choice.next_cost - choice.cost
    longest = request.find_delay(delay_cost + spare) - usual
    return max(longest, wait) + margin


class RankedCandidate(msgspec.Struct, frozen=True, gc=False):
    """A candidate with its cost."""

    candidate: Candidate
    """The candidate."""

    parts: CostParts
    """Its cost, by cause."""


def estimate_all(
    candidates: list[Candidate],
    reports: dict[str, LoadEstimate],
    request: PlacementRequest,
    scope: ZoneScope,
    now: float,
) -> list[RankedCandidate]:
    """Return the candidates in scope with their costs.

    Little is known of upstreams outside the own zone. Without a recent report
    their backlog is assumed to be at least `FAR_BACKLOG_SHARE` of the smallest
    backlog in the zone.
    """
    unknown = LoadEstimate()
    near = [
        estimate_backlog(one, reports.get(one.upstream, unknown), now)
        for one in candidates
        if one.zone == request.zone
    ]
    far_backlog = FAR_BACKLOG_SHARE * min(near, default=0.0)

    def parts_of(one: Candidate) -> CostParts:
        report = reports.get(one.upstream, unknown)
        min_backlog = 0.0 if one.zone == request.zone else far_backlog
        return estimate_parts(one, report, request, now, min_backlog)

    within = candidates
    if scope != ZoneScope.any:
        within = [
            one
            for one in candidates
            if rank_distance(one, request.zone, request.region)
            <= MAX_DISTANCE[scope]
        ]
    return [RankedCandidate(one, parts_of(one)) for one in within]


def find_cheapest(
    candidates: list[Candidate],
    reports: dict[str, LoadEstimate],
    request: PlacementRequest,
    scope: ZoneScope,
    now: float,
    rng: random.Random,
) -> Choice | None:
    """Return the candidate with the lowest cost in scope, ties at random."""
    within = estimate_all(candidates, reports, request, scope, now)
    costs = [one.parts.total + TIE_BREAK_COST * rng.random() for one in within]
    if not costs:
        return None
    best = min(range(len(costs)), key=costs.__getitem__)
    others = (cost for place, cost in enumerate(costs) if place != best)
    return Choice(
        within[best].candidate, costs[best], min(others, default=math.inf)
    )


def choose_cheapest(
    candidates: list[Candidate],
    reports: dict[str, LoadEstimate],
    request: PlacementRequest,
    scope: ZoneScope,
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the candidate with the lowest cost in scope, ties at random."""
    choice = find_cheapest(candidates, reports, request, scope, now, rng)
    return choice.candidate if choice else None
