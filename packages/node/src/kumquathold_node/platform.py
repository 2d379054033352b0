"""The platform's key-value service, by etcd's v3 JSON gateway.

Every call takes one HTTP request on a connection of its own thread. A call
without an answer may have taken effect: `StoreUnavailable` says nothing about
that, and callers that write must read before they say either.
"""

from __future__ import annotations

import http.client
import threading
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from kumquathold_core import etcd
from kumquathold_node.metrics import Metrics

CALL_TIMEOUT_SECONDS = 1.0
MAX_DETAIL = 200

Answer = TypeVar('Answer')


class PlatformError(Exception):
    """A call to the platform that failed."""


class StoreUnavailable(PlatformError):
    """No answer came; a write may have taken effect all the same."""


class StoreRefused(PlatformError):
    """The platform answered, with an error."""


class Stored(msgspec.Struct, frozen=True):
    """A value and its revision."""

    key: str
    """The key."""

    value: bytes
    """What is stored."""

    mod_revision: int
    """Revision of the last change, for compare-and-swap."""

    create_revision: int
    """Revision of the creation."""


class Reading(msgspec.Struct, frozen=True):
    """The answer to a read."""

    revision: int
    """The store's revision when it answered."""

    found: tuple[Stored, ...]
    """In the order of their keys."""


class Write(msgspec.Struct, frozen=True):
    """A conditional write of one key, with others in one transaction."""

    key: str
    """The key."""

    value: bytes | None
    """What to store; nothing deletes the key."""

    expected_revision: int | None
    """Revision that must be in place; 0 for no key, nothing for any."""

    lease: int = 0
    """The lease that the key goes with, 0 for none."""


class Swap(msgspec.Struct, frozen=True):
    """The answer to a conditional write."""

    succeeded: bool
    """Whether all conditions held and everything was written."""

    revision: int
    """The store's revision when it answered."""

    found: tuple[Stored, ...]
    """Where the conditions failed, the keys as they are."""


class Lease(msgspec.Struct, frozen=True):
    """A lease of the platform."""

    id: int
    """The platform's number for it."""

    seconds: float
    """How long it lasts from the last keep-alive."""


class Platform:
    """The adapter; its methods may be called from any thread."""

    def __init__(self, address: str, metrics: Metrics) -> None:
        """Connect to nothing yet."""
        self.address = address
        self.metrics = metrics
        self.local = threading.local()

    def read(self, key: str) -> Reading:
        """Read one key."""
        return self._range(etcd.RangeRequest(key=etcd.to_wire(key)))

    def read_prefix(
        self,
        prefix: str,
        *,
        limit: int = 0,
        keys_only: bool = False,
    ) -> Reading:
        """Read all keys that start with a prefix."""
        return self._range(
            etcd.RangeRequest(
                key=etcd.to_wire(prefix),
                range_end=etcd.to_wire(etcd.end_of_prefix(prefix)),
                limit=str(limit),
                keys_only=keys_only,
            ),
        )

    def swap(self, writes: Sequence[Write]) -> Swap:
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
        return Swap(
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

    def _range(self, request: etcd.RangeRequest) -> Reading:
        answer = self._call('/v3/kv/range', request, etcd.RangeResponse)
        return Reading(
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
        try:
            status, body = self._exchange(path, msgspec.json.encode(request))
        except (OSError, http.client.HTTPException) as error:
            self._forget_connection()
            self.metrics.count('platform.unavailable')
            raise StoreUnavailable(f'{path}: {error!r}') from error
        if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable(f'{path}: status {status}')
        if status != http.HTTPStatus.OK:
            raise StoreRefused(f'{path}: status {status} {body[:MAX_DETAIL]!r}')
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            raise StoreRefused(f'{path}: {error}') from error

    def _exchange(self, path: str, body: bytes) -> tuple[int, bytes]:
        connection = getattr(self.local, 'connection', None)
        if connection is None:
            connection = http.client.HTTPConnection(
                self.address,
                timeout=CALL_TIMEOUT_SECONDS,
            )
            self.local.connection = connection
        headers = {'Content-Type': 'application/json'}
        connection.request('POST', path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()

    def _forget_connection(self) -> None:
        connection = getattr(self.local, 'connection', None)
        self.local.connection = None
        if connection is not None:
            connection.close()


def _stored(pair: etcd.KeyValue) -> Stored:
    return Stored(
        key=etcd.from_wire(pair.key).decode(),
        value=etcd.from_wire(pair.value),
        mod_revision=int(pair.mod_revision),
        create_revision=int(pair.create_revision),
    )


def _compare(write: Write) -> etcd.Compare:
    return etcd.Compare(
        key=etcd.to_wire(write.key),
        mod_revision=str(write.expected_revision),
    )


def _step(write: Write) -> etcd.RequestOp:
    key = etcd.to_wire(write.key)
    if write.value is None:
        delete = etcd.DeleteRequest(key=key)
        return etcd.RequestOp(request_delete_range=delete)
    put = etcd.PutRequest(
        key=key,
        value=etcd.to_wire(write.value),
        lease=str(write.lease),
    )
    return etcd.RequestOp(request_put=put)


def _read_step(write: Write) -> etcd.RequestOp:
    read = etcd.RangeRequest(key=etcd.to_wire(write.key))
    return etcd.RequestOp(request_range=read)
