"""Counters and timers, kept for the metrics pages and sent by StatsD.

The metrics address serves them in the text format of Prometheus: a counter for
each name, and a histogram for each timer.
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
BUCKET_SECONDS = (
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
    """All counters and timers of a node; any thread may use them."""

    def __init__(self, statsd_address: tuple[str, int] | None) -> None:
        """Keep the counts, and send them too where an address is given."""
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
        """Add one duration to a timer."""
        with self.lock:
            self.counts[f'{name}.count'] += 1
            self.seconds[f'{name}.seconds'] += seconds
            buckets = self.buckets.get(name)
            if buckets is None:
                buckets = [0 for _ in (*BUCKET_SECONDS, math.inf)]
                self.buckets[name] = buckets
            buckets[bisect.bisect_left(BUCKET_SECONDS, seconds)] += 1
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

    def collect(self) -> Iterable[MetricFamily]:
        """All counters and histograms, as Prometheus names them."""
        with self.lock:
            counts = dict(self.counts)
            seconds = dict(self.seconds)
            buckets = {name: list(its) for name, its in self.buckets.items()}
        for name, count in counts.items():
            if name.removesuffix('.count') not in buckets:
                yield CounterMetricFamily(_metric(name), name, value=count)
        for name, its in buckets.items():
            yield HistogramMetricFamily(
                _metric(f'{name}.seconds'),
                name,
                buckets=_accumulate(its),
                sum_value=seconds[f'{name}.seconds'],
            )


def _metric(name: str) -> str:
    plain = name.replace('.', '_').replace('-', '_')
    return f'{PREFIX}_{plain}'


def _accumulate(buckets: list[int]) -> list[tuple[str, float]]:
    bounds = [*map(str, BUCKET_SECONDS), '+Inf']
    totals = itertools.accumulate(buckets)
    return list(zip(bounds, map(float, totals), strict=True))


def make_metrics_app(
    metrics: Metrics,
) -> Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]:
    """The WSGI application of the metrics address."""
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
