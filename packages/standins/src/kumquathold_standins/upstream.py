"""A stand-in for an upstream: announces itself, runs requests, and misbehaves.

Every run is appended to a ledger file, one JSON line a run, so that what
really ran is known even when the process is killed in the middle. The path
`/_control` changes its behaviour.
"""

from __future__ import annotations

import hashlib
import http.client
import os
import random
import signal
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import click
import msgspec

ANNOUNCE_SECONDS = 0.5
OUTCOME_HEADER = 'Kumquathold-Outcome'
REQUEST_HEADER = 'Kumquathold-Request'
CRASH_MARK = 'poison'
EXIT_CRASHED = 70


class Behaviour(msgspec.Struct):
    """How the upstream treats requests at the moment."""

    latency: float = 0.005
    """Seconds that a request takes."""

    fail_share: float = 0.0
    """Share of requests that fail with status 500, 0 to 1."""

    cut_share: float = 0.0
    """Share of requests that run and whose answer is cut off."""

    shed: bool = False
    """Whether requests are refused with 503, not run."""

    state: str = 'ready'
    """What it announces."""


class Run(msgspec.Struct, frozen=True):
    """A line of the ledger."""

    upstream: str
    """Which upstream ran it."""

    operation: str
    """The caller's `X-Operation` header, which names the wish."""

    request: str
    """The fleet's id of the sending."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    headers: dict[str, str]
    """All headers as they came."""

    body_digest: str
    """SHA-256 of the body, in hexadecimal."""

    body_bytes: int
    """Length of the body."""

    at: float
    """Seconds since the epoch."""


class Bench:
    """State of one upstream process."""

    def __init__(self, name: str, ledger: str, seed: int) -> None:
        """Open the ledger."""
        self.name = name
        self.behaviour = Behaviour()
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.ledger = os.open(ledger, flags, 0o600)

    def record(self, run: Run) -> None:
        """Append to the ledger; one write a line, so that none are mixed."""
        os.write(self.ledger, msgspec.json.encode(run) + b'\n')

    def draw(self) -> float:
        """A random number from 0 to 1, by the seed."""
        with self.lock:
            return self.rng.random()

    def count(self, change: int) -> None:
        """Count the requests that run now."""
        with self.lock:
            self.running += change
            self.most_running = max(self.most_running, self.running)


class UpstreamHandler(BaseHTTPRequestHandler):
    """Runs requests."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    bench: Bench

    def handle_any(self) -> None:
        """Run a request, or change the behaviour."""
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        if self.path == '/_control':
            self.bench.behaviour = msgspec.json.decode(body, type=Behaviour)
            self._reply(200, b'{}')
            return
        if self.path == '/_state':
            self._reply(200, msgspec.json.encode(self._describe_state()))
            return
        behaviour = self.bench.behaviour
        if behaviour.shed:
            self._reply(503, b'', (OUTCOME_HEADER, 'not-run'))
            return
        self.bench.count(1)
        try:
            self._run(body, behaviour)
        finally:
            self.bench.count(-1)

    do_GET = handle_any
    do_POST = handle_any
    do_PUT = handle_any
    do_DELETE = handle_any
    do_HEAD = handle_any
    do_PATCH = handle_any

    def log_message(self, *_: object) -> None:
        """Keep quiet."""

    def _describe_state(self) -> dict[str, Any]:
        return {
            'running': self.bench.running,
            'most_running': self.bench.most_running,
            'cancelled': self.bench.cancelled,
        }

    def _run(self, body: bytes, behaviour: Behaviour) -> None:
        digest = hashlib.sha256(body).hexdigest()
        run = Run(
            upstream=self.bench.name,
            operation=self.headers.get('X-Operation', ''),
            request=self.headers.get(REQUEST_HEADER, ''),
            method=self.command,
            target=self.path,
            headers=dict(self.headers.items()),
            body_digest=digest,
            body_bytes=len(body),
            at=time.time(),
        )
        self.bench.record(run)
        if CRASH_MARK in self.path:
            os._exit(EXIT_CRASHED)
        self._work(float(self.headers.get('X-Work') or behaviour.latency))
        draw = self.bench.draw()
        if draw < behaviour.cut_share:
            self._cut_answer()
        elif draw < behaviour.cut_share + behaviour.fail_share:
            self._reply(500, b'failed')
        else:
            self._reply(200, self._make_body(run))

    def _work(self, seconds: float) -> None:
        """Take the time, but stop when the caller closes the connection."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.connection.settimeout(max(ends_at - time.monotonic(), 0.001))
            try:
                is_closed = not self.connection.recv(1)
            except TimeoutError:
                break
            except OSError:
                is_closed = True
            if is_closed:
                self.bench.cancelled += 1
                self.close_connection = True
                break
        self.connection.settimeout(None)

    def _make_body(self, run: Run) -> bytes:
        size = int(self.headers.get('X-Answer-Bytes') or 0)
        if size:
            seed = f'{run.operation}:{size}'.encode()
            return (hashlib.sha256(seed).digest() * (size // 32 + 1))[:size]
        return msgspec.json.encode(
            {
                'operation': run.operation,
                'upstream': run.upstream,
                'request': run.request,
                'body_digest': run.body_digest,
            }
        )

    def _cut_answer(self) -> None:
        self.send_response(200)
        self.send_header('Content-Length', '1000')
        self.end_headers()
        self.wfile.write(b'cut')
        self.close_connection = True

    def _reply(
        self,
        status: int,
        body: bytes,
        *headers: tuple[str, str],
    ) -> None:
        self.send_response(status)
        for name, text in headers:
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


def announce(node: str, announcement: dict[str, Any]) -> dict[str, Any] | None:
    """Announce an upstream to the node beside it; nothing if it is away."""
    connection = http.client.HTTPConnection(node, timeout=3)
    try:
        connection.request(
            'POST',
            '/announce',
            msgspec.json.encode(announcement),
        )
        response = connection.getresponse()
        body = response.read()
    except OSError:
        return None
    finally:
        connection.close()
    return msgspec.json.decode(body) if response.status == 200 else None


def announce_forever(
    bench: Bench,
    node: str,
    service: str,
    slots: int,
    leaving: threading.Event,
) -> None:
    """Announce until the upstream has left, then end the process."""
    while True:
        is_leaving = leaving.is_set()
        state = 'leaving' if is_leaving else bench.behaviour.state
        reply = announce(
            node,
            {
                'service': service,
                'address': bench.name,
                'slots': slots,
                'state': state,
            },
        )
        is_idle = reply is not None and not (
            reply['running'] or reply['waiting']
        )
        if is_leaving and is_idle:
            os._exit(0)
        leaving.wait(ANNOUNCE_SECONDS)
        if is_leaving:
            time.sleep(ANNOUNCE_SECONDS)


@click.command()
@click.option('--listen', required=True, help='IP:port')
@click.option('--node', required=True, help='Where to announce, IP:port.')
@click.option('--service', required=True)
@click.option('--slots', default=4)
@click.option('--ledger', required=True, help='File for the runs.')
@click.option('--seed', default=1)
@click.option('--cold-start', default=0.0, help='Seconds.')
@click.option('--latency', default=0.005, help='Seconds.')
def main(
    *,
    listen: str,
    node: str,
    service: str,
    slots: int,
    ledger: str,
    seed: int,
    cold_start: float,
    latency: float,
) -> None:
    """Run an upstream until it is told to leave by SIGTERM."""
    bench = Bench(listen, ledger, seed)
    bench.behaviour.latency = latency
    if cold_start:
        bench.behaviour.state = 'starting'
        threading.Timer(cold_start, _get_ready, (bench,)).start()
    leaving = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: leaving.set())
    host, _, port = listen.rpartition(':')
    handler = type('Handler', (UpstreamHandler,), {'bench': bench})
    server = _Server((host, int(port)), handler)
    threading.Thread(
        target=announce_forever,
        args=(bench, node, service, slots, leaving),
        daemon=True,
    ).start()
    server.serve_forever()


def _get_ready(bench: Bench) -> None:
    bench.behaviour.state = 'ready'


if __name__ == '__main__':
    main()
