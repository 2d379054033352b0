"""The freshness of the node's configuration, shared between threads.

Wraps the `FreshnessTracker` in a lock, and supplies it with the time and with
the nodes that read the store for its region.
"""

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
"""Nodes that poll the store on behalf of their region."""

VersionListener = Callable[[str, int], None]
"""Takes a peer's address and the version that it has in force."""


def select_region_readers(
    nodes: tuple[NodeRecord, ...],
    region: str,
) -> frozenset[str]:
    """Select the nodes that poll the store for a region; return addresses."""
    local = [node for node in nodes if node.region == region]
    ranked = member_table.rank_by_rendezvous(local, 'reader')
    return frozenset(node.address for node in ranked[:READERS_PER_REGION])


class FreshnessService:
    """Thread-safe access to the node's `FreshnessTracker`."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Register the service.

        The membership service is looked up on use: it registers later.
        """
        self.kernel = kernel
        self.own = settings.peer
        self.is_near_store = settings.region == settings.store_region
        self.store_region = settings.store_region
        self.tracker = FreshnessTracker()
        self.peer_versions: dict[str, int] = {}
        self.lock = threading.Lock()
        self.on_version_reported: VersionListener = _ignore_version
        kernel.register('freshness', self)

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self.tracker.version

    def adopt_version(self, version: int) -> bool:
        """Put a version in force if it is higher; return whether it is."""
        with self.lock:
            return self.tracker.adopt_version(version)

    def record_proof(self, version: int, requested_at: float) -> None:
        """Record the store's response that a version is the latest.

        `requested_at` is the own monotonic clock, in seconds, at the request.
        """
        with self.lock:
            self.tracker.record_store_success()
            self.tracker.record_proof(version, requested_at)

    def record_store_failure(self, requested_at: float) -> None:
        """Record an own call to the store that failed."""
        with self.lock:
            self.tracker.record_store_failure(requested_at)

    def record_peer_report(
        self,
        peer: str,
        report: FreshnessReport,
        requested_at: float,
    ) -> None:
        """Record a peer's response to a heartbeat sent at `requested_at`."""
        near = self.list_store_region_readers()
        with self.lock:
            self.tracker.record_peer_report(
                peer,
                report,
                requested_at,
                is_near_store=peer in near,
            )
        self.record_peer_version(peer, report)

    def record_peer_version(self, peer: str, report: FreshnessReport) -> None:
        """Record a peer's version; notify the listener of a higher one."""
        self.peer_versions[peer] = report.version
        if report.version > self.tracker.version:
            self.on_version_reported(peer, report.version)

    def get_version(self, peer: str) -> int:
        """Return the version that a node last reported to be in force."""
        if peer == self.own:
            return self.tracker.version
        return self.peer_versions.get(peer, 0)

    def make_report(self) -> FreshnessReport:
        """Make the report that is sent to peers."""
        with self.lock:
            return self.tracker.make_report(monotonic())

    def list_store_region_readers(self) -> frozenset[str]:
        """List the peers that poll the store in the store's own region."""
        view = self.kernel.find('membership').view
        readers = select_region_readers(view.nodes, self.store_region)
        return readers - {self.own}

    def decide_state(self) -> FreshnessState:
        """Decide whether keyed requests may be served now."""
        with self.lock:
            if self.tracker.is_fresh(monotonic()):
                return FreshnessState.fresh
        near = self.list_store_region_readers()
        with self.lock:
            return self.tracker.decide_state(
                monotonic(),
                near_store=near,
                is_near_store=self.is_near_store,
            )

    def get_proof_age(self) -> float:
        """Return the seconds since the request that gave the newest proof."""
        return self.make_report().proof_age


def _ignore_version(_peer: str, _version: int) -> None:
    """Do nothing until the configuration service sets its listener."""
