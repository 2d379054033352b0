"""A stand-in for the platform's key-value service.

Speaks the part of etcd's v3 JSON gateway that the fleet uses: range, txn and
leases. A test can take it down, slow it, have it apply writes and lose the
replies, or have it read from an older revision. It counts every call.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import click
import msgspec

from kumquathold_core import etcd

WRITE_PATHS = frozenset(('/v3/kv/txn', '/v3/lease/grant'))


class Faults(msgspec.Struct):
    """What goes wrong at the moment."""

    down: bool = False
    """Connections are closed without an answer, and nothing is done."""

    delay: float = 0.0
    """Seconds before each answer."""

    lose_replies: int = 0
    """As many coming writes are applied without an answer."""

    older: bool = False
    """Reads show the state as it was when this was set."""


class Entry(msgspec.Struct, frozen=True):
    """A stored value."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Lease(msgspec.Struct):
    """A running lease."""

    ttl: float
    ends_at: float


class Store:
    """The state; one lock makes every call atomic."""

    def __init__(self) -> None:
        """Start empty."""
        self.lock = threading.Lock()
        self.entries: dict[bytes, Entry] = {}
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1000
        self.calls: Counter[str] = Counter()
        self.faults = Faults()
        self.older: dict[bytes, Entry] = {}
        self.older_revision = 0

    def set_faults(self, faults: Faults) -> None:
        """Change what goes wrong; leases last through a time of being down."""
        with self.lock:
            if self.faults.down and not faults.down:
                now = time.monotonic()
                for lease in self.leases.values():
                    lease.ends_at = now + lease.ttl
            if faults.older and not self.faults.older:
                self.older = dict(self.entries)
                self.older_revision = self.revision
            self.faults = faults

    def range(self, request: etcd.RangeRequest) -> etcd.RangeResponse:
        """Read."""
        with self.lock:
            self._expire()
            return self._range(request)

    def txn(self, request: etcd.TxnRequest) -> etcd.TxnResponse:
        """Compare and do the steps."""
        with self.lock:
            self._expire()
            succeeded = all(self._holds(one) for one in request.compare)
            steps = request.success if succeeded else request.failure
            changes = any(step.request_range is None for step in steps)
            if changes:
                self.revision += 1
            responses = [self._do(step) for step in steps]
            return etcd.TxnResponse(
                header=self._header(),
                succeeded=succeeded,
                responses=responses,
            )

    def grant(self, request: etcd.LeaseRequest) -> etcd.LeaseResponse:
        """Start a lease."""
        with self.lock:
            self.next_lease += 1
            ttl = float(request.ttl)
            ends_at = time.monotonic() + ttl
            self.leases[self.next_lease] = Lease(ttl, ends_at)
            return etcd.LeaseResponse(
                header=self._header(),
                id=str(self.next_lease),
                ttl=request.ttl,
            )

    def keep_alive(self, request: etcd.LeaseRequest) -> etcd.KeepAliveResponse:
        """Prolong a lease."""
        with self.lock:
            self._expire()
            lease = self.leases.get(int(request.id))
            ttl = 0.0
            if lease is not None:
                ttl = lease.ttl
                lease.ends_at = time.monotonic() + ttl
            return etcd.KeepAliveResponse(
                result=etcd.LeaseResponse(
                    header=self._header(),
                    id=request.id,
                    ttl=str(int(ttl)),
                ),
            )

    def revoke(self, request: etcd.LeaseRequest) -> etcd.LeaseResponse:
        """End a lease."""
        with self.lock:
            self._end_lease(int(request.id))
            return etcd.LeaseResponse(header=self._header(), id=request.id)

    def _header(self) -> etcd.Header:
        return etcd.Header(revision=str(self.revision))

    def _range(self, request: etcd.RangeRequest) -> etcd.RangeResponse:
        is_older = self.faults.older
        entries = self.older if is_older else self.entries
        revision = self.older_revision if is_older else self.revision
        start = etcd.decode_text(request.key)
        end = etcd.decode_text(request.range_end)
        if end:
            keys = sorted(key for key in entries if start <= key < end)
        else:
            keys = [start] if start in entries else []
        limit = int(request.limit) or len(keys)
        return etcd.RangeResponse(
            header=etcd.Header(revision=str(revision)),
            kvs=[
                _describe(key, entries[key], request.keys_only)
                for key in keys[:limit]
            ],
            more=len(keys) > limit,
        )

    def _holds(self, compare: etcd.Compare) -> bool:
        entry = self.entries.get(etcd.decode_text(compare.key))
        if compare.target == 'CREATE':
            actual = entry.create_revision if entry else 0
            return actual == int(compare.create_revision)
        actual = entry.mod_revision if entry else 0
        return actual == int(compare.mod_revision)

    def _do(self, step: etcd.RequestOp) -> etcd.ResponseOp:
        if step.request_range is not None:
            found = self._range(step.request_range)
            return etcd.ResponseOp(response_range=found)
        if step.request_put is not None:
            self._put(step.request_put)
        if step.request_delete_range is not None:
            key = etcd.decode_text(step.request_delete_range.key)
            self.entries.pop(key, None)
        return etcd.ResponseOp()

    def _put(self, request: etcd.PutRequest) -> None:
        key = etcd.decode_text(request.key)
        known = self.entries.get(key)
        self.entries[key] = Entry(
            value=request.value,
            create_revision=known.create_revision if known else self.revision,
            mod_revision=self.revision,
            version=known.version + 1 if known else 1,
            lease=int(request.lease),
        )

    def _expire(self) -> None:
        now = time.monotonic()
        for number, lease in list(self.leases.items()):
            if lease.ends_at <= now:
                self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        gone = [
            key for key, entry in self.entries.items() if entry.lease == number
        ]
        if gone:
            self.revision += 1
        for key in gone:
            self.entries.pop(key)


