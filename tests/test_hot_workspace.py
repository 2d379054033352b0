"""A workspace that sends several times its rate, played without a network."""

from __future__ import annotations

import heapq
import random
import statistics
import unittest
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import distribution
from kumquathold_core.token_bucket import RegionLimit, TokenBucket
from kumquathold_core.token_queue import (
    TokenRate,
    estimate_wait,
    may_wait,
)
from kumquathold_core.wire import Envelope
from kumquathold_node import rate_client
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.rate_client import (
    AcquireCommand,
    RateClient,
    TokenRefusal,
)

WORKSPACE = 'hot'
REGIONS = ('north', 'east', 'south')
RATE_PER_SECOND = 20.0
LOAD = 3.0
"""Requests sent for each one that the rate allows."""

HOP_SECONDS = 0.005
PLAY_SECONDS = 30.0
WARM_UP_SECONDS = 5.0
TOKEN_WAIT_SECONDS = 1.25
"""A quarter of a deadline of 5 s, as the ingress allows it."""

AT_ONCE_SECONDS = 0.1
SERVED_SHARE = 0.9
"""Least share of the rate that is served."""


class Ended(msgspec.Struct, frozen=True):
    """A request that was let through, or refused."""

    arrived_at: float
    waited: float
    is_served: bool
    retry_after: float


