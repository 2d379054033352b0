"""Sizes and durations of routes that nodes of a zone tell each other.

An ingress that has not yet seen a response of a route would take a large
download for a small one, and send it through a slow or billed link. The module
keeps no state.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.smoothing import RouteAverages, hash_route

MAX_ROUTES = 16
"""Most routes that one heartbeat tells of."""

MAX_REPORTED_BYTES = 134_217_728
"""The largest request and the largest response together."""

MAX_REPORTED_MS = 3_600_000
BYTES_PER_KILOBYTE = 1000
MILLISECONDS_PER_SECOND = 1000


class RouteReport(msgspec.Struct, frozen=True, array_like=True):
    """What one ingress has measured of a route."""

    key: int
    """Hash of the route's name."""

    size: int
    """Average bytes of a request and its response."""

    duration_ms: int
    """Average service time, in milliseconds."""


def make_reports(
    sizes: RouteAverages, durations: RouteAverages
) -> tuple[RouteReport, ...]:
    """Return reports of the routes of which both averages are known.

    `sizes` are in kilobytes, `durations` in seconds.
    """
    known = [route for route in sizes.averages if route in durations.averages]
    return tuple(
        RouteReport(
            key=hash_route(route),
            size=round(sizes.averages[route] * BYTES_PER_KILOBYTE),
            duration_ms=round(
                durations.averages[route] * MILLISECONDS_PER_SECOND
            ),
        )
        for route in known[-MAX_ROUTES:]
    )


def is_usable(report: RouteReport) -> bool:
    """Whether the values of a peer's report are in range."""
    is_size = 0 <= report.size <= MAX_REPORTED_BYTES
    return is_size and 0 < report.duration_ms <= MAX_REPORTED_MS


def apply_reports(
    reports: tuple[RouteReport, ...],
    sizes: RouteAverages,
    durations: RouteAverages,
) -> None:
    """Take over the averages of routes that this ingress has not measured."""
    for report in filter(is_usable, reports):
        kilobytes = report.size / BYTES_PER_KILOBYTE
        seconds = report.duration_ms / MILLISECONDS_PER_SECOND
        sizes.record_peer_average(report.key, kilobytes)
        durations.record_peer_average(report.key, seconds)
