"""Smoothed quantities of requests."""

from __future__ import annotations

GAIN = 0.2
"""Weight of the newest request in a smoothed quantity."""


def update_average(known: float, newest: float) -> float:
    """The smoothed quantity after one more request."""
    return known + GAIN * (newest - known)


class RouteAverages:
    """A smoothed quantity of each route's requests."""

    __slots__ = ('known', 'usual')

    def __init__(self, usual: float) -> None:
        """Start with what is usual."""
        self.usual = usual
        self.known: dict[str, float] = {}

    def of(self, route: str) -> float:
        """What is known of a route."""
        return self.known.get(route, self.usual)

    def note(self, route: str, quantity: float) -> None:
        """Take in one request."""
        known = self.known.get(route, quantity)
        self.known[route] = update_average(known, quantity)
