"""The era of the store, shared by the threads of a store adapter."""

from __future__ import annotations

import threading

from loguru import logger

from kumquathold_core.store_eras import CallStart, EraTracker, HistorySign
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import StoreRestored


class StoreEras:
    """Thread-safe access to the `EraTracker` of one store."""

    def __init__(self, metrics: Metrics) -> None:
        """Begin in era 0."""
        self.metrics = metrics
        self.tracker = EraTracker()
        self.lock = threading.Lock()

    @property
    def era(self) -> int:
        """Number of restores that were noticed so far."""
        return self.tracker.era

    def start_call(self) -> CallStart:
        """Return what is known before a call is sent."""
        with self.lock:
            return self.tracker.start_call()

    def end_call(self, start: CallStart, seen: HistorySign | None) -> None:
        """Take the sign of a response, `None` if it has none.

        Raises `StoreRestored` unless the era is that in which the call began.
        """
        with self.lock:
            is_current = self.tracker.end_call(start, seen)
            begins_era = not is_current and self.tracker.sign is seen
        if begins_era:
            self._report_restore(start, seen)
        if not is_current:
            raise StoreRestored(f'before: {start.sign}, now: {seen}')

    def end_write(self, start: CallStart, revision: int) -> None:
        """Take the revision of a write that took effect.

        Raises `StoreRestored` if one that began later than an earlier write
        has a lower revision.
        """
        self.end_call(start, HistorySign(written=revision))

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
