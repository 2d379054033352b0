"""A stand-in for the platform's key-value service.

Implements the part of etcd's v3 JSON gateway that the fleet uses: range, txn
and leases. Faults that tests can inject are an outage, delays, applied writes
without a response, reads of an old revision, and a restore from an older copy.
Every call is counted.
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

CLUSTER_ID = '14841639068965178418'
"""Id of the cluster, which a restore into the same cluster keeps."""

WRITE_PATHS = frozenset(('/v3/kv/txn', '/v3/lease/grant'))


class Faults(msgspec.Struct):
    """Injected faults, set by a POST to `/faults`."""

    down: bool = False
    """Whether connections are closed without processing the call."""

    delay: float = 0.0
    """Seconds before each call is processed."""

    lose_replies: int = 0
    """Number of next writes that are applied without a response."""

    older: bool = False
    """Whether reads return the state at the time this fault was set."""


class Entry(msgspec.Struct, frozen=True):
    """A stored value with its revisions; `lease` is 0 for none."""

    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


class Lease(msgspec.Struct):
    """A granted lease."""

    ttl: float
    """Seconds."""

    expires_at: float
    """By the monotonic clock."""


class StoreCopy(msgspec.Struct, frozen=True):
    """A copy of what the store held; entries and leases are not changed."""

    entries: dict[bytes, Entry]
    revision: int
    leases: dict[int, float]
    """The time to live in seconds by the id of the lease."""

    last_lease_id: int


class Store:
    """In-memory key-value store; a lock makes every call atomic."""

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.lock = threading.Lock()
        self.entries: dict[bytes, Entry] = {}
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.last_lease_id = 1000
        self.call_counts: Counter[str] = Counter()
        self.faults = Faults()
        self.old_entries: dict[bytes, Entry] = {}
        self.old_revision = 0
        self.raft_term = 9
        self.kept: StoreCopy | None = None

    def keep_copy(self) -> None:
        """Keep a copy to restore later."""
        with self.lock:
            self._expire_leases()
            self.kept = StoreCopy(
                entries=dict(self.entries),
                revision=self.revision,
                leases={one: lease.ttl for one, lease in self.leases.items()},
                last_lease_id=self.last_lease_id,
            )

    def restore_copy(self) -> None:
        """Go back to the copy; all of its leases begin anew."""
        with self.lock:
            kept = self.kept
            if kept is None:
                return
            now = time.monotonic()
            self.entries = dict(kept.entries)
            self.revision = kept.revision
            self.last_lease_id = kept.last_lease_id
            self.leases = {
                one: Lease(ttl, now + ttl) for one, ttl in kept.leases.items()
            }
            self.raft_term -= 1

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults.

        The end of an outage renews all leases, so that none expires because of
        it.
        """
        with self.lock:
            if self.faults.down and not faults.down:
                now = time.monotonic()
                for lease in self.leases.values():
                    lease.expires_at = now + lease.ttl
            if faults.older and not self.faults.older:
                self.old_entries = dict(self.entries)
                self.old_revision = self.revision
            self.faults = faults

    def range(self, request: etcd.RangeRequest) -> etcd.RangeResponse:
        """Read a key or a range of keys."""
        with self.lock:
            self._expire_leases()
            return self._range(request)

    def txn(self, request: etcd.TxnRequest) -> etcd.TxnResponse:
        """Evaluate the compares and apply the operations of one branch."""
        with self.lock:
            self._expire_leases()
            succeeded = all(
                self._evaluate_compare(one) for one in request.compare
            )
            operations = request.success if succeeded else request.failure
            has_writes = any(one.request_range is None for one in operations)
            if has_writes:
                self.revision += 1
            responses = [self._apply(operation) for operation in operations]
            return etcd.TxnResponse(
                header=self._header(),
                succeeded=succeeded,
                responses=responses,
            )

    def grant(self, request: etcd.LeaseRequest) -> etcd.LeaseResponse:
        """Grant a lease."""
        with self.lock:
            self.last_lease_id += 1
            ttl = float(request.ttl)
            expires_at = time.monotonic() + ttl
            self.leases[self.last_lease_id] = Lease(ttl, expires_at)
            return etcd.LeaseResponse(
                header=self._header(),
                id=str(self.last_lease_id),
                ttl=request.ttl,
            )

    def keep_alive(self, request: etcd.LeaseRequest) -> etcd.KeepAliveResponse:
        """Renew a lease; the response has TTL 0 if it has expired."""
        with self.lock:
            self._expire_leases()
            lease = self.leases.get(int(request.id))
            ttl = 0.0
            if lease is not None:
                ttl = lease.ttl
                lease.expires_at = time.monotonic() + ttl
            return etcd.KeepAliveResponse(
                result=etcd.LeaseResponse(
                    header=self._header(),
                    id=request.id,
                    ttl=str(int(ttl)),
                ),
            )

    def revoke(self, request: etcd.LeaseRequest) -> etcd.LeaseResponse:
        """Revoke a lease and delete its keys."""
        with self.lock:
            self._remove_lease(int(request.id))
            return etcd.LeaseResponse(header=self._header(), id=request.id)

    def _header(self) -> etcd.Header:
        return self._header_at(self.revision)

    def _header_at(self, revision: int) -> etcd.Header:
        return etcd.Header(
            revision=str(revision),
            cluster_id=CLUSTER_ID,
            raft_term=str(self.raft_term),
        )

    def _range(self, request: etcd.RangeRequest) -> etcd.RangeResponse:
        reads_old_state = self.faults.older
        entries = self.old_entries if reads_old_state else self.entries
        revision = self.old_revision if reads_old_state else self.revision
        start = etcd.decode_text(request.key)
        end = etcd.decode_text(request.range_end)
        if end:
            keys = sorted(key for key in entries if start <= key < end)
        else:
            keys = [start] if start in entries else []
        limit = int(request.limit) or len(keys)
        return etcd.RangeResponse(
            header=self._header_at(revision),
            kvs=[
                _make_key_value(key, entries[key], request.keys_only)
                for key in keys[:limit]
            ],
            more=len(keys) > limit,
        )

    def _evaluate_compare(self, compare: etcd.Compare) -> bool:
        entry = self.entries.get(etcd.decode_text(compare.key))
        if compare.target == 'CREATE':
            actual = entry.create_revision if entry else 0
            return actual == int(compare.create_revision)
        actual = entry.mod_revision if entry else 0
        return actual == int(compare.mod_revision)

    def _apply(self, operation: etcd.RequestOp) -> etcd.ResponseOp:
        if operation.request_range is not None:
            response = self._range(operation.request_range)
            return etcd.ResponseOp(response_range=response)
        if operation.request_put is not None:
            self._put(operation.request_put)
        if operation.request_delete_range is not None:
            key = etcd.decode_text(operation.request_delete_range.key)
            self.entries.pop(key, None)
        return etcd.ResponseOp()

    def _put(self, request: etcd.PutRequest) -> None:
        key = etcd.decode_text(request.key)
        old = self.entries.get(key)
        self.entries[key] = Entry(
            value=request.value,
            create_revision=old.create_revision if old else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            lease=int(request.lease),
        )

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= now:
                self._remove_lease(lease_id)

    def _remove_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        expired_keys = [
            key
            for key, entry in self.entries.items()
            if entry.lease == lease_id
        ]
        if expired_keys:
            self.revision += 1
        for key in expired_keys:
            self.entries.pop(key)


