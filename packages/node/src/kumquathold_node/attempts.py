"""One request on its way to one upstream, and what became of it."""

from __future__ import annotations

import itertools
import queue
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import forwarding, peer_clock
from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.identity import RequestId
from kumquathold_core.reassembly import split_body
from kumquathold_core.retries import AttemptFailure
from kumquathold_core.rules import Route, Service, Workspace
from kumquathold_node import caller_requests
from kumquathold_node.balancer import Balancer, OwnerReport, Selection
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
from kumquathold_node.transport import LinkFull, Transport
from kumquathold_node.upstream_calls import OUTCOME_HEADER, PUBLIC

HEARING_SECONDS = 0.25
MAX_HEARING_SECONDS = 1.0
SILENT_INQUIRIES = 3
SILENT_LINK_SECONDS = 0.4
CANCEL_GRACE_SECONDS = 0.15
GONE_CHECK_SECONDS = 0.2
FIRST_CONTACT_SECONDS = 0.2
MIN_WAIT_SECONDS = 0.001
OVERHEAD_BYTES = 800
KILOBYTE = 1000
SERVER_ERROR = 500


class Admitted(msgspec.Struct, frozen=True):
    """A request that was let in."""

    request: CallerRequest
    """What the caller sent."""

    configuration: Configuration
    """By which it was let in."""

    route: Route
    """Where it goes."""

    service: Service
    """The route's service, or the drawn one of several."""

    headers: Headers
    """What goes to the upstream, from the caller and from the node."""

    slack: float
    """Seconds between the moment when its answer is late and its deadline."""

    rank: int
    """Place among waiting requests; lower goes first."""

    workspace: Workspace | None
    """Nothing on public routes."""

    key_id: str
    """The key that it carried."""

    claim: str
    """Its Idempotency-Key, where it must run once."""

    deadline: float
    """Own monotonic clock, in seconds."""

    body_digest: bytes
    """Digest of its body."""


class AttemptContext:
    """The services that a sending needs, and the count of sendings."""

    __slots__ = (
        'balancer',
        'door',
        'exchanges',
        'membership',
        'metrics',
        'numbers',
        'transport',
    )

    def __init__(self, kernel: Kernel) -> None:
        """Find the services."""
        self.transport: Transport = kernel.find('transport')
        self.door = kernel.find('request-gate')
        self.membership: Membership = kernel.find('membership')
        self.exchanges: PendingRequests = kernel.find('pending-requests')
        self.balancer: Balancer = kernel.find('balancer')
        self.metrics: Metrics = kernel.find('metrics')
        self.numbers = itertools.count(1)


