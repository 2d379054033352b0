"""What operators see of a balancer: its upstreams, and where a request goes."""

from __future__ import annotations

import copy
from time import monotonic

import msgspec

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.permitted_regions import is_permitted
from kumquathold_core.rules import Service
from kumquathold_node.balancer import Balancer
from kumquathold_node.selections import (
    PlacementPreview,
    SelectionRequest,
    ServiceView,
)

NO_UPSTREAMS = ServiceView(candidates=(), slots={})


class UpstreamState(msgspec.Struct, frozen=True):
    """The state of one upstream, as an ingress sees it."""

    upstream: str
    """Its name."""

    owner: str
    """Peer address of its owner."""

    zone: str
    """Its zone."""

    distance: int
    """See `rank_distance`."""

    ejected: bool
    """Whether it is out of rotation as an outlier."""

    evidence: float
    """Log-likelihood ratio that it is gray."""

    avoided: bool
    """Whether it has left, or its node does not respond."""

    limit: float | None
    """Requests a second that it takes, if limited."""


def list_upstreams(balancer: Balancer, service: Service) -> list[UpstreamState]:
    """Return the state of each upstream of a service."""
    now = monotonic()
    with balancer.lock:
        balancer.update_services(balancer.membership.view)
        view = balancer.services.get(service.name, NO_UPSTREAMS)
        detector = balancer.get_detector(service.name)
        ejected = detector.update_ejections(view.slots, service.floor, now)
        return [
            UpstreamState(
                upstream=one.upstream,
                owner=one.owner,
                zone=one.zone,
                distance=rank_distance(one, balancer.zone, balancer.region),
                ejected=one.upstream in ejected,
                evidence=detector.get_statistics(one.upstream, now).score,
                avoided=_is_avoided(balancer, one, now),
                limit=_find_load(balancer, one.upstream).limit,
            )
            for one in view.candidates
        ]


def preview_placement(
    balancer: Balancer, selection_request: SelectionRequest
) -> PlacementPreview:
    """Return how a request would be placed now; changes nothing."""
    now = monotonic()
    service = selection_request.service
    with balancer.lock:
        view = balancer.services.get(service.name, NO_UPSTREAMS)
        loads = _copy_loads(balancer, view)
        reasons = {
            one.upstream: _find_exclusion(balancer, one, selection_request, now)
            for one in view.candidates
        }
        placed = balancer.make_placement_request(selection_request)
    ranked = placement.estimate_all(
        [one for one in view.candidates if not reasons[one.upstream]],
        loads,
        placed,
        service.zones,
        now,
    )
    return PlacementPreview.from_parts(view, ranked, reasons, loads, now)


def _find_load(balancer: Balancer, upstream: str) -> LoadEstimate:
    return balancer.loads.get(upstream) or LoadEstimate()


def _copy_loads(
    balancer: Balancer, view: ServiceView
) -> dict[str, LoadEstimate]:
    """Return copies of the load estimates, with exchanged loads applied."""
    loads = {
        one.upstream: copy.copy(_find_load(balancer, one.upstream))
        for one in view.candidates
    }
    for upstream, load in loads.items():
        known = balancer.exchanged.find(upstream)
        if known is not None:
            load.record_exchanged(known)
    return loads


def _is_avoided(balancer: Balancer, candidate: Candidate, now: float) -> bool:
    suspects = balancer.membership.view.suspects
    has_left = balancer.exclusions.has_left(candidate, now)
    return has_left or not balancer.exclusions.is_reachable(
        candidate, suspects, now
    )


def _find_exclusion(
    balancer: Balancer,
    candidate: Candidate,
    selection_request: SelectionRequest,
    now: float,
) -> str:
    """Return why a candidate is left out, empty if it is not."""
    ejected = balancer.ejected.get(selection_request.service.name, set())
    suspects = balancer.membership.view.suspects
    exclusions = balancer.exclusions
    checks = {
        'zone evacuated': candidate.zone in balancer.evacuations.find_zones(),
        'region not permitted': not is_permitted(
            candidate.region, selection_request.regions
        ),
        'ejected': candidate.upstream in ejected,
        'leaving': exclusions.has_left(candidate, now),
        'node not reachable': not exclusions.is_reachable(
            candidate, suspects, now
        ),
    }
    return next((reason for reason, holds in checks.items() if holds), '')
