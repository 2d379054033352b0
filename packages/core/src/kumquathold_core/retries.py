"""Retry policy and retry budget for requests that got no response.

A request is retried only if it provably did not run, is idempotent, or is kept
from running twice by a claim, and only within a budget of one retry for ten
requests plus a fixed number. The module reads no clock; the caller passes the
time in.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.crash_tracker import MAX_CRASHES
from kumquathold_core.forwarding import Outcome, Refusal

BUDGET_RETRIES_PER_REQUEST = 0.1
BUDGET_EXTRA_RETRIES = 120.0
BUDGET_WINDOW_SECONDS = 10.0
"""Window to which `BUDGET_EXTRA_RETRIES` of a service apply."""

BUDGET_BURST_SHARE = 0.5
"""Share of a node's extra retries that its budget can hold at once."""

MAX_ATTEMPTS = 4
"""Attempts of one request that may reach an upstream."""

MAX_TOTAL_ATTEMPTS = 8
"""Attempts of one request, including those that reached no upstream."""

MAX_OVERLOADED_OWNERS = 2
"""Owners without time for a request after which it is refused.

Each may hold the request until its deadline, so they say that this is too long.
Under such a load a slot that is free elsewhere is taken by others.
"""

UNPLACED_RETRY_SECONDS = 1.0
"""Seconds after which callers may retry that no upstream may serve now."""

FINAL_REFUSALS = frozenset(
    (
        Refusal.cancelled,
        Refusal.deadline_passed,
        Refusal.key_unknown,
        Refusal.crashes_upstreams,
        Refusal.idempotency_key_reused,
        Refusal.in_progress,
        Refusal.outcome_unknown,
        Refusal.settled,
        Refusal.answer_not_kept,
        Refusal.store_unavailable,
        Refusal.retry_budget,
    )
)
"""Refusals that hold for every upstream, so that a retry is useless."""


UNDELIVERED_REFUSALS = frozenset(
    (
        Refusal.upstream_leaving,
        Refusal.node_leaving,
        Refusal.overloaded,
        Refusal.owner_restarted,
        Refusal.owner_unreachable,
        Refusal.upstream_unreachable,
        Refusal.malformed,
        Refusal.no_upstream,
        Refusal.region_not_permitted,
        Refusal.region_unavailable,
        Refusal.zone_evacuated,
        Refusal.retry_budget,
    )
)
"""Refusals that, with outcome `not_run`, prove that no upstream was reached."""


class RetryBudget:
    """One upstream's part of the fleet's retry budget for its service.

    In each window, a service may get retries for a share of its requests plus
    a fixed number. An upstream earns that share from the requests that it gets.
    Of its part of the fixed number, half is the capacity of its budget and the
    rest refills evenly over the window, so that no window exceeds the sum of
    both. The budget starts empty and is filled only once its node is settled. A
    node that has just started knows no peers, and would take the whole fleet's
    budget.
    """

    __slots__ = (
        'capacity',
        'is_filled',
        'ratio',
        'refill_rate',
        'tokens',
        'updated_at',
    )

    def __init__(self, ratio: float = BUDGET_RETRIES_PER_REQUEST) -> None:
        """Start empty; each request earns `ratio` of a retry."""
        self.ratio = ratio
        self.capacity = 0.0
        self.refill_rate = 0.0
        self.tokens = 0.0
        self.is_filled = False
        self.updated_at = 0.0

    def set_limits(self, extra: float, window: float, *, settled: bool) -> None:
        """Set the part of the fixed number of retries in a window.

        `extra` is that part, `window` its length in seconds; `settled` says
        whether the node knows its part well enough to fill the budget.
        """
        self.capacity = max(1.0, extra * BUDGET_BURST_SHARE)
        self.refill_rate = extra * (1 - BUDGET_BURST_SHARE) / window
        if settled and not self.is_filled:
            self.is_filled = True
            self.tokens = self.capacity

    def earn(self, now: float) -> None:
        """Count the first attempt of a request."""
        elapsed = now - self.updated_at if self.updated_at else 0.0
        self.updated_at = now
        earned = self.ratio + elapsed * self.refill_rate
        self.tokens = min(self.tokens + earned, self.capacity)

    def spend(self) -> bool:
        """Take one retry from the budget; return false if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class AttemptFailure(msgspec.Struct, frozen=True):
    """How one attempt failed."""

    outcome: Outcome
    """Whether the request ran."""

    reason: Refusal
    """Why there is no response."""

    crashed: bool = False
    """Whether it crashed the upstream."""

    retry_after: float = 0.0
    """Seconds to wait before the next attempt."""


def may_have_arrived(failure: AttemptFailure) -> bool:
    """Return whether the request may have reached an upstream."""
    is_known = failure.outcome == Outcome.not_run
    return not (is_known and failure.reason in UNDELIVERED_REFUSALS)


def is_repeatable(
    failure: AttemptFailure, *, idempotent: bool, claimed: bool
) -> bool:
    """Return whether another attempt is safe."""
    if failure.reason in FINAL_REFUSALS:
        return False
    return failure.outcome == Outcome.not_run or idempotent or claimed


def may_retry(
    failure: AttemptFailure,
    *,
    idempotent: bool,
    claimed: bool,
    attempts: int,
    crashed: int,
    overloaded: int = 0,
    max_attempts: int = MAX_ATTEMPTS,
) -> bool:
    """Return whether to retry, regardless of the budget.

    `attempts` counts the attempts so far that may have reached an upstream,
    of which `max_attempts` are allowed. `crashed` counts those that crashed
    an upstream, and `overloaded` those that an owner had no time for.
    """
    if overloaded >= MAX_OVERLOADED_OWNERS:
        return False
    if attempts >= max_attempts or crashed >= MAX_CRASHES:
        return False
    return is_repeatable(failure, idempotent=idempotent, claimed=claimed)


def combine_outcomes(outcomes: list[Outcome]) -> Outcome:
    """Combine the outcomes of all attempts of a request.

    The result is `not_run` only if no attempt ran.
    """
    if all(outcome == Outcome.not_run for outcome in outcomes):
        return Outcome.not_run
    if any(outcome == Outcome.ran for outcome in outcomes):
        return Outcome.ran
    return Outcome.unknown
