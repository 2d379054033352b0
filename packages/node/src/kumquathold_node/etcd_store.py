"""The platform's key-value service, by etcd's v3 JSON gateway.

Every call takes one HTTP request on a connection of its own thread.
"""

from __future__ import annotations

import http
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from kumquathold_core import etcd
from kumquathold_node.http_calls import HttpCalls
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    Lease,
    ReadResult,
    StoredValue,
    StoreRefused,
    StoreUnavailable,
    SwapResult,
    Write,
)

MAX_DETAIL = 200

Answer = TypeVar('Answer')


class EtcdStore:
    """The adapter; its methods may be called from any thread."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        """Connect to nothing yet."""
        self.calls = HttpCalls(address)
        self.metrics = metrics

    def read(self, key: str) -> ReadResult:
        """Read one key."""
        return self._range(etcd.RangeRequest(key=etcd.encode_text(key)))

    def read_prefix(
        self,
        prefix: str,
        *,
        limit: int = 0,
        keys_only: bool = False,
    ) -> ReadResult:
        """Read all keys that start with a prefix."""
        return self._range(
            etcd.RangeRequest(
                key=etcd.encode_text(prefix),
                range_end=etcd.encode_text(etcd.get_prefix_end(prefix)),
                limit=str(limit),
                keys_only=keys_only,
            ),
        )

    def swap(self, writes: Sequence[Write]) -> SwapResult:
        """Write several keys together if all conditions hold."""
        request = etcd.TxnRequest(
            compare=[
                _compare(write)
                for write in writes
                if write.expected_revision is not None
            ],
            success=[_step(write) for write in writes],
            failure=[_read_step(write) for write in writes],
        )
        answer = self._call('/v3/kv/txn', request, etcd.TxnResponse)
        found = [
            _stored(pair)
            for response in answer.responses
            if response.response_range is not None
            for pair in response.response_range.kvs
        ]
        return SwapResult(
            succeeded=answer.succeeded,
            revision=int(answer.header.revision),
            found=() if answer.succeeded else tuple(found),
        )

    def grant_lease(self, seconds: float) -> Lease:
        """Start a lease."""
        answer = self._call(
            '/v3/lease/grant',
            etcd.LeaseRequest(ttl=str(int(seconds))),
            etcd.LeaseResponse,
        )
        return Lease(id=int(answer.id), seconds=float(answer.ttl))

    def keep_alive(self, lease: int) -> Lease:
        """Prolong a lease; 0 seconds mean that it has ended."""
        answer = self._call(
            '/v3/lease/keepalive',
            etcd.LeaseRequest(id=str(lease)),
            etcd.KeepAliveResponse,
        )
        return Lease(id=lease, seconds=float(answer.result.ttl))

    def revoke_lease(self, lease: int) -> None:
        """End a lease, and with it the keys that go with it."""
        self._call(
            '/v3/lease/revoke',
            etcd.LeaseRequest(id=str(lease)),
            etcd.LeaseResponse,
        )

    def _range(self, request: etcd.RangeRequest) -> ReadResult:
        answer = self._call('/v3/kv/range', request, etcd.RangeResponse)
        return ReadResult(
            revision=int(answer.header.revision),
            found=tuple(_stored(pair) for pair in answer.kvs),
        )

    def _call(
        self,
        path: str,
        request: msgspec.Struct,
        kind: type[Answer],
    ) -> Answer:
        self.metrics.count(f'platform.calls{path.replace("/", ".")}')
        body = msgspec.json.encode(request)
        try:
            reply = self.calls.call('POST', path, body)
        except StoreUnavailable:
            self.metrics.count('platform.unavailable')
            raise
        if reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable(f'{path}: status {reply.status}')
        if reply.status != http.HTTPStatus.OK:
            detail = reply.body[:MAX_DETAIL]
            raise StoreRefused(f'{path}: status {reply.status} {detail!r}')
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.MsgspecError as error:
            raise StoreRefused(f'{path}: {error}') from error


def _stored(pair: etcd.KeyValue) -> StoredValue:
    return StoredValue(
        key=etcd.decode_text(pair.key).decode(),
        value=etcd.decode_text(pair.value),
        mod_revision=int(pair.mod_revision),
        create_revision=int(pair.create_revision),
    )


def _compare(write: Write) -> etcd.Compare:
    return etcd.Compare(
        key=etcd.encode_text(write.key),
        mod_revision=str(write.expected_revision),
    )


def _step(write: Write) -> etcd.RequestOp:
    key = etcd.encode_text(write.key)
    if write.value is None:
        delete = etcd.DeleteRequest(key=key)
        return etcd.RequestOp(request_delete_range=delete)
    put = etcd.PutRequest(
        key=key,
        value=etcd.encode_text(write.value),
        lease=str(write.lease),
    )
    return etcd.RequestOp(request_put=put)


def _read_step(write: Write) -> etcd.RequestOp:
    read = etcd.RangeRequest(key=etcd.encode_text(write.key))
    return etcd.RequestOp(request_range=read)
