"""Tells silent connections of a node from peers that are lost.

A path may drop the packets of all connections that are open, while new ones
work. To the node it looks as if its peers were lost, one after the other, and
to each of them likewise. If several peers in a row answer no heartbeat, it is
more likely that the connections have failed. Holds no clock and does no I/O.
"""

from __future__ import annotations

import math

MIN_UNANSWERED_PEERS = 2
"""Silent peers in a row from which on connections are doubted."""

MIN_DOUBT_INTERVAL_SECONDS = 3.0
"""Shortest time between two doubts, in which new connections are opened."""


class SilenceDetector:
    """The heartbeats of one node that were not answered.

    All times are seconds of the own monotonic clock.
    """

    def __init__(self) -> None:
        """Start without doubt."""
        self.unanswered: dict[str, float] = {}
        """When the heartbeat was sent that each peer did not answer."""
        self.doubted_at = -math.inf

    def record_answer(self, opened_at: float) -> None:
        """Record that a peer answered by a connection that was opened then.

        An answer by a later connection says nothing of those before it.
        """
        first_missed = min(self.unanswered.values(), default=math.inf)
        if opened_at < first_missed:
            self.unanswered.clear()

    def record_timeout(
        self, peer: str, sent_at: float, now: float
    ) -> float | None:
        """Record that a peer did not answer a heartbeat in time.

        Returns the time up to which connections that were open are doubted, or
        `None` without a new doubt.
        """
        self.unanswered.setdefault(peer, sent_at)
        is_early = now - self.doubted_at < MIN_DOUBT_INTERVAL_SECONDS
        if is_early or len(self.unanswered) < MIN_UNANSWERED_PEERS:
            return None
        self.doubted_at = now
        doubted_since = max(self.unanswered.values())
        self.unanswered.clear()
        return doubted_since
