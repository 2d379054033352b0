"""Retry budgets kept by owners, on a load played without a network."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core.identity import NodeRecord, UpstreamRecord
from kumquathold_core.retries import RetryBudget
from kumquathold_node import retry_limits
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel
from kumquathold_node.owner_requests import Upstream
from kumquathold_node.retry_limits import RetryLimits
from tests.test_jobs import WORK

NODES = 240
UPSTREAMS = 60
REQUESTS_PER_SECOND = 180
EXTRA_RETRIES = 430.0
WINDOW_SECONDS = 10.0
ALLOWED_RATIO = 0.2
RATIO = 0.15
SECONDS = 40
MAX_TRIES = 3
GRAY_SHARE = 0.15
RETRY = msgspec.structs.replace(WORK, is_retry=True)


def make_records() -> tuple[NodeRecord, ...]:
    """Return the nodes of the fleet, the first of which own upstreams."""
    return tuple(
        NodeRecord(
            address=f'10.0.0.{number}:1',
            incarnation=1,
            version=1,
            zone='a',
            region='r',
            admin='',
            leaving=False,
            upstreams=(make_upstream_record(number),)
            if number < UPSTREAMS
            else (),
            rate_groups=(),
        )
        for number in range(NODES)
    )


def make_upstream_record(number: int) -> UpstreamRecord:
    """Return the record of one upstream."""
    return UpstreamRecord(f'u{number}', 's', 2, ready=True, leaving=False)


class PlayedFleet:
    """Owners that answer a load whose requests fail at some upstreams."""

    def __init__(self, clock: mock.Mock, failing: set[int]) -> None:
        self.clock = clock
        self.failing = failing
        self.rng = random.Random(7)
        kernel = Kernel()
        view = SimpleNamespace(nodes=make_records())
        kernel.register('membership', SimpleNamespace(view=view))
        settings: Any = SimpleNamespace(
            retry_ratio=RATIO,
            retry_extra=EXTRA_RETRIES,
            retry_window=WINDOW_SECONDS,
        )
        self.limits = RetryLimits(kernel, settings)
        self.upstreams = [
            Upstream(make_upstream_record(number), 1e9, UpstreamDialect())
            for number in range(UPSTREAMS)
        ]
        self.ingress_budgets = [RetryBudget(RATIO) for _ in range(NODES)]
        self.requests: list[float] = []
        self.wanted = 0
        self.retried: list[float] = []
        self.retried_by_ingress = 0

    def play(self) -> None:
        """Send the requests of `SECONDS`, each with one retry at most."""
        for step in range(SECONDS * REQUESTS_PER_SECOND):
            now = 100.0 + step / REQUESTS_PER_SECOND
            self.clock.return_value = now
            self.send(now)

    def send(self, now: float) -> None:
        """Send a request, and retry it if its upstream fails."""
        number = self.rng.randrange(UPSTREAMS)
        self.requests.append(now)
        self.limits.admit(self.upstreams[number], WORK)
        budget = self.rng.choice(self.ingress_budgets)
        budget.set_limits(EXTRA_RETRIES / NODES, WINDOW_SECONDS, settled=True)
        budget.earn(now)
        if number not in self.failing:
            return
        self.wanted += 1
        self.retried_by_ingress += budget.spend()
        others = self.rng.sample(self.upstreams, MAX_TRIES)
        if any(self.limits.admit(upstream, RETRY) for upstream in others):
            self.retried.append(now)


class PooledBudgetTest(unittest.TestCase):
    """Budgets by upstream let through more of the allowed retries."""

    def play(self, failing: set[int]) -> PlayedFleet:
        """Play a load on a fleet in which some upstreams fail."""
        clock = self.enterContext(
            mock.patch.object(retry_limits, 'monotonic', return_value=100.0)
        )
        fleet = PlayedFleet(clock, failing)
        fleet.play()
        return fleet

    def test_callers_behind_gray_upstreams_get_their_retry(self) -> None:
        gray = set(range(int(UPSTREAMS * GRAY_SHARE)))
        fleet = self.play(gray)
        budget = ALLOWED_RATIO * len(fleet.requests) / SECONDS + (
            EXTRA_RETRIES / WINDOW_SECONDS
        )
        self.assertLess(fleet.wanted / SECONDS, budget)
        self.assertGreater(len(fleet.retried), 0.95 * fleet.wanted)
        self.assertGreater(len(fleet.retried), fleet.retried_by_ingress)

    def test_no_window_passes_the_budget_if_all_upstreams_fail(self) -> None:
        fleet = self.play(set(range(UPSTREAMS)))
        self.assertLess(len(fleet.retried), fleet.wanted)
        for start in range(100, 100 + SECONDS - int(WINDOW_SECONDS)):
            end = start + WINDOW_SECONDS
            retries = sum(start <= at < end for at in fleet.retried)
            requests = sum(start <= at < end for at in fleet.requests)
            self.assertLessEqual(
                retries, ALLOWED_RATIO * requests + EXTRA_RETRIES
            )


if __name__ == '__main__':
    unittest.main()
