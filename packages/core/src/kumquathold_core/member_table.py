"""The member table of a node: a gossiped membership list as in SWIM.

Tables merge by precedence: the higher incarnation wins, then the higher
version, then the worse state. A node that is reported suspect or dead refutes
it by raising its own version. Holds no clock: the time is passed in.
"""

from __future__ import annotations

import hashlib
import math

import msgspec

from kumquathold_core.departures import DepartureTable
from kumquathold_core.gossip import MemberState, MemberUpdate
from kumquathold_core.identity import NodeRecord

SUSPICION_TIMEOUT_SECONDS = 2.0
"""Time in which a suspected node can refute before it is declared dead."""

DEAD_RETENTION_SECONDS = 7200.0
"""Time for which dead members stay in the table."""

RETRANSMIT_FACTOR = 1.5
"""Factor of log2 of the table's size: how often an update is sent."""

MAX_PIGGYBACKED_UPDATES = 8
"""Most updates that `take_updates` returns for one message."""

SHORT_HASH_MASK = 0xFFFFFFFF
"""Cuts record hashes to the 32 bits sent in a `SyncRequest`."""


class Member(msgspec.Struct):
    """A peer in the table."""

    record: NodeRecord
    """Record that it published about itself."""

    state: MemberState
    """Its state as this node knows it."""

    state_since: float
    """When that state began, in seconds of the monotonic clock."""


def is_newer(new: MemberUpdate, known: Member) -> bool:
    """Whether an update takes precedence over the member in the table."""
    current = (known.record.incarnation, known.record.version, known.state)
    received = (new.record.incarnation, new.record.version, new.state)
    return received > current


