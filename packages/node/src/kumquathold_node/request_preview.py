"""Shows where a request would go now, and why, without sending it.

It runs the code by which requests are admitted and placed, and changes no
state. A wait for a rate token is not simulated.
"""

from __future__ import annotations

from typing import Any

import msgspec

from kumquathold_core import ranks, routing
from kumquathold_core.forwarding import Refusal
from kumquathold_core.freshness_tracker import FreshnessState
from kumquathold_core.permitted_regions import find_permitted_regions
from kumquathold_core.placement import DEFAULT_OBJECTIVE_SECONDS
from kumquathold_core.retries import UNPLACED_RETRY_SECONDS
from kumquathold_core.rules import Route, StalePolicy, Workspace
from kumquathold_node.balancer import Balancer
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel
from kumquathold_node.placement_views import preview_placement
from kumquathold_node.selections import PlacementPreview, SelectionRequest


class PreviewError(Exception):
    """The request that is asked about does not exist."""


class UnknownRoute(PreviewError):
    """No route matches."""


class UnknownWorkspace(PreviewError):
    """The rules have no such workspace, and the route needs one."""


class RequestQuery(msgspec.Struct, frozen=True):
    """The request that an operator asks about."""

    method: str
    """HTTP method."""

    path: str
    """Path of the request."""

    host: str = ''
    """Host that it names."""

    workspace: str = ''
    """Workspace that sends it."""


class ServicePreview(msgspec.Struct, frozen=True):
    """Where a request would go if its service is this one."""

    service: str
    """Name of the service."""

    share: float
    """Share of the route's requests that go to it."""

    refusal: str
    """Code with which the request would be refused, empty if it would not."""

    retry_after: float
    """Seconds after which its caller could retry then."""

    placement: PlacementPreview
    """The upstreams, cheapest first, and those left out."""


class RequestPreview(msgspec.Struct, frozen=True):
    """Where a request would go."""

    config_version: int
    """Version of the rules in force."""

    proof_age: float | None
    """Seconds since these were known to be the latest, if they ever were."""

    route: dict[str, Any]
    """The route that matches."""

    workspace: Workspace | None
    """The workspace, none on public routes."""

    rank: int
    """Rank in an owner's queue; lower goes first."""

    regions: tuple[str, ...] | None
    """Regions that may serve it, none for all."""

    services: tuple[ServicePreview, ...]
    """The services of the route."""


def preview_request(kernel: Kernel, query: RequestQuery) -> RequestPreview:
    """Return where a request would go; raises `PreviewError`."""
    configuration: ConfigurationService = kernel.find('configuration')
    freshness: FreshnessService = kernel.find('freshness')
    current = configuration.current
    route = _find_route(current, query)
    workspace = _find_workspace(current, route, query)
    regions = find_permitted_regions(route, workspace)
    proof_age = freshness.get_proof_age()
    return RequestPreview(
        config_version=current.version,
        proof_age=proof_age if proof_age < float('inf') else None,
        route=msgspec.structs.asdict(route),
        workspace=workspace,
        rank=ranks.rank_request(route, workspace),
        regions=None if regions is None else tuple(sorted(regions)),
        services=tuple(
            _preview_service(kernel, current, route, workspace, name)
            for name in route.services
        ),
    )


def _find_route(current: Configuration, query: RequestQuery) -> Route:
    match = routing.match_route(
        current.routes, query.method, query.path, query.host
    )
    if match.route is None:
        allowed = ', '.join(match.allowed_methods) or 'none'
        raise UnknownRoute(
            f'no route takes {query.method} {query.host}{query.path}; '
            f'methods allowed there: {allowed}'
        )
    return match.route


def _find_workspace(
    current: Configuration, route: Route, query: RequestQuery
) -> Workspace | None:
    if route.public:
        return None
    workspace = current.rules.workspaces.get(query.workspace)
    if workspace is None:
        raise UnknownWorkspace(
            f'no workspace "{query.workspace}"; the route needs a key of one'
        )
    return workspace


def _preview_service(
    kernel: Kernel,
    current: Configuration,
    route: Route,
    workspace: Workspace | None,
    name: str,
) -> ServicePreview:
    balancer: Balancer = kernel.find('balancer')
    selection_request = SelectionRequest(
        service=current.rules.services[name],
        route=route.name,
        idempotent=route.idempotent,
        caller_id='',
        objective=route.objective or DEFAULT_OBJECTIVE_SECONDS,
        regions=find_permitted_regions(route, workspace),
    )
    placed = preview_placement(balancer, selection_request)
    refusal = _find_refusal(kernel, route, selection_request, placed)
    weights = {part.service: part.weight for part in route.split}
    total = sum(weights.values())
    return ServicePreview(
        service=name,
        share=weights[name] / total if total else 1.0,
        refusal=refusal.value if refusal else '',
        retry_after=UNPLACED_RETRY_SECONDS if refusal else 0.0,
        placement=placed,
    )


def _find_refusal(
    kernel: Kernel,
    route: Route,
    selection_request: SelectionRequest,
    placed: PlacementPreview,
) -> Refusal | None:
    freshness: FreshnessService = kernel.find('freshness')
    is_cut_off = freshness.decide_state() == FreshnessState.cut_off
    if is_cut_off and route.stale == StalePolicy.refuse and not route.public:
        return Refusal.stale_configuration
    if placed.candidates:
        return None
    if selection_request.regions is not None and placed.left_out:
        return Refusal.region_unavailable
    return Refusal.no_upstream
