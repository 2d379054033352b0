"""Lower bound of a peer's monotonic clock, from heartbeat responses.

A response carries the peer's clock, read between the sending of the heartbeat
and the arrival of the response. Since that arrival, the peer's clock has
advanced as the own one has, so it shows at least the reading plus that time. A
deadline expressed by this bound is early by at most one round trip and never
late, and needs no synchronised clocks.

Example: a response that arrives at 5.0 s of the own clock carries 100.0 s. At
7.0 s, the peer's clock shows at least 102.0 s.
"""

from __future__ import annotations

import msgspec

MAX_READING_AGE_SECONDS = 30.0
"""Age above which a reading is replaced even by a less exact one.

Clocks drift apart, and stand still while their VM is suspended.
"""


class PeerClockReading(msgspec.Struct, frozen=True):
    """One reading of a peer's clock."""

    incarnation: int
    """Incarnation of the peer."""

    clock: float
    """The peer's monotonic clock, in seconds."""

    requested_at: float
    """Own monotonic clock when the heartbeat was sent, in seconds."""

    received_at: float
    """Own monotonic clock when the response arrived, in seconds."""

    @property
    def round_trip(self) -> float:
        """Seconds from the heartbeat to its response."""
        return self.received_at - self.requested_at

    def agrees_with(self, other: PeerClockReading) -> bool:
        """Whether the two clocks may have run alike between the readings."""
        return (
            self.clock - self.received_at <= other.clock - other.requested_at
            and other.clock - other.received_at
            <= self.clock - self.requested_at
        )


def bound_peer_clock(reading: PeerClockReading, now: float) -> float:
    """Return the lowest value of the peer's clock at own time `now`."""
    return reading.clock + (now - reading.received_at)


def select_reading(
    known: PeerClockReading | None,
    new: PeerClockReading,
) -> PeerClockReading:
    """Return the reading to keep: the more exact one, unless it is outdated."""
    if known is None or known.incarnation != new.incarnation:
        return new
    is_old = new.received_at - known.received_at > MAX_READING_AGE_SECONDS
    if is_old or not known.agrees_with(new):
        return new
    return min(new, known, key=lambda reading: reading.round_trip)
