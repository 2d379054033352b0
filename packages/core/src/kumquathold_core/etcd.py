"""The part of etcd's v3 JSON gateway format that the fleet speaks.

Keys and values travel in base64, whole numbers as strings. Both the adapter
and the stand-in use these types, so neither has a format of its own.
"""

from __future__ import annotations

import base64

import msgspec


def encode_text(raw: bytes | str) -> str:
    """Encode a key or value."""
    data = raw.encode() if isinstance(raw, str) else raw
    return base64.b64encode(data).decode()


def decode_text(text: str) -> bytes:
    """Decode a key or value."""
    return base64.b64decode(text)


def end_of_prefix(prefix: str) -> bytes:
    """The first key behind all keys that start with a prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


class Header(msgspec.Struct):
    """Comes with each response."""

    revision: str = '0'
    """The store's revision when it answered."""


class KeyValue(msgspec.Struct):
    """A stored value."""

    key: str
    """In base64."""

    value: str = ''
    """In base64."""

    create_revision: str = '0'
    """Revision that created the key."""

    mod_revision: str = '0'
    """Revision that last changed the key."""

    version: str = '0'
    """Counts the changes since the creation."""

    lease: str = '0'
    """The lease that the key goes with, 0 for none."""


class RangeRequest(msgspec.Struct, omit_defaults=True):
    """Reads one key, or all from `key` up to `range_end`."""

    key: str
    """In base64."""

    range_end: str = ''
    """In base64; empty for one key."""

    limit: str = '0'
    """Most keys to give, 0 for all."""

    keys_only: bool = False
    """Leaves the values out."""


class RangeResponse(msgspec.Struct):
    """What a read found."""

    header: Header = msgspec.field(default_factory=Header)
    """The store's revision."""

    kvs: list[KeyValue] = msgspec.field(default_factory=list)
    """In the order of their keys."""

    more: bool = False
    """Whether the limit cut the answer short."""


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
    """Only equality is used."""

    mod_revision: str = '0'
    """Compared where the target is `MOD`; 0 means that no key is there."""

    create_revision: str = '0'
    """Compared where the target is `CREATE`."""


class RequestOp(msgspec.Struct, omit_defaults=True):
    """One step of a transaction; exactly one field is set."""

    request_range: RangeRequest | None = None
    """Reads."""

    request_put: PutRequest | None = None
    """Writes."""

    request_delete_range: DeleteRequest | None = None
    """Deletes."""


class TxnRequest(msgspec.Struct, omit_defaults=True):
    """Steps that happen together, if all conditions hold."""

    compare: list[Compare] = msgspec.field(default_factory=list)
    """All must hold."""

    success: list[RequestOp] = msgspec.field(default_factory=list)
    """Done where they hold."""

    failure: list[RequestOp] = msgspec.field(default_factory=list)
    """Done otherwise."""


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
    """One for each step that was done."""


class LeaseRequest(
    msgspec.Struct, omit_defaults=True, rename={'id': 'ID', 'ttl': 'TTL'}
):
    """Grants, keeps alive or revokes a lease."""

    id: str = '0'
    """The lease; 0 lets the store choose."""

    ttl: str = '0'
    """Seconds that it lasts."""


class LeaseResponse(msgspec.Struct, rename={'id': 'ID', 'ttl': 'TTL'}):
    """A lease after the call."""

    header: Header = msgspec.field(default_factory=Header)
    """The store's revision."""

    id: str = '0'
    """The lease."""

    ttl: str = '0'
    """Seconds left; 0 where the lease has ended."""


class KeepAliveResponse(msgspec.Struct):
    """The gateway wraps what it streams."""

    result: LeaseResponse
    """The lease after the call."""
