"""Decides whether a request that got no answer is sent again.

Pure. Sent again is only what is proved not run, or what does no harm by
running twice, or what a claim keeps from running twice; and only within a
budget of one retry for ten requests.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.crash_tracker import MAX_CRASHES
from kumquathold_core.forwarding import Outcome, Refusal

BUDGET_PER_REQUEST = 0.1
BUDGET_EXTRA = 120.0
BUDGET_WINDOW_SECONDS = 10.0
SAVED_SHARE = 0.5
MAX_ATTEMPTS = 4
MAX_SENDINGS = 8

FINAL = frozenset(
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
    )
)
"""Refusals that no other upstream would decide differently."""


NEVER_ARRIVED = frozenset(
    (
        Refusal.upstream_leaving,
        Refusal.node_leaving,
        Refusal.overloaded,
        Refusal.owner_restarted,
        Refusal.owner_unreachable,
        Refusal.upstream_unreachable,
        Refusal.malformed,
        Refusal.no_upstream,
    )
)
"""Refusals, where not run, of requests that reached no upstream."""


class RetryBudget:
    """One node's part of the retries that the fleet may make of a service.

    The fleet may make a share of the requests plus a fixed number in each
    window. A node earns that share by its own requests, keeps half of its
    part of the fixed number as what it may save up, and earns the rest of it
    evenly over the window, so that no window sees more than both. What may be
    saved up is there once the node is settled: one that has just started and
    knows no other yet would take the whole fleet's.
    """

    __slots__ = (
        'earned_at',
        'is_filled',
        'most',
        'ratio',
        'refill',
        'tokens',
    )

    def __init__(self, ratio: float = BUDGET_PER_REQUEST) -> None:
        """Earn `ratio` of a retry a request."""
        self.ratio = ratio
        self.most = 0.0
        self.refill = 0.0
        self.tokens = 0.0
        self.is_filled = False
        self.earned_at = 0.0

    def share(self, extra: float, window: float, *, settled: bool) -> None:
        """Take this node's part of the fixed number for a window."""
        self.most = max(1.0, extra * SAVED_SHARE)
        self.refill = extra * (1 - SAVED_SHARE) / window
        if settled and not self.is_filled:
            self.is_filled = True
            self.tokens = self.most

    def earn(self, now: float) -> None:
        """Count a first sending."""
        elapsed = now - self.earned_at if self.earned_at else 0.0
        self.earned_at = now
        earned = self.ratio + elapsed * self.refill
        self.tokens = min(self.tokens + earned, self.most)

    def spend(self) -> bool:
        """Take a retry out of the budget; false where it is spent."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class AttemptFailure(msgspec.Struct, frozen=True):
    """How one sending ended."""

    outcome: Outcome
    """Whether it ran."""

    reason: Refusal
    """Why there is no answer."""

    crashed: bool = False
    """Whether it took the upstream down."""

    retry_after: float = 0.0
    """Seconds after which trying again makes sense."""


def may_have_arrived(failure: AttemptFailure) -> bool:
    """Whether an upstream may have seen the request."""
    is_known = failure.outcome == Outcome.not_run
    return not (is_known and failure.reason in NEVER_ARRIVED)


def is_repeatable(
    failure: AttemptFailure, *, idempotent: bool, claimed: bool
) -> bool:
    """Whether sending again can do no harm."""
    if failure.reason in FINAL:
        return False
    return failure.outcome == Outcome.not_run or idempotent or claimed


def may_retry(
    failure: AttemptFailure,
    *,
    idempotent: bool,
    claimed: bool,
    attempts: int,
    crashed: int,
    most: int = MAX_ATTEMPTS,
) -> bool:
    """Whether to send again, the budget aside.

    `attempts` counts the sendings so far, of which `most` are allowed,
    `crashed` those among them that took an upstream down.
    """
    if attempts >= most or crashed >= MAX_CRASHES:
        return False
    return is_repeatable(failure, idempotent=idempotent, claimed=claimed)


def combine_outcomes(sendings: list[Outcome]) -> Outcome:
    """What is known of a request after all its sendings.

    It has not run only where no sending ran.
    """
    if all(one == Outcome.not_run for one in sendings):
        return Outcome.not_run
    if any(one == Outcome.ran for one in sendings):
        return Outcome.ran
    return Outcome.unknown
