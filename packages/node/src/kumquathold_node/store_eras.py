"""The era of the store, shared by the threads of a store adapter."""

from __future__ import annotations

import threading

from loguru import logger

from kumquathold_core.store_eras import CallStart, EraTracker, HistorySign
from kumquathold_node.metrics import Metrics


class StoreEras:
    """Thread-safe access to the `EraTracker` of one store."""

    def __init__(self, metrics: Metrics) -> None:
        """Begin in era 0."""
        self.metrics = metrics
        self.tracker = EraTracker()
        self.lock = threading.Lock()

    def start_call(self) -> CallStart:
        """Return what is known before a call is sent."""
        with self.lock:
            return self.tracker.start_call()

    def end_call(self, start: CallStart, seen: HistorySign | None) -> None:
        """Take the sign of a response; log the first one after a restore."""
        with self.lock:
            self.tracker.end_call(start, seen)
            has_noticed = self.tracker.era > start.era
            is_first = has_noticed and self.tracker.sign is seen
        if is_first:
            self._report_restore(start, seen)

    def _report_restore(
        self, start: CallStart, seen: HistorySign | None
    ) -> None:
        self.metrics.count('platform.restored')
        logger.warning(
            'store restored',
            era=self.tracker.era,
            before=str(start.sign),
            after=str(seen),
        )
