"""What the benchmark observes of processes while a load runs."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import msgspec
import psutil

from kumquathold_standins import loopback, processes

if TYPE_CHECKING:
    from kumquathold_standins.measure import Bench

POLL_INTERVAL_SECONDS = 0.1
MIB = 1024 * 1024


class Detection(msgspec.Struct, frozen=True):
    """When the gray upstream was detected."""

    seconds: float
    """Seconds since the fault began; -1 if it was not detected."""

    runs: int
    """Requests that it ran until then, per node."""


class Usage(msgspec.Struct, frozen=True):
    """Resources used up to one moment, or the difference between two.

    Processor time is in seconds, memory in MiB.
    """

    retries: float
    naive_retries: float
    platform_calls: float
    processor: float
    memory: float
    processor_by_pid: dict[int, float]

    @classmethod
    def read(cls, bench: Bench) -> Usage:
        """Read the counters of all nodes and naive proxies."""
        fleet = bench.fleet
        retries = 0.0
        processor_by_pid = {}
        memory = 0.0
        for node in fleet.nodes:
            process = psutil.Process(node.process.pid)
            cpu_times = process.cpu_times()
            processor_by_pid[node.process.pid] = (
                cpu_times.user + cpu_times.system
            )
            memory = max(memory, process.memory_info().rss / MIB)
            retries += sum(
                count
                for name, count in node.metrics().items()
                if name.startswith('ingress.retries.')
            )
        naive = [
            fetch_naive_state(address).retries
            for address in bench.naive_addresses
        ]
        return cls(
            retries=retries,
            naive_retries=sum(naive),
            platform_calls=sum(fleet.platform_calls().values()),
            processor=0.0,
            memory=memory,
            processor_by_pid=processor_by_pid,
        )

    def retries_of(self, proxy: str) -> float:
        """Return the retries of the fleet or of the naive proxies."""
        return self.naive_retries if proxy == 'naive' else self.retries

    def since(self, before: Usage) -> Usage:
        """Return the difference from an earlier reading."""
        busiest = max(
            cpu_seconds - before.processor_by_pid.get(pid, 0.0)
            for pid, cpu_seconds in self.processor_by_pid.items()
        )
        return Usage(
            retries=max(self.retries - before.retries, 0),
            naive_retries=self.naive_retries - before.naive_retries,
            platform_calls=self.platform_calls - before.platform_calls,
            processor=busiest,
            memory=self.memory,
            processor_by_pid={},
        )


class NaiveState(msgspec.Struct, frozen=True):
    """State that a naive proxy reports."""

    ejected: list[str]
    retries: int


class EjectionMonitor:
    """Samples which upstreams are ejected while a condition is measured."""

    def __init__(self, bench: Bench, *, is_naive: bool) -> None:
        """Sample the naive proxies or the fleet."""
        self.bench = bench
        self.is_naive = is_naive
        self.stopped = threading.Event()
        self.samples: list[set[str]] = []

    @contextmanager
    def running(self) -> Iterator[None]:
        """Take samples periodically while the block runs."""
        thread = threading.Thread(target=self._poll)
        thread.start()
        try:
            yield
        finally:
            self.stopped.set()
            thread.join()

    def max_false_ejections(self, gray: set[str]) -> int:
        """Return the most upstreams, apart from gray ones, ejected at once."""
        return max((len(out - gray) for out in self.samples), default=0)

    def _poll(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_SECONDS):
            if self.is_naive:
                lists = [
                    fetch_naive_state(address).ejected
                    for address in self.bench.naive_addresses
                ]
            else:
                lists = [
                    self._list_ejected(node) for node in self.bench.fleet.nodes
                ]
            self.samples.append({name for names in lists for name in names})

    def _list_ejected(self, node: processes.Node) -> list[str]:
        try:
            by_service = node.client.get_json('/status')['ejected']
        except Exception:  # noqa: BLE001
            return []
        return [name for names in by_service.values() for name in names]


def fetch_naive_state(address: str) -> NaiveState:
    """Request the state of a naive proxy."""
    body = loopback.call_http(address, 'GET', '/_state')
    return msgspec.json.decode(body, type=NaiveState)
