"""Messages to the membership service from the other services of a node."""

from __future__ import annotations

from concurrent.futures import Future

import msgspec

from kumquathold_core.departures import Departure
from kumquathold_core.identity import UpstreamRecord
from kumquathold_core.peer_clock import PeerClockReading


class UpstreamsChangedEvent(msgspec.Struct, frozen=True):
    """The upstreams of this node changed."""

    upstreams: tuple[UpstreamRecord, ...]
    """All upstreams that are announced now."""


class GroupsHeldEvent(msgspec.Struct, frozen=True):
    """The rate groups that this node holds changed."""

    groups: tuple[int, ...]
    """All groups that are held now."""


class DeparturesLearnedEvent(msgspec.Struct, frozen=True):
    """A peer knows of upstreams beside this node that have left.

    An earlier process of this node heard of it.
    """

    upstreams: tuple[UpstreamRecord, ...]
    """These upstreams."""


class DeparturesReadEvent(msgspec.Struct, frozen=True):
    """The departures that earlier processes of this node recorded are read."""

    departures: tuple[Departure, ...]
    """These departures."""


class UpstreamsRecalledEvent(msgspec.Struct, frozen=True):
    """A peer knows of upstreams that an earlier process of this node used."""

    upstreams: tuple[UpstreamRecord, ...]
    """Those that had not left."""


class ListeningEvent(msgspec.Struct, frozen=True):
    """Upstreams can announce themselves to this node from now on."""


class PeerStartedEvent(msgspec.Struct, frozen=True):
    """A peer has started: it may lack what its earlier process knew.

    Its record is of a later process, or it knows little of the fleet and has
    requested the member table.
    """

    peer: str
    """Its address."""


class LeaveCommand(msgspec.Struct, frozen=True):
    """Publish that this node drains and takes no new requests."""


class JoinCommand(msgspec.Struct, frozen=True):
    """Join the fleet by requesting the table of one of the seeds."""

    addresses: tuple[str, ...]
    """Seed addresses, from the settings or the seed record in the store."""


class PingCommand(msgspec.Struct, frozen=True):
    """Send a heartbeat to a peer now, outside its round."""

    peer: str
    """The peer's address."""


class ReadClockCommand(msgspec.Struct, frozen=True):
    """Read a peer's clock, for the deadlines in messages sent to it."""

    peer: str
    """The peer's address."""

    reply: Future[PeerClockReading]
    """Receives the reading when the peer responds."""


class WatchPeersCommand(msgspec.Struct, frozen=True):
    """Send a heartbeat to these peers in each round, beside its own."""

    peers: tuple[str, ...]
    """Peer addresses; empty to stop."""
