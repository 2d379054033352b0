"""The ingress: admits callers' requests and forwards them to upstreams.

Admission finds the route, authenticates the key, checks the configuration's
freshness and acquires a rate token. An admitted request is then attempted at
one upstream after another, within the limits of the retry policy.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from contextlib import contextmanager
from http import HTTPStatus
from time import monotonic, sleep

import msgspec
from loguru import logger

from kumquathold_core import retries, routing, wire
from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.freshness_tracker import FreshnessState
from kumquathold_core.placement import DEFAULT_OBJECTIVE_SECONDS
from kumquathold_core.retries import AttemptFailure
from kumquathold_core.rules import (
    Route,
    StalePolicy,
    Workspace,
    authenticate_key,
)
from kumquathold_core.thread_shares import ThreadShares
from kumquathold_node import caller_requests
from kumquathold_node.attempts import AdmittedRequest, Attempt, AttemptContext
from kumquathold_node.balancer import Balancer
from kumquathold_node.caller_requests import (
    CallerRequest,
    CallerResponse,
    RequestRefused,
)
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import HandlerFailed, Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import CallFailures
from kumquathold_node.rate_client import (
    AcquireCommand,
    RateClient,
    TokenRefusal,
)
from kumquathold_node.selections import Selection, SelectionRequest
from kumquathold_node.settings import Settings

REROUTED_REFUSALS = frozenset((Refusal.upstream_busy, Refusal.upstream_suspect))
"""Refusals by which an owner returns a request without running it.

The request is rerouted at once, which is not counted as a retry.
"""

NESTED_CALL_RANK = -1
"""Priority of requests that upstreams make while they run a request."""

THREAD_RETRY_SECONDS = (0.5, 1.5)
"""Range of the time after which callers may retry that found no thread.

Drawn for each, so that they do not return all at once.
"""

RETURNED_REFUSALS = REROUTED_REFUSALS | {Refusal.retry_budget}
"""Refusals by which an owner says that others may take the request."""

MAX_BUDGET_REFUSALS = 3
"""Owners without a retry left after which a request is not retried."""

LEAVING_RETRY_SECONDS = 0.1
"""Seconds after which callers that a draining node refuses may retry."""

TRIAL_PAUSE_SECONDS = 2.0
"""Time without trials of suspect upstreams after a retry was refused."""

STARTUP_TIMEOUT_SECONDS = 1.0
"""Wait for the first configuration, and for the first upstream of a service."""

SELECTION_RETRY_SECONDS = 0.05
TOKEN_TIMEOUT_SHARE = 0.25
"""Share of a request's time that it may wait for a rate token."""

MAX_TOKEN_WAIT_SECONDS = 2.0
TOKEN_REPLY_MARGIN_SECONDS = 0.5
"""Time beyond the wait for a token in which the rate client has to reply."""

RETRIED_STATUSES = frozenset((500, 502, 503, 504))
"""Statuses for which an idempotent request is retried."""


class AttemptHistory(msgspec.Struct):
    """The attempts of one request so far."""

    selection_request: SelectionRequest
    """Properties of the request, and the upstreams of earlier attempts."""

    outcomes: list[Outcome]
    """Outcomes of the attempts."""

    arrivals: int = 0
    """Attempts that may have reached an upstream."""

    budget_refusals: int = 0
    """Owners that refused a retry for want of a retry budget."""

    crashes: int = 0
    """Attempts that crashed an upstream."""

    overloaded: int = 0
    """Owners that had no time left for the request."""

    response: CallerResponse | None = None
    """The latest error response of an upstream."""

    failure: AttemptFailure | None = None
    """The latest failure that led to a retry."""