HANDLERS: dict[str, tuple[type, Callable[[Store, Any], Any]]] = {
    '/v3/kv/range': (etcd.RangeRequest, Store.range),
    '/v3/kv/txn': (etcd.TxnRequest, Store.txn),
    '/v3/lease/grant': (etcd.LeaseRequest, Store.grant),
    '/v3/lease/keepalive': (etcd.LeaseRequest, Store.keep_alive),
    '/v3/lease/revoke': (etcd.LeaseRequest, Store.revoke),
}


def _make_key_value(key: bytes, entry: Entry, keys_only: bool) -> etcd.KeyValue:
    return etcd.KeyValue(
        key=etcd.encode_text(key),
        value='' if keys_only else entry.value,
        create_revision=str(entry.create_revision),
        mod_revision=str(entry.mod_revision),
        version=str(entry.version),
        lease=str(entry.lease),
    )


class PlatformHandler(BaseHTTPRequestHandler):
    """Serves the store over HTTP."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    store: Store

    def do_GET(self) -> None:  # noqa: N802
        """Respond with the counts of calls by path."""
        with self.store.lock:
            counts = dict(self.store.call_counts)
        self._reply(200, msgspec.json.encode(counts))

    def do_POST(self) -> None:  # noqa: N802
        """Serve a store call or set the faults."""
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        if self.path == '/faults':
            self.store.set_faults(msgspec.json.decode(body, type=Faults))
        elif self.path == '/copy':
            self.store.keep_copy()
        elif self.path == '/restore':
            self.store.restore_copy()
        else:
            self._serve(body)
            return
        self._reply(200, b'{}')

    def log_message(self, *_: object) -> None:
        """Write no access log."""

    def _serve(self, body: bytes) -> None:
        request_type, handle = HANDLERS[self.path]
        with self.store.lock:
            self.store.call_counts[self.path] += 1
            faults = self.store.faults
        if faults.delay:
            time.sleep(faults.delay)
        if faults.down:
            self.close_connection = True
            return
        response = handle(
            self.store, msgspec.json.decode(body, type=request_type)
        )
        if faults.lose_replies and self.path in WRITE_PATHS:
            faults.lose_replies -= 1
            self.close_connection = True
            return
        self._reply(200, msgspec.json.encode(response))

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
    """Serve an in-memory store."""
    host, _, port = listen.rpartition(':')
    handler = type('Handler', (PlatformHandler,), {'store': Store()})
    _Server((host, int(port)), handler).serve_forever()


if __name__ == '__main__':
    main()
