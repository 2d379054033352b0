"""A simple proxy that serves as the baseline of the measurements.

It balances by round robin over a fixed list, ejects after consecutive errors,
gives each node a fixed share of the rate and retries after every failure.
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

CONSECUTIVE_ERRORS_TO_EJECT = 5
EJECTION_SECONDS = 10.0
MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_SECONDS = 5.0
MIN_SERVER_ERROR_STATUS = 500
FORWARDED_HEADERS = frozenset(('x-operation', 'x-work', 'idempotency-key'))


class NaiveUpstream(msgspec.Struct):
    """An upstream and its consecutive errors."""

    address: str
    consecutive_errors: int = 0
    ejected_until: float = 0.0
    """By the monotonic clock."""


class NaiveBucket(msgspec.Struct):
    """Token bucket with one node's fixed share of a workspace's rate."""

    rate: float
    """Tokens per second."""

    burst: float
    """Capacity in tokens."""

    level: float
    """Tokens at the time `at`."""

    at: float
    """Time of the last refill, by the monotonic clock."""

    def take_token(self, now: float) -> bool:
        """Refill the bucket and take a token, if there is one."""
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
        self.round_robin = itertools.cycle(self.upstreams)
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
        self.thread_local = threading.local()
        self.retries = 0

    def select_upstream(self) -> NaiveUpstream:
        """Return the next upstream that is not ejected.

        If all are ejected, return the next one.
        """
        now = time.monotonic()
        with self.lock:
            for _ in self.upstreams:
                upstream = next(self.round_robin)
                if upstream.ejected_until <= now:
                    return upstream
            return next(self.round_robin)

    def record_result(self, upstream: NaiveUpstream, *, failed: bool) -> None:
        """Count consecutive errors and eject the upstream at the limit."""
        with self.lock:
            upstream.consecutive_errors = (
                upstream.consecutive_errors + 1 if failed else 0
            )
            if upstream.consecutive_errors >= CONSECUTIVE_ERRORS_TO_EJECT:
                upstream.consecutive_errors = 0
                upstream.ejected_until = time.monotonic() + EJECTION_SECONDS

    def list_ejected(self) -> list[str]:
        """Return the addresses of ejected upstreams."""
        now = time.monotonic()
        return [
            one.address for one in self.upstreams if one.ejected_until > now
        ]


class NaiveHandler(BaseHTTPRequestHandler):
    """Authenticates, limits and forwards requests."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    proxy: NaiveProxy

    def do_GET(self) -> None:  # noqa: N802
        """Check the key and the rate, then forward the request.

        `/_state` returns the ejected upstreams and the number of retries.
        """
        if self.path == '/_state':
            state = {
                'ejected': self.proxy.list_ejected(),
                'retries': self.proxy.retries,
            }
            self._reply(200, msgspec.json.encode(state))
            return
        authorization = self.headers.get('Authorization', '')
        key = authenticate_key(
            self.proxy.rules, authorization.removeprefix('Bearer ')
        )
        if key is None:
            self._reject(401, 'key-unknown')
            return
        with self.proxy.lock:
            bucket = self.proxy.buckets[key.workspace]
            is_allowed = bucket.take_token(time.monotonic())
        if is_allowed:
            self._try_upstreams()
        else:
            self._reject(429, 'rate-exceeded')

    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def _try_upstreams(self) -> None:
        status, body = 502, b''
        for attempt in range(MAX_ATTEMPTS):
            self.proxy.retries += int(attempt > 0)
            upstream = self.proxy.select_upstream()
            try:
                status, body = self._send_attempt(upstream.address)
            except (OSError, http.client.HTTPException):
                status = 502
            self.proxy.record_result(
                upstream, failed=status >= MIN_SERVER_ERROR_STATUS
            )
            if status < MIN_SERVER_ERROR_STATUS:
                break
        self._reply(status, body)

    def _send_attempt(self, address: str) -> tuple[int, bytes]:
        pool = self.proxy.thread_local.__dict__.setdefault('pool', {})
        connection = pool.get(address) or http.client.HTTPConnection(
            address,
            timeout=ATTEMPT_TIMEOUT_SECONDS,
        )
        pool[address] = connection
        headers = {
            name: text
            for name, text in self.headers.items()
            if name.lower() in FORWARDED_HEADERS
        }
        try:
            connection.request('GET', self.path, headers=headers)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            pool.pop(address).close()
            raise

    def _reject(self, status: int, reason: str) -> None:
        body = msgspec.json.encode({'reason': reason})
        self._reply(status, body, 'application/problem+json')

    def _reply(
        self,
        status: int,
        body: bytes,
        content_type: str = 'application/json',
    ) -> None:
        self.send_response(status)
        self.send_header('Content-Type', content_type)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


@click.command()
@click.option('--listen', required=True, help='IP:port')
@click.option('--upstreams', required=True, help='Comma-separated addresses.')
@click.option('--rules', 'rules_path', required=True)
@click.option('--nodes', required=True, type=int)
def main(
    listen: str,
    upstreams: str,
    rules_path: str,
    nodes: int,
) -> None:
    """Run one baseline proxy."""
    rules = parse_rules(Path(rules_path).read_text(encoding='utf-8'))
    proxy = NaiveProxy(upstreams.split(','), rules, nodes)
    host, _, port = listen.rpartition(':')
    handler = type('Handler', (NaiveHandler,), {'proxy': proxy})
    _Server((host, int(port)), handler).serve_forever()


if __name__ == '__main__':
    main()
