"""The node's freshness, shared by the tasks that prove and use it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

from kumquathold_core import member_table
from kumquathold_core.freshness_tracker import FreshnessState, FreshnessTracker
from kumquathold_node.kernel import Kernel
from kumquathold_node.settings import Settings

if TYPE_CHECKING:
    from kumquathold_core.gossip import FreshnessReport
    from kumquathold_core.identity import NodeRecord

READERS_PER_REGION = 3

VersionHeard = Callable[[str, int], None]


def region_readers(
    nodes: tuple[NodeRecord, ...],
    region: str,
) -> frozenset[str]:
    """Addresses of the nodes that read the platform for their region."""
    there = [node for node in nodes if node.region == region]
    ranked = member_table.rank_by_rendezvous(there, 'reader')
    return frozenset(node.address for node in ranked[:READERS_PER_REGION])


class FreshnessService:
    """Guards the keeper with a lock, and adds the clock and the fleet."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Register; the fleet's view is looked up when it is needed."""
        self.kernel = kernel
        self.own = settings.peer
        self.is_near_store = settings.region == settings.store_region
        self.store_region = settings.store_region
        self.keeper = FreshnessTracker()
        self.versions: dict[str, int] = {}
        self.lock = threading.Lock()
        self.on_version_heard: VersionHeard = _ignore_version
        kernel.register('freshness', self)

    @property
    def version(self) -> int:
        """The version in force."""
        return self.keeper.version

    def adopt(self, version: int) -> bool:
        """Put a version in force unless it is lower."""
        with self.lock:
            return self.keeper.adopt_version(version)

    def prove(self, version: int, asked_at: float) -> None:
        """Take the platform's word."""
        with self.lock:
            self.keeper.record_store_success()
            self.keeper.record_proof(version, asked_at)

    def fail_store(self, asked_at: float) -> None:
        """Note an own call to the platform without an answer."""
        with self.lock:
            self.keeper.record_store_failure(asked_at)

    def hear(self, peer: str, told: FreshnessReport, asked_at: float) -> None:
        """Take in what a peer answered."""
        near = self.near_store()
        with self.lock:
            self.keeper.record_peer_report(
                peer,
                told,
                asked_at,
                is_near_store=peer in near,
            )
        self.hear_version(peer, told)

    def hear_version(self, peer: str, told: FreshnessReport) -> None:
        """Note a peer's version, and have a higher one fetched from it."""
        self.versions[peer] = told.version
        if told.version > self.keeper.version:
            self.on_version_heard(peer, told.version)

    def version_of(self, peer: str) -> int:
        """The version that a node last said it had in force."""
        if peer == self.own:
            return self.keeper.version
        return self.versions.get(peer, 0)

    def describe(self) -> FreshnessReport:
        """What to tell a peer."""
        with self.lock:
            return self.keeper.make_report(monotonic())

    def near_store(self) -> frozenset[str]:
        """The other nodes that read the platform in its own region."""
        view = self.kernel.find('membership').view
        readers = region_readers(view.nodes, self.store_region)
        return readers - {self.own}

    def judge(self) -> FreshnessState:
        """Decide whether keyed requests may be served now."""
        with self.lock:
            if self.keeper.is_fresh(monotonic()):
                return FreshnessState.fresh
        near = self.near_store()
        with self.lock:
            return self.keeper.decide_state(
                monotonic(),
                near_store=near,
                is_near_store=self.is_near_store,
            )

    def proof_age(self) -> float:
        """Seconds since the newest proof was asked for."""
        return self.describe().proof_age


def _ignore_version(_peer: str, _version: int) -> None:
    """Stands in until the configuration service listens."""
