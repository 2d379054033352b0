"""The ingress service: takes a caller's request to an upstream and back."""

from __future__ import annotations

import random
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from http import HTTPStatus
from time import monotonic, sleep

import msgspec
from loguru import logger

from kumquathold_core import retries, routing, wire
from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.freshness_tracker import FreshnessState
from kumquathold_core.placement import DEFAULT_OBJECTIVE_SECONDS
from kumquathold_core.retries import AttemptFailure, RetryBudget
from kumquathold_core.rules import (
    Route,
    StalePolicy,
    Workspace,
    authenticate_key,
)
from kumquathold_node import caller_requests
from kumquathold_node.attempts import Admitted, Attempt, AttemptContext
from kumquathold_node.balancer import Balancer, Selection, SelectionRequest
from kumquathold_node.caller_requests import (
    CallerRequest,
    CallerResponse,
    Refused,
)
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import CallFailures
from kumquathold_node.rate_client import (
    AcquireCommand,
    RateClient,
    TokenRefusal,
)
from kumquathold_node.settings import Settings

SENT_ON = frozenset((Refusal.upstream_busy, Refusal.upstream_suspect))
"""Refusals that say: not run, another upstream may be better."""

CALL_RANK = -1
SETTLE_SECONDS = 2.0
START_PATIENCE_SECONDS = 1.0
CHOICE_PAUSE_SECONDS = 0.05
TOKEN_PATIENCE_SHARE = 0.25
MAX_TOKEN_WAIT_SECONDS = 2.0
TOKEN_SLACK_SECONDS = 0.5
RETRIED_STATUSES = frozenset((500, 502, 503, 504))


class Progress(msgspec.Struct):
    """The sendings of one request so far."""

    wish: SelectionRequest
    """What it needs, and where it was."""

    outcomes: list[Outcome]
    """How the sendings ended."""

    arrivals: int = 0
    """Sendings that an upstream may have seen."""

    crashed: int = 0
    """Sendings that took an upstream down."""

    answer: CallerResponse | None = None
    """The latest answer, where it was an error."""


