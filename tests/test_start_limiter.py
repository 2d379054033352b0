"""Starts under a stated limit, and what an ingress knows of statements."""

from __future__ import annotations

import random
import unittest

import msgspec

from kumquathold_core import admission, load_estimates, placement
from kumquathold_core.admission import UpstreamLoad
from kumquathold_core.candidates import Candidate
from kumquathold_core.forwarding import Refusal
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.placement import PlacementRequest
from kumquathold_core.rules import ZoneScope
from kumquathold_core.start_limiter import MIN_STARTS_PER_SECOND, StartLimiter
from kumquathold_core.statement_table import StatementTable
from kumquathold_core.upstream_statements import (
    LEAVING_VALID_SECONDS,
    InvalidLimit,
    UpstreamStatement,
    parse_limit,
)

WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
STEP_SECONDS = 0.05
PLAYED_SECONDS = 60.0
LIMITS = (0.0, 0.3, 1.0, 2.7, 4.1, 25.0)
IDLE = UpstreamLoad(
    slots=4,
    running=0,
    waiting=0,
    service_seconds=0.2,
    risk=0.0,
    is_trial_due=False,
)


def play_starts(limit: float, wanted_per_second: float) -> list[float]:
    """Return the times of starts while requests are wanted at random."""
    limiter = StartLimiter()
    limiter.set_limit(limit, 0.0)
    rng = random.Random(5)
    starts = []
    steps = round(PLAYED_SECONDS / STEP_SECONDS)
    for step in range(steps):
        now = step * STEP_SECONDS
        for _ in range(rng.randrange(round(wanted_per_second / 5) + 1)):
            if limiter.may_start(now):
                limiter.record_start(now)
                starts.append(now)
    return starts


class StartLimiterTest(unittest.TestCase):
    """Any window stays within the limit, and the limit is used up."""

    def test_windows_of_a_pressing_load(self) -> None:
        for limit in LIMITS:
            starts = play_starts(limit, 60)
            allowed = LIMIT_FACTOR * limit * WINDOW_SECONDS + EXTRA_REQUESTS
            most = max(
                sum(first <= at < first + WINDOW_SECONDS for at in starts)
                for first in starts
            )
            with self.subTest(limit):
                self.assertLessEqual(most, allowed)

    def test_stated_rate_is_used_up(self) -> None:
        for limit in LIMITS:
            rate = max(limit, MIN_STARTS_PER_SECOND)
            with self.subTest(limit):
                self.assertGreaterEqual(
                    len(play_starts(limit, 60)), 0.9 * rate * PLAYED_SECONDS
                )

    def test_lifted_limit_holds_nothing_back(self) -> None:
        limiter = StartLimiter()
        limiter.set_limit(1.0, 0.0)
        self.assertFalse(limiter.may_start(0.0))
        limiter.set_limit(None, 0.1)
        self.assertTrue(limiter.may_start(0.1))
        self.assertEqual(limiter.estimate_wait(9, 0.1), 0.0)

    def test_wait_counts_the_requests_ahead(self) -> None:
        limiter = StartLimiter()
        limiter.set_limit(2.0, 10.0)
        self.assertEqual(limiter.estimate_wait(0, 10.0), 0.5)
        self.assertEqual(limiter.estimate_wait(3, 10.0), 2.0)
        self.assertEqual(limiter.estimate_wait(0, 10.5), 0.0)


