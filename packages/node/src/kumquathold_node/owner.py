"""The owner service: runs requests on the upstreams beside this node.

All requests to these upstreams pass through it. A single task holds the slots
in use and the state of each request, so that both are exact. Calls to upstreams
and large sends run on worker threads, which post their results to the task's
inbox.
"""

from __future__ import annotations

import http
import random
from concurrent.futures import ThreadPoolExecutor
from time import monotonic
from typing import TYPE_CHECKING, Any

import msgspec

from kumquathold_core import forwarding
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.load_table import KnownLoad
from kumquathold_core.request_registry import RequestRegistry
from kumquathold_core.wire import Envelope
from kumquathold_node import (
    claim_writes,
    claims_service,
    owner_outcomes,
    owner_replies,
    owner_statements,
)
from kumquathold_node.crash_reports import CrashReports
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import PeerStartedEvent
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_admission import OwnerAdmission
from kumquathold_node.owner_announcements import OwnerAnnouncements
from kumquathold_node.owner_calls import (
    CallBrokenEvent,
    CallFailedEvent,
    CallSucceededEvent,
    OwnerCalls,
)
from kumquathold_node.owner_intake import RequestIntake
from kumquathold_node.owner_queues import OwnerQueues, QueueActions
from kumquathold_node.owner_replies import OwnerReplies
from kumquathold_node.owner_requests import (
    CallFailures,
    OwnerRequest,
    Upstream,
)
from kumquathold_node.response_statements import ResponseStatement
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport
from kumquathold_node.upstream_responses import UpstreamResponse
from kumquathold_node.upstream_roster import UpstreamRoster

if TYPE_CHECKING:
    from kumquathold_core.identity import RequestId

TICK_SECONDS = 0.25
WORKER_THREADS = 64
MIN_RESET_AGE_SECONDS = 0.25
"""Least age of a connection that a repeated status request resets."""


class DrainCommand(msgspec.Struct, frozen=True):
    """Asks the owner to refuse new requests, as its node is draining."""

    end_at: float
    """When the node ends at the latest, in seconds of the monotonic clock."""


