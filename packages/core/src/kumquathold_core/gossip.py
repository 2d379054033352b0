"""Messages of membership between nodes."""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core.identity import NodeRecord


class MemberState(enum.IntEnum):
    """What the fleet believes of a node; the higher wins at one version."""

    alive = 0
    suspect = 1
    dead = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A node's record and what is believed of it."""

    record: NodeRecord
    """What the node said of itself."""

    health: MemberState
    """What its peers say of it."""


class FreshnessReport(msgspec.Struct, frozen=True, array_like=True):
    """How sure a node is that its configuration is the latest."""

    version: int
    """The configuration that the node has in force."""

    proof_age: float
    """Seconds since the question whose answer proved it the latest."""

    outage_age: float
    """Seconds since the node's own failed call to the platform."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='ping'):
    """A heartbeat."""

    number: int
    """Matches the answer to the question."""

    on_behalf_of: str
    """Address of the node that asked for this heartbeat, or empty."""

    origin_number: int
    """The number that node gave its own heartbeat."""

    table_digest: int
    """Digest of the sender's member table."""

    freshness: FreshnessReport
    """The sender's configuration."""

    rumours: tuple[MemberUpdate, ...]
    """Changes of membership."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='pong'):
    """The answer to a heartbeat."""

    number: int
    """From the heartbeat."""

    on_behalf_of: str
    """From the heartbeat."""

    origin_number: int
    """From the heartbeat."""

    clock: float
    """The answering node's monotonic clock, in seconds."""

    table_digest: int
    """Digest of the sender's member table."""

    freshness: FreshnessReport
    """The sender's configuration."""

    rumours: tuple[MemberUpdate, ...]
    """Changes of membership."""


class IndirectPingRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='indirect',
):
    """A node asks another to try a third that does not answer it."""

    number: int
    """The asker's number of the unanswered heartbeat."""

    subject: str
    """Address of the node that does not answer."""


class IndirectPong(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='indirect-pong',
):
    """The third node did answer."""

    number: int
    """The asker's number of the unanswered heartbeat."""

    subject: str
    """Address of the node that answered."""


class SyncRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='table-ask'
):
    """A node that joins or whose table differs asks for what it lacks."""

    rumours: tuple[MemberUpdate, ...]
    """The asker's own record at least."""

    states: tuple[int, ...] = ()
    """Short hashes of the records that the asker has, 32 bits each."""


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag='table'):
    """A part of what another's member table lacks."""

    rumours: tuple[MemberUpdate, ...]
    """At most a few dozen records."""
