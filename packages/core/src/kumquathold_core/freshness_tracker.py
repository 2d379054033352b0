"""How sure a node is that its configuration is the latest accepted one.

Pure: the time is passed in. Proofs age on the own monotonic clock from the
moment the question was sent, so no clocks need agree, and a node that was
frozen finds its proof old when it resumes.
"""

from __future__ import annotations

import enum
import math

import msgspec

from kumquathold_core.gossip import FreshnessReport

PROOF_SECONDS = 3.5
OUTAGE_REPORT_SECONDS = 3.5


class FreshnessState(enum.Enum):
    """Whether keyed requests may be served."""

    fresh = enum.auto()
    """There is proof that the configuration is the latest."""

    store_outage = enum.auto()
    """The store answers nobody, so nothing can have been accepted."""

    cut_off = enum.auto()
    """A change may have been accepted unseen."""


class OutageReport(msgspec.Struct, frozen=True):
    """A node's own failed call to the platform."""

    heard_at: float
    """Own monotonic clock, in seconds, when the report was asked for."""

    age: float
    """Seconds that the failed call was old then."""


class FreshnessTracker:
    """The proofs and outage reports that one node has."""

    def __init__(self) -> None:
        """Start without a configuration, proof or report."""
        self.version = 0
        self.proved_at = -math.inf
        self.failed_at = -math.inf
        self.reports: dict[str, OutageReport] = {}

    def adopt(self, version: int) -> bool:
        """Put a version in force unless it is lower; true where it is new."""
        if version <= self.version:
            return False
        self.version = version
        return True

    def prove(self, version: int, asked_at: float) -> None:
        """Take someone's word that a version was the latest at `asked_at`.

        What proves that nothing above a version had been accepted proves it
        for the higher version in force as well, so proofs outlive `adopt`.
        A version above the one in force proves that this node is behind.
        """
        if version <= self.version:
            self.proved_at = max(self.proved_at, asked_at)

    def hear(
        self,
        peer: str,
        told: FreshnessReport,
        asked_at: float,
        *,
        is_near_store: bool,
    ) -> None:
        """Take in what a peer answered to a question sent at `asked_at`."""
        self.prove(told.version, asked_at - told.proof_age)
        if not is_near_store:
            return
        if math.isinf(told.outage_age):
            self.reports.pop(peer, None)
        else:
            self.reports[peer] = OutageReport(asked_at, told.outage_age)

    def fail_store(self, asked_at: float) -> None:
        """Note an own call to the platform without an answer."""
        self.failed_at = max(self.failed_at, asked_at)

    def reach_store(self) -> None:
        """Note that the platform answered."""
        self.failed_at = -math.inf

    def describe(self, now: float) -> FreshnessReport:
        """What to tell a peer."""
        return FreshnessReport(
            version=self.version,
            proof_age=now - self.proved_at,
            outage_age=now - self.failed_at,
        )

    def is_fresh(self, now: float) -> bool:
        """Whether the newest proof is young enough."""
        return now - self.proved_at <= PROOF_SECONDS

    def judge(
        self,
        now: float,
        *,
        near_store: frozenset[str],
        is_near_store: bool,
    ) -> FreshnessState:
        """Decide whether keyed requests may be served.

        `near_store` are the living peers in the store's region. An outage is
        believed where every one of them that spoke lately reports it, and
        at least one did, the own node counting where it is near the store.
        """
        if self.is_fresh(now):
            return FreshnessState.fresh
        recent = [
            report
            for peer, report in self.reports.items()
            if peer in near_store
            and now - report.heard_at + report.age <= OUTAGE_REPORT_SECONDS
        ]
        own_failed = now - self.failed_at <= OUTAGE_REPORT_SECONDS
        witnesses = len(recent) + int(is_near_store and own_failed)
        if own_failed and witnesses and len(recent) >= len(near_store):
            return FreshnessState.store_outage
        return FreshnessState.cut_off