CALLS: dict[str, tuple[type, Callable[[Store, Any], Any]]] = {
    '/v3/kv/range': (etcd.RangeRequest, Store.range),
    '/v3/kv/txn': (etcd.TxnRequest, Store.txn),
    '/v3/lease/grant': (etcd.LeaseRequest, Store.grant),
    '/v3/lease/keepalive': (etcd.LeaseRequest, Store.keep_alive),
    '/v3/lease/revoke': (etcd.LeaseRequest, Store.revoke),
}


def _describe(key: bytes, entry: Entry, keys_only: bool) -> etcd.KeyValue:
    return etcd.KeyValue(
        key=etcd.encode_text(key),
        value='' if keys_only else entry.value,
        create_revision=str(entry.create_revision),
        mod_revision=str(entry.mod_revision),
        version=str(entry.version),
        lease=str(entry.lease),
    )


class PlatformHandler(BaseHTTPRequestHandler):
    """Serves the store."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    store: Store

    def do_GET(self) -> None:  # noqa: N802
        """Give the counts of calls."""
        with self.store.lock:
            counts = dict(self.store.calls)
        self._reply(200, msgspec.json.encode(counts))

    def do_POST(self) -> None:  # noqa: N802
        """Serve a call, or set the faults."""
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        if self.path == '/faults':
            self.store.set_faults(msgspec.json.decode(body, type=Faults))
            self._reply(200, b'{}')
            return
        self._serve(body)

    def log_message(self, *_: object) -> None:
        """Keep quiet."""

    def _serve(self, body: bytes) -> None:
        kind, call = CALLS[self.path]
        with self.store.lock:
            self.store.calls[self.path] += 1
            faults = self.store.faults
        if faults.delay:
            time.sleep(faults.delay)
        if faults.down:
            self.close_connection = True
            return
        answer = call(self.store, msgspec.json.decode(body, type=kind))
        if faults.lose_replies and self.path in WRITE_PATHS:
            faults.lose_replies -= 1
            self.close_connection = True
            return
        self._reply(200, msgspec.json.encode(answer))

    def _reply(self, status: int, body: bytes) -> None:
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512


@click.command()
@click.option('--listen', required=True, help='IP:port')
def main(listen: str) -> None:
    """Serve a store that lives in memory."""
    host, _, port = listen.rpartition(':')
    handler = type('Handler', (PlatformHandler,), {'store': Store()})
    _Server((host, int(port)), handler).serve_forever()


if __name__ == '__main__':
    main()
