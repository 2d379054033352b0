"""The member table of a node: who is there, and what is believed of each.

Pure: the time is passed in. Tables merge like this: the higher incarnation
wins, then the higher version, then the worse health. A node that hears itself
called suspect or dead raises its own version, which overrules the rumour.
"""

from __future__ import annotations

import hashlib
import math

import msgspec

from kumquathold_core.gossip import MemberState, MemberUpdate
from kumquathold_core.identity import NodeRecord

SUSPICION_SECONDS = 2.0
DEAD_KEPT_SECONDS = 7200.0
RETRANSMIT_FACTOR = 1.5
MAX_RUMOURS = 8
SHORT_STATE = 0xFFFFFFFF


class Member(msgspec.Struct):
    """A peer in the table."""

    record: NodeRecord
    """What it says of itself."""

    health: MemberState
    """What is believed of it."""

    since: float
    """When that belief began, in seconds of the monotonic clock."""


def is_newer(new: MemberUpdate, known: Member) -> bool:
    """Whether a rumour overrules what the table holds."""
    held = (known.record.incarnation, known.record.version, known.health)
    told = (new.record.incarnation, new.record.version, new.health)
    return told > held


class MemberTable:
    """Every node that this one has heard of, itself included."""

    def __init__(self, own: NodeRecord, now: float) -> None:
        """Start with the own record only."""
        self.own = own
        self.members: dict[str, Member] = {}
        self.pending: dict[str, int] = {}
        self.changes = 0
        self.states: dict[str, int] = {}
        self.digest = 0
        """Equal for equal tables, whatever the order of arrival."""
        self.cached_peers: list[str] | None = None
        self._put(Member(own, MemberState.alive, now))

    def living(self) -> list[NodeRecord]:
        """Records of all nodes that are not believed dead."""
        return [
            member.record
            for member in self.members.values()
            if member.health != MemberState.dead
        ]

    def suspects(self) -> list[str]:
        """Addresses of the nodes that are suspected now."""
        return [
            address
            for address, member in self.members.items()
            if member.health == MemberState.suspect
        ]

    def dead(self) -> list[str]:
        """Addresses of the nodes that are believed dead."""
        return [
            address
            for address, member in self.members.items()
            if member.health == MemberState.dead
        ]

    def is_doubted(self, address: str) -> bool:
        """Whether a known node is believed suspect or dead."""
        member = self.members.get(address)
        return member is not None and member.health != MemberState.alive

    def peers(self) -> list[str]:
        """Addresses of the other nodes that are not believed dead."""
        if self.cached_peers is None:
            self.cached_peers = [
                address
                for address, member in self.members.items()
                if member.health != MemberState.dead
                and address != self.own.address
            ]
        return list(self.cached_peers)

    def update_own(self, now: float, **changes: object) -> None:
        """Change the own record and have it told."""
        self.own = msgspec.structs.replace(
            self.own,
            version=self.own.version + 1,
            **changes,
        )
        self._put(Member(self.own, MemberState.alive, now))

    def merge(self, rumour: MemberUpdate, now: float) -> bool:
        """Take in a rumour; true where it changed the table."""
        address = rumour.record.address
        if address == self.own.address:
            return self._merge_own(rumour, now)
        known = self.members.get(address)
        if known is not None and not is_newer(rumour, known):
            return False
        self._put(Member(rumour.record, rumour.health, now))
        return True

    def suspect(self, address: str, now: float) -> bool:
        """Note that a node does not answer; true where that is new."""
        member = self.members.get(address)
        if member is None or member.health != MemberState.alive:
            return False
        self._put(Member(member.record, MemberState.suspect, now))
        return True

    def expire(self, now: float) -> list[NodeRecord]:
        """Declare long-suspected nodes dead, and name them."""
        died = []
        for address, member in list(self.members.items()):
            age = now - member.since
            if (
                member.health == MemberState.suspect
                and age >= SUSPICION_SECONDS
            ):
                self._put(Member(member.record, MemberState.dead, now))
                died.append(member.record)
            elif member.health == MemberState.dead and age >= DEAD_KEPT_SECONDS:
                self._drop(address)
        return died

    def take_rumours(self) -> tuple[MemberUpdate, ...]:
        """The changes that were told least often, to ride on a message."""
        times = math.ceil(
            RETRANSMIT_FACTOR * math.log2(len(self.members) + 1),
        )
        chosen = sorted(self.pending, key=self.pending.__getitem__)
        chosen = chosen[:MAX_RUMOURS]
        for address in chosen:
            self.pending[address] += 1
            if self.pending[address] >= times:
                self.pending.pop(address)
        return tuple(self.rumour_of(address) for address in chosen)

    def rumour_of(self, address: str) -> MemberUpdate:
        """What this table would tell of a node."""
        member = self.members[address]
        return MemberUpdate(record=member.record, health=member.health)

    def short_states(self) -> tuple[int, ...]:
        """Names each record and what is believed of it in 32 bits."""
        return tuple(state & SHORT_STATE for state in self.states.values())

    def rumours_beyond(self, states: tuple[int, ...]) -> list[MemberUpdate]:
        """What a table with these short states lacks."""
        known = frozenset(states)
        return [
            self.rumour_of(address)
            for address, state in self.states.items()
            if state & SHORT_STATE not in known
        ]

    def _merge_own(self, rumour: MemberUpdate, now: float) -> bool:
        told = rumour.record
        if told.incarnation < self.own.incarnation:
            return False
        if told.incarnation > self.own.incarnation:
            # The time of day went back between two lives of this address.
            self.own = msgspec.structs.replace(
                self.own,
                incarnation=told.incarnation + 1,
            )
            self.update_own(now)
            return True
        is_wrong = rumour.health != MemberState.alive
        if is_wrong and told.version >= self.own.version:
            self.own = msgspec.structs.replace(
                self.own,
                version=told.version,
            )
            self.update_own(now)
            return True
        return False

    def _put(self, member: Member) -> None:
        address = member.record.address
        state = _hash_member(member)
        self.digest ^= self.states.get(address, 0) ^ state
        self.states[address] = state
        self.members[address] = member
        self.pending[address] = 0
        self.changes += 1
        self.cached_peers = None

    def _drop(self, address: str) -> None:
        self.members.pop(address)
        self.pending.pop(address, None)
        self.digest ^= self.states.pop(address)
        self.cached_peers = None


def _hash_member(member: Member) -> int:
    record = member.record
    state = (
        f'{record.address} {record.incarnation} {record.version} '
        f'{member.health.value}'
    )
    digest = hashlib.blake2b(state.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def rank_by_rendezvous(
    nodes: list[NodeRecord], purpose: str
) -> list[NodeRecord]:
    """Order nodes by rendezvous hashing, the same in every table."""

    def weight(node: NodeRecord) -> bytes:
        text = f'{purpose} {node.address}'
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(nodes, key=weight)
