"""Boot-time clock, and the incarnation number of this process."""

from __future__ import annotations

import time


def read_boot_clock() -> float:
    """Return seconds since boot, including time spent suspended.

    Used for leases: the store counts them down while this machine is
    suspended, but the monotonic clock stops.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def start_incarnation() -> int:
    """Return the incarnation number of this process.

    It is the wall-clock time in nanoseconds, so it grows with every restart.
    """
    return time.time_ns()
