"""Sends a request to one upstream and waits for the response or a failure.

While there is no response, the attempt requests the status from the owner at
growing intervals, so that a failed owner or connection is detected long before
the deadline.
"""

from __future__ import annotations

import itertools
import queue
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import forwarding, peer_clock
from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.identity import RequestId
from kumquathold_core.retries import AttemptFailure
from kumquathold_core.rules import Route, Service, Workspace
from kumquathold_node import caller_requests
from kumquathold_node.balancer import Balancer
from kumquathold_node.caller_requests import CallerRequest, CallerResponse
from kumquathold_node.configuration import Configuration
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.pending_requests import (
    Mailbox,
    PendingRequests,
    ResponseEvent,
)
from kumquathold_node.selections import OwnerReport, Selection
from kumquathold_node.transport import NotSent, Transport
from kumquathold_node.upstream_calls import OUTCOME_HEADER, PUBLIC_WORKSPACE

STATUS_INTERVAL_SECONDS = 0.25
"""Seconds without a message after which the owner is asked for the status."""

MAX_STATUS_INTERVAL_SECONDS = 1.0
MAX_UNANSWERED_STATUS_REQUESTS = 3
SILENT_PEER_SECONDS = 0.4
"""Seconds without a message after which a peer counts as unresponsive."""

CANCEL_GRACE_SECONDS = 0.15
DISCONNECT_CHECK_SECONDS = 0.2
CLOCK_READING_TIMEOUT_SECONDS = 0.2
MIN_WAIT_SECONDS = 0.001
MESSAGE_OVERHEAD_BYTES = 800
"""Assumed size of a request and its response without their bodies."""

BYTES_PER_KILOBYTE = 1000
MIN_SERVER_ERROR_STATUS = 500


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that passed admission."""

    request: CallerRequest
    """The request as the caller sent it."""

    configuration: Configuration
    """The configuration that it was admitted under."""

    route: Route
    """The route that it matches."""

    service: Service
    """The route's service, or the one chosen by weight if there are several."""

    headers: Headers
    """Headers for the upstream, from the caller and from the node."""

    slack: float
    """Seconds from the end of the latency objective to the deadline."""

    rank: int
    """Priority in the owner's queue; lower goes first."""

    workspace: Workspace | None
    """The caller's workspace, `None` on public routes."""

    key_id: str
    """Id of the key that it carried, empty on public routes."""

    claim: str
    """Idempotency-Key of a once-only request, else empty."""

    deadline: float
    """Deadline, in seconds of the own monotonic clock."""

    body_digest: bytes
    """BLAKE2b digest of the body."""


class AttemptContext:
    """The services that attempts use, and the counter that numbers them."""

    __slots__ = (
        'attempt_numbers',
        'balancer',
        'membership',
        'metrics',
        'pending_requests',
        'request_gate',
        'transport',
    )

    def __init__(self, kernel: Kernel) -> None:
        """Look up the services that it uses."""
        self.transport: Transport = kernel.find('transport')
        self.request_gate = kernel.find('request-gate')
        self.membership: Membership = kernel.find('membership')
        self.pending_requests: PendingRequests = kernel.find('pending-requests')
        self.balancer: Balancer = kernel.find('balancer')
        self.metrics: Metrics = kernel.find('metrics')
        self.attempt_numbers = itertools.count(1)

    def get_end_time(self, admitted: AdmittedRequest) -> float:
        """Return when a request must have its response.

        In seconds of the own monotonic clock: its deadline, or earlier if the
        node drains.
        """
        return min(admitted.deadline, self.request_gate.give_up_at)


