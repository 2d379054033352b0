"""Cold upstreams take a stated rate from all nodes together, and no more."""

from __future__ import annotations

import math
import random
import unittest
from time import monotonic

import msgspec

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate
from kumquathold_core.cold_limiter import ColdLimiter
from kumquathold_core.forwarding import Refusal
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.placement import PlacementRequest
from kumquathold_core.rules import Rules, Service, ZoneScope
from tests.owner_stage import OwnerStage
from tests.test_permitted_regions import make_configuration

RATE = 5.5
MAX_PER_SECOND = RATE * 1.5 + 1
"""Starts in one second that a cold upstream tolerates."""

COLD_SECONDS = 3.0
STEP_SECONDS = 0.01
UPSTREAMS_PER_ZONE = 4
SLOTS = 10
SERVICE_SECONDS = 0.5
OFFERED_PER_SECOND = 60.0
"""About what the upstreams of one zone serve while they are warm."""

LOAD_SECONDS = 6.0
NOW = 100.0
MAX_ATTEMPTS = 5
REQUEST = PlacementRequest(
    zone='cold',
    region='r',
    kilobytes=1,
    objective=2.0,
    usual_seconds=SERVICE_SECONDS,
)
RULES = Rules(
    services={'s': Service('s', cold_rate=RATE)},
    routes=(),
    workspaces={},
    keys={},
)


def most_in_a_second(starts: list[float]) -> int:
    """Return the most starts within any second."""
    return max(
        sum(1 for other in starts if start <= other < start + 1)
        for start in starts
    )


class ColdLimiterTest(unittest.TestCase):
    """Starts at one cold upstream that is offered more than it takes."""

    def play(self, limiter: ColdLimiter, seconds: float) -> list[float]:
        """Start requests whenever the limiter lets them; return the times."""
        starts: list[float] = []
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            limiter.update(RATE, now)
            while limiter.may_start(now) and len(starts) < 10_000:
                limiter.record_start(now)
                starts.append(now)
                if limiter.rate is None:
                    break
        return starts

    def test_no_second_has_more_starts_than_it_tolerates(self) -> None:
        limiter = ColdLimiter()
        limiter.record_cold(COLD_SECONDS, 0.0)
        starts = [one for one in self.play(limiter, 4) if one < COLD_SECONDS]
        self.assertLessEqual(most_in_a_second(starts), MAX_PER_SECOND)
        self.assertGreaterEqual(len(starts), RATE * (COLD_SECONDS - 0.5))

    def test_owner_that_restarts_begins_without_unused_starts(self) -> None:
        """What its earlier process sent in the same second is not known."""
        limiter = ColdLimiter()
        limiter.record_cold(COLD_SECONDS, 0.0)
        limiter.update(RATE, 0.0)
        self.assertFalse(limiter.may_start(0.0))

    def test_warm_upstream_and_service_without_a_rate_are_not_limited(
        self,
    ) -> None:
        limiter = ColdLimiter()
        limiter.record_cold(COLD_SECONDS, 0.0)
        self.assertFalse(limiter.update(0.0, 0.0))
        self.assertTrue(limiter.update(RATE, 0.0))
        limiter.record_cold(0.0, 1.0)
        self.assertTrue(limiter.update(RATE, 1.0))
        self.assertIsNone(limiter.rate)


class ColdOwnerTest(unittest.TestCase):
    """The owner keeps the limit, and publishes it for the ingresses."""

    def setUp(self) -> None:
        self.stage = OwnerStage.for_test(self)
        self.stage.configuration.current = make_configuration(1, RULES)

    def test_cold_upstream_starts_at_its_rate(self) -> None:
        upstream = self.stage.announce(cold_seconds=COLD_SECONDS, slots=SLOTS)
        assert upstream is not None
        for number in range(SLOTS):
            self.stage.send(number, max_wait=0.0)
        self.assertEqual(self.stage.started, [])
        reasons = {one.reason for one in self.stage.list_failures()}
        self.assertEqual(reasons, {Refusal.upstream_busy})
        self.assertEqual(self.stage.last_published()[0].limit, RATE)

    def test_warm_upstream_takes_all_its_slots(self) -> None:
        self.stage.announce(cold_seconds=COLD_SECONDS, slots=SLOTS)
        self.stage.announce(cold_seconds=0.0, slots=SLOTS)
        self.assertIsNone(self.stage.last_published()[0].limit)
        for number in range(SLOTS):
            self.stage.send(number)
        self.assertEqual(len(self.stage.started), SLOTS)

    def test_rate_that_is_configured_later_holds_too(self) -> None:
        """A node may hear of its upstream before it has a configuration."""
        empty = make_configuration(
            0, msgspec.structs.replace(RULES, services={})
        )
        self.stage.configuration.current = empty
        upstream = self.stage.announce(cold_seconds=COLD_SECONDS)
        assert upstream is not None
        self.assertIsNone(upstream.cold.rate)
        self.stage.configuration.current = make_configuration(1, RULES)
        self.stage.owner.on_tick()
        self.assertEqual(upstream.cold.rate, RATE)