class MemberTable:
    """All known nodes, the own one included."""

    def __init__(self, own: NodeRecord, now: float) -> None:
        """Start with the own record only.

        `now` and every later time are seconds of the monotonic clock.
        """
        self.own = own
        self.members: dict[str, Member] = {}
        self.departures = DepartureTable()
        self.transmit_counts: dict[str, int] = {}
        """How often each update still to be gossiped was sent, by address."""
        self.change_count = 0
        self.record_hashes: dict[str, int] = {}
        self.digest = 0
        """XOR of all record hashes, so independent of the order of updates."""
        self.cached_peers: list[str] | None = None
        self._put(Member(own, MemberState.alive, now))

    def list_live_records(self) -> list[NodeRecord]:
        """List the records of all nodes that are not dead.

        An upstream that has left is leaving in them, whatever its node says.
        """
        return [
            self.departures.apply(member.record)
            for member in self.members.values()
            if member.state != MemberState.dead
        ]

    def list_suspects(self) -> list[str]:
        """List the addresses of the suspected nodes."""
        return [
            address
            for address, member in self.members.items()
            if member.state == MemberState.suspect
        ]

    def list_dead(self) -> list[str]:
        """List the addresses of the dead nodes."""
        return [
            address
            for address, member in self.members.items()
            if member.state == MemberState.dead
        ]

    def list_lost_records(self) -> list[NodeRecord]:
        """List the records of the dead nodes that had not drained."""
        return [
            member.record
            for member in self.members.values()
            if member.state == MemberState.dead and not member.record.leaving
        ]

    def list_peers(self) -> list[str]:
        """List the addresses of the other nodes that are not dead."""
        if self.cached_peers is None:
            self.cached_peers = [
                address
                for address, member in self.members.items()
                if member.state != MemberState.dead
                and address != self.own.address
            ]
        return list(self.cached_peers)

    def update_own(self, now: float, **changes: object) -> None:
        """Change fields of the own record and queue it for gossip."""
        self.own = msgspec.structs.replace(
            self.own,
            version=self.own.version + 1,
            **changes,
        )
        self._put(Member(self.own, MemberState.alive, now))

    def is_restart(self, record: NodeRecord) -> bool:
        """Whether a record is of a later process of a known node."""
        known = self.members.get(record.address)
        if known is None:
            return False
        return record.incarnation > known.record.incarnation

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Apply an update; return whether it changed the table."""
        address = update.record.address
        if address == self.own.address:
            return self._merge_own(update, now)
        known = self.members.get(address)
        if known is not None and not is_newer(update, known):
            return False
        self._put(Member(update.record, update.state, now))
        return True

    def mark_suspect(self, address: str, now: float) -> bool:
        """Suspect a node that does not answer; return whether that is new."""
        member = self.members.get(address)
        if member is None or member.state != MemberState.alive:
            return False
        self._put(Member(member.record, MemberState.suspect, now))
        return True

    def expire_members(self, now: float) -> list[NodeRecord]:
        """Apply the time-outs of suspect and dead members.

        Declares members dead after `SUSPICION_TIMEOUT_SECONDS` of suspicion
        and returns their records; removes dead ones after
        `DEAD_RETENTION_SECONDS`.
        """
        expired = []
        for address, member in list(self.members.items()):
            age = now - member.state_since
            if (
                member.state == MemberState.suspect
                and age >= SUSPICION_TIMEOUT_SECONDS
            ):
                self._put(Member(member.record, MemberState.dead, now))
                expired.append(member.record)
            elif (
                member.state == MemberState.dead
                and age >= DEAD_RETENTION_SECONDS
            ):
                self._remove(address)
        return expired

    def take_updates(self) -> tuple[MemberUpdate, ...]:
        """Choose the updates to piggyback on a message.

        The least transmitted go first. Each is sent a number of times that
        grows with the logarithm of the table's size.
        """
        transmit_limit = math.ceil(
            RETRANSMIT_FACTOR * math.log2(len(self.members) + 1),
        )
        chosen = sorted(
            self.transmit_counts, key=self.transmit_counts.__getitem__
        )
        chosen = chosen[:MAX_PIGGYBACKED_UPDATES]
        for address in chosen:
            self.transmit_counts[address] += 1
            if self.transmit_counts[address] >= transmit_limit:
                self.transmit_counts.pop(address)
        return tuple(self.make_update(address) for address in chosen)

    def make_update(self, address: str) -> MemberUpdate:
        """Make the update that describes a known node."""
        member = self.members[address]
        return MemberUpdate(record=member.record, state=member.state)

    def find_correction(self, address: str) -> MemberUpdate | None:
        """Return what a node must be told of itself, if anything.

        It refutes that it is suspect or dead, and it may not know that an
        upstream which it offers has left: its earlier process knew.
        """
        member = self.members.get(address)
        if member is None:
            return None
        record = self.departures.apply(member.record)
        is_right = record is member.record
        if is_right and member.state == MemberState.alive:
            return None
        return MemberUpdate(record=record, state=member.state)

    def list_short_hashes(self) -> tuple[int, ...]:
        """List the hash of each record and state, cut to 32 bits."""
        return tuple(
            record_hash & SHORT_HASH_MASK
            for record_hash in self.record_hashes.values()
        )

    def list_missing_updates(
        self, short_hashes: tuple[int, ...]
    ) -> list[MemberUpdate]:
        """List the updates that a table with these short hashes lacks."""
        known = frozenset(short_hashes)
        return [
            self.make_update(address)
            for address, record_hash in self.record_hashes.items()
            if record_hash & SHORT_HASH_MASK not in known
        ]

    def _merge_own(self, update: MemberUpdate, now: float) -> bool:
        received = update.record
        if received.incarnation < self.own.incarnation:
            return False
        if received.incarnation > self.own.incarnation:
            # An earlier process of this address had a higher incarnation:
            # incarnations come from the time of day, which was set back.
            self.own = msgspec.structs.replace(
                self.own,
                incarnation=received.incarnation + 1,
            )
            self.update_own(now)
            return True
        is_suspected = update.state != MemberState.alive
        if is_suspected and received.version >= self.own.version:
            self.own = msgspec.structs.replace(
                self.own,
                version=received.version,
            )
            self.update_own(now)
            return True
        return False

    def _put(self, member: Member) -> None:
        address = member.record.address
        self.departures.record(member.record)
        record_hash = _hash_member(member)
        self.digest ^= self.record_hashes.get(address, 0) ^ record_hash
        self.record_hashes[address] = record_hash
        self.members[address] = member
        self.transmit_counts[address] = 0
        self.change_count += 1
        self.cached_peers = None

    def _remove(self, address: str) -> None:
        self.members.pop(address)
        self.transmit_counts.pop(address, None)
        self.digest ^= self.record_hashes.pop(address)
        self.cached_peers = None


def _hash_member(member: Member) -> int:
    record = member.record
    text = (
        f'{record.address} {record.incarnation} {record.version} '
        f'{member.state.value}'
    )
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank_by_rendezvous(
    nodes: list[NodeRecord], purpose: str
) -> list[NodeRecord]:
    """Order nodes by rendezvous hashing for a purpose.

    The order depends on the addresses only, so all nodes with the same
    members agree on it.
    """

    def weight(node: NodeRecord) -> bytes:
        text = f'{purpose} {node.address}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(nodes, key=weight)