class Ingress:
    """Admits requests and runs their attempts, on the caller's thread."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        dialect: UpstreamDialect,
    ) -> None:
        """Look up the services that it uses, and register itself."""
        self.rng = random.Random(settings.peer)
        self.own_headers: Headers = ()
        if dialect.caller_service:
            self.own_headers = ((dialect.caller_service, settings.service),)
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.context = AttemptContext(kernel)
        self.balancer: Balancer = kernel.find('balancer')
        self.call_failures: CallFailures = kernel.find('call-failures')
        self.rate_client: RateClient = kernel.find('rate-client')
        self.metrics: Metrics = kernel.find('metrics')
        self.thread_shares = ThreadShares(settings.threads)
        self.budget_spent_at: dict[str, float] = {}
        kernel.register('ingress', self)

    def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request; raises `RequestRefused`."""
        with self.metrics.timed('ingress.admission'):
            admitted = self._admit(request)
        with self._holding_thread(admitted):
            return self._run_admitted(admitted)

    def _run_admitted(self, admitted: AdmittedRequest) -> CallerResponse:
        if admitted.rank != NESTED_CALL_RANK:
            return self._run_attempts(admitted)
        try:
            response = self._run_attempts(admitted)
        except RequestRefused:
            self.call_failures.record_failure()
            raise
        if response.status >= HTTPStatus.BAD_REQUEST:
            self.call_failures.record_failure()
        return response

    @contextmanager
    def _holding_thread(self, admitted: AdmittedRequest) -> Iterator[None]:
        """Count the thread of a request to its service while the block runs.

        Raises `RequestRefused` if the service holds too many threads.
        """
        service = admitted.service.name
        is_nested = admitted.rank == NESTED_CALL_RANK
        if not self.thread_shares.enter(service, is_nested=is_nested):
            self.metrics.count('ingress.thread_share_spent')
            raise RequestRefused(
                Refusal.overloaded,
                retry_after=self.rng.uniform(*THREAD_RETRY_SECONDS),
            )
        try:
            yield
        finally:
            self.thread_shares.leave(service)

    def _admit(self, request: CallerRequest) -> AdmittedRequest:
        self.configuration.is_in_force.wait(STARTUP_TIMEOUT_SECONDS)
        configuration = self.configuration.current
        route = self._find_route(configuration, request)
        if len(request.body) > route.body_limit:
            raise RequestRefused(Refusal.body_too_large)
        workspace, key_id = self._authenticate(configuration, route, request)
        claim = '' if route.idempotent else request.idempotency_key
        if route.once and not claim:
            raise RequestRefused(Refusal.idempotency_key_missing)
        timeout = caller_requests.timeout_of(request, route)
        deadline = request.arrived_at + timeout
        if not self.context.request_gate.may_accept(deadline):
            raise RequestRefused(
                Refusal.node_leaving, retry_after=LEAVING_RETRY_SECONDS
            )
        if workspace is not None:
            self._check_freshness(route)
            with self.metrics.timed('ingress.token'):
                self._acquire_token(workspace, timeout)
        service = self._choose_service(route)
        return AdmittedRequest(
            request=request,
            configuration=configuration,
            route=route,
            service=configuration.rules.services[service],
            headers=(*request.headers, *self.own_headers),
            slack=max(0.0, timeout - (route.objective or timeout)),
            rank=_rank_of(configuration, route, workspace),
            workspace=workspace,
            key_id=key_id,
            claim=claim,
            deadline=deadline,
            body_digest=wire.digest_body(request.body),
        )

    def _find_route(
        self,
        configuration: Configuration,
        request: CallerRequest,
    ) -> Route:
        if not configuration.version:
            raise RequestRefused(Refusal.no_configuration)
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
            raise RequestRefused(Refusal.method_not_allowed, headers=(allow,))
        raise RequestRefused(Refusal.no_route)

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
            raise RequestRefused(Refusal.key_missing)
        key = authenticate_key(configuration.rules, request.key)
        if key is None:
            raise RequestRefused(Refusal.key_unknown)
        caller_requests.refuse_exposed_key(request)
        return configuration.rules.workspaces[key.workspace], key.id

    def _check_freshness(self, route: Route) -> None:
        state = self.freshness.decide_state()
        if (
            state == FreshnessState.cut_off
            and route.stale == StalePolicy.refuse
        ):
            raise RequestRefused(Refusal.stale_configuration, retry_after=1)
        if state != FreshnessState.fresh:
            self.metrics.count(f'ingress.served_{state.name}')

    def _choose_service(self, route: Route) -> str:
        if not route.split:
            return route.service
        weights = [part.weight for part in route.split]
        return self.rng.choices(route.services, weights)[0]

    def _acquire_token(self, workspace: Workspace, timeout: float) -> None:
        if not workspace.rate or self.rate_client.try_take(workspace.name):
            return
        wait = min(timeout * TOKEN_TIMEOUT_SHARE, MAX_TOKEN_WAIT_SECONDS)
        reply: Future[TokenRefusal | None] = Future()
        self.rate_client.task.post(AcquireCommand(workspace.name, reply, wait))
        try:
            refused = reply.result(wait + TOKEN_REPLY_MARGIN_SECONDS)
        except (FutureTimeout, HandlerFailed):
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
        raise RequestRefused(refused.reason, retry_after=refused.retry_after)

    def _run_attempts(self, admitted: AdmittedRequest) -> CallerResponse:
        selection_request = SelectionRequest(
            service=admitted.service,
            route=admitted.route.name,
            caller_id=admitted.request.id,
            idempotent=admitted.route.idempotent,
            objective=admitted.route.objective or DEFAULT_OBJECTIVE_SECONDS,
        )
        history = AttemptHistory(
            selection_request=selection_request, outcomes=[]
        )
        while True:
            ended = self._attempt_until_accepted(admitted, history)
            if isinstance(ended, CallerResponse):
                history.response = ended
                ended = AttemptFailure(Outcome.ran, Refusal.upstream_error)
                if not self._is_retryable_error(admitted, history.response):
                    return history.response
            history.outcomes.append(ended.outcome)
            history.arrivals += int(retries.may_have_arrived(ended))
            history.crashes += 1 if ended.crashed else 0
            history.overloaded += int(ended.reason == Refusal.overloaded)
            if not self._may_retry(admitted, history, ended):
                return self._give_up(history, ended)
            history.failure = ended
            self.metrics.count(f'ingress.retries.{ended.reason.value}')

    def _is_retryable_error(
        self, admitted: AdmittedRequest, response: CallerResponse
    ) -> bool:
        """Whether a response is an error that may be retried elsewhere."""
        is_error = response.status in RETRIED_STATUSES
        return is_error and admitted.route.idempotent

    def _give_up(
        self, history: AttemptHistory, ended: AttemptFailure
    ) -> CallerResponse:
        """Return the latest error response.

        Raises `RequestRefused` if there is none.
        """
        if history.response is not None:
            return history.response
        if ended.reason == Refusal.retry_budget:
            ended = history.failure or ended
        outcome = retries.combine_outcomes(history.outcomes)
        raise RequestRefused(ended.reason, outcome, ended.retry_after)

    def _may_retry(
        self,
        admitted: AdmittedRequest,
        history: AttemptHistory,
        ended: AttemptFailure,
    ) -> bool:
        max_attempts = min(admitted.route.attempts, retries.MAX_ATTEMPTS)
        is_allowed = retries.may_retry(
            ended,
            max_attempts=max_attempts,
            idempotent=admitted.route.idempotent,
            claimed=bool(admitted.claim),
            attempts=history.arrivals,
            crashed=history.crashes,
            overloaded=history.overloaded,
        )
        is_in_time = monotonic() < self.context.get_end_time(admitted)
        is_bounded = len(history.outcomes) < retries.MAX_TOTAL_ATTEMPTS
        if not is_allowed or not is_in_time or not is_bounded:
            return False
        return (
            ended.reason != Refusal.no_upstream
            and not admitted.request.is_disconnected()
        )

    def _wait_for_selection(
        self, admitted: AdmittedRequest, selection_request: SelectionRequest
    ) -> Selection | None:
        """Select an upstream; if none is known, wait for an announcement.

        After a restart the upstreams announce themselves within seconds.
        """
        give_up_at = admitted.request.arrived_at + STARTUP_TIMEOUT_SECONDS
        while True:
            selection = self.balancer.choose(selection_request)
            end_at = min(give_up_at, self.context.get_end_time(admitted))
            is_late = monotonic() >= end_at
            if selection is not None or is_late:
                return selection
            sleep(SELECTION_RETRY_SECONDS)

    def _attempt_until_accepted(
        self,
        admitted: AdmittedRequest,
        history: AttemptHistory,
    ) -> CallerResponse | AttemptFailure:
        """Make attempts, rerouting the request while owners return it unrun."""
        while True:
            ended = self._run_attempt(admitted, history)
            if isinstance(ended, CallerResponse):
                return ended
            if ended.reason == Refusal.retry_budget:
                self._record_spent_budget(admitted, history)
            is_late = monotonic() >= self.context.get_end_time(admitted)
            if is_late or not self._is_rerouted(history, ended):
                return ended
            self.metrics.count(f'ingress.sent_on.{ended.reason.value}')

    def _is_rerouted(
        self, history: AttemptHistory, ended: AttemptFailure
    ) -> bool:
        """Whether to try another owner at once after one has refused."""
        if ended.reason == Refusal.retry_budget:
            return history.budget_refusals < MAX_BUDGET_REFUSALS
        return ended.reason in REROUTED_REFUSALS

    def _record_spent_budget(
        self, admitted: AdmittedRequest, history: AttemptHistory
    ) -> None:
        history.budget_refusals += 1
        self.budget_spent_at[admitted.service.name] = monotonic()
        self.metrics.count('ingress.retry_budget_spent')
        logger.info(
            'retry refused',
            request=admitted.request.id,
            service=admitted.service.name,
            refusals=history.budget_refusals,
        )

    def _may_send_trial(self, service: str) -> bool:
        """Whether a retry is likely to be affordable if a trial fails."""
        spent_at = self.budget_spent_at.get(service, -math.inf)
        return monotonic() - spent_at >= TRIAL_PAUSE_SECONDS

    def _run_attempt(
        self,
        admitted: AdmittedRequest,
        history: AttemptHistory,
    ) -> CallerResponse | AttemptFailure:
        if admitted.request.is_disconnected() and not admitted.claim:
            return AttemptFailure(Outcome.not_run, Refusal.cancelled)
        selection_request = history.selection_request
        selection_request.may_send_trial = self._may_send_trial(
            selection_request.service.name
        )
        selection = self._wait_for_selection(admitted, selection_request)
        if selection is None:
            return AttemptFailure(Outcome.not_run, Refusal.no_upstream)
        name = selection.candidate.upstream
        try:
            attempt = Attempt(
                self.context,
                admitted,
                selection,
                history.crashes,
                is_retry=history.arrivals > 0,
            )
            ended = attempt.run()
        finally:
            self.balancer.finish(selection)
        if (
            isinstance(ended, AttemptFailure)
            and ended.reason in RETURNED_REFUSALS
        ):
            selection_request.refused_by.append(name)
        else:
            selection_request.tried.add(name)
        return ended


def _rank_of(
    configuration: Configuration,
    route: Route,
    workspace: Workspace | None,
) -> int:
    """Return the priority of a request; nested calls come first.

    A nested call is made by an upstream while it runs a request, and a refusal
    wastes that run. Such calls carry no key: if there are workspaces, requests
    on public routes count as nested calls.
    """
    if workspace is None and configuration.rules.workspaces:
        return NESTED_CALL_RANK
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority
