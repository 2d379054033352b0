"""Refused callers return when there is room, and not all at once."""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter
from collections.abc import Callable

from kumquathold_core.retry_after import (
    LATEST_SHARE,
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    choose_retry_after,
)

CALLERS = 300
SLOTS = 20
SERVICE_SECONDS = 0.4
LONGEST_QUEUE = 40
DEADLINE_SECONDS = 12.0
BURST_SECONDS = 0.5
FIXED_SECONDS = 1.0
TRIES = 4
BIN_SECONDS = 0.1

RetryAfter = Callable[[float, float, random.Random], float]


def return_after_fixed_time(*_: object) -> float:
    """Tell all refused callers the same time."""
    return FIXED_SECONDS


class Burst:
    """Callers that come within half a second, and return if refused."""

    def __init__(self, retry_after: RetryAfter) -> None:
        rng = random.Random(3)
        self.served = 0
        self.refusals = 0
        self.returns: Counter[int] = Counter()
        arrivals = [
            (rng.uniform(0, BURST_SECONDS), caller, 1)
            for caller in range(CALLERS)
        ]
        heapq.heapify(arrivals)
        free_at = [0.0] * SLOTS
        while arrivals:
            now, caller, tries = heapq.heappop(arrivals)
            wait = max(0.0, free_at[0] - now)
            waiting = wait * SLOTS / SERVICE_SECONDS
            if waiting < LONGEST_QUEUE:
                start = max(now, heapq.heappop(free_at))
                heapq.heappush(free_at, start + SERVICE_SECONDS)
                self.served += start + SERVICE_SECONDS <= DEADLINE_SECONDS
                continue
            self.refusals += 1
            pause = retry_after(wait, DEADLINE_SECONDS - now, rng)
            if tries < TRIES and now + pause < DEADLINE_SECONDS:
                self.returns[int((now + pause) / BIN_SECONDS)] += 1
                heapq.heappush(arrivals, (now + pause, caller, tries + 1))


class RetryAfterTest(unittest.TestCase):
    """Load answered: a burst of 15 callers for each slot."""

    def test_returning_callers_are_spread_and_served(self) -> None:
        fixed = Burst(return_after_fixed_time)
        spread = Burst(choose_retry_after)
        most = max(spread.returns.values())
        self.assertLess(most, 0.5 * max(fixed.returns.values()))
        self.assertLess(spread.refusals, fixed.refusals)
        self.assertGreaterEqual(spread.served, fixed.served)

    def test_urgent_callers_return_first_and_nobody_too_late(self) -> None:
        rng = random.Random(1)
        urgent = [choose_retry_after(0.2, 20.0, rng) for _ in range(100)]
        others = [choose_retry_after(2.0, 20.0, rng) for _ in range(100)]
        self.assertLess(max(urgent), min(others))
        for seconds_left in (0.0, 0.3, 2.0, 60.0):
            pause = choose_retry_after(5.0, seconds_left, rng)
            self.assertLessEqual(pause, LATEST_SHARE * seconds_left)

    def test_odd_waits_give_usable_times(self) -> None:
        rng = random.Random(1)
        for wait in (-1.0, 0.0, 1e9, float('inf')):
            pause = choose_retry_after(wait, 1e9, rng)
            self.assertGreaterEqual(pause, MIN_RETRY_SECONDS)
            self.assertLessEqual(pause, MAX_RETRY_SECONDS)