class Attempt:
    """One attempt of a request at one upstream."""

    __slots__ = (
        'admitted',
        'context',
        'crashes',
        'is_counted_bad',
        'is_retry',
        'last_contact_at',
        'owner_incarnation',
        'request_id',
        'selection',
        'started_at',
        'status_requested_at',
        'status_requests',
    )

    def __init__(
        self,
        context: AttemptContext,
        admitted: AdmittedRequest,
        selection: Selection,
        crashes: int,
        *,
        is_retry: bool,
    ) -> None:
        """Create the id of the attempt.

        `crashes` is the number of upstreams that the request has crashed, and
        `is_retry` says whether it may have reached one before.
        """
        self.is_retry = is_retry
        self.context = context
        self.admitted = admitted
        self.selection = selection
        self.crashes = crashes
        self.is_counted_bad = False
        self.status_requests = 0
        self.status_requested_at = 0.0
        self.last_contact_at = 0.0
        self.owner_incarnation = 0
        self.started_at = monotonic()
        self.request_id = RequestId(
            sender=context.transport.address,
            incarnation=context.transport.incarnation,
            number=next(context.attempt_numbers),
        )

    @property
    def owner(self) -> str:
        """Peer address of the owner of the upstream."""
        return self.selection.candidate.owner

    def run(self) -> CallerResponse | AttemptFailure:
        """Send the request and wait for the response or a failure."""
        deadline = self._find_owner_deadline()
        if deadline is None:
            self._record_silent_path()
            return AttemptFailure(Outcome.not_run, Refusal.owner_unreachable)
        with self.context.pending_requests.open_mailbox(
            self.request_id
        ) as mailbox:
            try:
                self._send(deadline)
            except NotSent:
                self._record_silent_path()
                self._try_send(
                    forwarding.CancelRequest(
                        request=self.request_id,
                        owner_incarnation=self.owner_incarnation,
                    )
                )
                return AttemptFailure(
                    Outcome.not_run, Refusal.owner_unreachable
                )
            return self._wait_for_result(mailbox)

    def _find_owner_deadline(self) -> float | None:
        """Return the deadline on the owner's clock, `None` if that is unknown.

        Sets `owner_incarnation`, too.
        """
        membership = self.context.membership
        transport = self.context.transport
        now = monotonic()
        time_left = self.admitted.deadline - now
        if self.owner == transport.address:
            self.owner_incarnation = transport.incarnation
            return self.admitted.deadline
        reading = membership.read_peer_clock(
            self.owner, CLOCK_READING_TIMEOUT_SECONDS
        )
        if reading is None:
            return None
        self.owner_incarnation = reading.incarnation
        return peer_clock.bound_peer_clock(reading, monotonic()) + time_left

    def _send(self, deadline: float) -> None:
        admitted = self.admitted
        request = admitted.request
        workspace = admitted.workspace
        message = forwarding.ForwardRequest(
            request=self.request_id,
            owner_incarnation=self.owner_incarnation,
            deadline=deadline,
            config_version=admitted.configuration.version,
            upstream=self.selection.candidate.upstream,
            workspace=workspace.name if workspace else PUBLIC_WORKSPACE,
            key_id=admitted.key_id,
            weight=workspace.weight if workspace else 1,
            route=admitted.route.name,
            caller_id=request.id,
            method=request.method,
            target=request.target,
            headers=admitted.headers,
            idempotent=admitted.route.idempotent,
            claim=admitted.claim,
            crashes=self.crashes,
            rank=admitted.rank,
            due_at=deadline - admitted.slack,
            max_wait=self.selection.max_wait,
            max_risk=self.selection.max_risk,
            body_bytes=len(request.body),
            body_digest=admitted.body_digest,
            body=b'',
            is_retry=self.is_retry,
            statement=self.selection.statement,
        )
        self.context.transport.send_with_body(
            self.owner,
            message,
            request.body,
            forwarding.RequestChunk,
        )

    def _wait_for_result(
        self, mailbox: Mailbox
    ) -> CallerResponse | AttemptFailure:
        status_interval = STATUS_INTERVAL_SECONDS
        while True:
            try:
                event = mailbox.get(timeout=self._next_timeout(status_interval))
            except queue.Empty:
                ended = self._on_timeout(mailbox, status_interval)
                if ended is not None:
                    return ended
                continue
            if isinstance(event, ResponseEvent):
                return self._on_response(event)
            if isinstance(event, forwarding.FailureResponse):
                return self._on_failure(event)
            self.status_requests = 0
            self.last_contact_at = monotonic()
            status_interval = min(
                status_interval * 2, MAX_STATUS_INTERVAL_SECONDS
            )

    def _next_timeout(self, status_interval: float) -> float:
        time_left = self.context.get_end_time(self.admitted) - monotonic()
        slow_after = self.started_at + self.selection.slow_limit - monotonic()
        timeout = min(status_interval, time_left, DISCONNECT_CHECK_SECONDS)
        if not self.is_counted_bad and slow_after > 0:
            timeout = min(timeout, slow_after)
        return max(timeout, MIN_WAIT_SECONDS)

    def _on_timeout(
        self,
        mailbox: Mailbox,
        status_interval: float,
    ) -> CallerResponse | AttemptFailure | None:
        now = monotonic()
        admitted = self.admitted
        is_slow = now - self.started_at > self.selection.slow_limit
        if is_slow and not self.is_counted_bad and self._is_owner_responsive():
            self.is_counted_bad = True
            self.context.balancer.record_bad_outcome(
                admitted.service,
                admitted.route.name,
                self.selection,
                seconds=now - self.started_at,
                failed=False,
            )
        if now >= admitted.deadline:
            return self._cancel(mailbox, Refusal.deadline_passed)
        if now >= self.context.request_gate.give_up_at:
            return self._cancel(mailbox, Refusal.node_leaving)
        if admitted.request.is_disconnected() and not admitted.claim:
            return self._cancel(mailbox, Refusal.cancelled)
        if now - max(self.started_at, self.last_contact_at) < status_interval:
            return None
        # Starts the wait for the next status request.
        self.last_contact_at = now
        return self._request_status()

    def _request_status(self) -> AttemptFailure | None:
        self.status_requests += 1
        is_repeated = self.status_requests > 1
        if is_repeated:
            # The connection to the owner may be broken although messages from
            # it arrive, since these come on a connection of their own.
            self.context.transport.reset(self.owner, self.status_requested_at)
        self.status_requested_at = monotonic()
        if self.status_requests > MAX_UNANSWERED_STATUS_REQUESTS:
            self._record_silent_path()
            if self._may_give_up():
                return AttemptFailure(
                    Outcome.unknown, Refusal.owner_unreachable
                )
        self._try_send(
            forwarding.StatusRequest(
                request=self.request_id,
                owner_incarnation=self.owner_incarnation,
                repeated=is_repeated,
            )
        )
        return None

    def _may_give_up(self) -> bool:
        """Whether to end the attempt although its outcome is unknown.

        This is so if the request can be repeated, or if the owner has been
        started anew. A silent one may still report the outcome in time, also
        after its peers have declared it dead.
        """
        if self.admitted.route.idempotent:
            return True
        node = self.context.membership.view.by_address.get(self.owner)
        return node is not None and node.incarnation != self.owner_incarnation

    def _cancel(
        self,
        mailbox: Mailbox,
        reason: Refusal,
    ) -> CallerResponse | AttemptFailure:
        """Cancel the request, and wait a moment for its outcome.

        A response that arrives meanwhile is returned all the same.
        """
        self._try_send(
            forwarding.CancelRequest(
                request=self.request_id,
                owner_incarnation=self.owner_incarnation,
            )
        )
        give_up_at = monotonic() + CANCEL_GRACE_SECONDS
        while monotonic() < give_up_at:
            try:
                event = mailbox.get(timeout=CANCEL_GRACE_SECONDS)
            except queue.Empty:
                break
            if isinstance(event, ResponseEvent):
                return self._on_response(event)
            if isinstance(event, forwarding.FailureResponse):
                return AttemptFailure(event.outcome, reason)
        return AttemptFailure(Outcome.unknown, reason)

    def _on_response(self, event: ResponseEvent) -> CallerResponse:
        response = event.response
        size = len(self.admitted.request.body) + len(event.body)
        self.context.balancer.record_size(
            self.admitted.route.name,
            (size + MESSAGE_OVERHEAD_BYTES) / BYTES_PER_KILOBYTE,
        )
        self.context.balancer.record_response(
            self.admitted.service,
            self.admitted.route.name,
            self.selection,
            seconds=response.service_seconds,
            report=_report_of(response),
            failed=response.status >= MIN_SERVER_ERROR_STATUS,
            is_already_counted=self.is_counted_bad or response.replayed,
        )
        self.context.metrics.time(
            'ingress.hops',
            monotonic()
            - self.started_at
            - response.service_seconds
            - response.queued_seconds,
        )
        headers = [*response.headers, (OUTCOME_HEADER, Outcome.ran.value)]
        if response.replayed:
            headers.append((caller_requests.REPLAYED_HEADER, 'true'))
        return CallerResponse(
            status=response.status,
            headers=tuple(headers),
            body=event.body,
            reservation=event.reservation,
        )

    def _on_failure(self, event: forwarding.FailureResponse) -> AttemptFailure:
        balancer = self.context.balancer
        balancer.record_refusal(self.selection, event.reason, _report_of(event))
        is_gray = event.reason in {
            Refusal.upstream_failed,
            Refusal.upstream_unreachable,
        }
        if is_gray and not self.is_counted_bad:
            balancer.record_bad_outcome(
                self.admitted.service,
                self.admitted.route.name,
                self.selection,
                seconds=monotonic() - self.started_at,
                failed=True,
            )
        return AttemptFailure(
            outcome=event.outcome,
            reason=event.reason,
            crashed=event.crashed,
            retry_after=event.retry_after,
        )

    def _is_owner_responsive(self) -> bool:
        if self.owner == self.context.transport.address:
            return True
        last_contact_at = self.context.transport.get_last_receive_time(
            self.owner
        )
        return monotonic() - last_contact_at < SILENT_PEER_SECONDS

    def _record_silent_path(self) -> None:
        self.context.balancer.record_silent_path(self.owner)

    def _try_send(
        self, message: forwarding.StatusRequest | forwarding.CancelRequest
    ) -> None:
        if not self.context.transport.try_send(self.owner, message):
            logger.debug('message to owner not sent', peer=self.owner)


def _report_of(
    message: forwarding.ForwardResponse | forwarding.FailureResponse,
) -> OwnerReport:
    return OwnerReport(
        backlog=message.backlog,
        risk=message.risk,
        wait=message.wait,
        statement=message.statement,
        limit=message.limit,
    )
