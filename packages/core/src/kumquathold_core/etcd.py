"""Messages of etcd's v3 JSON gateway, as far as the fleet uses them.

Keys and values are encoded in base64, integers as strings. The store's client
and its stand-in share these types, so that their formats cannot diverge.
"""

from __future__ import annotations

import base64

import msgspec


def encode_text(raw: bytes | str) -> str:
    """Encode a key or value in base64."""
    data = raw.encode() if isinstance(raw, str) else raw
    return base64.b64encode(data).decode()


def decode_text(text: str) -> bytes:
    """Decode a key or value from base64."""
    return base64.b64decode(text)


def get_prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys that start with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


class Header(msgspec.Struct):
    """Header of each response."""

    revision: str = '0'
    """The store's revision when it answered."""

    cluster_id: str = ''
    """The cluster that answered; a restored one usually has another id."""

    raft_term: str = '0'
    """The cluster's term, which never falls."""


class KeyValue(msgspec.Struct):
    """A key with its value and metadata."""

    key: str
    """In base64."""

    value: str = ''
    """In base64."""

    create_revision: str = '0'
    """Revision that created the key."""

    mod_revision: str = '0'
    """Revision that last changed the key."""

    version: str = '0'
    """Number of changes since the creation."""

    lease: str = '0'
    """The lease that the key goes with, 0 for none."""


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Reads one key, or all from `key` up to `range_end`."""

    key: str
    """In base64."""

    range_end: str = ''
    """In base64; empty for one key."""

    limit: str = '0'
    """Maximum number of keys to return, 0 for all."""

    keys_only: bool = False
    """Whether to omit the values."""


class RangeResponse(msgspec.Struct):
    """The result of a read."""

    header: Header = msgspec.field(default_factory=Header)
    """The store's revision."""

    kvs: list[KeyValue] = msgspec.field(default_factory=list)
    """The keys found, in ascending order."""

    more: bool = False
    """Whether the limit truncated the result."""


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Writes one key."""

    key: str
    """In base64."""

    value: str = ''
    """In base64."""

    lease: str = '0'
    """The lease that the key goes with, 0 for none."""


class DeleteRequest(msgspec.Struct, omit_defaults=True):
    """Deletes one key."""

    key: str
    """In base64."""


class Compare(msgspec.Struct, omit_defaults=True):
    """A condition on a key's revision."""

    key: str
    """In base64."""

    target: str = 'MOD'
    """`MOD` or `CREATE`."""

    result: str = 'EQUAL'
    """The operator; only equality is used."""

    mod_revision: str = '0'
    """Compared if the target is `MOD`; 0 means that the key is absent."""

    create_revision: str = '0'
    """Compared if the target is `CREATE`."""


class RequestOp(msgspec.Struct, omit_defaults=True):
    """One step of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    """A read."""

    request_put: PutRequest | None = None
    """A write."""

    request_delete_range: DeleteRequest | None = None
    """A deletion."""


class TxnRequest(msgspec.Struct, omit_defaults=True):
    """A transaction: steps that run atomically, depending on conditions."""

    compare: list[Compare] = msgspec.field(default_factory=list)
    """The conditions, all of which must hold."""

    success: list[RequestOp] = msgspec.field(default_factory=list)
    """Steps to run if they hold."""

    failure: list[RequestOp] = msgspec.field(default_factory=list)
    """Steps to run otherwise."""


class ResponseOp(msgspec.Struct, omit_defaults=True):
    """The result of one step."""

    response_range: RangeResponse | None = None
    """Set for reads."""


class TxnResponse(msgspec.Struct):
    """The result of a transaction."""

    header: Header = msgspec.field(default_factory=Header)
    """The store's revision."""

    succeeded: bool = False
    """Whether the conditions held."""

    responses: list[ResponseOp] = msgspec.field(default_factory=list)
    """One for each step that was run."""


class LeaseRequest(
    msgspec.Struct, omit_defaults=True, rename={'id': 'ID', 'ttl': 'TTL'}
):
    """Grants, keeps alive or revokes a lease."""

    id: str = '0'
    """The lease; 0 lets the store choose."""

    ttl: str = '0'
    """Time to live in seconds."""


class LeaseResponse(msgspec.Struct, rename={'id': 'ID', 'ttl': 'TTL'}):
    """A lease after the call."""

    header: Header = msgspec.field(default_factory=Header)
    """The store's revision."""

    id: str = '0'
    """The lease."""

    ttl: str = '0'
    """Seconds left; 0 where the lease has ended."""


class KeepAliveResponse(msgspec.Struct):
    """A lease response, wrapped by the gateway as part of a stream."""

    result: LeaseResponse
    """The lease after the call."""

    @property
    def header(self) -> Header:
        """The header of the wrapped response."""
        return self.result.header
