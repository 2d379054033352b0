"""How long a rate holder may grant tokens without its lease.

A holder whose lease has ended in the store may have a successor. While the
store does not answer it cannot know, but a successor takes over only once it
believes the holder dead, which takes longer than `CONTACT_SECONDS`. So a holder
that most of its region has just heard has none. The module reads no clock; the
caller passes the time in.
"""

from __future__ import annotations

CONTACT_SECONDS = 2.5
"""Time after an answered heartbeat in which no peer declares a node dead."""


def find_quorum_time(answered_at: list[float], now: float) -> float:
    """Return the latest time at which most of the region heard the holder.

    `answered_at` are the times at which the heartbeats were sent that the other
    nodes of the region answered last, 0 for none. The holder itself counts.

    Example:
        find_quorum_time([5.0, 4.0, 3.0], 6.0)  # 4.0, three of four nodes

    """
    needed = (len(answered_at) + 1) // 2
    if not needed:
        return now
    return sorted(answered_at, reverse=True)[needed - 1]