class LimitDecisionTest(unittest.TestCase):
    """Admission and placement take the stated limit into account."""

    def find_refusal(self, wait: float, max_wait: float) -> Refusal | None:
        """Return the refusal of a request with two seconds left."""
        return admission.find_refusal(
            msgspec.structs.replace(IDLE, start_wait=wait),
            seconds_left=2.0,
            idempotent=False,
            max_wait=max_wait,
            max_risk=1.0,
        )

    def test_request_that_may_go_elsewhere_does_not_wait(self) -> None:
        self.assertIsNone(self.find_refusal(0.0, 0.0))
        self.assertEqual(self.find_refusal(0.1, 0.0), Refusal.upstream_busy)

    def test_request_that_cannot_start_in_time_is_refused_at_once(self) -> None:
        self.assertIsNone(self.find_refusal(1.5, 9.0))
        self.assertEqual(self.find_refusal(2.5, 9.0), Refusal.overloaded)

    def test_requests_prefer_an_upstream_with_room_under_its_limit(
        self,
    ) -> None:
        limited, free = (
            Candidate(name, name, 'a', 'r', 4) for name in ('limited', 'free')
        )
        loads = {name: LoadEstimate() for name in ('limited', 'free')}
        for load in loads.values():
            load.record_report(0, 0.0, 5.0)
        loads['free'].record_report(4, 0.0, 5.0)
        loads['limited'].record_limit(1.0, 0.0, 5.0)
        request = PlacementRequest('a', 'r', 1.0)
        rng = random.Random(3)

        def choose() -> Candidate | None:
            return placement.choose_cheapest(
                [limited, free], loads, request, ZoneScope.any, 5.0, rng
            )

        self.assertEqual(choose(), limited)
        loads['limited'].record_send(5.0)
        self.assertEqual(choose(), free)

    def test_limit_that_the_fleet_tells_counts_without_a_report(self) -> None:
        near = Candidate('near', 'near', 'a', 'r', 4, limit=1.0)
        load = LoadEstimate(reported_at=100.0)
        waits = [
            load_estimates.estimate_limit_wait(near, load, now)
            for now in (100.5, 200.0)
        ]
        self.assertEqual(waits, [0.0, 1.0])
        lifted = msgspec.structs.replace(near, limit=None)
        load.record_limit(1.0, 0.3, 100.0)
        waits = [
            load_estimates.estimate_limit_wait(lifted, load, now)
            for now in (100.0, 101.5, 103.0)
        ]
        self.assertEqual([round(wait, 3) for wait in waits], [0.3, 1.0, 0.0])


class StatementTableTest(unittest.TestCase):
    """Statements are of one process of an upstream."""

    def setUp(self) -> None:
        self.table = StatementTable()

    def test_leaving_is_not_taken_back_by_the_same_process(self) -> None:
        self.table.record('u', UpstreamStatement(7, None, True), 0.0)
        self.table.record('u', UpstreamStatement(7, 3.0, False), 1.0)
        self.assertTrue(self.table.is_leaving('u', 7, 3600.0))
        self.assertTrue(self.table.is_leaving('u', 6, 3600.0))
        self.assertFalse(self.table.is_leaving('u', 8, 1.0))

    def test_late_statement_of_an_earlier_process_is_ignored(self) -> None:
        self.table.record('u', UpstreamStatement(8, 3.0), 0.0)
        self.table.record('u', UpstreamStatement(7, 1.0, True), 1.0)
        self.assertFalse(self.table.is_leaving('u', 8, 1.0))
        found = self.table.find('u', 8)
        self.assertEqual(found, UpstreamStatement(8, 3.0))
        self.assertIsNone(self.table.find('u', 7))

    def test_leaving_without_a_lifetime_holds_for_a_while(self) -> None:
        self.table.record('u', UpstreamStatement(0, None, True), 0.0)
        end = LEAVING_VALID_SECONDS
        self.assertTrue(self.table.is_leaving('u', 0, end - 1))
        self.assertFalse(self.table.is_leaving('u', 0, end + 1))


class ParseLimitTest(unittest.TestCase):
    """Limits are finite decimal numbers."""

    def test_values(self) -> None:
        self.assertEqual(parse_limit('2.5'), 2.5)
        self.assertEqual(parse_limit('0'), 0.0)
        for text in ('', 'x', '-1', 'nan', 'inf', '1,5'):
            with self.subTest(text), self.assertRaises(InvalidLimit):
                parse_limit(text)


if __name__ == '__main__':
    unittest.main()
