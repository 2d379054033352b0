"""Passive health checks: updates of upstreams from the outcomes of requests."""

from __future__ import annotations

from time import monotonic

from loguru import logger

from kumquathold_core.forwarding import Refusal
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import CallFailures, OwnerRequest, Upstream
from kumquathold_node.upstream_calls import CallFailed

SLOW_FACTOR = 3.0
"""Multiple of the average service time above which a call is slow."""

GRAY_FAILURE_REASONS = frozenset(
    (
        Refusal.upstream_failed,
        Refusal.upstream_shed,
        Refusal.upstream_unreachable,
    )
)
"""Reasons of failed calls that are evidence of a gray upstream."""

ABSENCE_REASONS = frozenset(
    (Refusal.upstream_unreachable, Refusal.upstream_replaced)
)
"""Reasons of failed calls by which no such process is at the address."""


def record_outcome(
    upstream: Upstream,
    request: OwnerRequest,
    metrics: Metrics,
    *,
    seconds: float,
    failed: bool,
) -> bool:
    """Update failure risk and service time with the outcome of a call.

    `seconds` is the service time, which is ignored for a failed call. Returns
    whether the upstream is suspect by this failure.
    """
    now = monotonic()
    was_suspect = upstream.failure_risk.is_suspect(now)
    upstream.failure_risk.record_outcome(now, failed=failed)
    logger.info(
        'upstream answered',
        request=request.message.caller_id,
        upstream=request.message.upstream,
        failed=failed,
        seconds=round(now - request.started_at, 3),
        queued=round(request.started_at - request.queued_at, 3),
        belief=round(upstream.failure_risk.belief, 3),
        retry=request.message.is_retry,
        rank=request.message.rank,
    )
    if not failed:
        upstream.record_service_time(seconds)
    is_suspect = upstream.failure_risk.is_suspect(now)
    if is_suspect != was_suspect:
        metrics.count('owner.suspicions', int(is_suspect))
        logger.info(
            'upstream suspected' if is_suspect else 'upstream trusted',
            upstream=request.message.upstream,
            belief=round(upstream.failure_risk.belief, 3),
            request=request.message.caller_id,
        )
    end_trial(upstream, request)
    return is_suspect and failed


def may_stem_from_failed_call(
    request: OwnerRequest, calls: CallFailures
) -> bool:
    """Whether a request may have failed because the upstream's own call did.

    Upstreams make calls to other services through the node beside them. A
    request that fails because such a call did is no evidence against the
    upstream itself, and any call that failed while it ran may be the cause.
    """
    return calls.last_failed_at >= request.started_at


def may_have_crashed(upstream: Upstream | None, request: OwnerRequest) -> bool:
    """Whether a request may be the cause of its upstream's crash.

    One that started after the upstream was found to have ended is not: an
    earlier request caused that crash.
    """
    return upstream is None or request.started_at < upstream.ended_at


def is_absent(failure: CallFailed) -> bool:
    """Whether a failed call shows that the upstream's process is not there."""
    return failure.crashed or failure.reason in ABSENCE_REASONS


def begin_trial(upstream: Upstream, request: OwnerRequest) -> None:
    """Mark a request as the trial request of a suspect upstream."""
    request.is_trial = True
    upstream.failure_risk.trials_in_flight += 1


def end_trial(upstream: Upstream, request: OwnerRequest) -> None:
    """Allow the next trial request, if this request was one."""
    if request.is_trial:
        request.is_trial = False
        upstream.failure_risk.trials_in_flight -= 1


def is_gray_failure(
    upstream: Upstream, request: OwnerRequest, failure: CallFailed
) -> bool:
    """Whether a failed call is evidence that the upstream is gray.

    A call that ended at the deadline is, if it took more than `SLOW_FACTOR`
    times the average service time.
    """
    if request.is_cancelled:
        return False
    if failure.reason != Refusal.deadline_passed:
        return failure.reason in GRAY_FAILURE_REASONS
    elapsed = monotonic() - request.started_at
    return elapsed > SLOW_FACTOR * upstream.service_seconds
