"""The owner service: the only way to the upstreams beside this node.

One task alone knows the slots in use and what became of each request, so its
word is exact. Calls to upstreams and large sends run on worker threads, which
report back to the task's inbox.
"""

from __future__ import annotations

import http
from concurrent.futures import ThreadPoolExecutor
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from kumquathold_core import (
    admission,
    crash_tracker,
    forwarding,
    reassembly,
    wire,
)
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.request_registry import RequestRegistry
from kumquathold_node import claims_service, owner_outcomes
from kumquathold_node.announcements import AnnouncedEvent, DeregisteredEvent
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_replies import OwnerReplies, make_failure
from kumquathold_node.owner_requests import (
    CallFailures,
    OwnerRequest,
    Upstream,
)
from kumquathold_node.transport import Transport
from kumquathold_node.upstream_calls import (
    CallFailed,
    UpstreamCalls,
    UpstreamResponse,
)
from kumquathold_node.upstream_roster import UpstreamRoster

if TYPE_CHECKING:
    from kumquathold_core.identity import RequestId
    from kumquathold_core.wire import Envelope

TICK_SECONDS = 0.25
WORKER_THREADS = 64
INQUIRY_SECONDS = 0.25


class CallSucceededEvent(msgspec.Struct, frozen=True):
    """An upstream answered."""

    job: OwnerRequest
    """The request."""

    answer: UpstreamResponse
    """Its answer."""


class CallFailedEvent(msgspec.Struct, frozen=True):
    """A call to an upstream gave no answer."""

    job: OwnerRequest
    """The request."""

    failure: CallFailed
    """What is known."""


class DrainCommand(msgspec.Struct, frozen=True):
    """The own node is to take no new work."""


