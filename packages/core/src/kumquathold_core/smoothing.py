"""Exponentially weighted moving averages of request measurements."""

from __future__ import annotations

import zlib

SMOOTHING_FACTOR = 0.2
"""Weight of the newest sample in the moving average."""

MAX_PEER_ROUTES = 10_000
"""Most routes of which peers' averages are kept."""


def hash_route(route: str) -> int:
    """Return the key of a route in reports, a number of 32 bits."""
    return zlib.crc32(route.encode())


def update_average(average: float, newest: float) -> float:
    """Return the moving average after one more sample."""
    return average + SMOOTHING_FACTOR * (newest - average)


class RouteAverages:
    """Moving averages of one measurement, kept per route.

    A route without own samples has the average that a peer reported.
    """

    __slots__ = ('averages', 'default', 'peer_averages')

    def __init__(self, default: float) -> None:
        """Start without samples.

        `default` is the average of a route that has no sample yet.
        """
        self.default = default
        self.averages: dict[str, float] = {}
        self.peer_averages: dict[int, float] = {}
        """By a hash of the route's name, see `hash_route`."""

    def get_average(self, route: str) -> float:
        """Return a route's average, or the default if nothing is known."""
        average = self.averages.get(route)
        if average is not None:
            return average
        if not self.peer_averages:
            return self.default
        return self.peer_averages.get(hash_route(route), self.default)

    def record_peer_average(self, key: int, average: float) -> None:
        """Record an average that a peer reported, by the route's hash."""
        is_known = key in self.peer_averages
        if is_known or len(self.peer_averages) < MAX_PEER_ROUTES:
            self.peer_averages[key] = average

    def add_sample(self, route: str, quantity: float) -> None:
        """Update a route's average; the first sample becomes the average."""
        average = self.averages.get(route, quantity)
        self.averages[route] = update_average(average, quantity)
