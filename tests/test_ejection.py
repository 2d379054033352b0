"""Outlier ejection against a naive choice and under random outcomes."""

from __future__ import annotations

import itertools
import random
import unittest

from kumquathold_core import ejection
from kumquathold_core.ejection import (
    EJECT_SCORE,
    OutlierDetector,
    choose_ejected,
)

FLOOR = 0.5
SERVICE = [f'10.0.0.{number}:80' for number in range(12)]
REQUESTS_PER_SECOND = 60


def choose_ejected_naively(
    scores: dict[str, float],
    slots: dict[str, int],
    floor: float,
) -> set[str]:
    """Eject worst first, skipping each whose ejection breaks the floor."""
    bad = sorted(
        (name for name in scores if scores[name] >= EJECT_SCORE),
        key=lambda name: (-scores[name], name),
    )
    total = sum(slots.values())
    ejected: set[str] = set()
    for name in bad:
        tried = ejected | {name}
        kept = sum(slots[one] for one in slots if one not in tried)
        if kept >= total * floor and kept > 0:
            ejected = tried
    return ejected


class TrafficSimulation:
    """Requests of one ingress to one service, with random outcomes."""

    def __init__(self, seed: int, upstreams: list[str]) -> None:
        self.rng = random.Random(seed)
        self.upstreams = upstreams
        self.detector = OutlierDetector()
        self.now = 0.0
        self.bad_sent = 0
        self.ejected: set[str] = set()
        self.ever_ejected: set[str] = set()
        self.gray: set[str] = set()
        self.fail_share = 0.0
        self.slow_factor = 1.0
        self.service_slow_factor = 1.0

    def run(self, seconds: float, until_ejected: str = '') -> float:
        """Send for a while, or until one is ejected; return the seconds."""
        started_at = self.now
        while self.now < started_at + seconds:
            self.now += self.rng.expovariate(REQUESTS_PER_SECOND)
            self._send()
            if until_ejected and until_ejected in self.ejected:
                break
        return self.now - started_at

    def _send(self) -> None:
        slots = dict.fromkeys(self.upstreams, 4)
        self.ejected = self.detector.update_ejections(slots, FLOOR, self.now)
        self.ever_ejected |= self.ejected
        trial = self.detector.take_trial(self.ejected, self.now)
        available = [one for one in self.upstreams if one not in self.ejected]
        upstream = trial or self.rng.choice(available)
        is_gray = upstream in self.gray
        failed = is_gray and self.rng.random() < self.fail_share
        seconds = self.rng.lognormvariate(-4.6, 0.4) * self.service_slow_factor
        if is_gray:
            seconds *= self.slow_factor
        is_bad = self.detector.record_response(
            'GET /',
            upstream,
            seconds,
            self.now,
            failed=failed,
        )
        self.bad_sent += is_gray and (failed or self.slow_factor > 1)
        if trial:
            self.detector.record_trial(upstream, self.now, is_bad=is_bad)


class ChoiceTest(unittest.TestCase):
    """Which upstreams are ejected, and that the floor is kept."""

    def test_agrees_with_the_naive_choice_and_keeps_the_floor(self) -> None:
        for seed in range(300):
            rng = random.Random(seed)
            names = SERVICE[: rng.randint(1, 12)]
            slots = {name: rng.randint(1, 8) for name in names}
            scores = {
                name: rng.choice((0.0, EJECT_SCORE, rng.uniform(0, 40)))
                for name in names
            }
            floor = rng.choice((0.0, 0.3, 0.5, 0.67, 1.0))
            ejected = choose_ejected(scores, slots, floor)
            self.assertEqual(
                ejected, choose_ejected_naively(scores, slots, floor)
            )
            kept = sum(slots[name] for name in names if name not in ejected)
            self.assertGreaterEqual(kept, sum(slots.values()) * floor)
            self.assertGreater(kept, 0)

    def test_removed_upstreams_let_ejected_ones_return(self) -> None:
        detector = OutlierDetector()
        for name in SERVICE[:6]:
            statistics = detector.get_statistics(name, 0.0)
            statistics.score = EJECT_SCORE
            statistics.ejected_at = 0.5
        slots = dict.fromkeys(SERVICE, 4)
        ejected = detector.update_ejections(slots, FLOOR, 1.0)
        self.assertEqual(len(ejected), 6)
        left = {name: 4 for name in SERVICE if name not in SERVICE[8:]}
        ejected = detector.update_ejections(left, FLOOR, 2.0)
        self.assertEqual(len(ejected), 4)


