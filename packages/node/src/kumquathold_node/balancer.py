"""What an ingress knows of the upstreams, and its choices among them.

Callers' threads share this state under one lock; each call holds it for
microseconds. The decisions themselves are in the core package.
"""

from __future__ import annotations

import math
import random
import threading
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.ejection import OutcomeSample, OutlierDetector
from kumquathold_core.failure_risk import SUSPECT_RISK
from kumquathold_core.forwarding import Refusal
from kumquathold_core.placement import LoadEstimate, PlacementRequest
from kumquathold_core.rules import Service
from kumquathold_core.smoothing import RouteAverages
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import FleetView, Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings

SHUNNED_SECONDS = 3.0
AVOIDED_PATH_SECONDS = 2.0
SUSPECT_EXPLORE_FACTOR = 10
USUAL_KILOBYTES = 2.0
MAX_SENT_ON = 5
MAX_AGE_SECONDS = 1e6
DISTANCES = ('zone', 'region', 'beyond')
GONE_REASONS = frozenset(
    (Refusal.upstream_leaving, Refusal.upstream_replaced),
)
"""Refusals by an upstream that will take no request again."""


class Selection(msgspec.Struct, frozen=True):
    """The upstream for one sending."""

    candidate: Candidate
    """Which upstream, beside which owner."""

    is_trial: bool
    """Whether it is ejected, and the request tries it."""

    max_wait: float
    """Seconds for a slot above which its owner is to send the request on."""

    max_risk: float
    """Risk of a failure above which its owner is to send it on."""

    slow_limit: float
    """Seconds above which its answer counts as bad."""


class OwnerReport(msgspec.Struct, frozen=True):
    """What an owner said of its upstream beside its answer."""

    backlog: int
    """Requests that run or wait there."""

    risk: float
    """Chance that it fails its next request, as the owner sees it."""


class SelectionRequest(msgspec.Struct):
    """What one request needs of an upstream."""

    service: Service
    """The service that it goes to."""

    route: str
    """Name of its route."""

    idempotent: bool
    """Whether a second run does no harm."""

    caller_id: str
    """The caller's own id of the request, for logs."""

    objective: float
    """Seconds within which the answer is worth most."""

    may_try: bool = False
    """Whether a retry is left in case that a trial fails."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Upstreams that it was sent to and may have reached."""

    refused_by: list[str] = msgspec.field(default_factory=list)
    """Upstreams whose owners sent it on, unrun."""


class ServiceView(msgspec.Struct, frozen=True):
    """The upstreams of one service that may get work."""

    candidates: tuple[Candidate, ...]
    """Ready and not leaving."""

    slots: dict[str, int]
    """Their slots, by name."""


