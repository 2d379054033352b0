"""Key-value store adapter for etcd, by the JSON gateway of its v3 API.

Every call is one HTTP request on a connection that belongs to the calling
thread.
"""

from __future__ import annotations

import http
from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec

from kumquathold_core import etcd
from kumquathold_core.store_eras import CallStart, HistorySign
from kumquathold_node.http_calls import HttpCalls
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    Lease,
    LeaseEnded,
    ReadResult,
    Revision,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapResult,
    Write,
    check_era,
)
from kumquathold_node.store_eras import StoreEras

MAX_DETAIL_BYTES = 200


class HeadedResponse(Protocol):
    """A response of the store; each has a header."""

    @property
    def header(self) -> etcd.Header:
        """The header."""


Response = TypeVar('Response', bound=HeadedResponse)


class EtcdStore:
    """`KeyValueStore` on etcd; its methods may be called from any thread."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        """Create the adapter without connecting."""
        self.calls = HttpCalls(address)
        self.metrics = metrics
        self.eras = StoreEras(metrics)

    @property
    def era(self) -> int:
        """Number of restores of the store that were noticed so far."""
        return self.eras.era

    def read(self, key: str) -> ReadResult:
        """Read one key."""
        return self._read_range(etcd.RangeRequest(key=etcd.encode_text(key)))

    def read_prefix(
        self,
        prefix: str,
        *,
        limit: int = 0,
        keys_only: bool = False,
    ) -> ReadResult:
        """Read all keys that start with a prefix."""
        return self._read_range(
            etcd.RangeRequest(
                key=etcd.encode_text(prefix),
                range_end=etcd.encode_text(etcd.get_prefix_end(prefix)),
                limit=str(limit),
                keys_only=keys_only,
            ),
        )

    def swap(self, writes: Sequence[Write]) -> SwapResult:
        """Write several keys in one transaction if all conditions hold."""
        start = self.eras.start_call()
        check_era(writes, start.era)
        request = etcd.TxnRequest(
            compare=[
                _make_comparison(write.key, write.expected_revision)
                for write in writes
                if write.expected_revision is not None
            ],
            success=[_make_write_operation(write) for write in writes],
            failure=[_make_read_operation(write) for write in writes],
        )
        response = self._call(start, '/v3/kv/txn', request, etcd.TxnResponse)
        revision = int(response.header.revision)
        if response.succeeded:
            self.eras.end_write(start, revision)
            return SwapResult(
                succeeded=True, revision=Revision(start.era, revision), found=()
            )
        ranges = [
            operation.response_range
            for operation in response.responses
            if operation.response_range is not None
        ]
        found = [
            _decode_pair(pair, start.era) for one in ranges for pair in one.kvs
        ]
        read_at = [int(one.header.revision) or revision for one in ranges]
        return SwapResult(
            succeeded=False,
            revision=Revision(start.era, min([revision, *read_at])),
            found=tuple(found),
        )

    def grant_lease(self, seconds: float) -> Lease:
        """Grant a lease of whole seconds."""
        start = self.eras.start_call()
        response = self._call(
            start,
            '/v3/lease/grant',
            etcd.LeaseRequest(ttl=str(int(seconds))),
            etcd.LeaseResponse,
        )
        return Lease(int(response.id), float(response.ttl), start.era)

    def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease; 0 seconds in the result mean that it has expired."""
        start = self.eras.start_call()
        if lease.era != start.era:
            return Lease(lease.id, 0.0, lease.era)
        response = self._call(
            start,
            '/v3/lease/keepalive',
            etcd.LeaseRequest(id=str(lease.id)),
            etcd.KeepAliveResponse,
        )
        return Lease(lease.id, float(response.result.ttl), lease.era)

    def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        start = self.eras.start_call()
        if lease.era != start.era:
            return
        self._call(
            start,
            '/v3/lease/revoke',
            etcd.LeaseRequest(id=str(lease.id)),
            etcd.LeaseResponse,
        )

    def _read_range(self, request: etcd.RangeRequest) -> ReadResult:
        start = self.eras.start_call()
        response = self._call(
            start, '/v3/kv/range', request, etcd.RangeResponse
        )
        return ReadResult(
            revision=Revision(start.era, int(response.header.revision)),
            found=tuple(_decode_pair(pair, start.era) for pair in response.kvs),
        )

    def _call(
        self,
        start: CallStart,
        path: str,
        request: msgspec.Struct,
        response_type: type[Response],
    ) -> Response:
        self.metrics.count(f'platform.calls{path.replace("/", ".")}')
        body = msgspec.json.encode(request)
        try:
            response = self.calls.call('POST', path, body)
        except StoreUnavailable:
            self.metrics.count('platform.unavailable')
            raise
        if response.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable(f'{path}: status {response.status}')
        if response.status == http.HTTPStatus.NOT_FOUND:
            raise LeaseEnded(f'{path}: {response.body[:MAX_DETAIL_BYTES]!r}')
        if response.status != http.HTTPStatus.OK:
            detail = response.body[:MAX_DETAIL_BYTES]
            raise StoreRefused(f'{path}: status {response.status} {detail!r}')
        try:
            decoded = msgspec.json.decode(response.body, type=response_type)
        except msgspec.MsgspecError as error:
            raise StoreRefused(f'{path}: {error}') from error
        self.eras.end_call(start, _read_sign(decoded.header))
        return decoded


def _read_sign(header: etcd.Header) -> HistorySign | None:
    """Return the sign of the store's history, if the header has one."""
    if not header.cluster_id:
        return None
    term = int(header.raft_term) if header.raft_term.isdecimal() else 0
    return HistorySign(header.cluster_id, term)


def _decode_pair(pair: etcd.KeyValue, era: int) -> StoredValue:
    return StoredValue(
        key=etcd.decode_text(pair.key).decode(),
        value=etcd.decode_text(pair.value),
        mod_revision=Revision(era, int(pair.mod_revision)),
    )


def _make_comparison(key: str, expected: Revision) -> etcd.Compare:
    return etcd.Compare(
        key=etcd.encode_text(key),
        mod_revision=str(expected.number),
    )


def _make_write_operation(write: Write) -> etcd.RequestOp:
    key = etcd.encode_text(write.key)
    if write.value is None:
        delete = etcd.DeleteRequest(key=key)
        return etcd.RequestOp(request_delete_range=delete)
    put = etcd.PutRequest(
        key=key,
        value=etcd.encode_text(write.value),
        lease=str(write.lease.id if write.lease else 0),
    )
    return etcd.RequestOp(request_put=put)


def _make_read_operation(write: Write) -> etcd.RequestOp:
    read = etcd.RangeRequest(key=etcd.encode_text(write.key))
    return etcd.RequestOp(request_range=read)
