"""State that an owner keeps of its requests and of the upstreams beside it."""

from __future__ import annotations

import math
import random
from time import monotonic

import msgspec

from kumquathold_core import admission, crash_tracker, fair_queue, smoothing
from kumquathold_core.admission import UpstreamLoad
from kumquathold_core.cold_limiter import ColdLimiter
from kumquathold_core.failure_risk import FailureRiskEstimator
from kumquathold_core.forwarding import ForwardRequest
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_core.retries import RetryBudget
from kumquathold_core.retry_after import choose_retry_after
from kumquathold_core.start_limiter import StartLimiter
from kumquathold_core.upstream_statements import KnownStatement
from kumquathold_node.body_memory import BodyMemory, Reservation
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.upstream_calls import UpstreamCalls

LATE_QUEUE_PER_SLOT = 3
"""Queued requests past their objective that are kept per slot."""

MAX_LATE_WAIT_SHARE = 0.25
"""Share of the time from objective to deadline to wait for a slot at most."""

MIN_SERVICE_SHARE = 0.5
"""Share of the average service time that must remain to the deadline."""

DRAIN_SERVICE_FACTOR = 2.0
"""Multiple of the average service time for which a draining node has time.

Requests differ in length, and one that has begun cannot go elsewhere.
"""


class OwnerRequest(msgspec.Struct, eq=False):
    """A request that this owner has received."""

    message: ForwardRequest
    """The message by which the ingress forwarded it."""

    reply_to: str
    """Peer address of the ingress."""

    queued_at: float
    """Time of arrival, in seconds of the monotonic clock."""

    body: bytes = b''
    """The whole body, once it is complete."""

    started_at: float = 0.0
    """When it got a slot, in seconds of the monotonic clock."""

    lifetime: int = 0
    """Lifetime of the upstream's process when the call began."""

    is_cancelled: bool = False
    """Whether its upstream call was cancelled as the caller is gone."""

    reservation: Reservation | None = None
    """Memory for its body, unless its ingress, in this process, counts it."""

    is_slot_free: bool = False
    """Whether its call broke, so that its slot is free although it is open."""

    is_trial: bool = False
    """Whether it is the trial request of a suspect upstream."""

    slot_of: Upstream | None = None
    """The upstream's process whose slot it holds."""

    @property
    def request_id(self) -> RequestId:
        """Identifier of the attempt."""
        return self.message.request

    @property
    def fingerprint(self) -> bytes:
        """Digest that is the same for a request and all its repeats."""
        return crash_tracker.fingerprint_request(
            self.message.workspace,
            self.message.method,
            self.message.target,
            self.message.body_digest,
        )


class CallFailures:
    """Time of the last failed call that an upstream made through this node."""

    __slots__ = ('last_failed_at',)

    def __init__(self) -> None:
        """Start without failures."""
        self.last_failed_at = 0.0

    def record_failure(self) -> None:
        """Record that a call failed now."""
        self.last_failed_at = monotonic()


def scheduling_key_of(request: OwnerRequest) -> fair_queue.SchedulingKey:
    """Return the key by which a request is queued."""
    return fair_queue.SchedulingKey(
        rank=request.message.rank,
        workspace=request.message.workspace,
        weight=request.message.weight,
        due_at=request.message.due_at,
    )


