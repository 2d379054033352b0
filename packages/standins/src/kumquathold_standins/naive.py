"""The naive proxy that measurements compare the product with.

Round robin over a fixed list, ejection after consecutive errors, one fixed
share of the rate for each node, and a retry after every failure.
"""

from __future__ import annotations

import http.client
import itertools
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import click
import msgspec

from kumquathold_core.rules import Rules, authenticate_key
from kumquathold_core.rules_file import parse_rules

ERRORS_TO_EJECT = 5
EJECTED_SECONDS = 10.0
ATTEMPTS = 3
TIMEOUT_SECONDS = 5.0
SERVER_ERROR = 500
NAMED = frozenset(('x-operation', 'x-work', 'idempotency-key'))


class NaiveUpstream(msgspec.Struct):
    """An upstream and its errors in a row."""

    address: str
    errors: int = 0
    ejected_until: float = 0.0


class NaiveBucket(msgspec.Struct):
    """One node's fixed share of a workspace's rate."""

    rate: float
    burst: float
    level: float
    at: float

    def take(self, now: float) -> bool:
        """Take a token."""
        level = self.level + (now - self.at) * self.rate
        self.level = min(self.burst, level)
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class NaiveProxy:
    """State of one proxy process."""

    def __init__(self, upstreams: list[str], rules: Rules, nodes: int) -> None:
        """Divide the rates by the number of nodes."""
        self.lock = threading.Lock()
        self.upstreams = [NaiveUpstream(address) for address in upstreams]
        self.turn = itertools.cycle(self.upstreams)
        self.rules = rules
        now = time.monotonic()
        self.buckets = {
            name: NaiveBucket(
                one.rate / nodes,
                max(one.burst / nodes, 1),
                max(one.burst / nodes, 1),
                now,
            )
            for name, one in rules.workspaces.items()
        }
        self.local = threading.local()
        self.retries = 0

    def next_upstream(self) -> NaiveUpstream:
        """The next one that is not ejected, or just the next."""
        now = time.monotonic()
        with self.lock:
            for _ in self.upstreams:
                upstream = next(self.turn)
                if upstream.ejected_until <= now:
                    return upstream
            return next(self.turn)

    def note(self, upstream: NaiveUpstream, *, failed: bool) -> None:
        """Count errors in a row."""
        with self.lock:
            upstream.errors = upstream.errors + 1 if failed else 0
            if upstream.errors >= ERRORS_TO_EJECT:
                upstream.errors = 0
                upstream.ejected_until = time.monotonic() + EJECTED_SECONDS

    def ejected(self) -> list[str]:
        """Those that are out now."""
        now = time.monotonic()
        return [
            one.address for one in self.upstreams if one.ejected_until > now
        ]


class NaiveHandler(BaseHTTPRequestHandler):
    """Proxies requests."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    proxy: NaiveProxy

    def do_GET(self) -> None:  # noqa: N802
        """Check the key and the rate, then try upstreams."""
        if self.path == '/_state':
            state = {
                'ejected': self.proxy.ejected(),
                'retries': self.proxy.retries,
            }
            self._reply(200, msgspec.json.encode(state))
            return
        given = self.headers.get('Authorization', '')
        key = authenticate_key(self.proxy.rules, given.removeprefix('Bearer '))
        if key is None:
            self._refuse(401, 'key-unknown')
            return
        with self.proxy.lock:
            bucket = self.proxy.buckets[key.workspace]
            is_allowed = bucket.take(time.monotonic())
        if is_allowed:
            self._try_upstreams()
        else:
            self._refuse(429, 'rate-exceeded')

    def log_message(self, *_: object) -> None:
        """Keep quiet."""

    def _try_upstreams(self) -> None:
        status, body = 502, b''
        for attempt in range(ATTEMPTS):
            self.proxy.retries += int(attempt > 0)
            upstream = self.proxy.next_upstream()
            try:
                status, body = self._call(upstream.address)
            except (OSError, http.client.HTTPException):
                status = 502
            self.proxy.note(upstream, failed=status >= SERVER_ERROR)
            if status < SERVER_ERROR:
                break
        self._reply(status, body)

    def _call(self, address: str) -> tuple[int, bytes]:
        pool = self.proxy.local.__dict__.setdefault('pool', {})
        connection = pool.get(address) or http.client.HTTPConnection(
            address,
            timeout=TIMEOUT_SECONDS,
        )
        pool[address] = connection
        headers = {
            name: text
            for name, text in self.headers.items()
            if name.lower() in NAMED
        }
        try:
            connection.request('GET', self.path, headers=headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            pool.pop(address).close()
            raise

    def _refuse(self, status: int, reason: str) -> None:
        body = msgspec.json.encode({'reason': reason})
        self._reply(status, body, 'application/problem+json')

    def _reply(
        self,
        status: int,
        body: bytes,
        kind: str = 'application/json',
    ) -> None:
        self.send_response(status)
        self.send_header('Content-Type', kind)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


@click.command()
@click.option('--listen', required=True, help='IP:port')
@click.option('--upstreams', required=True, help='With commas.')
@click.option('--rules', 'rules_path', required=True)
@click.option('--nodes', required=True, type=int)
def main(
    listen: str,
    upstreams: str,
    rules_path: str,
    nodes: int,
) -> None:
    """Run one naive proxy."""
    rules = parse_rules(Path(rules_path).read_text(encoding='utf-8'))
    proxy = NaiveProxy(upstreams.split(','), rules, nodes)
    host, _, port = listen.rpartition(':')
    handler = type('Handler', (NaiveHandler,), {'proxy': proxy})
    _Server((host, int(port)), handler).serve_forever()


if __name__ == '__main__':
    main()
