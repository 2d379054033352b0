"""Paced load from several callers at once, and what they got.

Each stream sends at a fixed rate on kept connections, whatever the answers,
so that a slow fleet does not slow its own load down.
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

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
DIGITS = 3
SERVER_ERROR = 500
MICROSECONDS = 1e6
JOIN_SECONDS = 60.0


class Stream(msgspec.Struct, frozen=True):
    """One workspace's requests through one or more nodes."""

    name: str
    """Groups the results."""

    key: str
    """The workspace's key, or empty."""

    addresses: tuple[str, ...]
    """Callers' addresses of the nodes, used in turn."""

    rate: float
    """Requests a second."""

    method: str = 'GET'
    """HTTP method."""

    path: str = '/'
    """Path; `{n}` becomes the number of the request."""

    body: bytes = b''
    """Body."""

    headers: dict[str, str] = {}
    """Further headers; `{n}` likewise."""

    workers: int = 12
    """Requests that may be under way at once."""


class Result(msgspec.Struct):
    """What one stream got."""

    name: str
    """The stream's name."""

    sent: int = 0
    """Requests sent."""

    answered: int = 0
    """Answers of upstreams."""

    good: int = 0
    """Of these, those below status 500."""

    refused: Counter[str] = msgspec.field(default_factory=Counter)
    """Refusals by reason."""

    failed: int = 0
    """Connections that broke."""

    seconds: float = 0.0
    """From the first planned start to the last answer."""

    histogram: HdrHistogram = msgspec.field(
        default_factory=lambda: HdrHistogram(
            LOWEST_MICROSECONDS,
            HIGHEST_MICROSECONDS,
            DIGITS,
        ),
    )
    """Microseconds from the planned start to the answer."""

    def percentile(self, percent: float) -> float:
        """Milliseconds within which so many in a hundred were answered."""
        return self.histogram.get_value_at_percentile(percent) / 1000


Watch = Callable[[Stream, int, Response], None]


def run_load(
    streams: list[Stream],
    seconds: float,
    watch: Watch | None = None,
) -> list[Result]:
    """Run all streams for a while; `watch` sees each answer."""
    results = [Result(stream.name) for stream in streams]
    threads = []
    starts_at = time.monotonic() + 0.2
    for stream, result in zip(streams, results, strict=True):
        runner = _StreamRunner(stream, result, starts_at, seconds, watch)
        threads.extend(runner.start())
    for thread in threads:
        thread.join(seconds + JOIN_SECONDS)
    return results


class _StreamRunner:
    """Plans a stream's requests and has its workers send them."""

    def __init__(
        self,
        stream: Stream,
        result: Result,
        starts_at: float,
        seconds: float,
        watch: Watch | None,
    ) -> None:
        self.stream = stream
        self.result = result
        self.watch = watch
        self.starts_at = starts_at
        self.lock = threading.Lock()
        self.caller = Caller(stream.key)
        self.plan: queue.SimpleQueue[tuple[int, float] | None] = (
            queue.SimpleQueue()
        )
        for number in range(int(stream.rate * seconds)):
            self.plan.put((number, starts_at + number / stream.rate))
        for _ in range(stream.workers):
            self.plan.put(None)
        self.addresses = itertools.cycle(stream.addresses)

    def start(self) -> list[threading.Thread]:
        threads = [
            threading.Thread(target=self._work, daemon=True)
            for _ in range(self.stream.workers)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _work(self) -> None:
        connections: dict[str, http.client.HTTPConnection] = {}
        for number, due_at in iter(self.plan.get, None):
            time.sleep(max(0, due_at - time.monotonic()))
            with self.lock:
                address = next(self.addresses)
            connection = connections.setdefault(
                address,
                http.client.HTTPConnection(address, timeout=30),
            )
            answer = self._send(connection, number)
            self._note(number, due_at, answer)
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

    def _note(self, number: int, due_at: float, answer: Response) -> None:
        took = (time.monotonic() - due_at) * MICROSECONDS
        with self.lock:
            self.result.sent += 1
            self.result.seconds = time.monotonic() - self.starts_at
            if answer.status == 0:
                self.result.failed += 1
            elif answer.reason:
                self.result.refused[answer.reason] += 1
            else:
                self.result.answered += 1
                self.result.good += int(answer.status < SERVER_ERROR)
                self.result.histogram.record_value(max(int(took), 1))
        if self.watch is not None:
            self.watch(self.stream, number, answer)