class Upstream:
    """An upstream beside this node."""

    __slots__ = (
        'calls',
        'cold',
        'ended_at',
        'expires_at',
        'failure_risk',
        'in_use',
        'known_statement',
        'limiter',
        'queue',
        'record',
        'retry_budget',
        'service_seconds',
    )

    def __init__(
        self,
        record: UpstreamRecord,
        expires_at: float,
        dialect: UpstreamDialect,
        memory: BodyMemory | None = None,
    ) -> None:
        """Start idle, with an empty queue.

        `memory` is shared by the upstreams of a node.
        """
        self.record = record
        self.expires_at = expires_at
        address = record.address or record.name
        self.calls = UpstreamCalls(address, record.name, dialect, memory)
        self.queue: fair_queue.ObjectiveQueue[OwnerRequest] = (
            fair_queue.ObjectiveQueue(
                scheduling_key_of,
                late_limit=record.slots * LATE_QUEUE_PER_SLOT,
            )
        )
        self.retry_budget: RetryBudget | None = None
        self.in_use = 0
        self.known_statement: KnownStatement | None = None
        self.limiter = StartLimiter()
        self.cold = ColdLimiter()
        self.ended_at = math.inf
        self.service_seconds = 0.0
        self.failure_risk = FailureRiskEstimator()

    def record_end(self, now: float) -> None:
        """Record that the process was found to have ended."""
        self.ended_at = min(self.ended_at, now)

    def record_restart(self) -> None:
        """Record an announcement, so that the process runs again."""
        self.ended_at = math.inf

    def record_service_time(self, seconds: float) -> None:
        """Update the moving average of the service time."""
        average = self.service_seconds or seconds
        self.service_seconds = smoothing.update_average(average, seconds)

    def is_overdue(self, request: OwnerRequest, now: float) -> bool:
        """Whether a queued request is to be refused instead of run.

        Either it can no longer finish before its deadline, or it is past its
        latency objective and has since waited here for more than
        `MAX_LATE_WAIT_SHARE` of the time from objective to deadline. In that
        time requests within their objective took every slot; while such a load
        lasts, a late request would wait until its deadline and be refused then.
        """
        message = request.message
        needed = self.service_seconds * MIN_SERVICE_SHARE
        if message.deadline - now < needed:
            return True
        timeout = MAX_LATE_WAIT_SHARE * (message.deadline - message.due_at)
        late_since = max(message.due_at, request.queued_at)
        return timeout > 0 and now > late_since + timeout

    def find_longest_wait(self, request: OwnerRequest, now: float) -> float:
        """Return the longest wait after which a new request is served.

        While late requests are queued, a further late one gets no slot, so it
        has to start within its objective. Otherwise it must not become overdue.
        One that waits longer is better refused now: its caller learns it
        seconds earlier, and may return when there is room.
        """
        message = request.message
        if self.queue.late.size:
            return max(0.0, message.due_at - now - self.service_seconds)
        late = MAX_LATE_WAIT_SHARE * (message.deadline - message.due_at)
        if late <= 0:
            return message.deadline - now
        return max(0.0, message.due_at - now) + late

    def find_overdue(self, now: float) -> list[OwnerRequest]:
        """Return the queued requests for which `is_overdue` holds."""
        queued = self.queue.items()
        return [request for request in queued if self.is_overdue(request, now)]

    def may_start(self, now: float) -> bool:
        """Whether a slot is free, and neither limits nor risk forbid it."""
        has_slot = self.in_use < self.record.slots
        is_allowed = self.limiter.may_start(now) and self.cold.may_start(now)
        return has_slot and is_allowed and self.failure_risk.may_start(now)

    def begin(self, request: OwnerRequest, now: float) -> None:
        """Count a request that starts now."""
        request.started_at = now
        request.slot_of = self
        self.failure_risk.record_start(now)
        self.in_use += 1
        self.limiter.record_start(now)
        self.cold.record_start(now)

    def end(self, request: OwnerRequest) -> None:
        """Free the slot of a request."""
        request.slot_of = None
        self.in_use -= 1

    def estimate_limit_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until its limits allow a start behind others."""
        return max(
            self.limiter.estimate_wait(ahead, now),
            self.cold.estimate_wait(ahead, now),
        )

    def find_limit(self) -> float | None:
        """Return the requests a second that it takes now, if limited."""
        known = self.known_statement
        stated = known.statement.limit if known else None
        limits = [one for one in (stated, self.cold.rate) if one is not None]
        return min(limits, default=None)

    def find_unstartable(self, now: float) -> list[OwnerRequest]:
        """Return the queued requests that its limits make too late.

        They could not finish before their deadlines any more.
        """
        if self.limiter.rate is None and self.cold.rate is None:
            return []
        needed = self.service_seconds * MIN_SERVICE_SHARE
        return [
            request
            for ahead, request in enumerate(self.queue.items())
            if request.message.deadline - now
            < self.estimate_limit_wait(ahead, now) + needed
        ]

    def find_unfinishable(
        self, end_at: float, now: float
    ) -> list[OwnerRequest]:
        """Return the queued requests that may still run at `end_at`.

        That is when a draining node ends, in seconds of the monotonic clock;
        it is infinite while the node does not drain.
        """
        if math.isinf(end_at):
            return []
        needed = self.service_seconds * DRAIN_SERVICE_FACTOR
        return [
            request
            for ahead, request in enumerate(self.queue.items())
            if now + self.estimate_wait(ahead, now) + needed > end_at
        ]

    def choose_retry_after(
        self, request: OwnerRequest, now: float, rng: random.Random
    ) -> float:
        """Return the seconds after which a refused caller may return."""
        ahead = self.queue.count_ahead_of(request.message.rank)
        return choose_retry_after(
            self.estimate_wait(ahead, now), request.message.deadline - now, rng
        )

    def estimate_wait(self, ahead: int, now: float) -> float:
        """Return the seconds until a request behind `ahead` others starts."""
        return admission.estimate_wait(self.measure_load(now, ahead))

    def measure_load(self, now: float, ahead: int) -> UpstreamLoad:
        """Return the load that admission control is to judge by.

        `ahead` is the number of requests queued ahead of the new one.
        """
        return UpstreamLoad(
            slots=self.record.slots,
            running=self.in_use,
            waiting=ahead,
            service_seconds=self.service_seconds,
            risk=self.failure_risk.estimate_risk(now),
            is_trial_due=self.failure_risk.is_trial_due(now),
            start_wait=self.estimate_limit_wait(ahead, now),
        )
