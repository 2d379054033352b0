"""The ingress: forwards callers' requests to upstreams.

A request that was admitted is attempted at one upstream after another, within
the limits of the retry policy.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from time import monotonic, sleep

import msgspec
from loguru import logger

from kumquathold_core import retries
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.permitted_regions import (
    PermittedRegions,
    find_permitted_regions,
    intersect,
)
from kumquathold_core.placement import DEFAULT_OBJECTIVE_SECONDS
from kumquathold_core.ranks import NESTED_CALL_RANK
from kumquathold_core.retries import AttemptFailure
from kumquathold_core.thread_shares import ThreadShares
from kumquathold_node.attempts import AdmittedRequest, Attempt, AttemptContext
from kumquathold_node.balancer import Balancer
from kumquathold_node.caller_requests import (
    CallerRequest,
    CallerResponse,
    RequestRefused,
)
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.kernel import Kernel
from kumquathold_node.location_policy import find_current_regions
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import CallFailures
from kumquathold_node.request_admission import RequestAdmission
from kumquathold_node.selections import Selection, SelectionRequest
from kumquathold_node.settings import Settings

REROUTED_REFUSALS = frozenset((Refusal.upstream_busy, Refusal.upstream_suspect))
"""Refusals by which an owner returns a request without running it.

The request is rerouted at once, which is not counted as a retry.
"""

THREAD_RETRY_SECONDS = (0.5, 1.5)
"""Range of the time after which callers may retry that found no thread.

Drawn for each, so that they do not return all at once.
"""

UNPLACED_REFUSALS = frozenset((Refusal.no_upstream, Refusal.region_unavailable))
"""Refusals of this ingress for want of an upstream."""

MAX_BUDGET_REFUSALS = 5
"""Owners without a retry left after which a request is not retried."""

TRIAL_PAUSE_SECONDS = 2.0
"""Time without trials of suspect upstreams after a retry was refused."""

STARTUP_TIMEOUT_SECONDS = 1.0
"""Wait for the first upstream of a service."""

SELECTION_RETRY_SECONDS = 0.05
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
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.context = AttemptContext(kernel)
        self.balancer: Balancer = kernel.find('balancer')
        self.call_failures: CallFailures = kernel.find('call-failures')
        self.admission = RequestAdmission(kernel, settings, dialect)
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
        return self.admission.admit(request)

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
            ended.reason not in UNPLACED_REFUSALS
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
            if self.balancer.is_unplaceable(selection_request):
                return None
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

    def _make_unplaced(
        self, selection_request: SelectionRequest
    ) -> AttemptFailure:
        """Return the failure of a request for which there is no upstream."""
        if not self.balancer.is_unplaceable(selection_request):
            return AttemptFailure(Outcome.not_run, Refusal.no_upstream)
        self.metrics.count('ingress.unplaceable')
        is_bound = selection_request.regions is not None
        return AttemptFailure(
            Outcome.not_run,
            Refusal.region_unavailable if is_bound else Refusal.no_upstream,
            retry_after=retries.UNPLACED_RETRY_SECONDS,
        )

    def _find_regions(self, admitted: AdmittedRequest) -> PermittedRegions:
        """Return the regions that may serve a request.

        Both the rules that it was admitted under and those in force bind: its
        route may be gone since, and with it what bound the request.
        """
        at_admission = find_permitted_regions(
            admitted.route, admitted.workspace
        )
        current = self.configuration.current
        if current is admitted.configuration:
            return at_admission
        workspace = admitted.workspace.name if admitted.workspace else ''
        in_force = find_current_regions(current, admitted.route.name, workspace)
        return intersect(at_admission, in_force)

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
        selection_request.regions = self._find_regions(admitted)
        selection = self._wait_for_selection(admitted, selection_request)
        if selection is None:
            return self._make_unplaced(selection_request)
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
        _record_upstream(selection_request, name, ended)
        return ended


def _record_upstream(
    selection_request: SelectionRequest,
    name: str,
    ended: CallerResponse | AttemptFailure,
) -> None:
    """Record why the next attempt prefers other upstreams."""
    reason = ended.reason if isinstance(ended, AttemptFailure) else None
    if reason == Refusal.retry_budget:
        selection_request.without_budget.add(name)
    elif reason in REROUTED_REFUSALS:
        selection_request.refused_by.append(name)
    else:
        selection_request.tried.add(name)
