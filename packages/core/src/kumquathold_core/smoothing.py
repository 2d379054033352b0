"""Exponentially weighted moving averages of request measurements."""

from __future__ import annotations

SMOOTHING_FACTOR = 0.2
"""Weight of the newest sample in the moving average."""


def update_average(average: float, newest: float) -> float:
    """Return the moving average after one more sample."""
    return average + SMOOTHING_FACTOR * (newest - average)


class RouteAverages:
    """Moving averages of one measurement, kept per route."""

    __slots__ = ('averages', 'default')

    def __init__(self, default: float) -> None:
        """Start without samples.

        `default` is the average of a route that has no sample yet.
        """
        self.default = default
        self.averages: dict[str, float] = {}

    def get_average(self, route: str) -> float:
        """Return a route's average, or the default without samples."""
        return self.averages.get(route, self.default)

    def add_sample(self, route: str, quantity: float) -> None:
        """Update a route's average; the first sample becomes the average."""
        average = self.averages.get(route, quantity)
        self.averages[route] = update_average(average, quantity)
