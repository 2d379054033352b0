"""Failure risk, admission, queue order, announcements and retry budgets."""

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


class FailureRiskTest(unittest.TestCase):
    """Few outcomes make an upstream suspect, and the risk decays."""

    def test_two_failures_make_suspect_and_three_successes_clear(self) -> None:
        estimator = FailureRiskEstimator()
        estimator.record_outcome(1.0, failed=False)
        self.assertFalse(estimator.is_suspect(1.0))
        estimator.record_outcome(1.1, failed=True)
        estimator.record_outcome(1.2, failed=True)
        self.assertTrue(estimator.is_suspect(1.2))
        for step in range(3):
            estimator.record_outcome(1.3 + step / 10, failed=False)
        self.assertFalse(estimator.is_suspect(1.6))

    def test_risk_decays_to_the_share_of_gray_upstreams(self) -> None:
        estimator = FailureRiskEstimator()
        estimator.record_outcome(0.0, failed=True)
        self.assertTrue(estimator.is_suspect(1.0))
        far = estimator.estimate_risk(20 * failure_risk.GRAY_PERIOD_SECONDS)
        prior = failure_risk.risk_of(failure_risk.GRAY_SHARE)
        self.assertAlmostEqual(far, prior, places=3)

    def test_gray_periods_cost_few_requests(self) -> None:
        """Fewer than a fifth of the failures of an owner that never refuses."""
        rng = random.Random(7)
        lost = 0
        naive = 0
        estimator = FailureRiskEstimator()
        for step in range(20_000):
            now = step * 0.1
            is_gray = int(now // 9) % 3 == 0
            fails = rng.random() < (0.85 if is_gray else 0.012)
            naive += fails
            if estimator.is_suspect(now) and not estimator.is_trial_due(now):
                continue
            lost += fails
            estimator.record_outcome(now, failed=fails)
        self.assertLess(lost * 5, naive)

    def test_one_trial_at_a_time(self) -> None:
        estimator = FailureRiskEstimator()
        estimator.record_outcome(0.0, failed=True)
        self.assertFalse(estimator.is_trial_due(0.1))
        self.assertTrue(
            estimator.is_trial_due(failure_risk.TRIAL_INTERVAL_SECONDS)
        )
        estimator.trials_in_flight += 1
        self.assertFalse(
            estimator.is_trial_due(failure_risk.TRIAL_INTERVAL_SECONDS)
        )


class AdmissionTest(unittest.TestCase):
    """An owner admits what it can serve and refuses the rest at once."""

    def make_load(self, **changes: float) -> UpstreamLoad:
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

    def find_refusal(
        self, load: UpstreamLoad, **changes: float
    ) -> Refusal | None:
        request = {
            'seconds_left': DEADLINE_SECONDS,
            'idempotent': False,
            'max_wait': 0.0,
            'max_risk': 0.5,
            **changes,
        }
        return admission.find_refusal(load, **request)  # type: ignore[arg-type]

    def test_busy_owner_refuses_what_may_go_elsewhere(self) -> None:
        refusal = self.find_refusal(self.make_load())
        self.assertEqual(refusal, Refusal.upstream_busy)
        self.assertIsNone(self.find_refusal(self.make_load(), max_wait=9.0))
        self.assertIsNone(self.find_refusal(self.make_load(running=SLOTS - 1)))

    def test_suspect_owner_refuses_all_but_a_trial(self) -> None:
        suspect = self.make_load(running=0, risk=0.8)
        self.assertEqual(self.find_refusal(suspect), Refusal.upstream_suspect)
        trial = self.make_load(running=0, risk=0.8, is_trial_due=True)
        self.assertEqual(self.find_refusal(trial), Refusal.upstream_suspect)
        self.assertIsNone(self.find_refusal(trial, idempotent=True))
        self.assertIsNone(self.find_refusal(suspect, max_risk=1.0))

    def test_request_that_would_miss_its_deadline_is_refused(self) -> None:
        full = self.make_load(waiting=100)
        refusal = self.find_refusal(full, max_wait=99.0, max_risk=1.0)
        self.assertEqual(refusal, Refusal.overloaded)


class SimulatedRequest:
    """A request of the simulated load."""

    __slots__ = ('arrived_at', 'due_at')

    def __init__(self, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self.due_at = arrived_at + OBJECTIVE_SECONDS


def scheduling_key_of(request: SimulatedRequest) -> fair_queue.SchedulingKey:
    """Give all requests one rank and workspace."""
    return fair_queue.SchedulingKey(0, 'w', 1, request.due_at)


def simulate(
    load: float, *, by_objective: bool, seconds: int = 60
) -> tuple[float, float]:
    """Simulate a load on one upstream; return the shares in time and served."""
    rng = random.Random(3)
    queue: fair_queue.ObjectiveQueue[SimulatedRequest] = (
        fair_queue.ObjectiveQueue(
            scheduling_key_of,
            LATE_LIMIT,
        )
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
            queue.push(SimulatedRequest(pending.pop()))
        end_at = now + SERVICE_SECONDS
        request = queue.pop(end_at if by_objective else -1.0)
        queue.take_dropped()
        if request is None:
            continue
        if end_at > request.arrived_at + DEADLINE_SECONDS:
            continue
        free_at[0] = end_at
        served += 1
        in_time += end_at <= request.due_at
    return in_time / len(arrivals), served / len(arrivals)


class ObjectiveQueueTest(unittest.TestCase):
    """Under overload most requests still meet the latency objective."""

    def test_overload_leaves_most_in_time(self) -> None:
        by_arrival, _ = simulate(1.3, by_objective=False)
        in_time, served = simulate(1.3, by_objective=True)
        self.assertLess(by_arrival, 0.3)
        self.assertGreater(in_time, 0.6)
        self.assertGreater(served, 0.7)

    def test_light_load_is_served_in_time_by_both(self) -> None:
        for by_objective in (True, False):
            in_time, served = simulate(0.5, by_objective=by_objective)
            self.assertGreater(in_time, 0.99)
            self.assertEqual(served, 1.0)

    def test_nothing_is_lost_or_doubled(self) -> None:
        queue: fair_queue.ObjectiveQueue[SimulatedRequest] = (
            fair_queue.ObjectiveQueue(
                scheduling_key_of,
                LATE_LIMIT,
            )
        )
        requests = [SimulatedRequest(number / 10) for number in range(50)]
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


class AnnouncementTrackerTest(unittest.TestCase):
    """Announcements that arrive out of order are ignored."""

    def test_announcement_older_than_the_newest_is_ignored(self) -> None:
        tracker = AnnouncementTracker()
        self.assertTrue(
            tracker.admit('i', AnnouncementStamp(100, 5), leaving=False)
        )
        self.assertFalse(
            tracker.admit('i', AnnouncementStamp(100, 4), leaving=False)
        )
        self.assertFalse(
            tracker.admit('i', AnnouncementStamp(99, 9), leaving=False)
        )
        self.assertTrue(
            tracker.admit('i', AnnouncementStamp(101, 1), leaving=False)
        )

    def test_drained_instance_is_ignored_within_its_incarnation(self) -> None:
        tracker = AnnouncementTracker()
        tracker.admit('i', AnnouncementStamp(100, 5), leaving=True)
        self.assertFalse(
            tracker.admit('i', AnnouncementStamp(100, 6), leaving=False)
        )
        self.assertTrue(
            tracker.admit('i', AnnouncementStamp(101, 1), leaving=False)
        )
        tracker.record_deregistration('i', 101)
        self.assertFalse(
            tracker.admit('i', AnnouncementStamp(101, 2), leaving=False)
        )
        tracker.record_deregistration('i', 50)
        self.assertTrue(
            tracker.admit('i', AnnouncementStamp(102, 1), leaving=False)
        )


class RetryBudgetTest(unittest.TestCase):
    """The retries of all nodes together stay within the fleet's budget."""

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


class CrashTrackerTest(unittest.TestCase):
    """A request that succeeded lately is not blamed for a crash."""

    def test_request_that_succeeded_lately_is_not_blamed(self) -> None:
        tracker = crash_tracker.CrashTracker()
        tracker.record_success(b'neighbour', 1.0)
        self.assertTrue(tracker.has_succeeded_lately(b'neighbour', 2.0))
        self.assertFalse(tracker.has_succeeded_lately(b'poison', 2.0))
        late = 1.0 + crash_tracker.SUCCESS_VALID_SECONDS
        self.assertFalse(tracker.has_succeeded_lately(b'neighbour', late))
