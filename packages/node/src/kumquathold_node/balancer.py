"""Load balancer of the ingress: selects an upstream for each attempt.

Holds the load estimates, the outlier detectors and the temporary exclusions of
this node. The callers' threads share this state under one lock, which each call
holds for microseconds. The policies themselves are in the core package.
"""

from __future__ import annotations

import math
import random
import threading
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import load_estimates, placement, route_reports
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.ejection import OutcomeSample, OutlierDetector
from kumquathold_core.failure_risk import ONCE_ONLY_RISK, SUSPECT_RISK
from kumquathold_core.forwarding import Refusal
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.permitted_regions import PermittedRegions, is_permitted
from kumquathold_core.placement import Choice, PlacementRequest
from kumquathold_core.route_reports import RouteReport
from kumquathold_core.rules import Service
from kumquathold_core.smoothing import RouteAverages
from kumquathold_node.exclusions import Exclusions
from kumquathold_node.kernel import Kernel
from kumquathold_node.load_exchange import LoadExchange
from kumquathold_node.membership import FleetView, Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.selections import (
    OwnerReport,
    Selection,
    SelectionRequest,
    ServiceView,
    group_by_service,
)
from kumquathold_node.settings import Settings
from kumquathold_node.zone_evacuations import ZoneEvacuations

SUSPECT_EXPLORE_FACTOR = 10
"""Factor on the explore share while the chosen upstream is suspected."""

DEFAULT_KILOBYTES = 2.0
MAX_REROUTES = 5
"""Rerouted attempts after which no owner may return the request any more."""

MAX_LOGGED_AGE_SECONDS = 1e6
DISTANCE_NAMES = ('zone', 'region', 'beyond')
"""Names in metrics and logs, by `rank_distance`."""


