"""Placement: trials of new and idle upstreams, avoidance of slow ones."""

from __future__ import annotations

import random
import unittest

import msgspec

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.placement import PlacementRequest
from kumquathold_core.rules import ZoneScope

SLOTS = 4
OBJECTIVE_SECONDS = 1.2
USUAL_SECONDS = 0.3
KNOWN_RISK = 0.03
NOW = 100.0
OFFERED_LOAD = 1.3
FLOOR_WINDOW_SECONDS = 2.0
IDEMPOTENT_REQUEST = PlacementRequest(
    zone='a',
    region='r',
    kilobytes=2,
    objective=OBJECTIVE_SECONDS,
    usual_seconds=USUAL_SECONDS,
    idempotent=True,
    may_send_trial=True,
)
UNSAFE_REQUEST = msgspec.structs.replace(
    IDEMPOTENT_REQUEST, idempotent=False, may_send_trial=False
)


def make_candidate(name: str, zone: str = 'a') -> Candidate:
    """Make an upstream in a zone of the region."""
    return Candidate(name, f'owner-{name}', zone, 'r', SLOTS)


def make_idle_estimate(now: float = NOW) -> LoadEstimate:
    """Estimate of a healthy upstream that has reported an empty queue."""
    estimate = LoadEstimate()
    estimate.record_report(0, KNOWN_RISK, now)
    return estimate


def choose(
    candidates: list[Candidate],
    estimates: dict[str, LoadEstimate],
    request: PlacementRequest,
    now: float = NOW,
    rng: random.Random | None = None,
) -> str:
    """Return the name of the cheapest upstream."""
    chosen = placement.choose_cheapest(
        candidates,
        estimates,
        request,
        ZoneScope.any,
        now,
        rng or random.Random(1),
    )
    assert chosen is not None  # noqa: S101
    return chosen.upstream


class NewUpstreamTest(unittest.TestCase):
    """An upstream that joins gets a trial though others are known to work."""

    def test_new_upstream_of_the_zone_gets_one_idempotent_request(
        self,
    ) -> None:
        candidates = [make_candidate('old'), make_candidate('new')]
        estimates = {'old': make_idle_estimate()}
        self.assertEqual(
            choose(candidates, estimates, IDEMPOTENT_REQUEST), 'new'
        )
        self.assertEqual(choose(candidates, estimates, UNSAFE_REQUEST), 'old')
        estimates['new'] = LoadEstimate(in_flight=1)
        self.assertEqual(
            choose(candidates, estimates, IDEMPOTENT_REQUEST), 'old'
        )

    def test_idle_upstream_of_the_zone_gets_a_trial_request(self) -> None:
        """Else fewer upstreams than the floor demands receive requests."""
        candidates = [make_candidate(f'u{number}') for number in range(6)]
        estimates = {
            one.upstream: make_idle_estimate(NOW - 6) for one in candidates
        }
        estimates['u0'] = make_idle_estimate()
        last_sent = dict.fromkeys(estimates, NOW)
        rng = random.Random(3)
        longest = 0.0
        for step in range(400):
            now = NOW + step / 10
            name = choose(candidates, estimates, IDEMPOTENT_REQUEST, now, rng)
            last_sent[name] = now
            longest = max(longest, now - min(last_sent.values()))
            estimates[name].record_report(0, KNOWN_RISK, now)
        self.assertLessEqual(longest, FLOOR_WINDOW_SECONDS)

    def test_new_upstream_of_another_zone_gets_no_trial(self) -> None:
        candidates = [make_candidate('old'), make_candidate('new', 'b')]
        self.assertEqual(
            choose(
                candidates, {'old': make_idle_estimate()}, IDEMPOTENT_REQUEST
            ),
            'old',
        )

    def test_request_that_may_not_be_a_trial_avoids_new_upstream(self) -> None:
        without_trial = msgspec.structs.replace(
            IDEMPOTENT_REQUEST, may_send_trial=False
        )
        candidates = [make_candidate('old'), make_candidate('new')]
        self.assertEqual(
            choose(candidates, {'old': make_idle_estimate()}, without_trial),
            'old',
        )

    def test_new_upstream_serves_unsafe_requests_once_it_is_known(
        self,
    ) -> None:
        candidates = [make_candidate('old'), make_candidate('new')]
        estimates = {'old': make_idle_estimate(), 'new': make_idle_estimate()}
        estimates['old'].backlog = SLOTS
        self.assertEqual(choose(candidates, estimates, UNSAFE_REQUEST), 'new')


class SlowUpstreamTest(unittest.TestCase):
    """A slow upstream is excluded temporarily, then gets requests again."""

    def make_slow_estimate(self) -> LoadEstimate:
        estimate = make_idle_estimate()
        for _ in range(5):
            estimate.record_duration(6 * USUAL_SECONDS, USUAL_SECONDS, NOW)
        return estimate

    def test_slow_upstream_is_avoided_for_a_while(self) -> None:
        candidates = [make_candidate('sound'), make_candidate('slow')]
        estimates = {
            'sound': make_idle_estimate(),
            'slow': self.make_slow_estimate(),
        }
        estimates['sound'].backlog = SLOTS - 1
        self.assertEqual(choose(candidates, estimates, UNSAFE_REQUEST), 'sound')
        later = NOW + 60
        estimates['sound'].record_report(SLOTS - 1, KNOWN_RISK, later)
        estimates['slow'].record_report(0, KNOWN_RISK, later)
        self.assertEqual(
            choose(candidates, estimates, UNSAFE_REQUEST, later), 'slow'
        )

    def test_usual_duration_of_a_long_route_is_not_slowness(self) -> None:
        estimate = make_idle_estimate()
        for _ in range(20):
            estimate.record_duration(2.0, 2.0, NOW)
        self.assertAlmostEqual(estimate.slowness_at(NOW), 1.0)

    def test_recorded_durations_reduce_late_responses(self) -> None:
        """Three upstreams, one of them six times slower than the others."""
        self.assertLess(
            count_late_responses(records_durations=True) * 3,
            count_late_responses(records_durations=False),
        )


def count_late_responses(*, records_durations: bool) -> int:
    """Simulate a load; count the responses past the latency objective."""
    rng = random.Random(5)
    factors = {'one': 1.0, 'two': 1.0, 'slow': 6.0}
    candidates = [make_candidate(name) for name in factors]
    estimates = {name: make_idle_estimate() for name in factors}
    running_until: dict[str, list[float]] = {name: [] for name in factors}
    late = 0
    for number in range(600):
        now = NOW + number * USUAL_SECONDS / SLOTS / OFFERED_LOAD
        name = choose(candidates, estimates, UNSAFE_REQUEST, now, rng)
        running = [end for end in running_until[name] if end > now]
        seconds = factors[name] * USUAL_SECONDS * rng.uniform(0.5, 1.5)
        starts_at = now
        if len(running) >= SLOTS:
            starts_at = sorted(running)[-SLOTS]
        running.append(starts_at + seconds)
        running_until[name] = running
        late += running[-1] - now > OBJECTIVE_SECONDS
        for other, estimate in estimates.items():
            # The same risk for all, so that it does not stand in for slowness.
            backlog = sum(end > now for end in running_until[other])
            estimate.record_report(backlog, KNOWN_RISK, now)
        if records_durations:
            estimates[name].record_duration(seconds, USUAL_SECONDS, now)
    return late


if __name__ == '__main__':
    unittest.main()