class DetectionTest(unittest.TestCase):
    """False ejections and detection of gray upstreams, with fixed seeds."""

    def test_healthy_service_ejects_no_upstream(self) -> None:
        for seed in range(10):
            simulation = TrafficSimulation(seed, SERVICE)
            simulation.run(60)
            self.assertEqual(simulation.ever_ejected, set(), seed)

    def test_slow_service_ejects_no_upstream(self) -> None:
        for seed in range(25):
            simulation = TrafficSimulation(seed, SERVICE)
            simulation.run(20)
            simulation.service_slow_factor = 20.0
            simulation.run(40)
            self.assertEqual(simulation.ever_ejected, set(), seed)

    def test_failing_service_keeps_half_of_its_upstreams(self) -> None:
        for seed in range(10):
            simulation = TrafficSimulation(seed, SERVICE)
            simulation.run(20)
            simulation.gray = set(SERVICE)
            simulation.fail_share = 0.5
            simulation.run(40)
            self.assertLessEqual(
                len(simulation.ejected), len(SERVICE) // 2, seed
            )

    def test_gray_upstream_is_ejected_before_twenty_bad_requests(self) -> None:
        faults = ((0.3, 1.0), (0.6, 1.0), (1.0, 1.0), (0.0, 10.0))
        for seed, fault in itertools.product(range(10), faults):
            with self.subTest(seed=seed, fault=fault):
                simulation = TrafficSimulation(seed, SERVICE)
                simulation.run(20)
                gray = SERVICE[seed]
                simulation.gray = {gray}
                simulation.fail_share, simulation.slow_factor = fault
                simulation.run(60, until_ejected=gray)
                self.assertIn(gray, simulation.ejected)
                self.assertLess(simulation.bad_sent, 20)
                self.assertEqual(simulation.ever_ejected, {gray})

    def test_recovered_upstream_is_readmitted(self) -> None:
        simulation = TrafficSimulation(3, SERVICE)
        simulation.run(20)
        simulation.gray = {SERVICE[0]}
        simulation.fail_share = 1.0
        simulation.run(20)
        self.assertIn(SERVICE[0], simulation.ejected)
        simulation.gray = set()
        simulation.run(20)
        self.assertEqual(simulation.ejected, set())

    def test_flapping_upstream_is_ejected_longer_each_time(self) -> None:
        simulation = TrafficSimulation(4, SERVICE)
        simulation.run(20)
        ejection_seconds = []
        for _ in range(3):
            simulation.gray = {SERVICE[0]}
            simulation.fail_share = 1.0
            simulation.run(30, until_ejected=SERVICE[0])
            simulation.gray = set()
            started_at = simulation.now
            while SERVICE[0] in simulation.ejected:
                simulation.run(0.1)
            ejection_seconds.append(simulation.now - started_at)
        self.assertGreater(ejection_seconds[2], ejection_seconds[0] * 2)

    def test_slow_limit_needs_other_upstreams_to_compare_with(self) -> None:
        detector = OutlierDetector()
        for _ in range(20):
            detector.record_latency('r', SERVICE[0], 5.0)
        self.assertEqual(detector.slow_limit('r', SERVICE[0]), float('inf'))
        self.assertGreater(ejection.EJECT_SCORE, 0)
