"""Holds which zones are evacuated, for the services of a node.

Operators evacuate a zone by a rule, or through a platform's own store, which
the deployment adapter watches. Any thread may call the methods.
"""

from __future__ import annotations

import threading
from time import monotonic

from loguru import logger

from kumquathold_core.zone_evacuations import EvacuationReading, EvacuationTable
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics


class ZoneEvacuations:
    """The zones whose upstreams get no new requests."""

    def __init__(self, kernel: Kernel) -> None:
        """Register itself, without a reading of a store."""
        self.kernel = kernel
        self.metrics: Metrics = kernel.find('metrics')
        self.lock = threading.Lock()
        self.table = EvacuationTable()
        self.logged: frozenset[str] = frozenset()
        kernel.register('zone-evacuations', self)

    def find_zones(self) -> frozenset[str]:
        """Return the zones that are evacuated now."""
        rules = self.kernel.find('configuration').current.rules
        if not self.table.has_seen_any:
            return self._log_changes(rules.evacuated_zones)
        with self.lock:
            stored = self.table.find_zones(monotonic())
        return self._log_changes(stored | rules.evacuated_zones)

    def record_reading(self, zones: frozenset[str], revision: int) -> None:
        """Record a complete reading of the store."""
        with self.lock:
            self.table.record_reading(zones, revision, monotonic())

    def record_peer_reading(self, reading: EvacuationReading | None) -> None:
        """Record the reading that a peer's heartbeat carried, if any."""
        if reading is None:
            return
        with self.lock:
            self.table.record_peer_reading(reading, monotonic())

    def make_report(self) -> EvacuationReading | None:
        """Return the reading for heartbeats to peers, if it says anything."""
        return self.table.make_report()

    def _log_changes(self, zones: frozenset[str]) -> frozenset[str]:
        before = self.logged
        if zones != before:
            self.logged = zones
            self.metrics.count('zones.evacuations_changed')
            logger.info(
                'evacuated zones changed',
                evacuated=sorted(zones),
                before=sorted(before),
            )
        return zones
