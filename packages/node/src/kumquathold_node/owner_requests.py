"""A request at its owner, and the upstreams beside that owner."""

from __future__ import annotations

from time import monotonic

import msgspec

from kumquathold_core import crash_tracker, fair_queue, smoothing
from kumquathold_core.admission import UpstreamLoad
from kumquathold_core.failure_risk import FailureRiskEstimator
from kumquathold_core.forwarding import ForwardRequest
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.upstream_calls import UpstreamCalls

LATE_PER_SLOT = 3
LATE_SHARE = 0.25
LEAST_SERVICE_SHARE = 0.5


class OwnerRequest(msgspec.Struct, eq=False):
    """A request at this owner."""

    work: ForwardRequest
    """What the ingress asked for."""

    reply_to: str
    """Peer address of the ingress."""

    queued_at: float
    """Own monotonic clock, in seconds."""

    body: bytes = b''
    """The whole body, once it is there."""

    started_at: float = 0.0
    """When it got its slot."""

    is_cancelled: bool = False
    """Whether its call was stopped because nobody waits for it."""

    is_trial: bool = False
    """Whether it tries a suspect upstream."""

    @property
    def request(self) -> RequestId:
        """Names the sending."""
        return self.work.request

    @property
    def fingerprint(self) -> bytes:
        """Equal for its repetitions."""
        return crash_tracker.fingerprint_request(
            self.work.workspace,
            self.work.method,
            self.work.target,
            self.work.body_digest,
        )


class CallFailures:
    """When a call that an upstream beside this node made last failed."""

    __slots__ = ('last_at',)

    def __init__(self) -> None:
        """Start with none."""
        self.last_at = 0.0

    def note(self) -> None:
        """Take in that one failed now."""
        self.last_at = monotonic()


def place_of(job: OwnerRequest) -> fair_queue.SchedulingKey:
    """Where a job stands among those that wait."""
    return fair_queue.SchedulingKey(
        rank=job.work.rank,
        workspace=job.work.workspace,
        weight=job.work.weight,
        due_at=job.work.due_at,
    )


class Upstream:
    """An upstream beside this node."""

    __slots__ = (
        'calls',
        'expires_at',
        'in_use',
        'queue',
        'record',
        'service_seconds',
        'suspicion',
    )

    def __init__(
        self,
        record: UpstreamRecord,
        expires_at: float,
        dialect: UpstreamDialect,
    ) -> None:
        """Start with nothing in hand."""
        self.record = record
        self.expires_at = expires_at
        address = record.address or record.name
        self.calls = UpstreamCalls(address, record.name, dialect)
        self.queue: fair_queue.ObjectiveQueue[OwnerRequest] = (
            fair_queue.ObjectiveQueue(
                place_of,
                late_limit=record.slots * LATE_PER_SLOT,
            )
        )
        self.in_use = 0
        self.service_seconds = 0.0
        self.suspicion = FailureRiskEstimator()

    def note_service(self, seconds: float) -> None:
        """Take in how long a request ran."""
        known = self.service_seconds or seconds
        self.service_seconds = smoothing.update_average(known, seconds)

    def is_too_late(self, job: OwnerRequest, now: float) -> bool:
        """Whether a waiting request is given up, to be refused at once.

        It can no longer end before its deadline; or its answer is late, and
        those that can still be in time left it no slot here for `LATE_SHARE`
        of the time between. While the load lasts it would wait in vain.
        """
        work = job.work
        needed = self.service_seconds * LEAST_SERVICE_SHARE
        if work.deadline - now < needed:
            return True
        patience = LATE_SHARE * (work.deadline - work.due_at)
        late_since = max(work.due_at, job.queued_at)
        return patience > 0 and now > late_since + patience

    def find_too_late(self, now: float) -> list[OwnerRequest]:
        """The waiting requests that are given up."""
        waiting = self.queue.items()
        return [job for job in waiting if self.is_too_late(job, now)]

    def measure(self, now: float, ahead: int) -> UpstreamLoad:
        """The load as admission sees it, with `ahead` requests waiting."""
        return UpstreamLoad(
            slots=self.record.slots,
            running=self.in_use,
            waiting=ahead,
            service_seconds=self.service_seconds,
            risk=self.suspicion.estimate_risk(now),
            is_trial_due=self.suspicion.is_trial_due(now),
        )
