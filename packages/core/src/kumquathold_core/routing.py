"""Matches requests to routes by host, path and method."""

from __future__ import annotations

import msgspec

from kumquathold_core.rules import Route, Rules

WILDCARD = '*'


class HostRoutes(msgspec.Struct, frozen=True):
    """The routes of one host, indexed by path."""

    exact: dict[str, dict[str, Route]]
    """Routes by exact path, then method."""

    prefixes: dict[str, dict[str, Route]]
    """Routes by prefix without its `*`, then method."""

    prefix_lengths: tuple[int, ...]
    """Distinct lengths of the prefixes, longest first."""

    @classmethod
    def from_routes(cls, routes: list[Route]) -> HostRoutes:
        """Index the routes of one host."""
        exact: dict[str, dict[str, Route]] = {}
        prefixes: dict[str, dict[str, Route]] = {}
        for route in routes:
            is_prefix = route.path.endswith(WILDCARD)
            table = prefixes if is_prefix else exact
            path = route.path.removesuffix(WILDCARD)
            table.setdefault(path, {})[route.method] = route
        lengths = sorted({len(prefix) for prefix in prefixes}, reverse=True)
        return cls(
            exact=exact, prefixes=prefixes, prefix_lengths=tuple(lengths)
        )


class RouteTable(msgspec.Struct, frozen=True):
    """The routes of a configuration, indexed by host and path.

    The cost of a look-up grows with the length of the path and the number of
    distinct prefix lengths, not with the number of routes.
    """

    hosts: dict[str, HostRoutes]
    """By host in lower case; the empty string stands for any host."""

    by_name: dict[str, Route]
    """By the name of the route."""

    @classmethod
    def from_rules(cls, rules: Rules) -> RouteTable:
        """Index the routes of a configuration."""
        by_host: dict[str, list[Route]] = {}
        for route in rules.routes:
            by_host.setdefault(route.host, []).append(route)
        hosts = {
            host: HostRoutes.from_routes(routes)
            for host, routes in by_host.items()
        }
        by_name = {route.name: route for route in rules.routes}
        return cls(hosts=hosts, by_name=by_name)


class RouteMatch(msgspec.Struct, frozen=True):
    """Result of a look-up."""

    route: Route | None
    """The matching route; none where no route accepts the method."""

    allowed_methods: tuple[str, ...]
    """Methods of the routes whose path matches, where no route was found."""


def match_route(
    table: RouteTable,
    method: str,
    path: str,
    host: str = '',
) -> RouteMatch:
    """Find the route: an exact path first, then the longest prefix.

    Routes of the request's host take precedence over those for any host.
    Among the routes of one path, the request's method takes precedence over
    `*`, and HEAD falls back to GET. Where no route of a path accepts the
    method, the next shorter prefix is tried.
    """
    allowed: list[str] = []
    for methods in _find_candidates(table, path, host.lower()):
        route = _select_method(methods, method)
        if route is not None:
            return RouteMatch(route=route, allowed_methods=())
        allowed.extend(methods)
    return RouteMatch(route=None, allowed_methods=tuple(sorted(set(allowed))))


def _find_candidates(
    table: RouteTable,
    path: str,
    host: str,
) -> list[dict[str, Route]]:
    found: list[dict[str, Route]] = []
    for name in dict.fromkeys((host, '')):
        routes = table.hosts.get(name)
        if routes is not None:
            found.extend(_find_host_candidates(routes, path))
    return found


def _find_host_candidates(
    routes: HostRoutes,
    path: str,
) -> list[dict[str, Route]]:
    exact = routes.exact.get(path)
    found = [] if exact is None else [exact]
    for length in routes.prefix_lengths:
        methods = routes.prefixes.get(path[:length])
        if length <= len(path) and methods is not None:
            found.append(methods)
    return found


def _select_method(methods: dict[str, Route], method: str) -> Route | None:
    names = (
        [method, 'GET', WILDCARD] if method == 'HEAD' else [method, WILDCARD]
    )
    found = (methods.get(name) for name in names)
    return next((route for route in found if route is not None), None)
