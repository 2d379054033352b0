"""Upper bound of a peer's monotonic clock, from heartbeat responses.

A response carries the peer's clock, read after the heartbeat was sent. So at
any later moment that clock shows at most the reading plus the time since the
heartbeat. Deadlines expressed by this bound are late by at most one round
trip, and need no synchronised clocks.
"""

from __future__ import annotations

import msgspec


class PeerClockReading(msgspec.Struct, frozen=True):
    """One reading of a peer's clock."""

    incarnation: int
    """Incarnation of the peer."""

    clock: float
    """The peer's monotonic clock, in seconds."""

    requested_at: float
    """Own monotonic clock when the heartbeat was sent, in seconds."""


def bound_peer_clock(reading: PeerClockReading, now: float) -> float:
    """Return the highest value of the peer's clock at own time `now`."""
    return reading.clock + (now - reading.requested_at)
