"""Open-loop load generator for several streams of requests.

Each stream sends at a fixed rate on persistent connections, whatever the
response times, so that a slow fleet does not reduce its own load. Latency is
measured from the planned start, which avoids coordinated omission.
"""

from __future__ import annotations

import http.client
import itertools
import queue
import threading
import time
from collections import Counter
from collections.abc import Callable

import msgspec
from hdrh.histogram import HdrHistogram

from kumquathold_standins.caller import Caller, Response

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
SERVER_ERROR_STATUS = 500
MICROSECONDS_PER_SECOND = 1e6
JOIN_TIMEOUT_SECONDS = 60.0


class Stream(msgspec.Struct, frozen=True):
    """Requests of one workspace through one or more nodes."""

    name: str
    """Name of the stream in the results."""

    key: str
    """Key of the workspace, or empty."""

    addresses: tuple[str, ...]
    """Addresses to send to, used in round-robin order."""

    rate: float
    """Requests a second."""

    method: str = 'GET'
    """HTTP method."""

    path: str = '/'
    """Path; `{n}` is replaced by the number of the request."""

    body: bytes = b''
    """Request body."""

    headers: dict[str, str] = {}
    """Additional headers, with `{n}` replaced in their values."""

    workers: int = 12
    """Largest number of requests in flight at once."""


class StreamResult(msgspec.Struct):
    """Results of one stream."""

    name: str
    """Name of the stream."""

    sent: int = 0
    """Requests sent."""

    answered: int = 0
    """Responses of upstreams, rather than refusals by a node."""

    good: int = 0
    """Of `answered`, those with a status below 500."""

    refused: Counter[str] = msgspec.field(default_factory=Counter)
    """Refusals by nodes, by reason."""

    failed: int = 0
    """Requests without a response, as the connection failed."""

    seconds: float = 0.0
    """Time from the first planned start to the last response."""

    histogram: HdrHistogram = msgspec.field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_MICROSECONDS,
            MAX_LATENCY_MICROSECONDS,
            SIGNIFICANT_DIGITS,
        ),
    )
    """Microseconds from the planned start to the response; only `answered`."""

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return self.histogram.get_value_at_percentile(percent) / 1000


ResponseObserver = Callable[[Stream, int, Response], None]


def run_load(
    streams: list[Stream],
    seconds: float,
    watch: ResponseObserver | None = None,
) -> list[StreamResult]:
    """Run all streams concurrently for `seconds`.

    `watch` is called with each response, on the threads of the workers.
    """
    results = [StreamResult(stream.name) for stream in streams]
    threads = []
    starts_at = time.monotonic() + 0.2
    for stream, result in zip(streams, results, strict=True):
        runner = _StreamRunner(stream, result, starts_at, seconds, watch)
        threads.extend(runner.start())
    for thread in threads:
        thread.join(seconds + JOIN_TIMEOUT_SECONDS)
    return results


class _StreamRunner:
    """Schedules the requests of a stream and sends them by worker threads."""

    def __init__(
        self,
        stream: Stream,
        result: StreamResult,
        starts_at: float,
        seconds: float,
        watch: ResponseObserver | None,
    ) -> None:
        self.stream = stream
        self.result = result
        self.watch = watch
        self.starts_at = starts_at
        self.lock = threading.Lock()
        self.caller = Caller(stream.key)
        self.schedule: queue.SimpleQueue[tuple[int, float] | None] = (
            queue.SimpleQueue()
        )
        for number in range(int(stream.rate * seconds)):
            self.schedule.put((number, starts_at + number / stream.rate))
        for _ in range(stream.workers):
            self.schedule.put(None)
        self.addresses = itertools.cycle(stream.addresses)

    def start(self) -> list[threading.Thread]:
        threads = [
            threading.Thread(target=self._run_worker, daemon=True)
            for _ in range(self.stream.workers)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _run_worker(self) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        for number, planned_at in iter(self.schedule.get, None):
            time.sleep(max(0, planned_at - time.monotonic()))
            with self.lock:
                address = next(self.addresses)
            connection = connections.setdefault(
                address,
                http.client.HTTPConnection(address, timeout=30),
            )
            response = self._send(connection, number)
            self._record(number, planned_at, response)
        for connection in connections.values():
            connection.close()

    def _send(
        self,
        connection: http.client.HTTPConnection,
        number: int,
    ) -> Response:
        stream = self.stream
        return self.caller.send_on(
            connection,
            stream.method,
            stream.path.replace('{n}', str(number)),
            body=stream.body,
            headers={
                name: text.replace('{n}', str(number))
                for name, text in stream.headers.items()
            },
        )

    def _record(
        self, number: int, planned_at: float, response: Response
    ) -> None:
        latency = (time.monotonic() - planned_at) * MICROSECONDS_PER_SECOND
        with self.lock:
            self.result.sent += 1
            self.result.seconds = time.monotonic() - self.starts_at
            if response.status == 0:
                self.result.failed += 1
            elif response.reason:
                self.result.refused[response.reason] += 1
            else:
                self.result.answered += 1
                self.result.good += int(response.status < SERVER_ERROR_STATUS)
                self.result.histogram.record_value(max(int(latency), 1))
        if self.watch is not None:
            self.watch(self.stream, number, response)