class ColdZone:
    """Four cold upstreams of one zone, and four warm ones of the next."""

    def __init__(self) -> None:
        self.rng = random.Random(5)
        self.limiters: dict[str, ColdLimiter] = {}
        self.candidates: list[Candidate] = []
        self.running: list[tuple[float, str]] = []
        self.refused = 0
        for number in range(UPSTREAMS_PER_ZONE):
            self._add(f'cold-{number}', 'cold', RATE)
            self._add(f'warm-{number}', 'warm', None)
        self.loads = {one.upstream: LoadEstimate() for one in self.candidates}
        self.starts: dict[str, list[float]] = {name: [] for name in self.loads}

    def _add(self, name: str, zone: str, limit: float | None) -> None:
        candidate = Candidate(name, f'o-{name}', zone, 'r', SLOTS, limit=limit)
        self.candidates.append(candidate)
        if limit is not None:
            limiter = ColdLimiter()
            limiter.record_cold(math.inf, 0.0)
            limiter.update(limit, 0.0)
            self.limiters[name] = limiter

    def end_requests(self, now: float) -> None:
        """End the requests that are over, with a report of the owner."""
        over = {one for one in self.running if one[0] <= now}
        self.running = [one for one in self.running if one not in over]
        for _, name in over:
            self.loads[name].in_flight -= 1
            self.report(name, now)

    def report(self, name: str, now: float) -> None:
        """Tell the ingress the load of an upstream."""
        self.loads[name].record_report(0, 0.03, now)
        limiter = self.limiters.get(name)
        if limiter is not None:
            wait = limiter.estimate_wait(0, now)
            self.loads[name].record_limit(RATE, wait, now)

    def place(self, now: float) -> None:
        """Place a request; its owner returns it if it may not start yet."""
        candidates = list(self.candidates)
        for _ in range(MAX_ATTEMPTS):
            chosen = placement.choose_cheapest(
                candidates, self.loads, REQUEST, ZoneScope.any, now, self.rng
            )
            assert chosen is not None  # noqa: S101
            limiter = self.limiters.get(chosen.upstream)
            if limiter is None or limiter.may_start(now):
                self._start(chosen.upstream, limiter, now)
                return
            self.report(chosen.upstream, now)
            candidates.remove(chosen)
        self.refused += 1

    def _start(
        self, name: str, limiter: ColdLimiter | None, now: float
    ) -> None:
        if limiter is not None:
            limiter.record_start(now)
        self.loads[name].in_flight += 1
        self.loads[name].record_send(now)
        self.starts[name].append(now)
        self.running.append((now + SERVICE_SECONDS, name))


class ColdZoneTest(unittest.TestCase):
    """A zone comes back cold under the load that it served while warm."""

    def test_callers_are_served_elsewhere_meanwhile(self) -> None:
        zone = ColdZone()
        offered = 0
        for step in range(int(LOAD_SECONDS / STEP_SECONDS)):
            now = NOW + step * STEP_SECONDS
            zone.end_requests(now)
            if zone.rng.random() < OFFERED_PER_SECOND * STEP_SECONDS:
                offered += 1
                zone.place(now)
        for name in zone.limiters:
            most = most_in_a_second(zone.starts[name])
            self.assertLessEqual(most, MAX_PER_SECOND)
            self.assertGreater(len(zone.starts[name]), 0)
        self.assertGreater(offered, 0)
        self.assertLessEqual(zone.refused, 0.01 * offered)


class ReturningZoneTest(unittest.TestCase):
    """A zone that is taken back may be cold before its upstreams say so."""

    def test_upstreams_count_as_cold_until_they_announce_themselves(
        self,
    ) -> None:
        stage = OwnerStage.for_test(self)
        evacuated = msgspec.structs.replace(
            RULES, evacuated_zones=frozenset(('a',))
        )
        stage.configuration.current = make_configuration(1, evacuated)
        upstream = stage.announce(slots=SLOTS)
        assert upstream is not None
        stage.owner.on_tick()
        stage.configuration.current = make_configuration(2, RULES)
        for number in range(SLOTS):
            stage.send(number, max_wait=0.0)
        self.assertEqual(stage.started, [])
        stage.announce(slots=SLOTS)
        for number in range(SLOTS):
            stage.send(SLOTS + number, max_wait=0.0)
        self.assertEqual(len(stage.started), SLOTS)
        self.assertLess(upstream.cold.cold_until, monotonic())
