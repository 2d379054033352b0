"""Dropping of overdue requests: which ones, and the effect on callers."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import msgspec

from kumquathold_core import admission
from kumquathold_core.forwarding import ForwardRequest
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_node import owner_requests
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.owner_requests import OwnerRequest, Upstream

SLOTS = 4
SERVICE_SECONDS = 0.4
OBJECTIVE_SECONDS = 1.2
DEADLINE_SECONDS = 5.2
MAX_LATE_WAIT_SECONDS = owner_requests.MAX_LATE_WAIT_SHARE * (
    DEADLINE_SECONDS - OBJECTIVE_SECONDS
)
STEP_SECONDS = 0.02
OFFERED_LOAD = 1.5
SERVED_SHARE = 0.98

WORK = ForwardRequest(
    request=RequestId('10.0.0.1:1', 1, 1),
    owner_incarnation=1,
    deadline=DEADLINE_SECONDS,
    config_version=1,
    upstream='u',
    workspace='w',
    key_id='',
    weight=1,
    route='r',
    caller_id='c',
    method='POST',
    target='/',
    headers=(),
    idempotent=False,
    claim='',
    crashes=0,
    rank=0,
    due_at=OBJECTIVE_SECONDS,
    max_wait=9.0,
    max_risk=1.0,
    body_bytes=0,
    body_digest=b'',
    body=b'',
)


def make_upstream() -> Upstream:
    """Make an idle upstream whose service time is known."""
    record = UpstreamRecord('u', 's', SLOTS, ready=True, leaving=False)
    upstream = Upstream(record, 1e9, UpstreamDialect())
    upstream.record_service_time(SERVICE_SECONDS)
    return upstream


def make_owner_request(
    at: float, number: int = 1, **changes: float
) -> OwnerRequest:
    """Make a request that arrives at the given time."""
    message = msgspec.structs.replace(
        WORK,
        request=RequestId('10.0.0.1:1', 1, number),
        deadline=at + DEADLINE_SECONDS,
        due_at=at + OBJECTIVE_SECONDS,
    )
    message = msgspec.structs.replace(message, **changes)
    return OwnerRequest(message=message, reply_to='10.0.0.1:1', queued_at=at)


class OverdueTest(unittest.TestCase):
    """When a waiting request is overdue."""

    def test_request_that_cannot_end_before_its_deadline(self) -> None:
        upstream = make_upstream()
        owner_request = make_owner_request(0.0, due_at=DEADLINE_SECONDS)
        self.assertFalse(upstream.is_overdue(owner_request, 4.9))
        self.assertTrue(upstream.is_overdue(owner_request, 5.1))

    def test_request_without_a_slot_long_past_its_objective(self) -> None:
        upstream = make_upstream()
        starved_at = OBJECTIVE_SECONDS + MAX_LATE_WAIT_SECONDS
        owner_request = make_owner_request(0.0)
        self.assertFalse(upstream.is_overdue(owner_request, starved_at - 0.1))
        self.assertTrue(upstream.is_overdue(owner_request, starved_at + 0.1))

    def test_request_that_arrives_past_its_objective_may_start(self) -> None:
        upstream = make_upstream()
        owner_request = make_owner_request(0.0)
        owner_request.queued_at = 3.0
        self.assertFalse(upstream.is_overdue(owner_request, 3.0))
        self.assertTrue(
            upstream.is_overdue(owner_request, 3.1 + MAX_LATE_WAIT_SECONDS)
        )


class SimulationResult:
    """Responses and waits of the requests of a simulated load."""

    __slots__ = ('in_time', 'longest_wait', 'refused_waits', 'served')

    def __init__(self) -> None:
        self.in_time = 0
        self.served = 0
        self.longest_wait = 0.0
        self.refused_waits: list[float] = []


def is_refused(upstream: Upstream, request: OwnerRequest, running: int) -> bool:
    """Whether admission refuses a request on its arrival."""
    now = request.queued_at
    load = upstream.measure_load(now, upstream.queue.count_ahead_of(0))
    refusal = admission.find_refusal(
        msgspec.structs.replace(load, running=running),
        seconds_left=request.message.deadline - now,
        idempotent=False,
        max_wait=DEADLINE_SECONDS,
        max_risk=1.0,
        longest_wait=upstream.find_longest_wait(request, now),
    )
    return refusal is not None


def simulate(
    seconds: float = 60.0, *, refuses_at_once: bool = False
) -> SimulationResult:
    """Simulate 1.5 times the load that one upstream can serve."""
    rng = random.Random(9)
    upstream = make_upstream()
    rate = OFFERED_LOAD * SLOTS / SERVICE_SECONDS
    count = int(rate * seconds)
    pending = sorted(rng.uniform(0, seconds) for _ in range(count))
    arrivals = [
        make_owner_request(at, number) for number, at in enumerate(pending)
    ]
    arrivals.reverse()
    busy_until: list[float] = []
    result = SimulationResult()
    for step in range(int((seconds + DEADLINE_SECONDS) / STEP_SECONDS)):
        now = step * STEP_SECONDS
        busy_until = [end for end in busy_until if end > now]
        while arrivals and arrivals[-1].queued_at <= now:
            arrival = arrivals.pop()
            if refuses_at_once and is_refused(
                upstream, arrival, len(busy_until)
            ):
                result.refused_waits.append(0.0)
            else:
                upstream.queue.push(arrival)
        overdue = upstream.find_overdue(now)
        for owner_request in overdue:
            upstream.queue.remove(owner_request)
        while len(busy_until) < SLOTS:
            end_at = now + SERVICE_SECONDS
            popped = upstream.queue.pop(end_at)
            overdue.extend(upstream.queue.take_dropped())
            if popped is None:
                break
            busy_until.append(end_at)
            result.served += 1
            result.in_time += end_at <= popped.message.due_at
        waits = [now - owner_request.queued_at for owner_request in overdue]
        result.longest_wait = max([result.longest_wait, *waits])
        result.refused_waits.extend(waits)
    return result


class OverloadTest(unittest.TestCase):
    """Lasting overload: overdue requests are refused early.

    As many are served within the objective as without the limit.
    """

    def test_early_refusal_serves_as_many_in_time(self) -> None:
        with mock.patch.object(owner_requests, 'MAX_LATE_WAIT_SHARE', 1.0):
            without_limit = simulate()
        result = simulate()
        bound = OBJECTIVE_SECONDS + MAX_LATE_WAIT_SECONDS + 2 * STEP_SECONDS
        self.assertLessEqual(result.longest_wait, bound)
        self.assertGreater(without_limit.longest_wait, 2 * bound)
        self.assertGreaterEqual(result.in_time, without_limit.in_time)
        self.assertGreater(result.served, SERVED_SHARE * without_limit.served)

    def test_what_would_become_overdue_is_refused_at_once(self) -> None:
        """Its caller would learn it only after having waited in vain."""
        later = simulate()
        at_once = simulate(refuses_at_once=True)
        mean_before, mean_after = (
            sum(one.refused_waits) / len(one.refused_waits)
            for one in (later, at_once)
        )
        self.assertLess(mean_after, 0.5 * mean_before)
        self.assertGreaterEqual(at_once.in_time, SERVED_SHARE * later.in_time)
        self.assertGreater(at_once.served, SERVED_SHARE * later.served)


if __name__ == '__main__':
    unittest.main()
