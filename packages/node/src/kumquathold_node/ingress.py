"""The ingress service: takes a caller's request to an upstream and back."""

from __future__ import annotations

import itertools
import queue
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import clocks, retries, routing, wire, work
from kumquathold_core.assembly import split_body
from kumquathold_core.freshness import Verdict
from kumquathold_core.identity import RequestId
from kumquathold_core.retries import Failure, RetryBudget
from kumquathold_core.rules import (
    Route,
    Service,
    Stale,
    Workspace,
    authenticate_key,
)
from kumquathold_core.work import Outcome, Refusal
from kumquathold_node import caller_requests
from kumquathold_node.balancer import Balancer, Choice
from kumquathold_node.caller_requests import (
    CallerAnswer,
    CallerRequest,
    Refused,
)
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.exchanges import Answered, Exchanges, Mailbox
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.rates import TOKEN_WAIT_SECONDS, RateDrawer, TokenWanted
from kumquathold_node.transport import LinkFull, Transport
from kumquathold_node.upstream_calls import OUTCOME_HEADER

HEARING_SECONDS = 0.25
MAX_HEARING_SECONDS = 1.0
SILENT_INQUIRIES = 3
SILENT_LINK_SECONDS = 0.4
CANCEL_GRACE_SECONDS = 0.3
FIRST_CONTACT_SECONDS = 0.2
MIN_WAIT_SECONDS = 0.001
PUBLIC = '-'
SERVER_ERROR = 500
RETRIED_STATUSES = frozenset((500, 502, 503, 504))


class Admitted(msgspec.Struct, frozen=True):
    """A request that was let in."""

    request: CallerRequest
    """What the caller sent."""

    configuration: Configuration
    """By which it was let in."""

    route: Route
    """Where it goes."""

    service: Service
    """The route's service."""

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


class Progress(msgspec.Struct):
    """The sendings of one request so far."""

    tried: set[str]
    """Upstreams that it was sent to."""

    outcomes: list[Outcome]
    """How the sendings ended."""

    crashed: int = 0
    """Sendings that took an upstream down."""

    answer: CallerAnswer | None = None
    """The latest answer, where it was an error."""


