"""Tracks whether a node's configuration is the latest accepted one.

A proof of freshness works like a lease: it ages on the node's own monotonic
clock from the moment the request was sent. Clocks therefore need not agree,
and the proof of a process that was paused has expired when it resumes. Holds
no clock: the time is passed in.
"""

from __future__ import annotations

import enum
import math

import msgspec

from kumquathold_core.gossip import FreshnessReport

MAX_PROOF_AGE_SECONDS = 3.5
"""Age up to which a proof of freshness is valid."""

MAX_OUTAGE_REPORT_AGE_SECONDS = 3.5
"""Age up to which a failed call to the store counts."""


class FreshnessState(enum.Enum):
    """Whether keyed requests may be served."""

    fresh = enum.auto()
    """A valid proof shows that the configuration is the latest."""

    store_outage = enum.auto()
    """The store answers no node, so no change can have been accepted."""

    cut_off = enum.auto()
    """The node is isolated: it may have missed an accepted change."""


class OutageReport(msgspec.Struct, frozen=True):
    """A peer's report that its own call to the store failed."""

    requested_at: float
    """Own monotonic clock, in seconds, when the report was requested."""

    age: float
    """Age of the failed call at that time, in seconds."""


class FreshnessTracker:
    """The proofs of freshness and outage reports that one node holds.

    All times are seconds of the own monotonic clock.
    """

    def __init__(self) -> None:
        """Start without a configuration, proof or report."""
        self.version = 0
        self.proved_at = -math.inf
        self.store_failed_at = -math.inf
        self.outage_reports: dict[str, OutageReport] = {}

    def adopt_version(self, version: int) -> bool:
        """Put a version in force if it is higher; return whether it is."""
        if version <= self.version:
            return False
        self.version = version
        return True

    def record_proof(self, version: int, requested_at: float) -> None:
        """Record the proof that a version was the latest at `requested_at`.

        A proof that nothing above a version had been accepted also holds for
        a higher version in force, so proofs stay valid after `adopt_version`.
        A version above the one in force is no proof: this node is behind.
        """
        if version <= self.version:
            self.proved_at = max(self.proved_at, requested_at)

    def record_peer_report(
        self,
        peer: str,
        report: FreshnessReport,
        requested_at: float,
        *,
        is_near_store: bool,
    ) -> None:
        """Record a peer's response to a request sent at `requested_at`.

        Outage reports count only from peers in the region of the store.
        """
        self.record_proof(report.version, requested_at - report.proof_age)
        if not is_near_store:
            return
        if math.isinf(report.outage_age):
            self.outage_reports.pop(peer, None)
        else:
            self.outage_reports[peer] = OutageReport(
                requested_at, report.outage_age
            )

    def record_store_failure(self, requested_at: float) -> None:
        """Record an own call to the store that was not answered."""
        self.store_failed_at = max(self.store_failed_at, requested_at)

    def record_store_success(self) -> None:
        """Record that the store answered."""
        self.store_failed_at = -math.inf

    def make_report(self, now: float) -> FreshnessReport:
        """Make the report that is sent to peers."""
        return FreshnessReport(
            version=self.version,
            proof_age=now - self.proved_at,
            outage_age=now - self.store_failed_at,
        )

    def is_fresh(self, now: float) -> bool:
        """Whether the latest proof is still valid."""
        return now - self.proved_at <= MAX_PROOF_AGE_SECONDS

    def decide_state(
        self,
        now: float,
        *,
        near_store: frozenset[str],
        is_near_store: bool,
    ) -> FreshnessState:
        """Decide whether keyed requests may be served.

        `near_store` are the live peers in the store's region, `is_near_store`
        tells whether the own node is there too. The store counts as down if
        the own call failed recently, every peer in `near_store` reported a
        recent failure, and at least one node of that region saw one.
        """
        if self.is_fresh(now):
            return FreshnessState.fresh
        recent = [
            report
            for peer, report in self.outage_reports.items()
            if peer in near_store
            and now - report.requested_at + report.age
            <= MAX_OUTAGE_REPORT_AGE_SECONDS
        ]
        own_failed = now - self.store_failed_at <= MAX_OUTAGE_REPORT_AGE_SECONDS
        witnesses = len(recent) + int(is_near_store and own_failed)
        if own_failed and witnesses and len(recent) >= len(near_store):
            return FreshnessState.store_outage
        return FreshnessState.cut_off