class Attempt:
    """One request on its way to one upstream."""

    __slots__ = (
        'admitted',
        'choice',
        'context',
        'counted',
        'crashed',
        'heard_at',
        'inquired_at',
        'inquiries',
        'owner_incarnation',
        'request',
        'started_at',
    )

    def __init__(
        self,
        context: AttemptContext,
        admitted: Admitted,
        choice: Selection,
        crashed: int,
    ) -> None:
        """Number the sending."""
        self.context = context
        self.admitted = admitted
        self.choice = choice
        self.crashed = crashed
        self.counted = False
        self.inquiries = 0
        self.inquired_at = 0.0
        self.heard_at = 0.0
        self.owner_incarnation = 0
        self.started_at = monotonic()
        self.request = RequestId(
            sender=context.transport.address,
            incarnation=context.transport.incarnation,
            number=next(context.numbers),
        )

    @property
    def owner(self) -> str:
        """Peer address of the node beside the upstream."""
        return self.choice.candidate.owner

    def run(self) -> CallerResponse | AttemptFailure:
        """Send the request and wait for its end."""
        deadline = self._owner_deadline()
        if deadline is None:
            self._note_silence()
            return AttemptFailure(Outcome.not_run, Refusal.owner_unreachable)
        with self.context.exchanges.exchange(self.request) as mailbox:
            try:
                self._send(deadline)
            except LinkFull:
                self._note_silence()
                self._say(
                    forwarding.CancelRequest(
                        request=self.request,
                        owner_incarnation=self.owner_incarnation,
                    )
                )
                return AttemptFailure(
                    Outcome.not_run, Refusal.owner_unreachable
                )
            return self._wait(mailbox)

    def _owner_deadline(self) -> float | None:
        """The caller's deadline by the owner's clock, if that is known."""
        membership = self.context.membership
        own = self.context.transport
        now = monotonic()
        left = self.admitted.deadline - now
        if self.owner == own.address:
            self.owner_incarnation = own.incarnation
            return self.admitted.deadline
        reading = membership.read_peer_clock(self.owner, FIRST_CONTACT_SECONDS)
        if reading is None:
            return None
        self.owner_incarnation = reading.incarnation
        return peer_clock.bound_peer_clock(reading, monotonic()) + left

    def _send(self, deadline: float) -> None:
        admitted = self.admitted
        request = admitted.request
        workspace = admitted.workspace
        first, rest = split_body(request.body)
        asked = forwarding.ForwardRequest(
            request=self.request,
            owner_incarnation=self.owner_incarnation,
            deadline=deadline,
            config_version=admitted.configuration.version,
            upstream=self.choice.candidate.upstream,
            workspace=workspace.name if workspace else PUBLIC,
            key_id=admitted.key_id,
            weight=workspace.weight if workspace else 1,
            route=admitted.route.name,
            caller_id=request.id,
            method=request.method,
            target=request.target,
            headers=admitted.headers,
            idempotent=admitted.route.idempotent,
            claim=admitted.claim,
            crashes=self.crashed,
            rank=admitted.rank,
            due_at=deadline - admitted.slack,
            max_wait=self.choice.max_wait,
            max_risk=self.choice.max_risk,
            body_bytes=len(request.body),
            body_digest=admitted.body_digest,
            body=first,
        )
        self.context.transport.send_with_body(
            self.owner,
            asked,
            rest,
            forwarding.RequestChunk,
            self.request,
        )

    def _wait(self, mailbox: Mailbox) -> CallerResponse | AttemptFailure:
        hearing = HEARING_SECONDS
        while True:
            try:
                event = mailbox.get(timeout=self._patience(hearing))
            except queue.Empty:
                ended = self._on_silence(mailbox, hearing)
                if ended is not None:
                    return ended
                continue
            if isinstance(event, ResponseEvent):
                return self._on_answered(event)
            if isinstance(event, forwarding.FailureResponse):
                return self._on_failed(event)
            self.inquiries = 0
            self.heard_at = monotonic()
            hearing = min(hearing * 2, MAX_HEARING_SECONDS)

    def _patience(self, hearing: float) -> float:
        end = min(self.admitted.deadline, self.context.door.give_up_at)
        left = end - monotonic()
        slow_in = self.started_at + self.choice.slow_limit - monotonic()
        patience = min(hearing, left, GONE_CHECK_SECONDS)
        if not self.counted and slow_in > 0:
            patience = min(patience, slow_in)
        return max(patience, MIN_WAIT_SECONDS)

    def _on_silence(
        self,
        mailbox: Mailbox,
        hearing: float,
    ) -> CallerResponse | AttemptFailure | None:
        now = monotonic()
        admitted = self.admitted
        is_slow = now - self.started_at > self.choice.slow_limit
        if is_slow and not self.counted and self._is_heard():
            self.counted = True
            self.context.balancer.note_bad(
                admitted.service,
                admitted.route.name,
                self.choice,
                seconds=now - self.started_at,
                failed=False,
            )
        if now >= admitted.deadline:
            return self._stop(mailbox, Refusal.deadline_passed)
        if now >= self.context.door.give_up_at:
            return self._stop(mailbox, Refusal.node_leaving)
        if admitted.request.has_gone() and not admitted.claim:
            return self._stop(mailbox, Refusal.cancelled)
        if now - max(self.started_at, self.heard_at) < hearing:
            return None
        self.heard_at = now
        return self._inquire()

    def _inquire(self) -> AttemptFailure | None:
        self.inquiries += 1
        is_repeated = self.inquiries > 1
        if is_repeated:
            # The connection may have gone silent, though the owner is heard
            # on its own connection to this node.
            self.context.transport.reset(self.owner, self.inquired_at)
        self.inquired_at = monotonic()
        if self.inquiries > SILENT_INQUIRIES:
            self._note_silence()
            if self._may_leave():
                return AttemptFailure(
                    Outcome.unknown, Refusal.owner_unreachable
                )
        self._say(
            forwarding.StatusRequest(
                request=self.request,
                owner_incarnation=self.owner_incarnation,
                repeated=is_repeated,
            )
        )
        return None

    def _may_leave(self) -> bool:
        """Whether waiting on can bring nothing that is needed."""
        if self.admitted.route.idempotent:
            return True
        node = self.context.membership.view.by_address.get(self.owner)
        return node is None or node.incarnation != self.owner_incarnation

    def _stop(
        self,
        mailbox: Mailbox,
        reason: Refusal,
    ) -> CallerResponse | AttemptFailure:
        """Cancel the request, and learn whether it ran.

        An answer that is ready is delivered, also late.
        """
        self._say(
            forwarding.CancelRequest(
                request=self.request,
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
                return self._on_answered(event)
            if isinstance(event, forwarding.FailureResponse):
                return AttemptFailure(event.outcome, reason)
        return AttemptFailure(Outcome.unknown, reason)

    def _on_answered(self, event: ResponseEvent) -> CallerResponse:
        answer = event.answer
        weight = len(self.admitted.request.body) + len(event.body)
        self.context.balancer.note_size(
            self.admitted.route.name,
            (weight + OVERHEAD_BYTES) / KILOBYTE,
        )
        self.context.balancer.note_answer(
            self.admitted.service,
            self.admitted.route.name,
            self.choice,
            seconds=answer.service_seconds,
            told=OwnerReport(answer.backlog, answer.risk),
            failed=answer.status >= SERVER_ERROR,
            counted=self.counted or answer.replayed,
        )
        self.context.metrics.time(
            'ingress.hops',
            monotonic()
            - self.started_at
            - answer.service_seconds
            - answer.queued_seconds,
        )
        headers = [*answer.headers, (OUTCOME_HEADER, Outcome.ran.value)]
        if answer.replayed:
            headers.append((caller_requests.REPLAYED_HEADER, 'true'))
        return CallerResponse(
            status=answer.status,
            headers=tuple(headers),
            body=event.body,
        )

    def _on_failed(self, event: forwarding.FailureResponse) -> AttemptFailure:
        balancer = self.context.balancer
        told = OwnerReport(event.backlog, event.risk)
        balancer.note_refusal(self.choice, event.reason, told)
        is_gray = event.reason in {
            Refusal.upstream_failed,
            Refusal.upstream_unreachable,
        }
        if is_gray and not self.counted:
            balancer.note_bad(
                self.admitted.service,
                self.admitted.route.name,
                self.choice,
                seconds=monotonic() - self.started_at,
                failed=True,
            )
        return AttemptFailure(
            outcome=event.outcome,
            reason=event.reason,
            crashed=event.crashed,
            retry_after=event.retry_after,
        )

    def _is_heard(self) -> bool:
        if self.owner == self.context.transport.address:
            return True
        heard_at = self.context.transport.get_last_receive_time(self.owner)
        return monotonic() - heard_at < SILENT_LINK_SECONDS

    def _note_silence(self) -> None:
        self.context.balancer.note_silent_path(self.owner)

    def _say(
        self, message: forwarding.StatusRequest | forwarding.CancelRequest
    ) -> None:
        if not self.context.transport.try_send(self.owner, message):
            logger.debug('owner takes no messages', peer=self.owner)