class Ingress:
    """Lets requests in and sees them through, on the caller's thread."""

    def __init__(self, kernel: Kernel) -> None:
        """Find the services that are needed, and register."""
        self.transport: Transport = kernel.find('transport')
        self.membership: Membership = kernel.find('membership')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.exchanges: Exchanges = kernel.find('exchanges')
        self.balancer: Balancer = kernel.find('balancer')
        self.rates: RateDrawer = kernel.find('rate-drawer')
        self.metrics: Metrics = kernel.find('metrics')
        self.numbers = itertools.count(1)
        self.budget = RetryBudget()
        self.budget_lock = threading.Lock()
        kernel.register('ingress', self)

    def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answer a request; raises `Refused`."""
        with self.metrics.timed('ingress.admission'):
            admitted = self._admit(request)
        with self.budget_lock:
            self.budget.earn()
        return self._see_through(admitted)

    def _admit(self, request: CallerRequest) -> Admitted:
        arrived_at = monotonic()
        configuration = self.configuration.current
        route = self._find_route(configuration, request)
        if len(request.body) > route.body_limit:
            raise Refused(Refusal.body_too_large)
        workspace, key_id = self._authenticate(configuration, route, request)
        claim = '' if route.idempotent else request.idempotency_key
        if route.once and not claim:
            raise Refused(Refusal.idempotency_key_missing)
        if workspace is not None:
            self._check_freshness(route)
            with self.metrics.timed('ingress.token'):
                self._take_token(workspace)
        patience = caller_requests.deadline_of(request, route)
        return Admitted(
            request=request,
            configuration=configuration,
            route=route,
            service=configuration.rules.services[route.service],
            workspace=workspace,
            key_id=key_id,
            claim=claim,
            deadline=arrived_at + patience,
            body_digest=wire.digest_body(request.body),
        )

    def _find_route(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> Route:
        if not configuration.version:
            raise Refused(Refusal.no_configuration)
        match = routing.match_route(
            configuration.routes,
            request.method,
            request.path,
        )
        if match.route is not None:
            return match.route
        if match.allowed:
            allow = ('Allow', ', '.join(match.allowed))
            raise Refused(Refusal.method_not_allowed, headers=(allow,))
        raise Refused(Refusal.no_route)

    def _authenticate(
        self,
        configuration: Configuration,
        route: Route,
        request: CallerRequest,
    ) -> tuple[Workspace | None, str]:
        if route.public:
            caller_requests.refuse_exposed_key(request)
            return None, ''
        if not request.key:
            raise Refused(Refusal.key_missing)
        key = authenticate_key(configuration.rules, request.key)
        if key is None:
            raise Refused(Refusal.key_unknown)
        caller_requests.refuse_exposed_key(request)
        return configuration.rules.workspaces[key.workspace], key.id

    def _check_freshness(self, route: Route) -> None:
        verdict = self.freshness.judge()
        if verdict == Verdict.cut_off and route.stale == Stale.refuse:
            raise Refused(Refusal.stale_configuration, retry_after=1)
        if verdict != Verdict.fresh:
            self.metrics.count(f'ingress.served_{verdict.name}')

    def _take_token(self, workspace: Workspace) -> None:
        if self.rates.take_at_once(workspace.name):
            return
        reply: Future[Refusal | None] = Future()
        self.rates.task.post(TokenWanted(workspace.name, reply))
        try:
            refusal = reply.result(TOKEN_WAIT_SECONDS * 2)
        except FutureTimeout:
            refusal = Refusal.rate_unavailable
        if refusal is not None:
            raise Refused(refusal, retry_after=1)

    def _see_through(self, admitted: Admitted) -> CallerAnswer:
        progress = Progress(tried=set(), outcomes=[])
        while True:
            ended = self._send_once(admitted, progress)
            if isinstance(ended, CallerAnswer):
                progress.answer = ended
                ended = Failure(Outcome.ran, Refusal.upstream_error)
                if not self._is_error(admitted, progress.answer):
                    return progress.answer
            progress.outcomes.append(ended.outcome)
            progress.crashed += 1 if ended.crashed else 0
            if not self._may_retry(admitted, progress, ended):
                return self._give_up(progress, ended)
            self.metrics.count(f'ingress.retries.{ended.reason.value}')

    def _is_error(self, admitted: Admitted, answer: CallerAnswer) -> bool:
        """Whether another upstream may do better at no harm."""
        is_error = answer.status in RETRIED_STATUSES
        return is_error and admitted.route.idempotent

    def _give_up(self, progress: Progress, ended: Failure) -> CallerAnswer:
        """Pass on an upstream's error where there is one, else refuse."""
        if progress.answer is not None:
            return progress.answer
        outcome = retries.combine_outcomes(progress.outcomes)
        raise Refused(ended.reason, outcome, ended.retry_after)

    def _may_retry(
        self,
        admitted: Admitted,
        progress: Progress,
        ended: Failure,
    ) -> bool:
        is_allowed = retries.may_retry(
            ended,
            idempotent=admitted.route.idempotent,
            claimed=bool(admitted.claim),
            attempts=len(progress.outcomes),
            crashed=progress.crashed,
        )
        is_in_time = monotonic() < admitted.deadline
        if not is_allowed or not is_in_time or admitted.request.has_gone():
            return False
        with self.budget_lock:
            is_affordable = self.budget.spend()
        if not is_affordable:
            self.metrics.count('ingress.retry_budget_spent')
        return is_affordable

    def _send_once(
        self,
        admitted: Admitted,
        progress: Progress,
    ) -> CallerAnswer | Failure:
        choice = self.balancer.choose(
            admitted.service,
            progress.tried,
            idempotent=admitted.route.idempotent,
            route=admitted.route.name,
        )
        if choice is None:
            return Failure(Outcome.not_run, Refusal.no_upstream)
        progress.tried.add(choice.candidate.upstream)
        try:
            sending = Sending(self, admitted, choice, progress.crashed)
            return sending.run()
        finally:
            self.balancer.finish(choice)