class Balancer:
    """Selects upstreams for the requests of this node's ingress."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.evacuations: ZoneEvacuations = kernel.find('zone-evacuations')
        self.exchanged: LoadExchange = kernel.find('load-exchange')
        self.zone = settings.zone
        self.region = settings.region
        self.lock = threading.Lock()
        self.rng = random.Random(settings.peer)
        self.loads: dict[str, LoadEstimate] = {}
        self.sizes = RouteAverages(DEFAULT_KILOBYTES)
        self.durations = RouteAverages(load_estimates.DEFAULT_SERVICE_SECONDS)
        self.explore_share = settings.explore_share
        self.kilobyte_costs = (
            0.0,
            settings.zone_kilobyte_cost,
            settings.region_kilobyte_cost,
        )
        self.detectors: dict[str, OutlierDetector] = {}
        self.ejected: dict[str, set[str]] = {}
        self.floors: dict[str, float] = {}
        self.exclusions = Exclusions()
        self.services: dict[str, ServiceView] = {}
        self.seen_changes = -1
        kernel.register('balancer', self)

    def choose(self, selection_request: SelectionRequest) -> Selection | None:
        """Select an upstream, and count the request as in flight there.

        Prefers upstreams that the request was not sent to before. Returns
        `None` if no upstream of the service accepts requests. Each selection
        must be passed to `finish`.
        """
        now = monotonic()
        with self.lock:
            self.update_services(self.membership.view)
            view = self._find_open_view(selection_request.service.name)
            if view is None:
                return None
            return self._select(view, selection_request, now)

    def _select(
        self,
        view: ServiceView,
        selection_request: SelectionRequest,
        now: float,
    ) -> Selection | None:
        service = selection_request.service
        detector = self.get_detector(service.name)
        self.floors[service.name] = service.floor
        ejected = detector.update_ejections(view.slots, service.floor, now)
        self._record_ejections(service.name, ejected)
        if selection_request.regions is not None:
            view = _permit(view, selection_request.regions)
            ejected = detector.keep_floor(ejected, view.slots, service.floor)
        trial = None
        if selection_request.idempotent:
            trial = detector.take_trial(ejected, now)
        usable = self._filter_candidates(
            view,
            ejected - {trial or ''},
            selection_request.tried | selection_request.without_budget,
            now,
        )
        choice = self._choose_candidate(usable, selection_request, trial, now)
        if choice is None:
            return None
        chosen = choice.candidate
        if chosen.upstream != trial and not selection_request.refused_by:
            chosen = self._explore(detector, chosen, usable, selection_request)
            choice = msgspec.structs.replace(choice, candidate=chosen)
        max_wait = self._max_wait_of(choice, usable, selection_request, now)
        selection = Selection(
            candidate=chosen,
            is_trial=chosen.upstream in ejected,
            max_wait=max_wait,
            max_risk=_max_risk_of(chosen, usable, selection_request),
            slow_limit=detector.slow_limit(
                selection_request.route, chosen.upstream
            ),
            statement=self.exclusions.statements.find(
                chosen.upstream, chosen.lifetime
            ),
        )
        self._record_placement(selection, selection_request, len(usable), now)
        return selection

    def _record_placement(
        self,
        selection: Selection,
        selection_request: SelectionRequest,
        choices: int,
        now: float,
    ) -> None:
        chosen = selection.candidate
        load = self._get_load(chosen.upstream)
        load.in_flight += 1
        load.record_send(now)
        distance = rank_distance(chosen, self.zone, self.region)
        self.metrics.count(f'ingress.sent.{DISTANCE_NAMES[distance]}')
        age = min(now - load.reported_at, MAX_LOGGED_AGE_SECONDS)
        logger.info(
            'request placed',
            request=selection_request.caller_id,
            route=selection_request.route,
            upstream=chosen.upstream,
            distance=DISTANCE_NAMES[distance],
            backlog=load.backlog,
            risk=round(load.risk_at(now), 3),
            age=round(age, 3),
            max_wait=round(min(selection.max_wait, MAX_LOGGED_AGE_SECONDS), 3),
            sent_on=len(selection_request.refused_by),
            trial=selection.is_trial,
            choices=choices,
        )

    def is_unplaceable(self, selection_request: SelectionRequest) -> bool:
        """Whether upstreams are known, but none where the request may go."""
        with self.lock:
            self.update_services(self.membership.view)
            service = selection_request.service.name
            view = self._find_open_view(service)
            if view is None:
                return False
            view = _permit(view, selection_request.regions)
            return not view.candidates

    def finish(self, selection: Selection) -> None:
        """Count the request of a selection as no longer in flight."""
        with self.lock:
            load = self.loads.get(selection.candidate.upstream)
            if load is not None:
                load.in_flight -= 1

    def record_response(
        self,
        service: Service,
        route: str,
        selection: Selection,
        *,
        seconds: float,
        report: OwnerReport,
        failed: bool,
        is_already_counted: bool,
    ) -> None:
        """Record a response, its duration and the load that the owner reported.

        With `is_already_counted`, only the latency and the load are recorded:
        the request was counted as bad while it ran, or it got a stored
        response.
        """
        now = monotonic()
        upstream = selection.candidate.upstream
        with self.lock:
            load = self._get_load(upstream)
            if not failed:
                load.record_duration(
                    seconds, self.durations.get_average(route), now
                )
                self.durations.add_sample(route, seconds)
            self._record_report(upstream, report, now)
            detector = self.get_detector(service.name)
            if is_already_counted:
                detector.record_latency(route, upstream, seconds)
                return
            is_bad = detector.record_response(
                route,
                upstream,
                seconds,
                now,
                failed=failed,
            )
            if selection.is_trial:
                detector.record_trial(upstream, now, is_bad=is_bad)
        if is_bad:
            self.metrics.count('ingress.bad_outcomes')

    def record_bad_outcome(
        self,
        service: Service,
        route: str,
        selection: Selection,
        *,
        seconds: float,
        failed: bool,
    ) -> None:
        """Record a failure, or a request that runs past the slow limit.

        `seconds` is the duration of the request so far.
        """
        now = monotonic()
        sample = OutcomeSample(now, route, seconds, failed)
        with self.lock:
            if not failed:
                load = self._get_load(selection.candidate.upstream)
                load.record_duration(
                    seconds, self.durations.get_average(route), now
                )
            detector = self.get_detector(service.name)
            detector.record_outcome(
                selection.candidate.upstream,
                sample,
                is_bad=True,
            )
            if selection.is_trial:
                detector.record_trial(
                    selection.candidate.upstream,
                    now,
                    is_bad=True,
                )
        self.metrics.count('ingress.bad_outcomes')

    def make_route_reports(self) -> tuple[RouteReport, ...]:
        """Return what peers without samples of a route may take over."""
        with self.lock:
            return route_reports.make_reports(self.sizes, self.durations)

    def apply_route_reports(self, reports: tuple[RouteReport, ...]) -> None:
        """Take over what a peer has measured of routes unknown here."""
        with self.lock:
            route_reports.apply_reports(reports, self.sizes, self.durations)

    def record_size(self, route: str, kilobytes: float) -> None:
        """Record the size of a request and its response."""
        with self.lock:
            self.sizes.add_sample(route, kilobytes)

    def record_refusal(
        self,
        selection: Selection,
        reason: Refusal,
        report: OwnerReport,
    ) -> None:
        """Record a refusal, with the load that the owner reported.

        Excludes an upstream that drains or was replaced, or a node that drains,
        for the time that the fleet view of this node takes to show it.
        """
        now = monotonic()
        candidate = selection.candidate
        with self.lock:
            self._record_report(candidate.upstream, report, now)
            self.exclusions.record_refusal(candidate, reason, now)

    def _record_report(
        self, upstream: str, report: OwnerReport, now: float
    ) -> None:
        load = self._get_load(upstream)
        load.record_report(report.backlog, report.risk, now)
        statement = report.statement
        if statement is not None:
            self.exclusions.statements.record(upstream, statement, now)
        load.record_limit(report.limit, report.wait, now)

    def record_silent_path(self, owner: str) -> None:
        """Temporarily exclude an owner that does not respond to this node."""
        self.metrics.count('ingress.silent_paths')
        with self.lock:
            self.exclusions.record_silent_path(owner)

    def list_ejected(self, view: FleetView) -> dict[str, list[str]]:
        """Return the upstreams that this node ejects, by service."""
        now = monotonic()
        with self.lock:
            self.update_services(view)
            for name, floor in self.floors.items():
                service = self.services.get(name)
                slots = service.slots if service else {}
                self.ejected[name] = self.get_detector(name).update_ejections(
                    slots, floor, now
                )
            return {
                name: sorted(ejected)
                for name, ejected in self.ejected.items()
                if ejected
            }

    def _find_open_view(self, service: str) -> ServiceView | None:
        """Return the upstreams of a service outside of evacuated zones."""
        view = self.services.get(service)
        zones = self.evacuations.find_zones()
        if view is None or not zones:
            return view
        return view.restrict(lambda one: one.zone not in zones)

    def _get_load(self, upstream: str) -> LoadEstimate:
        return self.loads.setdefault(upstream, LoadEstimate())

    def get_detector(self, service: str) -> OutlierDetector:
        """Return the outlier detector of a service; needs the lock."""
        return self.detectors.setdefault(service, OutlierDetector())

    def update_services(self, view: FleetView) -> None:
        """Follow the fleet view; needs the lock."""
        if view.change_count == self.seen_changes:
            return
        self.seen_changes = view.change_count
        self.services = group_by_service(view)
        for name, service in self.services.items():
            detector = self.get_detector(name)
            detector.remove_absent(set(service.slots))
        present = {
            upstream
            for service in self.services.values()
            for upstream in service.slots
        }
        for upstream in set(self.loads) - present:
            if self.loads[upstream].in_flight <= 0:
                self.loads.pop(upstream)

    def _filter_candidates(
        self,
        view: ServiceView,
        ejected: set[str],
        tried: set[str],
        now: float,
    ) -> list[Candidate]:
        in_rotation = [
            one
            for one in view.candidates
            if one.upstream not in ejected
            and not self.exclusions.has_left(one, now)
        ]
        suspects = self.membership.view.suspects
        reachable = [
            one
            for one in in_rotation
            if self.exclusions.is_reachable(one, suspects, now)
        ]
        untried = [
            one for one in reachable or in_rotation if one.upstream not in tried
        ]
        return untried or reachable or in_rotation

    def _apply_exchanged_loads(self, usable: list[Candidate]) -> None:
        """Replace reports by those of other nodes that are newer."""
        for candidate in usable:
            known = self.exchanged.find(candidate.upstream)
            if known is not None:
                self._get_load(candidate.upstream).record_exchanged(known)

    def _choose_candidate(
        self,
        usable: list[Candidate],
        selection_request: SelectionRequest,
        trial: str | None,
        now: float,
    ) -> Choice | None:
        for candidate in usable:
            if candidate.upstream == trial:
                return Choice(candidate, 0.0, math.inf)
        self._apply_exchanged_loads(usable)
        return placement.find_cheapest(
            usable,
            self.loads,
            self.make_placement_request(selection_request),
            selection_request.service.zones,
            now,
            self.rng,
        )

    def _max_wait_of(
        self,
        choice: Choice,
        usable: list[Candidate],
        selection_request: SelectionRequest,
        now: float,
    ) -> float:
        """Return the seconds of wait above which the owner returns the request.

        Without exchanged loads they are 0 within the zone, as little is known
        of the others there. They are infinite if the request is not to be
        rerouted again.
        """
        chosen = choice.candidate
        if _is_final(chosen, usable, selection_request):
            return math.inf
        if self.exchanged.limit:
            load = self._get_load(chosen.upstream)
            backlog = load_estimates.estimate_backlog(chosen, load, now)
            wait = load_estimates.estimate_wait(chosen, load, backlog, now)
            placed = self.make_placement_request(selection_request)
            return placement.find_max_wait(choice, wait, placed)
        return 0.0 if chosen.zone == self.zone else selection_request.objective

    def make_placement_request(
        self, selection_request: SelectionRequest
    ) -> PlacementRequest:
        """Return what determines a request's costs; needs the lock."""
        return PlacementRequest(
            zone=self.zone,
            region=self.region,
            kilobytes=self.sizes.get_average(selection_request.route),
            usual_seconds=self.durations.get_average(selection_request.route),
            kilobyte_costs=self.kilobyte_costs,
            objective=selection_request.objective,
            idempotent=selection_request.idempotent,
            may_send_trial=selection_request.idempotent
            and selection_request.may_send_trial,
        )

    def _explore(
        self,
        detector: OutlierDetector,
        chosen: Candidate,
        usable: list[Candidate],
        selection_request: SelectionRequest,
    ) -> Candidate:
        """Replace the chosen upstream by another for a small share of requests.

        Nodes prefer the upstreams of their own zone, often a single one. The
        outlier detector needs outcomes of others to compare with, since it
        could not tell a gray upstream from a slow service otherwise.
        """
        is_suspected = detector.is_suspected(chosen.upstream)
        factor = SUSPECT_EXPLORE_FACTOR if is_suspected else 1
        if self.rng.random() >= self.explore_share * factor:
            return chosen
        others = [one for one in usable if one.upstream != chosen.upstream]
        near = [one for one in others if one.region == self.region]
        if not near and not is_suspected:
            return chosen
        other = placement.find_cheapest(
            near or others,
            self.loads,
            self.make_placement_request(selection_request),
            selection_request.service.zones,
            monotonic(),
            self.rng,
        )
        return other.candidate if other else chosen

    def _record_ejections(self, service: str, ejected: set[str]) -> None:
        before = self.ejected.get(service, set())
        if ejected == before:
            return
        self.ejected[service] = ejected
        self.metrics.count('ingress.ejections', len(ejected - before))
        self.metrics.count('ingress.reinstatements', len(before - ejected))


def _permit(view: ServiceView, regions: PermittedRegions) -> ServiceView:
    if regions is None:
        return view
    return view.restrict(lambda one: is_permitted(one.region, regions))


def _is_final(
    chosen: Candidate,
    usable: list[Candidate],
    selection_request: SelectionRequest,
) -> bool:
    """Whether the request is not to be rerouted again.

    Rerouting brings nothing better if no other upstream is usable, or if the
    chosen one has refused the request before. It also ends at `MAX_REROUTES`.
    """
    has_refused = chosen.upstream in selection_request.refused_by
    is_alone = len(usable) == 1
    return (
        has_refused
        or is_alone
        or len(selection_request.refused_by) >= MAX_REROUTES
    )


def _max_risk_of(
    chosen: Candidate,
    usable: list[Candidate],
    selection_request: SelectionRequest,
) -> float:
    if _is_final(chosen, usable, selection_request):
        return 1.0
    return SUSPECT_RISK if selection_request.idempotent else ONCE_ONLY_RISK