class Owner:
    """Owns the upstreams, their queues and the registry of requests."""

    def __init__(
        self,
        kernel: Kernel,
        dialect: UpstreamDialect,
        settings: Settings,
    ) -> None:
        """Look up the services that it uses, and register itself."""
        self.call_failures: CallFailures = kernel.find('call-failures')
        self.transport: Transport = kernel.find('transport')
        self.membership: Membership = kernel.find('membership')
        self.claims: claims_service.ClaimsService = kernel.find('claims')
        self.metrics: Metrics = kernel.find('metrics')
        self.rng = random.Random(self.transport.incarnation)
        self.registry = RequestRegistry()
        self.intake = RequestIntake(
            self.metrics,
            kernel.find('body-memory'),
            self._admit,
            self._refuse,
        )
        self.roster = UpstreamRoster(
            kernel,
            dialect,
            self._return_leaving,
        )
        self.upstreams = self.roster.upstreams
        self.requests: dict[RequestId, OwnerRequest] = {}
        self.crash_reports = CrashReports(kernel)
        self.admission = OwnerAdmission(
            kernel, settings, self.roster, self.crash_reports
        )
        self.queues = OwnerQueues(
            self.metrics,
            self.roster,
            self.admission,
            QueueActions(refuse=self._refuse, run=self._run),
        )
        self.announcements = OwnerAnnouncements(
            self.roster, self._return_leaving, self.queues.start_queued
        )
        self.workers = ThreadPoolExecutor(WORKER_THREADS, 'owner-worker')
        self.replies = OwnerReplies(
            self.transport,
            self.workers,
            self.metrics,
            kernel.find('pending-requests').task.post,
        )
        self.task = Task(
            'owner',
            {
                forwarding.ForwardRequest: self.on_forward_request,
                forwarding.RequestChunk: self.on_request_chunk,
                forwarding.StatusRequest: self.on_status_request,
                forwarding.CancelRequest: self.on_cancel_request,
                forwarding.CrashNotice: self.crash_reports.on_crash_notice,
                PeerStartedEvent: self.crash_reports.on_peer_started,
                claim_writes.ClaimGrantedEvent: self.on_claim_granted,
                claim_writes.ClaimRefusedEvent: self.on_claim_refused,
                claim_writes.OutcomeStoredEvent: self.on_outcome_stored,
                CallSucceededEvent: self.on_call_succeeded,
                CallBrokenEvent: self.on_call_broken,
                CallFailedEvent: self.on_call_failed,
                **self.announcements.make_handlers(),
                DrainCommand: self.on_drain,
            },
            tick=self.on_tick,
            tick_seconds=TICK_SECONDS,
            on_failure=self.fail_unhandled,
        )
        self.calls = OwnerCalls(self.workers, self.task.post)
        self.transport.deliver_to(self.task)
        kernel.register('owner', self)
        kernel.add_task(self.task)

    @property
    def is_draining(self) -> bool:
        """Whether the node refuses new requests."""
        return self.admission.is_draining

    @property
    def in_flight(self) -> int:
        """Number of requests that wait or run."""
        return len(self.requests) + len(self.intake.incomplete)

    def list_loads(self, now: float) -> list[tuple[str, KnownLoad]]:
        """Return the loads of the upstreams by name; any thread may call it."""
        return [
            (
                upstream.record.name,
                KnownLoad(
                    backlog=upstream.in_use + upstream.queue.size,
                    risk=upstream.failure_risk.estimate_risk(now),
                    service_seconds=upstream.service_seconds,
                    measured_at=now,
                    idle_seconds=now - upstream.failure_risk.updated_at,
                ),
            )
            for upstream in list(self.upstreams.values())
        ]

    def on_forward_request(
        self, envelope: Envelope[forwarding.ForwardRequest]
    ) -> None:
        """Accept a request, or resend its state if it is already registered."""
        message = envelope.message
        now = monotonic()
        request = OwnerRequest(
            message=message, reply_to=envelope.sender, queued_at=now
        )
        if message.owner_incarnation != self.transport.incarnation:
            self.replies.send_failure(
                request, Outcome.not_run, Refusal.owner_restarted
            )
            return
        known = self.registry.admit(message.request, now)
        if known is not None:
            self.replies.send_known_state(
                envelope.sender, message.request, known
            )
            return
        is_local = envelope.sender == self.transport.address
        self.intake.begin(request, is_local=is_local)

    def on_request_chunk(
        self, envelope: Envelope[forwarding.RequestChunk]
    ) -> None:
        """Add a further chunk of a request's body.

        A chunk of a request that is complete or has been refused is ignored.
        """
        chunk = envelope.message
        is_incomplete = chunk.request in self.intake.incomplete
        if is_incomplete or chunk.request not in self.registry.entries:
            self.intake.add_chunk(chunk)

    def on_status_request(
        self, envelope: Envelope[forwarding.StatusRequest]
    ) -> None:
        """Report the state of a request; refuse it for good if it is unknown.

        The ingress can therefore send it elsewhere after the reply, even if the
        forward message arrives here later.
        """
        message = envelope.message
        if message.repeated:
            # The reply to the first status request was lost, so this node's
            # connection to the ingress may be dead without an error.
            opened_before = monotonic() - MIN_RESET_AGE_SECONDS
            self.transport.reset(envelope.sender, opened_before)
        if self._is_for_earlier_process(envelope.sender, message):
            return
        entry = self.registry.refuse_forever(message.request, monotonic())
        self.replies.send_known_state(envelope.sender, message.request, entry)

    def _is_for_earlier_process(
        self,
        sender: str,
        message: forwarding.StatusRequest | forwarding.CancelRequest,
    ) -> bool:
        """Whether a message concerns a request of this node's last process.

        That process may have run the request, so its outcome is reported as
        unknown.
        """
        if message.owner_incarnation == self.transport.incarnation:
            return False
        failure = owner_replies.make_failure(
            message.request,
            Outcome.unknown,
            Refusal.owner_restarted,
        )
        self.transport.try_send(sender, failure)
        return True

    def on_cancel_request(
        self, envelope: Envelope[forwarding.CancelRequest]
    ) -> None:
        """Cancel a request whose caller has gone or whose deadline passed.

        A queued request is removed; a running one is stopped if idempotent.
        """
        message = envelope.message
        if self._is_for_earlier_process(envelope.sender, message):
            return
        entry = self.registry.refuse_forever(message.request, monotonic())
        incomplete = self.intake.cancel(message.request)
        if incomplete is not None:
            self._fail(incomplete, Outcome.not_run, Refusal.cancelled)
            return
        request = self.requests.get(message.request)
        if request is None:
            self.replies.send_known_state(
                envelope.sender, message.request, entry
            )
            return
        upstream = self.upstreams.get(request.message.upstream)
        if upstream is None:
            return
        is_queued = upstream.queue.remove(request)
        if is_queued:
            self.metrics.count('owner.cancelled.queued')
            self._fail(request, Outcome.not_run, Refusal.cancelled)
            return
        # A request that must not run twice is not stopped midway, since that
        # would leave its outcome unknown.
        is_stopped = request.message.idempotent and upstream.calls.cancel(
            request.request_id,
        )
        if is_stopped:
            request.is_cancelled = True
            self.metrics.count('owner.cancelled.running')

    def fail_unhandled(self, failed: Any) -> None:
        """Fail the request of a message whose handler raised an exception.

        Its caller would otherwise wait until its deadline. Whether it ran is
        not known.
        """
        message = failed
        if isinstance(failed, Envelope):
            message = failed.message
        request = getattr(message, 'request', None)
        if isinstance(message, forwarding.ForwardRequest):
            request = OwnerRequest(message, failed.sender, monotonic())
        if isinstance(request, OwnerRequest):
            self._fail(request, Outcome.unknown, Refusal.internal_error)

    def _return_leaving(self, upstream: Upstream) -> None:
        self.queues.return_all(upstream, Refusal.upstream_leaving)

    def on_drain(self, command: DrainCommand) -> None:
        """Refuse new requests from now on; running ones continue.

        Queued ones that the end of the node would break off are returned, as
        other nodes may still run them.
        """
        self.queues.drain(command.end_at)

    def on_claim_granted(self, granted: claim_writes.ClaimGrantedEvent) -> None:
        """Run a request whose claim is written."""
        self._call(granted.request)

    def on_claim_refused(self, refused: claim_writes.ClaimRefusedEvent) -> None:
        """Reply with the stored response or the refusal, without a call."""
        request = refused.request
        self._free_slot(request)
        if refused.response is None:
            self._fail(request, refused.outcome, refused.reason)
            return
        stored = refused.response
        response = UpstreamResponse(
            status=stored.status,
            headers=stored.headers,
            body=stored.body or b'',
            seconds=0,
        )
        self._finish(request, response, replayed=True)

    def on_call_succeeded(self, succeeded: CallSucceededEvent) -> None:
        """Free the slot and return the response to the ingress."""
        request = succeeded.request
        response = succeeded.response
        self._record_statement(request, response.statement)
        is_failure = response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR
        upstream = self.upstreams.get(request.message.upstream)
        is_excused = is_failure and owner_outcomes.may_stem_from_failed_call(
            request,
            self.call_failures,
        )
        if upstream is not None and not is_excused:
            self._record_outcome(
                upstream, request, response.seconds, failed=is_failure
            )
        if not is_failure:
            self.crash_reports.record_success(request)
        self._free_slot(request)
        self.metrics.time('owner.upstream', response.seconds)
        if request.message.claim:
            self.claims.store_outcome(request, succeeded.response)
            return
        self._finish(request, succeeded.response, replayed=False)

    def on_call_broken(self, broken: CallBrokenEvent) -> None:
        """Count the failure and free the slot, without waiting for the probe.

        Requests that come meanwhile then avoid the upstream.
        """
        request = broken.request
        request.is_slot_free = True
        upstream = self.upstreams.get(request.message.upstream)
        if upstream is not None:
            self._record_failure(upstream, request)
        self._free_slot(request)

    def on_call_failed(self, failed: CallFailedEvent) -> None:
        """Free the slot and report the failure to the ingress."""
        request = failed.request
        failure = failed.failure
        self._record_statement(request, failure.statement)
        upstream = self.upstreams.get(request.message.upstream)
        is_counted = request.is_slot_free
        if (
            upstream is not None
            and not is_counted
            and owner_outcomes.is_gray_failure(upstream, request, failure)
        ):
            self._record_failure(upstream, request)
        if failure.crashed and owner_outcomes.may_have_crashed(
            upstream, request
        ):
            self.crash_reports.report_crash(request)
        if owner_outcomes.is_absent(failure):
            self.roster.record_down(request.message.upstream)
        if not request.is_slot_free:
            self._free_slot(request)
        self.metrics.count(f'owner.failed.{failure.reason.value}')
        if request.message.claim:
            self.claims.store_outcome(request, failure)
            return
        self._fail(
            request,
            failure.outcome,
            failure.reason,
            crashed=failure.crashed,
        )

    def _record_failure(
        self, upstream: Upstream, request: OwnerRequest
    ) -> None:
        self._record_outcome(upstream, request, 0.0, failed=True)

    def _record_outcome(
        self,
        upstream: Upstream,
        request: OwnerRequest,
        seconds: float,
        *,
        failed: bool,
    ) -> None:
        """Update the upstream's risk; return its queue once it is suspect.

        An upstream that fails requests at once would empty the queue within
        milliseconds, and most of what waits there cannot be repeated.
        """
        is_suspected = owner_outcomes.record_outcome(
            upstream, request, self.metrics, seconds=seconds, failed=failed
        )
        if is_suspected:
            self.queues.return_all(upstream, Refusal.upstream_suspect)

    def _record_statement(
        self,
        request: OwnerRequest,
        stated: ResponseStatement | None,
    ) -> None:
        upstream = self.upstreams.get(request.message.upstream)
        if upstream is None or stated is None:
            return
        if request.lifetime != upstream.record.lifetime:
            return
        is_limited_anew = owner_statements.record_statement(
            upstream, request, stated, self.metrics
        )
        self.roster.record_limit(upstream)
        if is_limited_anew:
            self.queues.return_unstartable(upstream)
        if stated.is_leaving and not upstream.record.leaving:
            self.roster.record_leaving(upstream)
            self.queues.return_all(upstream, Refusal.upstream_leaving)

    def on_outcome_stored(
        self, stored: claim_writes.OutcomeStoredEvent
    ) -> None:
        """Reply to a once-only request now that its outcome is stored."""
        if isinstance(stored.result, UpstreamResponse):
            self._finish(stored.request, stored.result, replayed=False)
            return
        self._fail(
            stored.request,
            stored.result.outcome,
            stored.result.reason,
            crashed=stored.result.crashed,
        )

    def on_tick(self) -> None:
        """Refuse overdue requests, and remove expired upstreams.

        Requests whose next chunk did not arrive in time are refused as well.
        """
        now = monotonic()
        self.intake.expire(now)
        self.registry.expire(now)
        self.queues.check(now)
        self.roster.remove_expired(now)

    def _refuse(self, request: OwnerRequest, reason: Refusal) -> None:
        self._fail(request, Outcome.not_run, reason)

    def _admit(self, request: OwnerRequest) -> None:
        self.queues.follow_evacuation()
        refusal = self.admission.find_refusal(request)
        if refusal is not None:
            self._fail(request, Outcome.not_run, refusal)
            return
        message = request.message
        upstream = self.upstreams[message.upstream]
        if not upstream.queue.push(request):
            self._fail(request, Outcome.not_run, Refusal.overloaded)
            return
        now = monotonic()
        if message.idempotent and upstream.failure_risk.is_suspect(now):
            owner_outcomes.begin_trial(upstream, request)
        self.requests[request.request_id] = request
        self.queues.start_queued(upstream)

    def _run(self, request: OwnerRequest) -> None:
        """Run a request that has got its slot, once its claim is written."""
        self.registry.start(request.request_id)
        if request.message.claim:
            self.claims.request_claim(request)
        else:
            self._call(request)

    def _call(self, request: OwnerRequest) -> None:
        upstream = self.upstreams[request.message.upstream]
        request.lifetime = upstream.record.lifetime
        self.calls.start(upstream.calls, request)

    def _free_slot(self, request: OwnerRequest) -> None:
        upstream = request.slot_of
        if upstream is None:
            return
        upstream.end(request)
        if self.upstreams.get(upstream.record.name) is upstream:
            self.queues.start_queued(upstream)

    def _finish(
        self,
        request: OwnerRequest,
        result: UpstreamResponse,
        *,
        replayed: bool,
    ) -> None:
        response = owner_replies.make_response(
            request,
            result,
            self.upstreams.get(request.message.upstream),
            replayed=replayed,
        )
        self.requests.pop(request.request_id, None)
        self.registry.store_response(response, result.body)
        self.replies.send_response(
            request.reply_to, response, result.body, result.reservation
        )

    def _fail(
        self,
        request: OwnerRequest,
        outcome: Outcome,
        reason: Refusal,
        *,
        crashed: bool = False,
    ) -> None:
        self.metrics.count(f'owner.refused.{reason.value}')
        self.requests.pop(request.request_id, None)
        upstream = self.upstreams.get(request.message.upstream)
        retry_after = 0.0
        if upstream is not None:
            owner_outcomes.end_trial(upstream, request)
            if reason in owner_replies.OVERLOAD_REFUSALS:
                retry_after = upstream.choose_retry_after(
                    request, monotonic(), self.rng
                )
        failure = owner_replies.make_failure(
            request.request_id,
            outcome,
            reason,
            upstream,
            crashed=crashed,
            retry_after=retry_after,
        )
        self.registry.store_failure(failure)
        self.transport.try_send(request.reply_to, failure)
