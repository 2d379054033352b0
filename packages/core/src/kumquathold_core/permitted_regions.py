"""Decides in which regions a request may be served, cached and stored.

A route and a workspace may each name regions. Where both do, a request needs a
region that both name. The ingress that the caller itself reached may lie
elsewhere; no other node or upstream outside gets the request or its body.
"""

from __future__ import annotations

from collections.abc import Iterable

from kumquathold_core.rules import Route, Workspace

PermittedRegions = frozenset[str] | None
"""Names of the regions; `None` for a request that is not restricted."""


def find_permitted_regions(
    route: Route | None, workspace: Workspace | None
) -> PermittedRegions:
    """Return the regions that both the route and the workspace permit.

    The result is empty if they have no region in common.

    Example:
        find_permitted_regions(route, None)  # frozenset({'north'})

    """
    named = [one.regions for one in (route, workspace) if one and one.regions]
    if not named:
        return None
    return frozenset(named[0]).intersection(*named[1:])


def intersect(
    first: PermittedRegions, second: PermittedRegions
) -> PermittedRegions:
    """Return the regions that two bounds permit."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


def is_permitted(region: str, permitted: PermittedRegions) -> bool:
    """Whether a request may be sent to a region."""
    return permitted is None or region in permitted


def find_disjoint(
    routes: Iterable[Route], workspaces: Iterable[Workspace]
) -> list[tuple[Route, Workspace]]:
    """Return the pairs that have no region in common.

    Each request of such a workspace on such a route would be refused. Public
    routes take requests without a workspace.
    """
    bound = [one for one in workspaces if one.regions]
    return [
        (route, workspace)
        for route in routes
        if route.regions and not route.public
        for workspace in bound
        if not find_permitted_regions(route, workspace)
    ]
