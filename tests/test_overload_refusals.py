"""Requests that no owner has time for are refused soon."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import msgspec

from kumquathold_core import admission, retries
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.retries import AttemptFailure
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from tests.test_jobs import WORK, make_upstream

UPSTREAMS = 12
LIMIT_PER_SECOND = 1.0
REQUESTS_PER_SECOND = 40
DEADLINE_SECONDS = 4.0
STEP_SECONDS = 0.02
HOP_SECONDS = 0.02
PLAY_SECONDS = 40.0
WARM_UP_SECONDS = 10.0
RANKS = (0, 1)


class Ended(msgspec.Struct):
    """How a request of the played load ended."""

    arrived_at: float
    ended_at: float
    hops: int
    is_served: bool


class Waiting(msgspec.Struct):
    """A request that an ingress is placing."""

    arrived_at: float
    rank: int
    next_at: float
    tried: set[str]


class Play:
    """One ingress before upstreams that all state a low limit."""

    def __init__(self, max_overloaded: int) -> None:
        self.max_overloaded = max_overloaded
        self.upstreams = {
            str(number): make_upstream() for number in range(UPSTREAMS)
        }
        for upstream in self.upstreams.values():
            upstream.limiter.set_limit(LIMIT_PER_SECOND, 0.0)
        self.rng = random.Random(11)
        self.placing: list[Waiting] = []
        self.hops: dict[int, int] = {}
        self.ended: list[Ended] = []

    def run(self) -> list[Ended]:
        """Play the load; return the requests that came after the warm-up."""
        for step in range(round(PLAY_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            if self.rng.random() < REQUESTS_PER_SECOND * STEP_SECONDS:
                rank = self.rng.choice(RANKS)
                self.placing.append(Waiting(now, rank, now, set()))
            due = [one for one in self.placing if one.next_at <= now]
            self.placing = [one for one in self.placing if one.next_at > now]
            for one in due:
                self.place(one, now)
            for upstream in self.upstreams.values():
                self.start_queued(upstream, now)
        return [one for one in self.ended if one.arrived_at > WARM_UP_SECONDS]

    def place(self, request: Waiting, now: float) -> None:
        """Ask the next owner, or give the request up."""
        seconds_left = request.arrived_at + DEADLINE_SECONDS - now
        untried = sorted(set(self.upstreams) - request.tried)
        if request.tried and not self.may_retry(len(request.tried)):
            self.end(request, now, is_served=False)
            return
        name = self.rng.choice(untried)
        request.tried.add(name)
        request.next_at = now + HOP_SECONDS
        upstream = self.upstreams[name]
        ahead = upstream.queue.count_ahead_of(request.rank)
        load = upstream.measure_load(now, ahead)
        refusal = admission.find_refusal(
            load,
            seconds_left=seconds_left,
            idempotent=False,
            max_wait=DEADLINE_SECONDS,
            max_risk=1.0,
        )
        if refusal is None:
            upstream.queue.push(self.make_owner_request(request, now))
            return
        self.placing.append(request)

    def may_retry(self, overloaded: int) -> bool:
        """Whether to ask one more owner, after some had no time."""
        if overloaded >= retries.MAX_TOTAL_ATTEMPTS:
            return False
        with mock.patch.object(
            retries, 'MAX_OVERLOADED_OWNERS', self.max_overloaded
        ):
            return retries.may_retry(
                AttemptFailure(Outcome.not_run, Refusal.overloaded),
                idempotent=False,
                claimed=False,
                attempts=0,
                crashed=0,
                overloaded=overloaded,
            )

    def make_owner_request(self, request: Waiting, now: float) -> OwnerRequest:
        """Make the request that waits at an owner."""
        deadline = request.arrived_at + DEADLINE_SECONDS
        message = msgspec.structs.replace(
            WORK, deadline=deadline, due_at=deadline, rank=request.rank
        )
        owner_request = OwnerRequest(message, '', queued_at=now)
        self.hops[id(owner_request)] = len(request.tried)
        return owner_request

    def start_queued(self, upstream: Upstream, now: float) -> None:
        """Start what the limit leaves room for; drop what is too late."""
        for late in upstream.find_unstartable(now):
            upstream.queue.remove(late)
            self.end_queued(late, now, is_served=False)
        while upstream.may_start(now):
            request = upstream.queue.pop(now)
            for dropped in upstream.queue.take_dropped():
                self.end_queued(dropped, now, is_served=False)
            if request is None:
                return
            upstream.limiter.record_start(now)
            self.end_queued(request, now, is_served=True)

    def end_queued(
        self, request: OwnerRequest, now: float, *, is_served: bool
    ) -> None:
        """Record the end of a request that waited at an owner."""
        arrived_at = request.message.deadline - DEADLINE_SECONDS
        hops = self.hops.pop(id(request))
        self.ended.append(Ended(arrived_at, now, hops, is_served))

    def end(self, request: Waiting, now: float, *, is_served: bool) -> None:
        """Record the end of a request at its ingress."""
        hops = len(request.tried)
        self.ended.append(Ended(request.arrived_at, now, hops, is_served))


def mean(values: list[float]) -> float:
    """Return the arithmetic mean."""
    return sum(values) / len(values)


class LimitedServiceTest(unittest.TestCase):
    """Callers of a service that is far over its stated limits."""

    def setUp(self) -> None:
        self.before = Play(retries.MAX_TOTAL_ATTEMPTS).run()
        self.after = Play(retries.MAX_OVERLOADED_OWNERS).run()

    def test_refusals_are_sooner_and_ask_fewer_owners(self) -> None:
        before, after = (
            [one for one in ended if not one.is_served]
            for ended in (self.before, self.after)
        )
        hops = [mean([one.hops for one in ended]) for ended in (before, after)]
        waits = [
            mean([one.ended_at - one.arrived_at for one in ended])
            for ended in (before, after)
        ]
        self.assertLess(hops[1], hops[0] / 2)
        self.assertLess(waits[1], waits[0])

    def test_no_fewer_requests_are_served(self) -> None:
        served = [
            sum(one.is_served for one in ended)
            for ended in (self.before, self.after)
        ]
        capacity = LIMIT_PER_SECOND * UPSTREAMS
        seconds = PLAY_SECONDS - WARM_UP_SECONDS - DEADLINE_SECONDS
        self.assertGreater(served[1], 0.95 * capacity * seconds)
        self.assertGreaterEqual(served[1], 0.98 * served[0])


if __name__ == '__main__':
    unittest.main()