class Owner:
    """Owns the upstreams, their queues and the memory of requests."""

    def __init__(self, kernel: Kernel, dialect: UpstreamDialect) -> None:
        """Find the services that are needed, and register."""
        self.call_failures: CallFailures = kernel.find('call-failures')
        self.transport: Transport = kernel.find('transport')
        self.membership: Membership = kernel.find('membership')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.claims: claims_service.ClaimsService = kernel.find('claims')
        self.metrics: Metrics = kernel.find('metrics')
        self.memory = RequestRegistry()
        self.assembler = reassembly.Reassembler()
        self.opening: dict[RequestId, OwnerRequest] = {}
        self.roster = UpstreamRoster(
            kernel,
            dialect,
            self._refuse_waiting,
        )
        self.upstreams = self.roster.upstreams
        self.jobs: dict[RequestId, OwnerRequest] = {}
        self.marks = crash_tracker.CrashTracker()
        self.is_leaving = False
        self.workers = ThreadPoolExecutor(WORKER_THREADS, 'owner-worker')
        self.replies = OwnerReplies(
            self.transport,
            self.workers,
            self.metrics,
        )
        self.task = Task(
            'owner',
            {
                forwarding.ForwardRequest: self.on_forward_request,
                forwarding.RequestChunk: self.on_request_chunk,
                forwarding.StatusRequest: self.on_status_request,
                forwarding.CancelRequest: self.on_cancel_request,
                forwarding.CrashNotice: self.on_crash_notice,
                claims_service.ClaimGrantedEvent: self.on_claim_granted,
                claims_service.ClaimRefusedEvent: self.on_claim_refused,
                claims_service.OutcomeStoredEvent: self.on_outcome_stored,
                CallSucceededEvent: self.on_call_succeeded,
                CallFailedEvent: self.on_call_failed,
                AnnouncedEvent: self.on_announced,
                DeregisteredEvent: self.on_deregistered,
                DrainCommand: self.on_drain,
            },
            tick=self.on_tick,
            tick_seconds=TICK_SECONDS,
        )
        self.transport.deliver_to(self.task)
        kernel.register('owner', self)
        kernel.add_task(self.task)

    @property
    def in_hand(self) -> int:
        """Requests that wait or run."""
        return len(self.jobs) + len(self.opening)

    def on_forward_request(
        self, envelope: Envelope[forwarding.ForwardRequest]
    ) -> None:
        """Take a request in, unless it was seen before."""
        asked = envelope.message
        now = monotonic()
        job = OwnerRequest(work=asked, reply_to=envelope.sender, queued_at=now)
        if asked.owner_incarnation != self.transport.incarnation:
            self.replies.tell_failure(
                job, Outcome.not_run, Refusal.owner_restarted
            )
            return
        known = self.memory.admit(asked.request, now)
        if known is not None:
            self.replies.tell_known(envelope.sender, asked.request, known)
            return
        self.opening[asked.request] = job
        self._assemble(
            asked.request,
            lambda: self.assembler.announce(
                asked.request,
                asked.body_bytes,
                asked.body_digest,
                asked.body,
                now,
            ),
        )

    def on_request_chunk(
        self, envelope: Envelope[forwarding.RequestChunk]
    ) -> None:
        """Take a further piece of a request's body."""
        piece = envelope.message
        if piece.request not in self.opening:
            known = self.memory.entries.get(piece.request)
            if known is not None:
                return
        self._assemble(
            piece.request,
            lambda: self.assembler.add_chunk(
                piece.request,
                piece.offset,
                piece.chunk,
                monotonic(),
            ),
        )

    def on_status_request(
        self, envelope: Envelope[forwarding.StatusRequest]
    ) -> None:
        """Say what became of a request; an unseen one never runs."""
        asked = envelope.message
        if asked.repeated:
            # The first answer was lost; the own connection may be silent.
            opened_before = monotonic() - INQUIRY_SECONDS
            self.transport.reset(envelope.sender, opened_before)
        if asked.owner_incarnation != self.transport.incarnation:
            failure = make_failure(
                asked.request,
                Outcome.unknown,
                Refusal.owner_restarted,
            )
            self.transport.try_send(envelope.sender, failure)
            return
        entry = self.memory.refuse_forever(asked.request, monotonic())
        self.replies.tell_known(envelope.sender, asked.request, entry)

    def on_cancel_request(
        self, envelope: Envelope[forwarding.CancelRequest]
    ) -> None:
        """Stop a request whose caller has gone, where that does no harm."""
        asked = envelope.message
        entry = self.memory.refuse_forever(asked.request, monotonic())
        partial = self.opening.pop(asked.request, None)
        if partial is not None:
            self.assembler.forget(asked.request)
            self._fail(partial, Outcome.not_run, Refusal.cancelled)
            return
        job = self.jobs.get(asked.request)
        if job is None:
            self.replies.tell_known(envelope.sender, asked.request, entry)
            return
        upstream = self.upstreams.get(job.work.upstream)
        if upstream is None:
            return
        is_queued = upstream.queue.remove(job)
        if is_queued:
            self.metrics.count('owner.cancelled.queued')
            self._fail(job, Outcome.not_run, Refusal.cancelled)
            return
        # What must not run twice goes on: stopping it halfway helps nobody.
        is_stopped = job.work.idempotent and upstream.calls.cancel(
            job.request,
        )
        if is_stopped:
            job.is_cancelled = True
            self.metrics.count('owner.cancelled.running')

    def on_crash_notice(
        self, envelope: Envelope[forwarding.CrashNotice]
    ) -> None:
        """Remember what a peer saw."""
        seen = envelope.message
        self.marks.record_crash(seen.fingerprint, seen.upstream, monotonic())

    def on_announced(self, announced: AnnouncedEvent) -> None:
        """Take in what an upstream says of itself."""
        upstream = self.roster.announce(announced)
        if upstream is None:
            announced.reply.set_result((0, 0))
            return
        if upstream.record.leaving:
            self._refuse_waiting(upstream)
        self._start_waiting(upstream)
        announced.reply.set_result(
            (upstream.in_use, upstream.queue.size),
        )

    def on_deregistered(self, deregistered: DeregisteredEvent) -> None:
        """Send an upstream no further work; what runs there goes on."""
        upstream = self.roster.deregister(deregistered)
        in_use = 0
        if upstream is not None:
            in_use = upstream.in_use
            self._refuse_waiting(upstream)
        deregistered.reply.set_result((in_use, 0))

    def _refuse_waiting(self, upstream: Upstream) -> None:
        for job in upstream.queue.items():
            upstream.queue.remove(job)
            self._fail(job, Outcome.not_run, Refusal.upstream_leaving)

    def on_drain(self, _: DrainCommand) -> None:
        """Refuse new work from now on; what is in hand goes on."""
        self.is_leaving = True

    def on_claim_granted(
        self, granted: claims_service.ClaimGrantedEvent
    ) -> None:
        """Run a request whose claim is in place."""
        self._call(granted.job)

    def on_claim_refused(
        self, refused: claims_service.ClaimRefusedEvent
    ) -> None:
        """Tell what the claim says instead of running."""
        job = refused.job
        self._free_slot(job)
        if refused.answer is None:
            self._fail(job, refused.outcome, refused.reason)
            return
        kept = refused.answer
        answer = UpstreamResponse(
            status=kept.status,
            headers=kept.headers,
            body=kept.body or b'',
            seconds=0,
        )
        self._finish(job, answer, replayed=True)

    def on_call_succeeded(self, answered: CallSucceededEvent) -> None:
        """Give the slot on, and the answer back."""
        job = answered.job
        answer = answered.answer
        is_failure = answer.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        upstream = self.upstreams.get(job.work.upstream)
        is_blamed = is_failure and owner_outcomes.is_blamed_on_calls(
            job,
            self.call_failures,
        )
        if upstream is not None and not is_blamed:
            owner_outcomes.note_answer(
                upstream,
                job,
                self.metrics,
                seconds=answer.seconds,
                failed=is_failure,
            )
        if not is_failure:
            self.marks.record_success(job.fingerprint, monotonic())
        self._free_slot(job)
        self.metrics.time('owner.upstream', answer.seconds)
        if job.work.claim:
            self.claims.keep_outcome(job, answered.answer)
            return
        self._finish(job, answered.answer, replayed=False)

    def on_call_failed(self, ended: CallFailedEvent) -> None:
        """Give the slot on, and say what is known."""
        job = ended.job
        failure = ended.failure
        upstream = self.upstreams.get(job.work.upstream)
        if upstream is not None and owner_outcomes.speaks_against(
            upstream,
            job,
            failure,
        ):
            owner_outcomes.note_answer(
                upstream,
                job,
                self.metrics,
                seconds=0,
                failed=True,
            )
        self._free_slot(job)
        self.metrics.count(f'owner.failed.{failure.reason.value}')
        if failure.crashed or failure.reason == Refusal.upstream_unreachable:
            self.roster.record_down(job.work.upstream)
        if failure.crashed and not self.marks.has_succeeded_lately(
            job.fingerprint,
            monotonic(),
        ):
            self._spread_crash(job)
        if job.work.claim:
            self.claims.keep_outcome(job, failure)
            return
        self._fail(
            job,
            failure.outcome,
            failure.reason,
            crashed=failure.crashed,
        )

    def on_outcome_stored(
        self, kept: claims_service.OutcomeStoredEvent
    ) -> None:
        """Answer a once-only request now that its outcome is kept."""
        if isinstance(kept.ended, UpstreamResponse):
            self._finish(kept.job, kept.ended, replayed=False)
            return
        self._fail(
            kept.job,
            kept.ended.outcome,
            kept.ended.reason,
            crashed=kept.ended.crashed,
        )

    def on_tick(self) -> None:
        """Drop what waited too long, vanished or never became whole."""
        now = monotonic()
        for request in self.assembler.expire(now):
            job = self.opening.pop(request, None)  # type: ignore[call-overload]
            if job is not None:
                self._fail(job, Outcome.not_run, Refusal.malformed)
        self.memory.expire(now)
        for upstream in list(self.upstreams.values()):
            for job in upstream.find_too_late(now):
                upstream.queue.remove(job)
                self._fail(job, Outcome.not_run, Refusal.overloaded)
            self._start_waiting(upstream)
        self.roster.remove_expired(now)

    def _assemble(
        self,
        request: RequestId,
        take: reassembly.TakeChunk,
    ) -> None:
        try:
            body = take()
        except reassembly.ReassemblyError as error:
            logger.warning(
                'body refused', request=str(request), cause=str(error)
            )
            self.metrics.count('owner.bodies_refused')
            body = None
            job = self.opening.pop(request, None)
            if job is not None:
                self._fail(job, Outcome.not_run, Refusal.malformed)
        if body is None:
            return
        job = self.opening.pop(request, None)
        if job is not None:
            job.body = body
            self._admit(job)

    def _admit(self, job: OwnerRequest) -> None:
        refusal = self._find_refusal(job)
        if refusal is not None:
            self._fail(job, Outcome.not_run, refusal)
            return
        upstream = self.upstreams[job.work.upstream]
        asked = job.work
        now = monotonic()
        load = upstream.measure(now, upstream.queue.count_ahead_of(asked.rank))
        refusal = admission.find_refusal(
            load,
            seconds_left=asked.deadline - now,
            idempotent=asked.idempotent,
            max_wait=asked.max_wait,
            max_risk=asked.max_risk,
        )
        if refusal is not None:
            self._fail(
                job,
                Outcome.not_run,
                refusal,
                wait=admission.estimate_wait(load),
            )
            return
        is_taken = upstream.queue.push(job)
        if not is_taken:
            self._fail(job, Outcome.not_run, Refusal.overloaded)
            return
        if asked.idempotent and upstream.suspicion.is_suspect(now):
            owner_outcomes.begin_trial(upstream, job)
        self.jobs[job.request] = job
        self._start_waiting(upstream)

    def _find_refusal(self, job: OwnerRequest) -> Refusal | None:
        asked = job.work
        upstream = self.upstreams.get(asked.upstream)
        if monotonic() >= asked.deadline:
            return Refusal.deadline_passed
        if self.is_leaving:
            return Refusal.node_leaving
        if upstream is None or upstream.record.leaving:
            return Refusal.upstream_leaving
        if self._is_key_withdrawn(asked):
            return Refusal.key_unknown
        is_marked = self.marks.is_refused(job.fingerprint, monotonic())
        if is_marked or asked.crashes >= crash_tracker.MAX_CRASHES:
            return Refusal.crashes_upstreams
        return None

    def _is_key_withdrawn(self, asked: forwarding.ForwardRequest) -> bool:
        current = self.configuration.current
        if not asked.key_id or current.version < asked.config_version:
            return False
        key = current.rules.keys.get(asked.key_id)
        return key is None or key.workspace != asked.workspace

    def _start_waiting(self, upstream: Upstream) -> None:
        while upstream.in_use < upstream.record.slots:
            end_at = monotonic() + upstream.service_seconds
            job = upstream.queue.pop(end_at)
            for dropped in upstream.queue.take_dropped():
                self._fail(dropped, Outcome.not_run, Refusal.overloaded)
            if job is None:
                return
            self._start(upstream, job)

    def _start(self, upstream: Upstream, job: OwnerRequest) -> None:
        now = monotonic()
        self.metrics.time('owner.queue', now - job.queued_at)
        if upstream.is_too_late(job, now):
            self._fail(job, Outcome.not_run, Refusal.overloaded)
            return
        if self._is_key_withdrawn(job.work):
            self._fail(job, Outcome.not_run, Refusal.key_unknown)
            return
        job.started_at = now
        upstream.in_use += 1
        self.memory.start(job.request)
        if job.work.claim:
            self.claims.claim(job)
        else:
            self._call(job)

    def _call(self, job: OwnerRequest) -> None:
        upstream = self.upstreams[job.work.upstream]
        self.workers.submit(self._run_call, upstream.calls, job)

    def _run_call(self, calls: UpstreamCalls, job: OwnerRequest) -> None:
        try:
            answer = calls.run(job.work, job.body)
        except CallFailed as failure:
            self.task.post(CallFailedEvent(job, failure))
            return
        except Exception:
            logger.exception('call failed', request=str(job.request))
            unexplained = CallFailed(
                Outcome.unknown,
                Refusal.upstream_failed,
            )
            self.task.post(CallFailedEvent(job, unexplained))
            return
        self.task.post(CallSucceededEvent(job, answer))

    def _free_slot(self, job: OwnerRequest) -> None:
        upstream = self.upstreams.get(job.work.upstream)
        if upstream is not None:
            upstream.in_use -= 1
            self._start_waiting(upstream)

    def _finish(
        self,
        job: OwnerRequest,
        ended: UpstreamResponse,
        *,
        replayed: bool,
    ) -> None:
        upstream = self.upstreams.get(job.work.upstream)
        first, _ = reassembly.split_body(ended.body)
        answer = forwarding.ForwardResponse(
            request=job.request,
            status=ended.status,
            headers=ended.headers,
            service_seconds=ended.seconds,
            queued_seconds=job.started_at - job.queued_at,
            backlog=_backlog_of(upstream),
            risk=_risk_of(upstream),
            replayed=replayed,
            body_bytes=len(ended.body),
            body_digest=wire.digest_body(ended.body),
            body=first,
        )
        self.jobs.pop(job.request, None)
        self.memory.store_response(answer, ended.body)
        self.replies.send_answer(job.reply_to, answer, ended.body)

    def _fail(
        self,
        job: OwnerRequest,
        outcome: Outcome,
        reason: Refusal,
        *,
        crashed: bool = False,
        wait: float = 0,
    ) -> None:
        self.metrics.count(f'owner.refused.{reason.value}')
        self.jobs.pop(job.request, None)
        upstream = self.upstreams.get(job.work.upstream)
        if upstream is not None:
            owner_outcomes.end_trial(upstream, job)
        failure = msgspec.structs.replace(
            make_failure(job.request, outcome, reason, crashed=crashed),
            backlog=_backlog_of(upstream),
            risk=_risk_of(upstream),
            wait=wait,
        )
        self.memory.store_failure(failure)
        self.transport.try_send(job.reply_to, failure)

    def _spread_crash(self, job: OwnerRequest) -> None:
        count = self.marks.record_crash(
            job.fingerprint,
            job.work.upstream,
            monotonic(),
        )
        logger.warning(
            'request crashed an upstream',
            request=str(job.request),
            upstream=job.work.upstream,
            workspace=job.work.workspace,
            crashes=count,
        )
        seen = forwarding.CrashNotice(
            fingerprint=job.fingerprint,
            upstream=job.work.upstream,
        )
        for peer in self.membership.table.list_peers():
            self.transport.try_send(peer, seen)


def _backlog_of(upstream: Upstream | None) -> int:
    if upstream is None:
        return 0
    return upstream.in_use + upstream.queue.size


def _risk_of(upstream: Upstream | None) -> float:
    return upstream.suspicion.estimate_risk(monotonic()) if upstream else 0.0