class Balancer:
    """Chooses upstreams for this node's ingress."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.zone = settings.zone
        self.region = settings.region
        self.lock = threading.Lock()
        self.rng = random.Random(settings.peer)
        self.loads: dict[str, LoadEstimate] = {}
        self.sizes = RouteAverages(USUAL_KILOBYTES)
        self.seconds = RouteAverages(placement.DEFAULT_SERVICE_SECONDS)
        self.explore_share = settings.explore_share
        self.evidence: dict[str, OutlierDetector] = {}
        self.out: dict[str, set[str]] = {}
        self.floors: dict[str, float] = {}
        self.shunned: dict[str, float] = {}
        self.avoided: dict[str, float] = {}
        self.services: dict[str, ServiceView] = {}
        self.seen_view = -1
        kernel.register('balancer', self)

    def choose(self, wish: SelectionRequest) -> Selection | None:
        """Pick an upstream that the request was not sent to before."""
        now = monotonic()
        service = wish.service
        with self.lock:
            self._follow(self.membership.view)
            view = self.services.get(service.name)
            if view is None:
                return None
            evidence = self._evidence(service.name)
            self.floors[service.name] = service.floor
            out = evidence.update_ejections(view.slots, service.floor, now)
            self._report_changes(service.name, out)
            trial = evidence.take_trial(out, now) if wish.idempotent else None
            usable = self._usable(view, out - {trial or ''}, wish.tried, now)
            chosen = self._choose_among(usable, wish, trial, now)
            if chosen is None:
                return None
            if chosen.upstream != trial and not wish.refused_by:
                chosen = self._explore(evidence, chosen, usable, wish)
            self._load(chosen.upstream).in_flight += 1
            distance = rank_distance(chosen, self.zone, self.region)
            self.metrics.count(f'ingress.sent.{DISTANCES[distance]}')
            load = self._load(chosen.upstream)
            logger.info(
                'request placed',
                request=wish.caller_id,
                upstream=chosen.upstream,
                distance=DISTANCES[distance],
                backlog=load.backlog,
                risk=round(load.risk_at(now), 3),
                age=round(min(now - load.reported_at, MAX_AGE_SECONDS), 3),
                sent_on=len(wish.refused_by),
                trial=chosen.upstream in out,
                choices=len(usable),
            )
            return Selection(
                candidate=chosen,
                is_trial=chosen.upstream in out,
                max_wait=self._max_wait(chosen, usable, wish),
                max_risk=_max_risk(chosen, usable, wish),
                slow_limit=evidence.slow_limit(wish.route, chosen.upstream),
            )

    def finish(self, choice: Selection) -> None:
        """Count a sending as over."""
        with self.lock:
            load = self.loads.get(choice.candidate.upstream)
            if load is not None:
                load.in_flight -= 1

    def note_answer(
        self,
        service: Service,
        route: str,
        choice: Selection,
        *,
        seconds: float,
        told: OwnerReport,
        failed: bool,
        counted: bool,
    ) -> None:
        """Take in an answer; `counted` where it was called bad earlier."""
        now = monotonic()
        upstream = choice.candidate.upstream
        with self.lock:
            load = self._load(upstream)
            if not failed:
                load.record_duration(
                    seconds, self.seconds.get_average(route), now
                )
                self.seconds.add_sample(route, seconds)
            load.record_report(told.backlog, told.risk, now)
            evidence = self._evidence(service.name)
            if counted:
                evidence.record_latency(route, upstream, seconds)
                return
            is_bad = evidence.record_response(
                route,
                upstream,
                seconds,
                now,
                failed=failed,
            )
            if choice.is_trial:
                evidence.record_trial(upstream, now, is_bad=is_bad)
        if is_bad:
            self.metrics.count('ingress.bad_outcomes')

    def note_bad(
        self,
        service: Service,
        route: str,
        choice: Selection,
        *,
        seconds: float,
        failed: bool,
    ) -> None:
        """Take in a failure, or that an answer already takes too long."""
        now = monotonic()
        sample = OutcomeSample(now, route, seconds, failed)
        with self.lock:
            if not failed:
                load = self._load(choice.candidate.upstream)
                load.record_duration(
                    seconds, self.seconds.get_average(route), now
                )
            evidence = self._evidence(service.name)
            evidence.record_outcome(
                choice.candidate.upstream,
                sample,
                is_bad=True,
            )
            if choice.is_trial:
                evidence.record_trial(
                    choice.candidate.upstream,
                    now,
                    is_bad=True,
                )
        self.metrics.count('ingress.bad_outcomes')

    def note_size(self, route: str, kilobytes: float) -> None:
        """Take in how much a request and its answer weighed."""
        with self.lock:
            self.sizes.add_sample(route, kilobytes)

    def note_refusal(
        self,
        choice: Selection,
        reason: Refusal,
        told: OwnerReport,
    ) -> None:
        """Keep away from what is leaving until the fleet's view says so."""
        now = monotonic()
        candidate = choice.candidate
        with self.lock:
            load = self._load(candidate.upstream)
            load.record_report(told.backlog, told.risk, now)
            if reason in GONE_REASONS:
                self.shunned[candidate.upstream] = now + SHUNNED_SECONDS
            elif reason == Refusal.node_leaving:
                self.avoided[candidate.owner] = now + SHUNNED_SECONDS

    def note_silent_path(self, owner: str) -> None:
        """Keep away from an owner that this node does not hear."""
        self.metrics.count('ingress.silent_paths')
        with self.lock:
            self.avoided[owner] = monotonic() + AVOIDED_PATH_SECONDS

    def ejected(self, view: FleetView) -> dict[str, list[str]]:
        """The upstreams that this node keeps out, by service."""
        now = monotonic()
        with self.lock:
            self._follow(view)
            for name, floor in self.floors.items():
                service = self.services.get(name)
                slots = service.slots if service else {}
                self.out[name] = self._evidence(name).update_ejections(
                    slots, floor, now
                )
            return {name: sorted(out) for name, out in self.out.items() if out}

    def explain(self, service: Service, route: str) -> list[dict[str, object]]:
        """Each upstream of a service, and what speaks for or against it."""
        now = monotonic()
        with self.lock:
            self._follow(self.membership.view)
            view = self.services.get(service.name)
            if view is None:
                return []
            evidence = self._evidence(service.name)
            out = evidence.update_ejections(view.slots, service.floor, now)
            return [
                {
                    'upstream': one.upstream,
                    'owner': one.owner,
                    'zone': one.zone,
                    'distance': rank_distance(
                        one,
                        self.zone,
                        self.region,
                    ),
                    'ejected': one.upstream in out,
                    'evidence': evidence.get_statistics(
                        one.upstream, now
                    ).score,
                    'avoided': self._is_avoided(one, now),
                }
                for one in view.candidates
            ]

    def _is_avoided(self, candidate: Candidate, now: float) -> bool:
        return (
            self.shunned.get(candidate.upstream, 0) > now
            or self.avoided.get(candidate.owner, 0) > now
            or candidate.owner in self.membership.view.suspects
        )

    def _load(self, upstream: str) -> LoadEstimate:
        return self.loads.setdefault(upstream, LoadEstimate())

    def _evidence(self, service: str) -> OutlierDetector:
        return self.evidence.setdefault(service, OutlierDetector())

    def _follow(self, view: FleetView) -> None:
        if view.change_count == self.seen_view:
            return
        self.seen_view = view.change_count
        self.services = group_by_service(view)
        for name, service in self.services.items():
            evidence = self._evidence(name)
            evidence.remove_absent(set(service.slots))
        present = {
            upstream
            for service in self.services.values()
            for upstream in service.slots
        }
        for upstream in set(self.loads) - present:
            if self.loads[upstream].in_flight <= 0:
                self.loads.pop(upstream)

    def _usable(
        self,
        view: ServiceView,
        out: set[str],
        tried: set[str],
        now: float,
    ) -> list[Candidate]:
        inside = [
            one
            for one in view.candidates
            if one.upstream not in out
            and self.shunned.get(one.upstream, 0) <= now
        ]
        suspects = self.membership.view.suspects
        near = [
            one
            for one in inside
            if self.avoided.get(one.owner, 0) <= now
            and one.owner not in suspects
        ]
        fresh = [one for one in near or inside if one.upstream not in tried]
        return fresh or near or inside

    def _choose_among(
        self,
        usable: list[Candidate],
        wish: SelectionRequest,
        trial: str | None,
        now: float,
    ) -> Candidate | None:
        for candidate in usable:
            if candidate.upstream == trial:
                return candidate
        return placement.choose_cheapest(
            usable,
            self.loads,
            self._errand(wish),
            wish.service.zones,
            now,
            self.rng,
        )

    def _max_wait(
        self,
        chosen: Candidate,
        usable: list[Candidate],
        wish: SelectionRequest,
    ) -> float:
        """Nothing in the own zone, where sending on costs next to nothing."""
        if _is_firm(chosen, usable, wish):
            return math.inf
        return 0.0 if chosen.zone == self.zone else wish.objective

    def _errand(self, wish: SelectionRequest) -> PlacementRequest:
        return PlacementRequest(
            zone=self.zone,
            region=self.region,
            kilobytes=self.sizes.get_average(wish.route),
            usual_seconds=self.seconds.get_average(wish.route),
            objective=wish.objective,
            idempotent=wish.idempotent,
            may_try=wish.idempotent and wish.may_try,
        )

    def _explore(
        self,
        evidence: OutlierDetector,
        chosen: Candidate,
        usable: list[Candidate],
        wish: SelectionRequest,
    ) -> Candidate:
        """Now and then take another upstream, so that there is a comparison.

        Nodes prefer the upstreams of their own zone, often a single one, and
        could not tell a gray one from a slow service otherwise.
        """
        is_suspected = evidence.is_suspected(chosen.upstream)
        factor = SUSPECT_EXPLORE_FACTOR if is_suspected else 1
        if self.rng.random() >= self.explore_share * factor:
            return chosen
        others = [one for one in usable if one.upstream != chosen.upstream]
        near = [one for one in others if one.region == self.region]
        if not near and not is_suspected:
            return chosen
        other = placement.choose_cheapest(
            near or others,
            self.loads,
            self._errand(wish),
            wish.service.zones,
            monotonic(),
            self.rng,
        )
        return other or chosen

    def _report_changes(self, service: str, out: set[str]) -> None:
        before = self.out.get(service, set())
        if out == before:
            return
        self.out[service] = out
        self.metrics.count('ingress.ejections', len(out - before))
        self.metrics.count('ingress.reinstatements', len(before - out))


def group_by_service(view: FleetView) -> dict[str, ServiceView]:
    """The upstreams that may get work, by service."""
    found: dict[str, list[Candidate]] = {}
    for node in view.nodes:
        for upstream in node.upstreams:
            if node.leaving or upstream.leaving or not upstream.ready:
                continue
            candidate = Candidate(
                upstream=upstream.name,
                owner=node.address,
                zone=node.zone,
                region=node.region,
                slots=upstream.slots,
            )
            found.setdefault(upstream.service, []).append(candidate)
    return {
        name: ServiceView(
            candidates=tuple(candidates),
            slots={one.upstream: one.slots for one in candidates},
        )
        for name, candidates in found.items()
    }


def _is_firm(
    chosen: Candidate,
    usable: list[Candidate],
    wish: SelectionRequest,
) -> bool:
    """Whether nothing better is to be found by being sent on once more."""
    is_second_time = chosen.upstream in wish.refused_by
    is_alone = len(usable) == 1
    return is_second_time or is_alone or len(wish.refused_by) >= MAX_SENT_ON


def _max_risk(
    chosen: Candidate,
    usable: list[Candidate],
    wish: SelectionRequest,
) -> float:
    return 1.0 if _is_firm(chosen, usable, wish) else SUSPECT_RISK
