"""Wire messages of the gossip membership protocol, which follows SWIM.

Nodes probe each other directly and through helpers, and piggyback member
updates and the freshness of their configuration on these messages.
"""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core.identity import NodeRecord
from kumquathold_core.load_table import LoadReport
from kumquathold_core.route_reports import RouteReport
from kumquathold_core.zone_evacuations import EvacuationReading


class MemberState(enum.IntEnum):
    """State of a member; at equal versions the higher value wins."""

    alive = 0
    suspect = 1
    dead = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A node's record and its state as the sender knows it."""

    record: NodeRecord
    """Record that the node published about itself."""

    state: MemberState
    """Result of failure detection by its peers."""


class FreshnessReport(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of a node that its configuration is the latest."""

    version: int
    """Version of the configuration that the node has in force."""

    proof_age: float
    """Seconds since the request whose response proved it the latest."""

    outage_age: float
    """Seconds since the node's last call to the store that failed."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='ping'):
    """A heartbeat: the direct or indirect probe of a peer."""

    number: int
    """Sequence number, by which the `Pong` is matched to the ping."""

    on_behalf_of: str
    """Address of the node that requested an indirect probe, or empty."""

    origin_number: int
    """Sequence number of the requesting node's own heartbeat."""

    table_digest: int
    """Digest of the sender's member table, to detect differences."""

    freshness: FreshnessReport
    """Freshness of the sender's configuration."""

    updates: tuple[MemberUpdate, ...]
    """Piggybacked member updates."""

    evacuations: EvacuationReading | None = None
    """Zones that the sender read as evacuated, if it ever read of any."""

    loads: tuple[LoadReport, ...] = ()
    """Loads of upstreams, if nodes exchange them."""

    routes: tuple[RouteReport, ...] = ()
    """Sizes and durations of routes, likewise."""

    is_clock_reading: bool = False
    """Whether the sender only needs the clock of a peer in another zone.

    Neither this message nor its response then carries updates, loads or routes.
    """


class Pong(msgspec.Struct, frozen=True, array_like=True, tag='pong'):
    """The response to a heartbeat."""

    number: int
    """Copied from the heartbeat."""

    on_behalf_of: str
    """Copied from the heartbeat."""

    origin_number: int
    """Copied from the heartbeat."""

    clock: float
    """Monotonic clock of the responding node, in seconds."""

    table_digest: int
    """Digest of the sender's member table, to detect differences."""

    freshness: FreshnessReport
    """Freshness of the sender's configuration."""

    updates: tuple[MemberUpdate, ...]
    """Piggybacked member updates."""

    evacuations: EvacuationReading | None = None
    """Zones that the sender read as evacuated, if it ever read of any."""

    loads: tuple[LoadReport, ...] = ()
    """Loads of upstreams, if nodes exchange them."""

    routes: tuple[RouteReport, ...] = ()
    """Sizes and durations of routes, likewise."""


class IndirectPingRequest(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='indirect',
):
    """Requests that a helper probe a node that did not answer the sender."""

    number: int
    """The requester's sequence number of the unanswered heartbeat."""

    subject: str
    """Address of the node to probe."""


class IndirectPong(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='indirect-pong',
):
    """Reports to the requester that the probed node answered the helper."""

    number: int
    """The requester's sequence number of the unanswered heartbeat."""

    subject: str
    """Address of the node that was probed."""


class SyncRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='table-ask'
):
    """Requests the records that the sender lacks (anti-entropy).

    Sent on joining and when table digests differ.
    """

    updates: tuple[MemberUpdate, ...]
    """The requester's own record at least."""

    record_hashes: tuple[int, ...] = ()
    """Short hashes of the records that the requester has, 32 bits each."""


class SyncResponse(msgspec.Struct, frozen=True, array_like=True, tag='table'):
    """One batch of the records that the requester lacks."""

    updates: tuple[MemberUpdate, ...]
    """Records of this batch, at most a few dozen."""
