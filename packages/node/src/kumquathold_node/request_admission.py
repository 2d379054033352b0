"""Admits callers' requests to the fleet, or refuses them.

Admission finds the route, authenticates the key, checks the configuration's
freshness and acquires a rate token.
"""

from __future__ import annotations

import random
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from typing import TYPE_CHECKING

from loguru import logger

from kumquathold_core import ranks, routing, wire
from kumquathold_core.forwarding import Headers, Refusal
from kumquathold_core.freshness_tracker import FreshnessState
from kumquathold_core.rules import (
    Route,
    StalePolicy,
    Workspace,
    authenticate_key,
)
from kumquathold_node import caller_requests
from kumquathold_node.attempts import AdmittedRequest
from kumquathold_node.caller_requests import CallerRequest, RequestRefused
from kumquathold_node.configuration import Configuration, ConfigurationService
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import HandlerFailed, Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.rate_client import (
    AcquireCommand,
    RateClient,
    TokenRefusal,
)
from kumquathold_node.settings import Settings

if TYPE_CHECKING:
    from kumquathold_node.caller_server import RequestGate

LEAVING_RETRY_SECONDS = 0.1
"""Seconds after which callers that a draining node refuses may retry."""

STARTUP_TIMEOUT_SECONDS = 1.0
"""Wait for the first configuration."""

TOKEN_TIMEOUT_SHARE = 0.25
"""Share of a request's time that it may wait for a rate token."""

MAX_TOKEN_WAIT_SECONDS = 2.0
TOKEN_REPLY_MARGIN_SECONDS = 0.5
"""Time beyond the wait for a token in which the rate client has to reply."""


class RequestAdmission:
    """Admits requests, on the caller's thread."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        dialect: UpstreamDialect,
    ) -> None:
        """Look up the services that it uses."""
        self.rng = random.Random(settings.peer)
        self.own_headers: Headers = ()
        if dialect.caller_service:
            self.own_headers = ((dialect.caller_service, settings.service),)
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.request_gate: RequestGate = kernel.find('request-gate')
        self.rate_client: RateClient = kernel.find('rate-client')
        self.metrics: Metrics = kernel.find('metrics')

    def admit(self, request: CallerRequest) -> AdmittedRequest:
        """Return an admitted request; raises `RequestRefused`."""
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
        if not self.request_gate.may_accept(deadline):
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


def _rank_of(
    configuration: Configuration,
    route: Route,
    workspace: Workspace | None,
) -> int:
    """Return the rank of a request; nested calls come first.

    They carry no key: if there are workspaces, requests on public routes count
    as nested calls.
    """
    if workspace is None and configuration.rules.workspaces:
        return ranks.NESTED_CALL_RANK
    return ranks.rank_request(route, workspace)
