"""Counters and timers of a node, exported by Prometheus and StatsD.

The metrics address serves them in the Prometheus text format: a counter for
each counter name and a histogram for each timer. The administration API serves
the totals as JSON.
"""

from __future__ import annotations

import bisect
import itertools
import math
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from time import monotonic
from typing import Any

import statsd
from prometheus_client import CollectorRegistry, exposition
from prometheus_client.core import (
    CounterMetricFamily,
    HistogramMetricFamily,
)

PREFIX = 'kumquathold'
BUCKET_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

MetricFamily = CounterMetricFamily | HistogramMetricFamily


class Metrics:
    """Thread-safe registry of a node's counters and timers."""

    def __init__(self, statsd_address: tuple[str, int] | None) -> None:
        """Start at zero; also send to StatsD where an address is given."""
        self.lock = threading.Lock()
        self.counts: dict[str, int] = defaultdict(int)
        self.seconds: dict[str, float] = defaultdict(float)
        self.buckets: dict[str, list[int]] = {}
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
        """Record one duration of a timer."""
        with self.lock:
            self.counts[f'{name}.count'] += 1
            self.seconds[f'{name}.seconds'] += seconds
            buckets = self.buckets.get(name)
            if buckets is None:
                buckets = [0 for _ in (*BUCKET_BOUNDS_SECONDS, math.inf)]
                self.buckets[name] = buckets
            buckets[bisect.bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        if self.client is not None:
            self.client.timing(name, seconds * 1000)

    @contextmanager
    def timed(self, name: str) -> Iterator[None]:
        """Record the duration of a block, also when it raises."""
        started = monotonic()
        try:
            yield
        finally:
            self.time(name, monotonic() - started)

    def read(self) -> dict[str, float]:
        """Return all totals since the process started, by name.

        A timer has two: `NAME.count` and `NAME.seconds`.
        """
        with self.lock:
            return {**self.counts, **self.seconds}

    def collect(self) -> Iterable[MetricFamily]:
        """Yield counters and histograms under their Prometheus names."""
        with self.lock:
            counts = dict(self.counts)
            seconds = dict(self.seconds)
            buckets = {
                name: list(bucket_counts)
                for name, bucket_counts in self.buckets.items()
            }
        for name, count in counts.items():
            if name.removesuffix('.count') not in buckets:
                yield CounterMetricFamily(
                    _to_prometheus_name(name), name, value=count
                )
        for name, bucket_counts in buckets.items():
            yield HistogramMetricFamily(
                _to_prometheus_name(f'{name}.seconds'),
                name,
                buckets=_accumulate(bucket_counts),
                sum_value=seconds[f'{name}.seconds'],
            )


def _to_prometheus_name(name: str) -> str:
    escaped = name.replace('.', '_').replace('-', '_')
    return f'{PREFIX}_{escaped}'


def _accumulate(buckets: list[int]) -> list[tuple[str, float]]:
    bounds = [*map(str, BUCKET_BOUNDS_SECONDS), '+Inf']
    totals = itertools.accumulate(buckets)
    return list(zip(bounds, map(float, totals), strict=True))


def make_metrics_app(
    metrics: Metrics,
) -> Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]:
    """Return the WSGI application of the metrics address."""
    registry = CollectorRegistry()
    registry.register(metrics)

    def app(
        _: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        body = exposition.generate_latest(registry)
        headers = [
            ('Content-Type', exposition.CONTENT_TYPE_LATEST),
            ('Content-Length', str(len(body))),
        ]
        start_response('200 OK', headers)
        return [body]

    return app
