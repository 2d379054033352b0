"""What a node knows of a peer's monotonic clock.

A heartbeat's answer carries the peer's clock. The peer read it after the
question was sent, so at any later moment its clock shows at most the reading
plus the time since the question. Deadlines that are given in this upper bound
are late by at most one round trip, and need no clocks to agree.
"""

from __future__ import annotations

import msgspec


class PeerClockReading(msgspec.Struct, frozen=True):
    """One reading of a peer's clock."""

    incarnation: int
    """The peer's process."""

    clock: float
    """The peer's monotonic clock, in seconds."""

    asked_at: float
    """Own monotonic clock when the question was sent, in seconds."""


def bound_peer_clock(reading: PeerClockReading, now: float) -> float:
    """The highest that the peer's clock can show at own time `now`."""
    return reading.clock + (now - reading.asked_at)
