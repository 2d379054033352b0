"""Counters and timers, kept for the metrics page and sent by StatsD."""

from __future__ import annotations

import threading
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

import statsd

PREFIX = 'kumquathold'


class Metrics:
    """All counters and timers of a node; any thread may use them."""

    def __init__(self, statsd_address: tuple[str, int] | None) -> None:
        """Keep the counts, and send them too where an address is given."""
        self.lock = threading.Lock()
        self.counts: dict[str, int] = defaultdict(int)
        self.seconds: dict[str, float] = defaultdict(float)
        self.client = None
        if statsd_address is not None:
            host, port = statsd_address
            self.client = statsd.StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self.lock:
            self.counts[name] += amount
        if self.client is not None:
            self.client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Add one duration to a timer."""
        with self.lock:
            self.counts[f'{name}.count'] += 1
            self.seconds[f'{name}.seconds'] += seconds
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    @contextmanager
    def timed(self, name: str) -> Iterator[None]:
        """Time a block."""
        started = monotonic()
        try:
            yield
        finally:
            self.time(name, monotonic() - started)

    def read(self) -> dict[str, float]:
        """Copy everything counted since the start."""
        with self.lock:
            return {**self.counts, **self.seconds}
