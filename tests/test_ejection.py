"""Ejection against a naive choice, and under drawn outcomes."""

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


def naive_choice(
    scores: dict[str, float],
    slots: dict[str, int],
    floor: float,
) -> set[str]:
    """Try every prefix of the worst, and one by one past those too large."""
    bad = sorted(
        (name for name in scores if scores[name] >= EJECT_SCORE),
        key=lambda name: (-scores[name], name),
    )
    total = sum(slots.values())
    out: set[str] = set()
    for name in bad:
        tried = out | {name}
        kept = sum(slots[one] for one in slots if one not in tried)
        if kept >= total * floor and kept > 0:
            out = tried
    return out


class Play:
    """Requests of one ingress to one service, with drawn outcomes."""

    def __init__(self, seed: int, upstreams: list[str]) -> None:
        self.rng = random.Random(seed)
        self.upstreams = upstreams
        self.evidence = OutlierDetector()
        self.now = 0.0
        self.bad_sent = 0
        self.out: set[str] = set()
        self.ever_out: set[str] = set()
        self.gray: set[str] = set()
        self.fail_share = 0.0
        self.slow_factor = 1.0
        self.all_slow = 1.0

    def run(self, seconds: float, until_out: str = '') -> float:
        """Send for a while, or until one is out; give the seconds."""
        started_at = self.now
        while self.now < started_at + seconds:
            self.now += self.rng.expovariate(REQUESTS_PER_SECOND)
            self._send()
            if until_out and until_out in self.out:
                break
        return self.now - started_at

    def _send(self) -> None:
        slots = dict.fromkeys(self.upstreams, 4)
        self.out = self.evidence.update_ejections(slots, FLOOR, self.now)
        self.ever_out |= self.out
        trial = self.evidence.take_trial(self.out, self.now)
        inside = [one for one in self.upstreams if one not in self.out]
        upstream = trial or self.rng.choice(inside)
        is_gray = upstream in self.gray
        failed = is_gray and self.rng.random() < self.fail_share
        seconds = self.rng.lognormvariate(-4.6, 0.4) * self.all_slow
        if is_gray:
            seconds *= self.slow_factor
        is_bad = self.evidence.record_response(
            'GET /',
            upstream,
            seconds,
            self.now,
            failed=failed,
        )
        self.bad_sent += is_gray and (failed or self.slow_factor > 1)
        if trial:
            self.evidence.record_trial(upstream, self.now, is_bad=is_bad)


class ChoiceTest(unittest.TestCase):
    """Who is kept out, and that the floor holds."""

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
            out = choose_ejected(scores, slots, floor)
            self.assertEqual(out, naive_choice(scores, slots, floor))
            kept = sum(slots[name] for name in names if name not in out)
            self.assertGreaterEqual(kept, sum(slots.values()) * floor)
            self.assertGreater(kept, 0)

    def test_vanishing_members_bring_ejected_ones_back(self) -> None:
        evidence = OutlierDetector()
        for name in SERVICE[:6]:
            standing = evidence.get_statistics(name, 0.0)
            standing.score = EJECT_SCORE
            standing.ejected_at = 0.5
        slots = dict.fromkeys(SERVICE, 4)
        out = evidence.update_ejections(slots, FLOOR, 1.0)
        self.assertEqual(len(out), 6)
        left = {name: 4 for name in SERVICE if name not in SERVICE[8:]}
        out = evidence.update_ejections(left, FLOOR, 2.0)
        self.assertEqual(len(out), 4)


class OutcomesTest(unittest.TestCase):
    """False ejections and detection, under fixed seeds."""

    def test_calm_ejects_nobody(self) -> None:
        for seed in range(10):
            play = Play(seed, SERVICE)
            play.run(60)
            self.assertEqual(play.ever_out, set(), seed)

    def test_whole_service_slow_ejects_nobody(self) -> None:
        for seed in range(25):
            play = Play(seed, SERVICE)
            play.run(20)
            play.all_slow = 20.0
            play.run(40)
            self.assertEqual(play.ever_out, set(), seed)

    def test_whole_service_failing_ejects_nobody_for_long(self) -> None:
        for seed in range(10):
            play = Play(seed, SERVICE)
            play.run(20)
            play.gray = set(SERVICE)
            play.fail_share = 0.5
            play.run(40)
            self.assertLessEqual(len(play.out), len(SERVICE) // 2, seed)

    def test_gray_upstream_is_out_before_twenty_bad_requests(self) -> None:
        kinds = ((0.3, 1.0), (0.6, 1.0), (1.0, 1.0), (0.0, 10.0))
        for seed, kind in itertools.product(range(10), kinds):
            with self.subTest(seed=seed, kind=kind):
                play = Play(seed, SERVICE)
                play.run(20)
                gray = SERVICE[seed]
                play.gray = {gray}
                play.fail_share, play.slow_factor = kind
                play.run(60, until_out=gray)
                self.assertIn(gray, play.out)
                self.assertLess(play.bad_sent, 20)
                self.assertEqual(play.ever_out, {gray})

    def test_healed_upstream_comes_back(self) -> None:
        play = Play(3, SERVICE)
        play.run(20)
        play.gray = {SERVICE[0]}
        play.fail_share = 1.0
        play.run(20)
        self.assertIn(SERVICE[0], play.out)
        play.gray = set()
        play.run(20)
        self.assertEqual(play.out, set())

    def test_flapping_upstream_stays_out_longer_each_time(self) -> None:
        play = Play(4, SERVICE)
        play.run(20)
        stays = []
        for _ in range(3):
            play.gray = {SERVICE[0]}
            play.fail_share = 1.0
            play.run(30, until_out=SERVICE[0])
            play.gray = set()
            started_at = play.now
            while SERVICE[0] in play.out:
                play.run(0.1)
            stays.append(play.now - started_at)
        self.assertGreater(stays[2], stays[0] * 2)

    def test_slow_limit_needs_others_to_compare_with(self) -> None:
        evidence = OutlierDetector()
        for _ in range(20):
            evidence.record_latency('r', SERVICE[0], 5.0)
        self.assertEqual(evidence.slow_limit('r', SERVICE[0]), float('inf'))
        self.assertGreater(ejection.EJECT_SCORE, 0)
