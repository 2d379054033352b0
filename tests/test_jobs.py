"""Waiting requests that are given up: which, and what callers get by it."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import msgspec

from kumquathold_core.forwarding import ForwardRequest
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_node import owner_requests
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.owner_requests import OwnerRequest, Upstream

SLOTS = 4
SERVICE_SECONDS = 0.4
OBJECTIVE_SECONDS = 1.2
DEADLINE_SECONDS = 5.2
PATIENCE_SECONDS = owner_requests.MAX_LATE_WAIT_SHARE * (
    DEADLINE_SECONDS - OBJECTIVE_SECONDS
)
STEP_SECONDS = 0.02
OVERLOAD = 1.5
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
    """An idle upstream whose time of a request is known."""
    record = UpstreamRecord('u', 's', SLOTS, ready=True, leaving=False)
    upstream = Upstream(record, 1e9, UpstreamDialect())
    upstream.record_service_time(SERVICE_SECONDS)
    return upstream


def make_job(at: float, number: int = 1, **changes: float) -> OwnerRequest:
    """A request that arrives at a moment."""
    work = msgspec.structs.replace(
        WORK,
        request=RequestId('10.0.0.1:1', 1, number),
        deadline=at + DEADLINE_SECONDS,
        due_at=at + OBJECTIVE_SECONDS,
    )
    work = msgspec.structs.replace(work, **changes)
    return OwnerRequest(message=work, reply_to='10.0.0.1:1', queued_at=at)


class TooLateTest(unittest.TestCase):
    """When a waiting request is given up."""

    def test_what_cannot_end_before_its_deadline(self) -> None:
        upstream = make_upstream()
        job = make_job(0.0, due_at=DEADLINE_SECONDS)
        self.assertFalse(upstream.is_overdue(job, 4.9))
        self.assertTrue(upstream.is_overdue(job, 5.1))

    def test_what_got_no_slot_for_a_while_past_its_objective(self) -> None:
        upstream = make_upstream()
        starved_at = OBJECTIVE_SECONDS + PATIENCE_SECONDS
        job = make_job(0.0)
        self.assertFalse(upstream.is_overdue(job, starved_at - 0.1))
        self.assertTrue(upstream.is_overdue(job, starved_at + 0.1))

    def test_what_comes_late_from_elsewhere_may_start_here(self) -> None:
        upstream = make_upstream()
        job = make_job(0.0)
        job.queued_at = 3.0
        self.assertFalse(upstream.is_overdue(job, 3.0))
        self.assertTrue(upstream.is_overdue(job, 3.1 + PATIENCE_SECONDS))


class Played:
    """What the callers of a played load got."""

    __slots__ = ('in_time', 'longest_held', 'served')

    def __init__(self) -> None:
        self.in_time = 0
        self.served = 0
        self.longest_held = 0.0


def play(seconds: float = 60.0) -> Played:
    """Play half as much again as one upstream can serve."""
    rng = random.Random(9)
    upstream = make_upstream()
    rate = OVERLOAD * SLOTS / SERVICE_SECONDS
    count = int(rate * seconds)
    pending = sorted(rng.uniform(0, seconds) for _ in range(count))
    arrivals = [make_job(at, number) for number, at in enumerate(pending)]
    arrivals.reverse()
    ends: list[float] = []
    played = Played()
    for step in range(int((seconds + DEADLINE_SECONDS) / STEP_SECONDS)):
        now = step * STEP_SECONDS
        while arrivals and arrivals[-1].queued_at <= now:
            upstream.queue.push(arrivals.pop())
        ends = [end for end in ends if end > now]
        given_up = upstream.find_overdue(now)
        for job in given_up:
            upstream.queue.remove(job)
        while len(ends) < SLOTS:
            end_at = now + SERVICE_SECONDS
            job_or_none = upstream.queue.pop(end_at)
            given_up.extend(upstream.queue.take_dropped())
            if job_or_none is None:
                break
            ends.append(end_at)
            played.served += 1
            played.in_time += end_at <= job_or_none.message.due_at
        held = [now - job.queued_at for job in given_up]
        played.longest_held = max([played.longest_held, *held])
    return played


class PlayedLoadTest(unittest.TestCase):
    """Lasting overload: as many in time, and nobody held for long in vain."""

    def test_refused_early_and_served_as_before(self) -> None:
        with mock.patch.object(owner_requests, 'MAX_LATE_WAIT_SHARE', 1.0):
            patient = play()
        played = play()
        bound = OBJECTIVE_SECONDS + PATIENCE_SECONDS + 2 * STEP_SECONDS
        self.assertLessEqual(played.longest_held, bound)
        self.assertGreater(patient.longest_held, 2 * bound)
        self.assertGreaterEqual(played.in_time, patient.in_time)
        self.assertGreater(played.served, SERVED_SHARE * patient.served)


if __name__ == '__main__':
    unittest.main()
