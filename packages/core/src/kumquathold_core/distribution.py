"""Peer messages that distribute configuration and rate tokens."""

from __future__ import annotations

import msgspec


class VersionNotice(msgspec.Struct, frozen=True, array_like=True, tag='news'):
    """Announces to a peer that a configuration was accepted."""

    version: int
    """The accepted version."""


class SnapshotRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='snap-ask'
):
    """Asks a peer for the configuration that it has in force."""

    known_version: int
    """The version that the requester has."""


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag='snap'):
    """One chunk of the compressed text of a configuration."""

    version: int
    """Version of the configuration."""

    digest: bytes
    """BLAKE2b digest of the compressed text."""

    total: int
    """Length of the compressed text, in bytes."""

    offset: int
    """Where the chunk starts, in bytes."""

    chunk: bytes
    """The bytes from the offset on, one chunk at most."""


class GrantUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one grant by an ingress since its last report."""

    number: int
    """The grant's number."""

    workspace: str
    """The workspace that the tokens belong to."""

    spent: int
    """Tokens that requests used."""

    returned: int
    """Tokens that the ingress returns unused."""


class GrantRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='grant-ask'
):
    """Asks a holder for tokens."""

    number: int
    """Matches the response to the request, and identifies the grant."""

    workspace: str
    """The workspace that the tokens belong to."""

    wanted: int
    """Tokens that the ingress expects to use soon."""

    reports: tuple[GrantUsage, ...]
    """Usage of earlier grants of the same holder."""


class GrantResponse(msgspec.Struct, frozen=True, array_like=True, tag='grant'):
    """Answers a `GrantRequest`."""

    number: int
    """Number of the request."""

    workspace: str
    """The workspace that the tokens belong to."""

    tokens: int
    """Tokens granted, possibly none."""

    retry_after: float
    """Seconds until the next token, where none was granted."""

    is_holder: bool
    """False where the asked node does not hold the workspace's group."""


class UsageNotice(msgspec.Struct, frozen=True, array_like=True, tag='lots'):
    """Reports the usage of grants without asking for more tokens."""

    reports: tuple[GrantUsage, ...]
    """Usage of grants of the receiving holder."""
