"""Token buckets against a naive check over every time window."""

from __future__ import annotations

import random
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from kumquathold_core.distribution import GrantUsage
from kumquathold_core.rules import Workspace
from kumquathold_core.token_bucket import (
    GRANT_LIFETIME_SECONDS,
    RegionLimit,
    TokenBucket,
    rate_group_of,
    region_limit_of,
)
from kumquathold_core.token_cache import HeldGrant, TokenCache
from tests.properties import repeatable

SEEDS = range(60)
STEPS = 400
REGIONS = ('east', 'north', 'south')


def naive_excess(times: list[float], rate: float, burst: int) -> float:
    """Return the largest excess of uses over the limit in any window."""
    worst = 0.0
    for first, start in enumerate(times):
        for used, end in enumerate(times[first:], start=1):
            allowed = burst + rate * (end - start)
            worst = max(worst, used - allowed)
    return worst


class Message(msgspec.Struct, eq=False):
    """A message in transit between an ingress and the holder."""

    arrives_at: float
    ingress: int
    number: int
    wanted: int = 0
    tokens: int = 0
    requested_at: float = 0.0
    reports: tuple[GrantUsage, ...] = ()


class Simulation:
    """One holder, several ingresses; messages are lost, late, reordered."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.limit = RegionLimit(
            self.rng.uniform(1, 40), self.rng.randint(1, 30)
        )
        self.bucket = TokenBucket(self.limit, 0.0)
        self.caches = [TokenCache(0.0) for _ in range(4)]
        self.to_holder: list[Message] = []
        self.to_ingress: list[Message] = []
        self.number = 0
        self.now = 0.0
        self.used: list[float] = []

    def run(self) -> list[float]:
        for _ in range(STEPS):
            self.now += self.rng.expovariate(30)
            self._deliver()
            self._use_tokens(self.rng.randrange(len(self.caches)))
            if self._draw(0.01):
                self._replace_holder()
        return self.used

    def _use_tokens(self, ingress: int) -> None:
        cache = self.caches[ingress]
        cache.record_demand(self.now)
        # Lets tokens accumulate, then uses up to 30 at once.
        takes = self.rng.choice((0, 0, 0, 1, 1, 30))
        while takes and cache.take(self.now):
            takes -= 1
            self.used.append(self.now)
        if self._draw(0.1):
            cache.return_idle_tokens(self.now)
        if self._draw(0.6):
            self.number += 1
            request = Message(
                arrives_at=self._draw_arrival(),
                ingress=ingress,
                number=self.number,
                wanted=self.rng.randint(1, 10),
                requested_at=self.now,
                reports=tuple(cache.take_reports('w', 'holder')),
            )
            self._send(self.to_holder, request)

    def _deliver(self) -> None:
        for request in self._take_arrived(self.to_holder):
            for report in request.reports:
                request_key = (str(request.ingress), 0, report.number)
                self.bucket.apply_usage(request_key, report, self.now)
            request_key = (str(request.ingress), 0, request.number)
            request.tokens = self.bucket.grant(
                request_key, request.wanted, self.now
            )
            request.arrives_at = self._draw_arrival()
            self._send(self.to_ingress, request)
        for grant in self._take_arrived(self.to_ingress):
            held_grant = HeldGrant(
                'holder', grant.number, grant.tokens, grant.requested_at
            )
            self.caches[grant.ingress].add(held_grant)

    def _replace_holder(self) -> None:
        self.bucket = TokenBucket(self.limit, self.now + GRANT_LIFETIME_SECONDS)

    def _draw(self, chance: float) -> bool:
        return self.rng.uniform(0, 1) <= chance

    def _draw_arrival(self) -> float:
        latest = self.rng.choice((2.0, *(0.05 for _ in range(9))))
        return self.now + self.rng.uniform(0, latest)

    def _send(self, link: list[Message], message: Message) -> None:
        if not self._draw(0.1):
            link.append(message)

    def _take_arrived(self, link: list[Message]) -> list[Message]:
        due = [one for one in link if one.arrives_at <= self.now]
        for message in due:
            link.remove(message)
        return due


class LimitTest(unittest.TestCase):
    """Lost or late messages never let a window exceed rate and burst."""

    def test_no_window_holds_more_than_rate_and_burst(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                times = simulation.run()
                limit = simulation.limit
                excess = naive_excess(times, limit.rate, limit.burst)
                self.assertLessEqual(excess, 1e-6)

    def test_steady_demand_gets_nearly_the_full_rate(self) -> None:
        limit = RegionLimit(rate=50.0, burst=50)
        bucket = TokenBucket(limit, 0.0)
        granted = 0
        for step in range(1000):
            now = step * 0.01
            tokens = bucket.grant(('a', 0, step), 1, now)
            granted += tokens
            report = GrantUsage(step, 'w', tokens, 0)
            bucket.apply_usage(('a', 0, step), report, now)
        self.assertGreaterEqual(granted, 490)

    def test_repeated_grant_request_gets_no_more_tokens(self) -> None:
        bucket = TokenBucket(RegionLimit(10.0, 10), 0.0)
        self.assertEqual(bucket.grant(('a', 1, 1), 3, 1.0), 3)
        self.assertEqual(bucket.grant(('a', 1, 1), 3, 1.0), 0)

    def test_report_on_an_expired_grant_gives_nothing_back(self) -> None:
        bucket = TokenBucket(RegionLimit(0.001, 10), -1e6)
        self.assertEqual(bucket.grant(('a', 1, 1), 10, 0.0), 10)
        late = GRANT_LIFETIME_SECONDS + 0.1
        bucket.apply_usage(('a', 1, 1), GrantUsage(1, 'w', 0, 10), late)
        self.assertEqual(bucket.grant(('a', 1, 2), 10, late), 0)


class RegionLimitTest(unittest.TestCase):
    """The limits of the regions add up to the limit of the workspace."""

    @repeatable()
    @given(st.floats(0.1, 1e5), st.integers(1, 10_000), st.text(max_size=8))
    def test_parts_add_up(self, rate: float, burst: int, name: str) -> None:
        workspace = Workspace(name=name, rate=rate, burst=burst)
        parts = [region_limit_of(workspace, one, REGIONS) for one in REGIONS]
        self.assertEqual(sum(part.burst for part in parts), burst)
        self.assertAlmostEqual(sum(part.rate for part in parts) / rate, 1.0)

    def test_groups_are_spread(self) -> None:
        groups = {
            rate_group_of(f'workspace-{number}', 32) for number in range(1000)
        }
        self.assertEqual(groups, set(range(32)))
