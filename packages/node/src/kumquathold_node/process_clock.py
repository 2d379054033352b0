"""The process's own identity in time."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Seconds since the machine's start, time asleep included.

    The monotonic clock stands still while a machine is suspended; leases run
    on.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def start_incarnation() -> int:
    """A number for this process that is higher than any earlier one's."""
    return time.time_ns()
