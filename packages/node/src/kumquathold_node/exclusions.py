"""Upstreams and nodes that the ingress leaves out for some seconds.

Not thread-safe: the balancer calls it under its lock.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet
from time import monotonic

from kumquathold_core.candidates import Candidate
from kumquathold_core.forwarding import Refusal
from kumquathold_core.statement_table import StatementTable

EXCLUSION_SECONDS = 3.0
"""Time that the fleet view may take to show that an upstream or node drains."""

SILENT_PATH_EXCLUSION_SECONDS = 2.0

DEPARTURE_REFUSALS = frozenset(
    (
        Refusal.upstream_leaving,
        Refusal.upstream_replaced,
        Refusal.zone_evacuated,
    ),
)
"""Refusals by upstreams that accept no requests any more."""


class Exclusions:
    """What this node has learned that the fleet view may not show yet."""

    __slots__ = ('owners', 'statements', 'upstreams')

    def __init__(self) -> None:
        """Start without exclusions."""
        self.statements = StatementTable()
        self.upstreams: dict[str, float] = {}
        """End of each exclusion by upstream, by the monotonic clock."""
        self.owners: dict[str, float] = {}
        """End of each exclusion by peer address of the owner."""

    def record_refusal(
        self, candidate: Candidate, reason: Refusal, now: float
    ) -> None:
        """Leave out an upstream or a node that said that it drains."""
        if reason in DEPARTURE_REFUSALS:
            self.upstreams[candidate.upstream] = now + EXCLUSION_SECONDS
        elif reason == Refusal.node_leaving:
            self.owners[candidate.owner] = now + EXCLUSION_SECONDS

    def record_silent_path(self, owner: str) -> None:
        """Leave out an owner that does not respond to this node."""
        end_at = monotonic() + SILENT_PATH_EXCLUSION_SECONDS
        self.owners[owner] = end_at

    def has_left(self, candidate: Candidate, now: float) -> bool:
        """Whether an upstream accepts no requests any more."""
        is_leaving = self.statements.is_leaving(
            candidate.upstream, candidate.lifetime, now
        )
        return is_leaving or self.upstreams.get(candidate.upstream, 0) > now

    def is_reachable(
        self, candidate: Candidate, suspects: AbstractSet[str], now: float
    ) -> bool:
        """Whether the node of an upstream is taken to respond."""
        is_excluded = self.owners.get(candidate.owner, 0) > now
        return not is_excluded and candidate.owner not in suspects
