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

from kumquathold_core import admission, failure_risk, smoothing
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.load_table import KnownLoad
from kumquathold_core.rules import ZoneScope
from kumquathold_core.start_limiter import MIN_STARTS_PER_SECOND

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

DEFAULT_SERVICE_SECONDS = 0.3
MIN_SERVICE_SECONDS = 0.001
FAR_BACKLOG_SHARE = 0.5
"""Assumed backlog outside the zone, as a share of the zone's smallest."""

DEFAULT_OBJECTIVE_SECONDS = 1.0
TIE_BREAK_COST = 0.02
WAIT_MARGIN_SHARE = 0.1
"""Share of the objective by which a wait may exceed what was estimated."""

EXCHANGED_STEADY_SECONDS = 2.0
"""Time in which a newer exchanged load is expected to arrive."""

IDLE_SECONDS = 1.0
"""Age of a report from which an upstream of the zone gets a trial request."""

SLOW_PERIOD_SECONDS = 9.0
"""Time constant with which the slowness of an upstream is forgotten."""

LIMIT_SPREAD_SECONDS = 2.0
"""Time that a change of a stated limit may take to reach all nodes."""

MAX_DISTANCE = {ZoneScope.zone: 0, ZoneScope.region: 1, ZoneScope.any: 2}
"""Largest `rank_distance` that each scope allows."""


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
