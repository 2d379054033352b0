"""A stand-in for an upstream that announces itself and can inject faults.

Every request that it starts to run is first appended to a ledger file as a JSON
line, so that the ledger is complete even when the process is killed during a
request. A request to `/_control` sets the behaviour, `/_state` returns counts.
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

ANNOUNCE_INTERVAL_SECONDS = 0.5
OUTCOME_HEADER = 'Kumquathold-Outcome'
REQUEST_HEADER = 'Kumquathold-Request'
LIMIT_HEADER = 'Kumquathold-Limit'
LEAVING_HEADER = 'Kumquathold-Leaving'
CRASH_PATH_MARKER = 'poison'
"""Requests whose target contains it crash the process."""

CRASH_EXIT_CODE = 70
MILLISECONDS_PER_SECOND = 1000


class Behaviour(msgspec.Struct):
    """How the upstream treats requests; the body of `/_control`."""

    latency: float = 0.005
    """Seconds that a request takes."""

    fail_share: float = 0.0
    """Share of requests that fail with status 500, 0 to 1."""

    cut_share: float = 0.0
    """Share of requests that run but get a truncated response, 0 to 1."""

    shed: bool = False
    """Whether requests are rejected with status 503 and not run."""

    state: str = 'ready'
    """State that the upstream announces to its node."""

    limit: float | None = None
    """Limit in requests a second that its responses state, if any."""

    states_leaving: bool = False
    """Whether its responses state that it is leaving."""


class Run(msgspec.Struct, frozen=True):
    """One run of a request; a line of the ledger."""

    upstream: str
    """Address of the upstream that ran it."""

    operation: str
    """The caller's `X-Operation` header; the same for all repeats."""

    request: str
    """The fleet's request id, from `Kumquathold-Request`."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    headers: dict[str, str]
    """All request headers as received."""

    body_digest: str
    """SHA-256 of the body, in hexadecimal."""

    body_bytes: int
    """Length of the body."""

    at: float
    """Start of the run, in seconds since the epoch."""


class UpstreamState:
    """State of one upstream process, shared by its threads."""

    def __init__(self, address: str, ledger: str, seed: int) -> None:
        """Open the ledger."""
        self.address = address
        self.lifetime = round(time.time() * MILLISECONDS_PER_SECOND)
        self.behaviour = Behaviour()
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.ledger = os.open(ledger, flags, 0o600)

    def record(self, run: Run) -> None:
        """Append a run to the ledger.

        Each line is a single write in append mode, so that lines of several
        processes do not interleave.
        """
        os.write(self.ledger, msgspec.json.encode(run) + b'\n')

    def draw_sample(self) -> float:
        """Draw a uniform random number in [0, 1)."""
        with self.lock:
            return self.rng.random()

    def change_running(self, change: int) -> None:
        """Add to the number of running requests and update the maximum."""
        with self.lock:
            self.running += change
            self.most_running = max(self.most_running, self.running)


class UpstreamHandler(BaseHTTPRequestHandler):
    """Runs requests and serves the control paths."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    upstream: UpstreamState

    def handle_request(self) -> None:
        """Run a request, set the behaviour or return the state."""
        body = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        if self.path == '/_control':
            self.upstream.behaviour = msgspec.json.decode(body, type=Behaviour)
            self._reply(200, b'{}')
            return
        if self.path == '/_state':
            self._reply(200, msgspec.json.encode(self._describe_state()))
            return
        behaviour = self.upstream.behaviour
        if behaviour.shed:
            self._reply(503, b'', (OUTCOME_HEADER, 'not-run'))
            return
        self.upstream.change_running(1)
        try:
            self._run(body, behaviour)
        finally:
            self.upstream.change_running(-1)

    do_GET = handle_request
    do_POST = handle_request
    do_PUT = handle_request
    do_DELETE = handle_request
    do_HEAD = handle_request
    do_PATCH = handle_request

    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def _describe_state(self) -> dict[str, Any]:
        return {
            'running': self.upstream.running,
            'most_running': self.upstream.most_running,
            'cancelled': self.upstream.cancelled,
        }

    def _run(self, body: bytes, behaviour: Behaviour) -> None:
        digest = hashlib.sha256(body).hexdigest()
        run = Run(
            upstream=self.upstream.address,
            operation=self.headers.get('X-Operation', ''),
            request=self.headers.get(REQUEST_HEADER, ''),
            method=self.command,
            target=self.path,
            headers=dict(self.headers.items()),
            body_digest=digest,
            body_bytes=len(body),
            at=time.time(),
        )
        self.upstream.record(run)
        if CRASH_PATH_MARKER in self.path:
            os._exit(CRASH_EXIT_CODE)
        self._simulate_work(
            float(self.headers.get('X-Work') or behaviour.latency)
        )
        sample = self.upstream.draw_sample()
        if sample < behaviour.cut_share:
            self._truncate_response()
        elif sample < behaviour.cut_share + behaviour.fail_share:
            self._reply(500, b'failed')
        else:
            self._reply(200, self._make_response_body(run))

    def _simulate_work(self, seconds: float) -> None:
        """Wait, but stop early when the node closes the connection."""
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
                self.upstream.cancelled += 1
                self.close_connection = True
                break
        self.connection.settimeout(None)

    def _make_response_body(self, run: Run) -> bytes:
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

    def _truncate_response(self) -> None:
        self.send_response(200)
        self.send_header('Content-Length', '1000')
        self.end_headers()
        self.wfile.write(b'cut')
        self.close_connection = True

    def _make_statements(self) -> list[tuple[str, str]]:
        behaviour = self.upstream.behaviour
        statements = []
        if behaviour.limit is not None:
            statements.append((LIMIT_HEADER, str(behaviour.limit)))
        if behaviour.states_leaving:
            statements.append((LEAVING_HEADER, 'true'))
        return statements

    def _reply(
        self,
        status: int,
        body: bytes,
        *headers: tuple[str, str],
    ) -> None:
        self.send_response(status)
        request_id = self.headers.get(REQUEST_HEADER)
        if request_id:
            self.send_header(REQUEST_HEADER, request_id)
        for name, text in (*headers, *self._make_statements()):
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


