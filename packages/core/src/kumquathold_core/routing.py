"""Finds the route of a request."""

from __future__ import annotations

import msgspec

from kumquathold_core.rules import Route, Rules

WILDCARD = '*'


class HostRoutes(msgspec.Struct, frozen=True):
    """The routes of one host."""

    exact: dict[str, dict[str, Route]]
    """By path, then method."""

    prefixes: dict[str, dict[str, Route]]
    """By prefix without its `*`, then method."""

    lengths: tuple[int, ...]
    """Lengths of all prefixes, longest first."""

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
        return cls(exact=exact, prefixes=prefixes, lengths=tuple(lengths))


class RouteTable(msgspec.Struct, frozen=True):
    """Routes by path, for look-ups whose cost grows with the path's length."""

    hosts: dict[str, HostRoutes]
    """By host in lower case; the empty one takes any host."""

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
        return cls(hosts=hosts)


class RouteMatch(msgspec.Struct, frozen=True):
    """What a look-up found."""

    route: Route | None
    """The route, if one takes the method."""

    allowed: tuple[str, ...]
    """Methods of the best path, where none takes the request's method."""


def match_route(
    table: RouteTable,
    method: str,
    path: str,
    host: str = '',
) -> RouteMatch:
    """Find the route: an exact path first, then the longest prefix.

    The routes of the request's host go before those that take any host. Among
    the routes of one path, the request's method goes before `*`, and HEAD
    falls back to GET. A path whose routes do not take the method hands over to
    the next shorter one.
    """
    allowed: list[str] = []
    for methods in _candidates(table, path, host.lower()):
        route = _pick_method(methods, method)
        if route is not None:
            return RouteMatch(route=route, allowed=())
        allowed.extend(methods)
    return RouteMatch(route=None, allowed=tuple(sorted(set(allowed))))


def _candidates(
    table: RouteTable,
    path: str,
    host: str,
) -> list[dict[str, Route]]:
    found: list[dict[str, Route]] = []
    for name in dict.fromkeys((host, '')):
        routes = table.hosts.get(name)
        if routes is not None:
            found.extend(_candidates_of_host(routes, path))
    return found


def _candidates_of_host(
    routes: HostRoutes,
    path: str,
) -> list[dict[str, Route]]:
    exact = routes.exact.get(path)
    found = [] if exact is None else [exact]
    for length in routes.lengths:
        methods = routes.prefixes.get(path[:length])
        if length <= len(path) and methods is not None:
            found.append(methods)
    return found


def _pick_method(methods: dict[str, Route], method: str) -> Route | None:
    names = (
        [method, 'GET', WILDCARD] if method == 'HEAD' else [method, WILDCARD]
    )
    found = (methods.get(name) for name in names)
    return next((route for route in found if route is not None), None)
