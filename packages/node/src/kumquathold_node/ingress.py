"""The ingress service: takes a caller's request to an upstream and back."""

from __future__ import annotations

import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from time import monotonic

import msgspec

from kumquathold_core import retries, routing, wire
from kumquathold_core.freshness import Verdict
from kumquathold_core.retries import Failure, RetryBudget
from kumquathold_core.rules import (
    Route,
    Stale,
    Workspace,
    authenticate_key,
)
from kumquathold_core.work import Outcome, Refusal
from kumquathold_node import caller_requests
from kumquathold_node.balancer import Balancer
from kumquathold_node.caller_requests import (
    CallerAnswer,
    CallerRequest,
    Refused,
)
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.rate_drawer import (
    TOKEN_WAIT_SECONDS,
    RateDrawer,
    TokenWanted,
)
from kumquathold_node.sending import Admitted, Sending, SendingContext

RETRIED_STATUSES = frozenset((500, 502, 503, 504))


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
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.context = SendingContext(kernel)
        self.balancer: Balancer = kernel.find('balancer')
        self.rates: RateDrawer = kernel.find('rate-drawer')
        self.metrics: Metrics = kernel.find('metrics')
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
            sending = Sending(self.context, admitted, choice, progress.crashed)
            return sending.run()
        finally:
            self.balancer.finish(choice)
