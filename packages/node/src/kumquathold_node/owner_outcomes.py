"""What an owner learns of its upstreams from the ends of requests."""

from __future__ import annotations

from time import monotonic

from loguru import logger

from kumquathold_core.forwarding import Refusal
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import CallFailures, OwnerRequest, Upstream
from kumquathold_node.upstream_calls import CallFailed

SLOW_FACTOR = 3.0
GRAY_REASONS = frozenset(
    (
        Refusal.upstream_failed,
        Refusal.upstream_shed,
        Refusal.upstream_unreachable,
    )
)
"""Failures of a call that speak against the upstream."""


def note_answer(
    upstream: Upstream,
    job: OwnerRequest,
    metrics: Metrics,
    *,
    seconds: float,
    failed: bool,
) -> None:
    """Take in that a request ended, by an answer or without one."""
    now = monotonic()
    was_suspect = upstream.suspicion.is_suspect(now)
    upstream.suspicion.record_outcome(now, failed=failed)
    logger.info(
        'upstream answered',
        request=job.work.caller_id,
        upstream=job.work.upstream,
        failed=failed,
        seconds=round(now - job.started_at, 3),
        queued=round(job.started_at - job.queued_at, 3),
        belief=round(upstream.suspicion.belief, 3),
    )
    if not failed:
        upstream.note_service(seconds)
    is_suspect = upstream.suspicion.is_suspect(now)
    if is_suspect != was_suspect:
        metrics.count('owner.suspicions', int(is_suspect))
        logger.info(
            'upstream suspected' if is_suspect else 'upstream trusted',
            upstream=job.work.upstream,
            belief=round(upstream.suspicion.belief, 3),
            request=job.work.caller_id,
        )
    end_trial(upstream, job)


def is_blamed_on_calls(job: OwnerRequest, calls: CallFailures) -> bool:
    """Whether a call that failed meanwhile may be why a request failed.

    Upstreams make calls of their own through the node beside them. One that
    fails because its call did says nothing of the upstream itself.
    """
    return calls.last_at >= job.started_at


def begin_trial(upstream: Upstream, job: OwnerRequest) -> None:
    """Count a request that tries a suspect upstream."""
    job.is_trial = True
    upstream.suspicion.trials_in_flight += 1


def end_trial(upstream: Upstream, job: OwnerRequest) -> None:
    """Let the next request try, where this one did."""
    if job.is_trial:
        job.is_trial = False
        upstream.suspicion.trials_in_flight -= 1


def speaks_against(
    upstream: Upstream, job: OwnerRequest, failure: CallFailed
) -> bool:
    """Whether a failed call is evidence that the upstream is gray."""
    if job.is_cancelled:
        return False
    if failure.reason != Refusal.deadline_passed:
        return failure.reason in GRAY_REASONS
    elapsed = monotonic() - job.started_at
    return elapsed > SLOW_FACTOR * upstream.service_seconds