class Ingress:
    """Lets requests in and sees them through, on the caller's thread."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        dialect: UpstreamDialect,
    ) -> None:
        """Find the services that are needed, and register."""
        self.rng = random.Random(settings.peer)
        self.own_headers: Headers = ()
        if dialect.caller_service:
            self.own_headers = ((dialect.caller_service, settings.service),)
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.context = AttemptContext(kernel)
        self.balancer: Balancer = kernel.find('balancer')
        self.call_failures: CallFailures = kernel.find('call-failures')
        self.rates: RateClient = kernel.find('rate-drawer')
        self.metrics: Metrics = kernel.find('metrics')
        self.retry_ratio = settings.retry_ratio
        self.retry_extra = settings.retry_extra
        self.retry_window = settings.retry_window
        self.started_at = monotonic()
        self.budgets: dict[str, RetryBudget] = {}
        self.budget_lock = threading.Lock()
        kernel.register('ingress', self)

    def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer a request; raises `Refused`."""
        with self.metrics.timed('ingress.admission'):
            admitted = self._admit(request)
        with self.budget_lock:
            self._budget(admitted.service.name).earn(monotonic())
        if admitted.rank != CALL_RANK:
            return self._see_through(admitted)
        try:
            answer = self._see_through(admitted)
        except Refused:
            self.call_failures.note()
            raise
        if answer.status >= HTTPStatus.BAD_REQUEST:
            self.call_failures.note()
        return answer

    def _admit(self, request: CallerRequest) -> Admitted:
        self.configuration.is_in_force.wait(START_PATIENCE_SECONDS)
        configuration = self.configuration.current
        route = self._find_route(configuration, request)
        if len(request.body) > route.body_limit:
            raise Refused(Refusal.body_too_large)
        workspace, key_id = self._authenticate(configuration, route, request)
        claim = '' if route.idempotent else request.idempotency_key
        if route.once and not claim:
            raise Refused(Refusal.idempotency_key_missing)
        patience = caller_requests.deadline_of(request, route)
        if workspace is not None:
            self._check_freshness(route)
            with self.metrics.timed('ingress.token'):
                self._take_token(workspace, patience)
        service = self._draw_service(route)
        return Admitted(
            request=request,
            configuration=configuration,
            route=route,
            service=configuration.rules.services[service],
            headers=(*request.headers, *self.own_headers),
            slack=max(0.0, patience - (route.objective or patience)),
            rank=_rank_of(configuration, route, workspace),
            workspace=workspace,
            key_id=key_id,
            claim=claim,
            deadline=request.arrived_at + patience,
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
            request.host,
        )
        if match.route is not None:
            return match.route
        if match.allowed_methods:
            allow = ('Allow', ', '.join(match.allowed_methods))
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
        verdict = self.freshness.decide_state()
        if (
            verdict == FreshnessState.cut_off
            and route.stale == StalePolicy.refuse
        ):
            raise Refused(Refusal.stale_configuration, retry_after=1)
        if verdict != FreshnessState.fresh:
            self.metrics.count(f'ingress.served_{verdict.name}')

    def _draw_service(self, route: Route) -> str:
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self.rng.choices(route.services, weights)[0]

    def _take_token(self, workspace: Workspace, patience: float) -> None:
        if not workspace.rate or self.rates.take_at_once(workspace.name):
            return
        wait = min(patience * TOKEN_PATIENCE_SHARE, MAX_TOKEN_WAIT_SECONDS)
        reply: Future[TokenRefusal | None] = Future()
        self.rates.task.post(AcquireCommand(workspace.name, reply, wait))
        try:
            refused = reply.result(wait + TOKEN_SLACK_SECONDS)
        except FutureTimeout:
            refused = TokenRefusal(Refusal.rate_unavailable, 1.0)
        if refused is None:
            return
        logger.info(
            'token refused',
            workspace=workspace.name,
            reason=refused.reason.value,
            rate=workspace.rate,
            retry_after=round(refused.retry_after, 3),
        )
        raise Refused(refused.reason, retry_after=refused.retry_after)

    def _see_through(self, admitted: Admitted) -> CallerResponse:
        wish = SelectionRequest(
            service=admitted.service,
            route=admitted.route.name,
            caller_id=admitted.request.id,
            idempotent=admitted.route.idempotent,
            objective=admitted.route.objective or DEFAULT_OBJECTIVE_SECONDS,
        )
        progress = Progress(wish=wish, outcomes=[])
        while True:
            ended = self._send_on(admitted, progress)
            if isinstance(ended, CallerResponse):
                progress.answer = ended
                ended = AttemptFailure(Outcome.ran, Refusal.upstream_error)
                if not self._is_error(admitted, progress.answer):
                    return progress.answer
            progress.outcomes.append(ended.outcome)
            progress.arrivals += int(retries.may_have_arrived(ended))
            progress.crashed += 1 if ended.crashed else 0
            if not self._may_retry(admitted, progress, ended):
                return self._give_up(progress, ended)
            self.metrics.count(f'ingress.retries.{ended.reason.value}')

    def _is_error(self, admitted: Admitted, answer: CallerResponse) -> bool:
        """Whether another upstream may do better at no harm."""
        is_error = answer.status in RETRIED_STATUSES
        return is_error and admitted.route.idempotent

    def _give_up(
        self, progress: Progress, ended: AttemptFailure
    ) -> CallerResponse:
        """Pass on an upstream's error where there is one, else refuse."""
        if progress.answer is not None:
            return progress.answer
        outcome = retries.combine_outcomes(progress.outcomes)
        raise Refused(ended.reason, outcome, ended.retry_after)

    def _may_retry(
        self,
        admitted: Admitted,
        progress: Progress,
        ended: AttemptFailure,
    ) -> bool:
        most = min(admitted.route.attempts, retries.MAX_ATTEMPTS)
        is_allowed = retries.may_retry(
            ended,
            max_attempts=most,
            idempotent=admitted.route.idempotent,
            claimed=bool(admitted.claim),
            attempts=progress.arrivals,
            crashed=progress.crashed,
        )
        is_in_time = monotonic() < admitted.deadline
        is_bounded = len(progress.outcomes) < retries.MAX_TOTAL_ATTEMPTS
        if not is_allowed or not is_in_time or not is_bounded:
            return False
        if ended.reason == Refusal.no_upstream or admitted.request.has_gone():
            return False
        if not retries.may_have_arrived(ended):
            return True
        with self.budget_lock:
            is_affordable = self._budget(admitted.service.name).spend()
        if not is_affordable:
            self.metrics.count('ingress.retry_budget_spent')
        return is_affordable

    def _wait_for_choice(
        self, admitted: Admitted, wish: SelectionRequest
    ) -> Selection | None:
        """Choose; while no upstream is known, wait for its announcement.

        After a restart the upstreams announce themselves within seconds.
        """
        give_up_at = admitted.request.arrived_at + START_PATIENCE_SECONDS
        while True:
            choice = self.balancer.choose(wish)
            is_late = monotonic() >= min(give_up_at, admitted.deadline)
            if choice is not None or is_late:
                return choice
            sleep(CHOICE_PAUSE_SECONDS)

    def _budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.retry_ratio)
            self.budgets[service] = budget
        nodes = len(self.context.membership.view.nodes)
        budget.set_limits(
            self.retry_extra / nodes,
            self.retry_window,
            settled=nodes > 1 or self._is_old(),
        )
        return budget

    def _is_old(self) -> bool:
        """Whether a node that still knows no other is alone."""
        return monotonic() - self.started_at >= SETTLE_SECONDS

    def _send_on(
        self,
        admitted: Admitted,
        progress: Progress,
    ) -> CallerResponse | AttemptFailure:
        """Send the request until an owner does not send it on, unrun."""
        while True:
            ended = self._send_once(admitted, progress)
            if isinstance(ended, CallerResponse):
                return ended
            is_late = monotonic() >= admitted.deadline
            if is_late or ended.reason not in SENT_ON:
                return ended
            self.metrics.count(f'ingress.sent_on.{ended.reason.value}')

    def _send_once(
        self,
        admitted: Admitted,
        progress: Progress,
    ) -> CallerResponse | AttemptFailure:
        wish = progress.wish
        with self.budget_lock:
            wish.may_try = self._budget(wish.service.name).tokens >= 1
        choice = self._wait_for_choice(admitted, wish)
        if choice is None:
            return AttemptFailure(Outcome.not_run, Refusal.no_upstream)
        name = choice.candidate.upstream
        try:
            sending = Attempt(self.context, admitted, choice, progress.crashed)
            ended = sending.run()
        finally:
            self.balancer.finish(choice)
        if isinstance(ended, AttemptFailure) and ended.reason in SENT_ON:
            wish.refused_by.append(name)
        else:
            wish.tried.add(name)
        return ended


def _rank_of(
    configuration: Configuration,
    route: Route,
    workspace: Workspace | None,
) -> int:
    """Calls of running requests first, then by priority.

    A refused call wastes the run that made it. Calls carry no key, so where
    there are workspaces, requests on public routes count as calls.
    """
    if workspace is None and configuration.rules.workspaces:
        return CALL_RANK
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
