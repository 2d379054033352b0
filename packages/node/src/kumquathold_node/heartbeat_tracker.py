"""The heartbeats of a node that await their responses, and what those told.

Not thread-safe, except for `readings` and `answered_at`, which other threads
may read: only the membership task changes them.
"""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import Future

import msgspec

from kumquathold_core import peer_clock
from kumquathold_core.peer_clock import PeerClockReading

DIRECT_TIMEOUT_SECONDS = 0.3
"""Time in which a peer must respond before it is probed indirectly."""

INDIRECT_TIMEOUT_SECONDS = 0.6
"""Further time for the indirect probes, after which the peer is suspected."""


class Heartbeat(msgspec.Struct):
    """A heartbeat that awaits its response."""

    peer: str
    """Address that it was sent to."""

    sent_at: float
    """Own monotonic clock, in seconds."""

    is_indirect: bool = False
    """Whether indirect probes were requested."""


class HeartbeatTracker:
    """The pending heartbeats by number, and the peers' clocks."""

    def __init__(self) -> None:
        """Start without heartbeats."""
        self.pending: dict[int, Heartbeat] = {}
        self.last_number = 0
        self.readings: dict[str, PeerClockReading] = {}
        """The best reading of each peer's clock."""
        self.waiters: dict[str, list[Future[PeerClockReading]]] = {}
        self.answered_at: dict[str, float] = {}
        """When the heartbeat was sent that each peer answered last."""

    def add(self, peer: str, now: float) -> int:
        """Add a heartbeat that is sent now; return its number."""
        self.last_number += 1
        self.pending[self.last_number] = Heartbeat(peer, now)
        return self.last_number

    def take(self, number: int) -> Heartbeat | None:
        """Remove and return a heartbeat that was answered, if it is pending."""
        return self.pending.pop(number, None)

    def take_unanswered(self, now: float) -> Iterator[Heartbeat]:
        """Remove and yield the heartbeats whose time is over."""
        for number, heartbeat in list(self.pending.items()):
            age = now - heartbeat.sent_at
            if age >= DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS:
                self.pending.pop(number)
                yield heartbeat

    def take_late(self, now: float) -> Iterator[tuple[int, Heartbeat]]:
        """Yield each heartbeat once that needs indirect probes, by number."""
        for number, heartbeat in list(self.pending.items()):
            is_late = now - heartbeat.sent_at >= DIRECT_TIMEOUT_SECONDS
            if is_late and not heartbeat.is_indirect:
                heartbeat.is_indirect = True
                yield number, heartbeat

    def await_reading(self, peer: str, reply: Future[PeerClockReading]) -> None:
        """Complete `reply` with the next reading of a peer's clock."""
        self.waiters.setdefault(peer, []).append(reply)

    def record_reading(self, peer: str, reading: PeerClockReading) -> None:
        """Record the clock that a response carried."""
        best = peer_clock.select_reading(self.readings.get(peer), reading)
        self.readings[peer] = best
        self.answered_at[peer] = max(
            reading.requested_at, self.answered_at.get(peer, 0.0)
        )
        for reply in self.waiters.pop(peer, ()):
            reply.set_result(best)