class Play:
    """Ingresses of all regions, each with a holder beside it."""

    def __init__(self, seed: int, load: float) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.now = 0.0
        self.count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.ended: list[Ended] = []
        limit = RegionLimit(RATE_PER_SECOND / len(REGIONS), 7)
        self.buckets = {name: TokenBucket(limit, 0.0) for name in REGIONS}
        self.clients = {name: self.make_client(name) for name in REGIONS}

    def make_client(self, region: str) -> RateClient:
        """Make the client of one ingress."""
        kernel = Kernel()
        holders = {(name, 0): name for name in REGIONS}
        kernel.register('transport', PlayTransport(self, region))
        view = SimpleNamespace(holders=holders)
        kernel.register('membership', SimpleNamespace(view=view))
        kernel.register('metrics', Metrics(None))
        settings: Any = SimpleNamespace(
            region=region, regions=REGIONS, rate_groups=1
        )
        return RateClient(kernel, settings)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action later."""
        self.count += 1
        heapq.heappush(self.events, (self.now + seconds, self.count, action))

    def run(self) -> list[Ended]:
        """Play the load; return the requests that came after the warm-up."""
        for region in REGIONS:
            self.after(0.0, partial(self.arrive, region))
            self.after(0.0, partial(self.tick, region))
        with mock.patch.object(rate_client, 'monotonic', lambda: self.now):
            while self.now < PLAY_SECONDS:
                self.now, _, action = heapq.heappop(self.events)
                action()
        return [one for one in self.ended if one.arrived_at > WARM_UP_SECONDS]

    def tick(self, region: str) -> None:
        """Let an ingress do what it does each tick."""
        self.clients[region].on_tick()
        self.after(rate_client.TICK_SECONDS, lambda: self.tick(region))

    def arrive(self, region: str) -> None:
        """Let a request ask for a token, and plan the next one."""
        mean = len(REGIONS) / (RATE_PER_SECOND * self.load)
        self.after(self.rng.expovariate(1 / mean), lambda: self.arrive(region))
        arrived_at = self.now
        client = self.clients[region]
        if client.try_take(WORKSPACE):
            self.ended.append(Ended(arrived_at, 0.0, True, 0.0))
            return
        reply: Future[TokenRefusal | None] = Future()

        def end(done: Future[TokenRefusal | None]) -> None:
            refused = done.result()
            waited = self.now - arrived_at
            after = refused.retry_after if refused else 0.0
            self.ended.append(Ended(arrived_at, waited, not refused, after))

        reply.add_done_callback(end)
        client.on_acquire(AcquireCommand(WORKSPACE, reply, TOKEN_WAIT_SECONDS))

    def grant(self, ingress: str, holder: str, request: Any) -> None:
        """Let a holder answer an ingress."""
        bucket = self.buckets[holder]
        for report in request.reports:
            grant_id = (ingress, 1, report.number)
            bucket.apply_usage(grant_id, report, self.now)
        grant_id = (ingress, 1, request.number)
        tokens = bucket.grant(grant_id, request.wanted, self.now)
        wait = 0.0 if tokens else bucket.estimate_token_wait(self.now)
        response = distribution.GrantResponse(
            number=request.number,
            workspace=WORKSPACE,
            tokens=tokens,
            retry_after=min(wait, 1.0),
            is_holder=True,
        )
        client = self.clients[ingress]
        envelope = Envelope(holder, 1, response)
        self.after(HOP_SECONDS, lambda: client.on_grant_response(envelope))


class PlayTransport:
    """Carries the messages of one ingress to the holders."""

    def __init__(self, play: Play, region: str) -> None:
        self.play = play
        self.region = region

    def deliver_to(self, _: object) -> None:
        """Ignore the subscription; the play calls the handlers itself."""

    def reset(self, _: str) -> None:
        """Do nothing: no connection is silent."""

    def try_send(self, holder: str, message: Any) -> bool:
        """Deliver a message to a holder after one hop."""
        if isinstance(message, distribution.GrantRequest):
            self.play.after(
                HOP_SECONDS,
                lambda: self.play.grant(self.region, holder, message),
            )
        else:
            self.play.after(HOP_SECONDS, lambda: self.report(holder, message))
        return True

    def report(self, holder: str, message: Any) -> None:
        """Apply the usage that an ingress reports."""
        for report in message.reports:
            grant_id = (self.region, 1, report.number)
            bucket = self.play.buckets[holder]
            bucket.apply_usage(grant_id, report, self.play.now)


class TokenQueueTest(unittest.TestCase):
    """The decision, without a play."""

    def test_request_waits_if_its_token_is_due_in_half_its_time(self) -> None:
        self.assertTrue(may_wait(5, 5.0, 2.0))
        self.assertFalse(may_wait(6, 5.0, 2.0))

    def test_next_request_waits_whatever_the_rate(self) -> None:
        self.assertTrue(may_wait(1, 0.0, 2.0))
        self.assertFalse(may_wait(2, 0.0, 2.0))

    def test_wait_is_estimated_up_to_a_bound(self) -> None:
        self.assertEqual(estimate_wait(2, 8.0, 1.0), 0.25)
        self.assertEqual(estimate_wait(20, 8.0, 1.0), 1.0)
        self.assertEqual(estimate_wait(2, 0.0, 1.0), 1.0)

    def test_rate_is_that_of_late(self) -> None:
        rate = TokenRate(0.0)
        for step in range(100):
            rate.record(1, step * 0.1)
        self.assertAlmostEqual(rate.estimate(10.0), 10.0, delta=1.0)
        self.assertLess(rate.estimate(15.0), 0.2)


class HotWorkspaceTest(unittest.TestCase):
    """What callers of a workspace beyond its rate get."""

    def test_requests_beyond_the_rate_are_refused_at_once(self) -> None:
        ended = Play(1, LOAD).run()
        refused = [one for one in ended if not one.is_served]
        self.assertLess(
            statistics.median(one.waited for one in refused), AT_ONCE_SECONDS
        )

    def test_rate_is_served_all_the_same(self) -> None:
        ended = Play(1, LOAD).run()
        served = sum(one.is_served for one in ended)
        allowed = RATE_PER_SECOND * (PLAY_SECONDS - WARM_UP_SECONDS)
        self.assertGreater(served, SERVED_SHARE * allowed)
        self.assertLess(served, 1.1 * allowed)

    def test_load_within_the_rate_is_not_refused(self) -> None:
        ended = Play(1, 0.6).run()
        refused = sum(not one.is_served for one in ended)
        self.assertLess(refused, 0.01 * len(ended))


if __name__ == '__main__':
    unittest.main()
