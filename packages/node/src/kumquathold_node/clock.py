"""The process's own identity in time."""

from __future__ import annotations

import time


def start_incarnation() -> int:
    """A number for this process that is higher than any earlier one's."""
    return time.time_ns()
