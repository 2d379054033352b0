"""Messages that spread configuration, and that share out rates."""

from __future__ import annotations

import msgspec


class VersionNotice(msgspec.Struct, frozen=True, array_like=True, tag='news'):
    """A configuration was accepted."""

    version: int
    """The accepted version."""


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='snap-ask'
):
    """A node asks a peer for the configuration that it has in force."""

    above: int
    """The version that the asker has."""


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag='snap'):
    """One piece of the compressed text of a configuration."""

    version: int
    """Version of the configuration."""

    digest: bytes
    """BLAKE2b digest of the compressed text."""

    total: int
    """Length of the compressed text, in bytes."""

    offset: int
    """Where the piece starts."""

    chunk: bytes
    """At most one piece's worth of bytes."""


class GrantUsage(msgspec.Struct, frozen=True, array_like=True):
    """What an ingress did with the tokens of one grant since its last word."""

    number: int
    """The grant's number."""

    workspace: str
    """Whose tokens."""

    spent: int
    """Tokens that requests used."""

    returned: int
    """Tokens that the ingress gives back unused."""


class GrantRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='grant-ask'
):
    """An ingress asks a holder for tokens."""

    number: int
    """Matches the answer to the question; names the grant."""

    workspace: str
    """Whose tokens."""

    wanted: int
    """Tokens that would be used soon."""

    reports: tuple[GrantUsage, ...]
    """On earlier grants of the same holder."""


class GrantResponse(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """The holder's answer."""

    number: int
    """From the question."""

    workspace: str
    """Whose tokens."""

    tokens: int
    """Tokens given, possibly none."""

    retry_after: float
    """Seconds until the next token, where none was given."""

    is_holder: bool
    """False where the asked node does not hold the workspace's group."""


class UsageNotice(msgspec.Struct, frozen=True, array_like=True, tag='lots'):
    """An ingress reports on grants without asking for more."""

    reports: tuple[GrantUsage, ...]
    """On grants of the receiving holder."""
