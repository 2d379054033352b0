"""Chooses when a caller that was refused for want of room may return.

Load answered: a burst beyond the room of a service. Callers that are all told
the same time return together, and most are refused again. The times are spread
over the expected wait; a more urgent request, for which the wait is shorter,
returns earlier, and no caller is told a time at which it could not be served.
"""

from __future__ import annotations

import random

MIN_RETRY_SECONDS = 0.5
"""Shortest time, in which an upstream serves at least a few requests."""

MAX_RETRY_SECONDS = 10.0
SPREAD_FACTOR = 2.5
"""Multiple of the expected wait until which callers return."""

LATEST_SHARE = 0.33
"""Share of a caller's time left after which it would return too late.

The request itself needs the rest.
"""


def choose_retry_after(
    wait: float, seconds_left: float, rng: random.Random
) -> float:
    """Return the seconds after which a refused caller may return.

    `wait` is the expected wait for a slot of a request of its rank, and
    `seconds_left` the time until its deadline.
    """
    earliest = min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
    latest = min(earliest * SPREAD_FACTOR, MAX_RETRY_SECONDS)
    in_time = max(0.0, seconds_left * LATEST_SHARE)
    return rng.uniform(min(earliest, in_time), min(latest, in_time))