class Sending:
    """One request on its way to one upstream."""

    __slots__ = (
        'admitted',
        'choice',
        'counted',
        'crashed',
        'ingress',
        'inquiries',
        'owner_incarnation',
        'request',
        'started_at',
    )

    def __init__(
        self,
        ingress: Ingress,
        admitted: Admitted,
        choice: Choice,
        crashed: int,
    ) -> None:
        """Number the sending."""
        self.ingress = ingress
        self.admitted = admitted
        self.choice = choice
        self.crashed = crashed
        self.counted = False
        self.inquiries = 0
        self.owner_incarnation = 0
        self.started_at = monotonic()
        self.request = RequestId(
            sender=ingress.transport.address,
            incarnation=ingress.transport.incarnation,
            number=next(ingress.numbers),
        )

    @property
    def owner(self) -> str:
        """Peer address of the node beside the upstream."""
        return self.choice.candidate.owner

    def run(self) -> CallerAnswer | Failure:
        """Send the request and wait for its end."""
        deadline = self._owner_deadline()
        if deadline is None:
            self._note_silence()
            return Failure(Outcome.not_run, Refusal.owner_unreachable)
        with self.ingress.exchanges.exchange(self.request) as mailbox:
            try:
                self._send(deadline)
            except LinkFull:
                self._note_silence()
                self._say(
                    work.WorkCancelled(
                        request=self.request,
                        owner_incarnation=self.owner_incarnation,
                    )
                )
                return Failure(Outcome.not_run, Refusal.owner_unreachable)
            return self._wait(mailbox)

    def _owner_deadline(self) -> float | None:
        """The caller's deadline by the owner's clock, if that is known."""
        membership = self.ingress.membership
        own = self.ingress.transport
        now = monotonic()
        left = self.admitted.deadline - now
        if self.owner == own.address:
            self.owner_incarnation = own.incarnation
            return self.admitted.deadline
        reading = membership.reading_of(self.owner, FIRST_CONTACT_SECONDS)
        if reading is None:
            return None
        self.owner_incarnation = reading.incarnation
        return clocks.latest_peer_clock(reading, monotonic()) + left

    def _send(self, deadline: float) -> None:
        admitted = self.admitted
        request = admitted.request
        workspace = admitted.workspace
        first, rest = split_body(request.body)
        asked = work.WorkRequested(
            request=self.request,
            owner_incarnation=self.owner_incarnation,
            deadline=deadline,
            config_version=admitted.configuration.version,
            upstream=self.choice.candidate.upstream,
            workspace=workspace.name if workspace else PUBLIC,
            key_id=admitted.key_id,
            weight=workspace.weight if workspace else 1,
            route=admitted.route.name,
            method=request.method,
            target=request.target,
            headers=request.headers,
            idempotent=admitted.route.idempotent,
            claim=admitted.claim,
            crashes=self.crashed,
            body_bytes=len(request.body),
            body_digest=admitted.body_digest,
            body=first,
        )
        self.ingress.transport.send_with_body(
            self.owner,
            asked,
            rest,
            work.RequestPieceSent,
            self.request,
        )

    def _wait(self, mailbox: Mailbox) -> CallerAnswer | Failure:
        hearing = HEARING_SECONDS
        while True:
            try:
                event = mailbox.get(timeout=self._patience(hearing))
            except queue.Empty:
                ended = self._on_silence(mailbox)
                if ended is not None:
                    return ended
                continue
            if isinstance(event, Answered):
                return self._on_answered(event)
            if isinstance(event, work.WorkFailed):
                return self._on_failed(event)
            self.inquiries = 0
            hearing = min(hearing * 2, MAX_HEARING_SECONDS)

    def _patience(self, hearing: float) -> float:
        left = self.admitted.deadline - monotonic()
        slow_in = self.started_at + self.choice.slow_limit - monotonic()
        patience = min(hearing, left)
        if not self.counted and slow_in > 0:
            patience = min(patience, slow_in)
        return max(patience, MIN_WAIT_SECONDS)

    def _on_silence(self, mailbox: Mailbox) -> Failure | None:
        now = monotonic()
        admitted = self.admitted
        is_slow = now - self.started_at > self.choice.slow_limit
        if is_slow and not self.counted and self._is_heard():
            self.counted = True
            self.ingress.balancer.note_bad(
                admitted.service,
                admitted.route.name,
                self.choice,
                seconds=now - self.started_at,
                failed=False,
            )
        if now >= admitted.deadline:
            return self._stop(mailbox, Refusal.deadline_passed)
        if admitted.request.has_gone() and not admitted.claim:
            return self._stop(mailbox, Refusal.cancelled)
        if now - self.started_at < HEARING_SECONDS:
            return None
        return self._inquire()

    def _inquire(self) -> Failure | None:
        self.inquiries += 1
        transport = self.ingress.transport
        silence = monotonic() - transport.last_heard(self.owner)
        if self.inquiries > 1 and silence >= SILENT_LINK_SECONDS:
            transport.reset(self.owner)
        if self.inquiries > SILENT_INQUIRIES:
            self._note_silence()
            if self._may_leave():
                return Failure(Outcome.unknown, Refusal.owner_unreachable)
        self._say(
            work.InquiryMade(
                request=self.request,
                owner_incarnation=self.owner_incarnation,
            )
        )
        return None

    def _may_leave(self) -> bool:
        """Whether waiting on can bring nothing that is needed."""
        if self.admitted.route.idempotent:
            return True
        node = self.ingress.membership.view.by_address.get(self.owner)
        return node is None or node.incarnation != self.owner_incarnation

    def _stop(self, mailbox: Mailbox, reason: Refusal) -> Failure:
        """Cancel the request, and learn whether it ran."""
        self._say(
            work.WorkCancelled(
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
            if isinstance(event, Answered):
                return Failure(Outcome.ran, reason)
            if isinstance(event, work.WorkFailed):
                return Failure(event.outcome, reason)
        return Failure(Outcome.unknown, reason)

    def _on_answered(self, event: Answered) -> CallerAnswer:
        answer = event.answer
        self.ingress.balancer.note_answer(
            self.admitted.service,
            self.admitted.route.name,
            self.choice,
            seconds=answer.service_seconds,
            in_use=answer.in_use,
            failed=answer.status >= SERVER_ERROR,
            counted=self.counted or answer.replayed,
        )
        self.ingress.metrics.time(
            'ingress.hops',
            monotonic()
            - self.started_at
            - answer.service_seconds
            - answer.queued_seconds,
        )
        headers = [*answer.headers, (OUTCOME_HEADER, Outcome.ran.value)]
        if answer.replayed:
            headers.append((caller_requests.REPLAYED_HEADER, 'true'))
        return CallerAnswer(
            status=answer.status,
            headers=tuple(headers),
            body=event.body,
        )

    def _on_failed(self, event: work.WorkFailed) -> Failure:
        balancer = self.ingress.balancer
        balancer.note_refusal(self.choice, event.reason)
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
        return Failure(
            outcome=event.outcome,
            reason=event.reason,
            crashed=event.crashed,
            retry_after=event.retry_after,
        )

    def _is_heard(self) -> bool:
        if self.owner == self.ingress.transport.address:
            return True
        heard_at = self.ingress.transport.last_heard(self.owner)
        return monotonic() - heard_at < SILENT_LINK_SECONDS

    def _note_silence(self) -> None:
        self.ingress.balancer.note_silent_path(self.owner)

    def _say(self, message: work.InquiryMade | work.WorkCancelled) -> None:
        if not self.ingress.transport.try_send(self.owner, message):
            logger.debug('owner takes no messages', peer=self.owner)