def announce(node: str, announcement: dict[str, Any]) -> dict[str, Any] | None:
    """Announce an upstream to its node.

    Returns the node's reply, or none if the node is unreachable or rejects it.
    """
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
    upstream: UpstreamState,
    node: str,
    service: str,
    slots: int,
    leaving: threading.Event,
) -> None:
    """Announce periodically; once drained after SIGTERM, exit the process."""
    while True:
        is_leaving = leaving.is_set()
        state = 'leaving' if is_leaving else upstream.behaviour.state
        reply = announce(
            node,
            {
                'service': service,
                'address': upstream.address,
                'slots': slots,
                'state': state,
                'lifetime': upstream.lifetime,
            },
        )
        is_idle = reply is not None and not (
            reply['running'] or reply['waiting']
        )
        if is_leaving and is_idle:
            os._exit(0)
        leaving.wait(ANNOUNCE_INTERVAL_SECONDS)
        if is_leaving:
            time.sleep(ANNOUNCE_INTERVAL_SECONDS)


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
    """Run an upstream until SIGTERM, which drains it first."""
    upstream = UpstreamState(listen, ledger, seed)
    upstream.behaviour.latency = latency
    if cold_start:
        upstream.behaviour.state = 'starting'
        threading.Timer(cold_start, _mark_ready, (upstream,)).start()
    leaving = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: leaving.set())
    host, _, port = listen.rpartition(':')
    handler = type('Handler', (UpstreamHandler,), {'upstream': upstream})
    server = _Server((host, int(port)), handler)
    threading.Thread(
        target=announce_forever,
        args=(upstream, node, service, slots, leaving),
        daemon=True,
    ).start()
    server.serve_forever()


def _mark_ready(upstream: UpstreamState) -> None:
    upstream.behaviour.state = 'ready'


if __name__ == '__main__':
    main()
