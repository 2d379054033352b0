"""Suspicion, admission, order of waiting requests, lifetimes and budgets."""

from __future__ import annotations

import random
import unittest

from kumquathold_core import admission, crash_tracker, failure_risk, fair_queue
from kumquathold_core.admission import UpstreamLoad
from kumquathold_core.announcement_tracker import (
    AnnouncementStamp,
    AnnouncementTracker,
)
from kumquathold_core.failure_risk import FailureRiskEstimator
from kumquathold_core.forwarding import Refusal
from kumquathold_core.retries import RetryBudget

SLOTS = 4
LATE_LIMIT = 12
SERVICE_SECONDS = 0.4
OBJECTIVE_SECONDS = 1.2
DEADLINE_SECONDS = 5.0


class SuspicionTest(unittest.TestCase):
    """Few outcomes decide, and time undoes them."""

    def test_one_failure_makes_suspect_and_one_success_clears(self) -> None:
        state = FailureRiskEstimator()
        state.record_outcome(1.0, failed=False)
        self.assertFalse(state.is_suspect(1.0))
        state.record_outcome(1.1, failed=True)
        state.record_outcome(1.2, failed=True)
        self.assertTrue(state.is_suspect(1.2))
        for step in range(3):
            state.record_outcome(1.3 + step / 10, failed=False)
        self.assertFalse(state.is_suspect(1.6))

    def test_suspicion_relaxes_to_the_share_of_gray_ones(self) -> None:
        state = FailureRiskEstimator()
        state.record_outcome(0.0, failed=True)
        self.assertTrue(state.is_suspect(1.0))
        far = state.estimate_risk(20 * failure_risk.GRAY_PERIOD_SECONDS)
        prior = failure_risk.risk_of(failure_risk.GRAY_SHARE)
        self.assertAlmostEqual(far, prior, places=3)

    def test_spells_cost_few_requests(self) -> None:
        """Against a naive owner that never sends on: a fifth of the losses."""
        rng = random.Random(7)
        lost = 0
        naive = 0
        state = FailureRiskEstimator()
        for step in range(20_000):
            now = step * 0.1
            is_gray = int(now // 9) % 3 == 0
            fails = rng.random() < (0.85 if is_gray else 0.012)
            naive += fails
            if state.is_suspect(now) and not state.is_trial_due(now):
                continue
            lost += fails
            state.record_outcome(now, failed=fails)
        self.assertLess(lost * 5, naive)

    def test_one_trial_at_a_time(self) -> None:
        state = FailureRiskEstimator()
        state.record_outcome(0.0, failed=True)
        self.assertFalse(state.is_trial_due(0.1))
        self.assertTrue(state.is_trial_due(failure_risk.TRIAL_INTERVAL_SECONDS))
        state.trials_in_flight += 1
        self.assertFalse(
            state.is_trial_due(failure_risk.TRIAL_INTERVAL_SECONDS)
        )


class AdmissionTest(unittest.TestCase):
    """An owner takes what it can serve, and says at once what it cannot."""

    def load(self, **changes: float) -> UpstreamLoad:
        fields = {
            'slots': SLOTS,
            'running': SLOTS,
            'waiting': 0,
            'service_seconds': SERVICE_SECONDS,
            'risk': 0.05,
            'is_trial_due': False,
            **changes,
        }
        return UpstreamLoad(**fields)  # type: ignore[arg-type]

    def judge(self, load: UpstreamLoad, **changes: float) -> Refusal | None:
        wish = {
            'seconds_left': DEADLINE_SECONDS,
            'idempotent': False,
            'max_wait': 0.0,
            'max_risk': 0.5,
            **changes,
        }
        return admission.find_refusal(load, **wish)  # type: ignore[arg-type]

    def test_busy_owner_sends_on_what_may_go_elsewhere(self) -> None:
        refusal = self.judge(self.load())
        self.assertEqual(refusal, Refusal.upstream_busy)
        self.assertIsNone(self.judge(self.load(), max_wait=9.0))
        self.assertIsNone(self.judge(self.load(running=SLOTS - 1)))

    def test_suspect_owner_sends_on_all_but_a_trial(self) -> None:
        suspect = self.load(running=0, risk=0.8)
        self.assertEqual(self.judge(suspect), Refusal.upstream_suspect)
        trial = self.load(running=0, risk=0.8, is_trial_due=True)
        self.assertEqual(self.judge(trial), Refusal.upstream_suspect)
        self.assertIsNone(self.judge(trial, idempotent=True))
        self.assertIsNone(self.judge(suspect, max_risk=1.0))

    def test_hopeless_requests_are_refused_at_once(self) -> None:
        full = self.load(waiting=100)
        refusal = self.judge(full, max_wait=99.0, max_risk=1.0)
        self.assertEqual(refusal, Refusal.overloaded)


class PlayedRequest:
    """A request of the played load."""

    __slots__ = ('arrived_at', 'due_at')

    def __init__(self, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self.due_at = arrived_at + OBJECTIVE_SECONDS


def place_of(request: PlayedRequest) -> fair_queue.SchedulingKey:
    """All of one rank and workspace."""
    return fair_queue.SchedulingKey(0, 'w', 1, request.due_at)


def play(
    load: float, *, by_due: bool, seconds: int = 60
) -> tuple[float, float]:
    """Play a load on one upstream; shares answered in time, and at all."""
    rng = random.Random(3)
    queue: fair_queue.ObjectiveQueue[PlayedRequest] = fair_queue.ObjectiveQueue(
        place_of,
        LATE_LIMIT,
    )
    rate = load * SLOTS / SERVICE_SECONDS
    arrivals = sorted(
        rng.uniform(0, seconds) for _ in range(int(rate * seconds))
    )
    free_at = [0.0 for _ in range(SLOTS)]
    in_time = 0
    served = 0
    pending = list(reversed(arrivals))
    while pending or queue.size:
        free_at.sort()
        now = free_at[0]
        if not queue.size:
            now = max(now, pending[-1])
        while pending and pending[-1] <= now:
            queue.push(PlayedRequest(pending.pop()))
        end_at = now + SERVICE_SECONDS
        request = queue.pop(end_at if by_due else -1.0)
        queue.take_dropped()
        if request is None:
            continue
        if end_at > request.arrived_at + DEADLINE_SECONDS:
            continue
        free_at[0] = end_at
        served += 1
        in_time += end_at <= request.due_at
    return in_time / len(arrivals), served / len(arrivals)


class DueQueueTest(unittest.TestCase):
    """More requests than slots: most are still answered in time."""

    def test_overload_leaves_most_in_time(self) -> None:
        by_arrival, _ = play(1.3, by_due=False)
        in_time, served = play(1.3, by_due=True)
        self.assertLess(by_arrival, 0.3)
        self.assertGreater(in_time, 0.6)
        self.assertGreater(served, 0.7)

    def test_light_load_is_served_in_time_by_both(self) -> None:
        for by_due in (True, False):
            in_time, served = play(0.5, by_due=by_due)
            self.assertGreater(in_time, 0.99)
            self.assertEqual(served, 1.0)

    def test_nothing_is_lost_or_doubled(self) -> None:
        queue: fair_queue.ObjectiveQueue[PlayedRequest] = (
            fair_queue.ObjectiveQueue(
                place_of,
                LATE_LIMIT,
            )
        )
        requests = [PlayedRequest(number / 10) for number in range(50)]
        for request in requests:
            self.assertTrue(queue.push(request))
        self.assertTrue(queue.remove(requests[7]))
        self.assertFalse(queue.remove(requests[7]))
        popped = [queue.pop(3.0) for _ in range(queue.size)]
        served = [one for one in popped if one is not None]
        dropped = queue.take_dropped()
        self.assertEqual(len({id(one) for one in served + dropped}), 49)
        late = [one for one in served if one.due_at < 3.0]
        self.assertEqual(len(late), LATE_LIMIT)
        self.assertIsNone(queue.pop(3.0))


class LifetimesTest(unittest.TestCase):
    """Late announcements change nothing."""

    def test_older_than_the_newest_is_late(self) -> None:
        seen = AnnouncementTracker()
        self.assertTrue(
            seen.admit('i', AnnouncementStamp(100, 5), leaving=False)
        )
        self.assertFalse(
            seen.admit('i', AnnouncementStamp(100, 4), leaving=False)
        )
        self.assertFalse(
            seen.admit('i', AnnouncementStamp(99, 9), leaving=False)
        )
        self.assertTrue(
            seen.admit('i', AnnouncementStamp(101, 1), leaving=False)
        )

    def test_who_left_stays_away_within_its_lifetime(self) -> None:
        seen = AnnouncementTracker()
        seen.admit('i', AnnouncementStamp(100, 5), leaving=True)
        self.assertFalse(
            seen.admit('i', AnnouncementStamp(100, 6), leaving=False)
        )
        self.assertTrue(
            seen.admit('i', AnnouncementStamp(101, 1), leaving=False)
        )
        seen.record_deregistration('i', 101)
        self.assertFalse(
            seen.admit('i', AnnouncementStamp(101, 2), leaving=False)
        )
        seen.record_deregistration('i', 50)
        self.assertTrue(
            seen.admit('i', AnnouncementStamp(102, 1), leaving=False)
        )


class RetryBudgetTest(unittest.TestCase):
    """All nodes together stay within the fleet's budget."""

    def test_no_window_sees_more_than_the_fleet_may(self) -> None:
        nodes, extra, window, ratio = 36, 62, 10.0, 0.2
        budgets = [RetryBudget(0.75 * ratio) for _ in range(nodes)]
        rng = random.Random(5)
        spent: list[float] = []
        sent: list[float] = []
        for step in range(6000):
            now = step * 0.01
            budget = rng.choice(budgets)
            budget.set_limits(extra / nodes, window, settled=True)
            budget.earn(now)
            sent.append(now)
            for _ in range(3):
                if budget.spend():
                    spent.append(now)
        for start in range(50):
            retries = sum(start <= at < start + window for at in spent)
            requests = sum(start <= at < start + window for at in sent)
            self.assertLessEqual(retries, ratio * requests + extra)

    def test_nodes_that_start_alone_stay_within_it_together(self) -> None:
        nodes, extra, window, ratio = 36, 62.0, 10.0, 0.15
        spent = 0
        for _ in range(nodes):
            budget = RetryBudget(ratio)
            for now in (1.0, 1.2, 1.4):
                budget.set_limits(extra, window, settled=False)
                budget.earn(now)
                spent += budget.spend()
        self.assertLessEqual(spent, 3 * ratio * nodes + extra)


class CrashMarksTest(unittest.TestCase):
    """The request that crashes upstreams is refused, its neighbours not."""

    def test_request_that_ran_well_is_not_blamed(self) -> None:
        marks = crash_tracker.CrashTracker()
        marks.record_success(b'neighbour', 1.0)
        self.assertTrue(marks.has_succeeded_lately(b'neighbour', 2.0))
        self.assertFalse(marks.has_succeeded_lately(b'poison', 2.0))
        late = 1.0 + crash_tracker.SUCCESS_VALID_SECONDS
        self.assertFalse(marks.has_succeeded_lately(b'neighbour', late))
