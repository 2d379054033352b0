"""The membership service: heartbeats and gossip between nodes.

Each round one peer, drawn in shuffled turns, gets a heartbeat that carries
what changed. A peer that does not answer is tried through others before it is
suspected, so that a path that is cut one way does not make a node look dead.
"""

from __future__ import annotations

import random
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from kumquathold_core import gossip, member_table
from kumquathold_core.peer_clock import PeerClockReading
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.identity import NodeRecord, UpstreamRecord
    from kumquathold_core.wire import Envelope

DIRECT_SECONDS = 0.3
INDIRECT_SECONDS = 0.6
HELPERS = 3
TABLE_RECORDS = 32
TABLE_ASK_SECONDS = 2.0
FAR_PATIENCE = 4
URGENT_FANOUT = 16
NEWS_NEAR_FANOUT = 3
URGENT_FAR_FANOUT = 3
DEAD_PING_SECONDS = 1.0


class UpstreamsChangedEvent(msgspec.Struct, frozen=True):
    """The upstreams beside this node changed."""

    upstreams: tuple[UpstreamRecord, ...]
    """All that are announced now."""


class GroupsHeldEvent(msgspec.Struct, frozen=True):
    """The rate groups that this node holds changed."""

    groups: tuple[int, ...]
    """All that are held now."""


class LeaveCommand(msgspec.Struct, frozen=True):
    """The own node takes no new work from now on."""


class JoinCommand(msgspec.Struct, frozen=True):
    """Addresses to try to join by."""

    addresses: tuple[str, ...]
    """From settings or from the platform's seed record."""


class PingCommand(msgspec.Struct, frozen=True):
    """Somebody wants to hear of a peer now."""

    peer: str
    """Its address."""


class ReadClockCommand(msgspec.Struct, frozen=True):
    """A request needs a peer's clock before its first message to it."""

    peer: str
    """The peer's address."""

    reply: Future[PeerClockReading]
    """Takes the reading when the peer answers."""


class FleetView(msgspec.Struct, frozen=True):
    """What this node knows of the fleet; replaced whole when it changes."""

    nodes: tuple[NodeRecord, ...]
    """All nodes not believed dead, this one included."""

    by_address: dict[str, NodeRecord]
    """The same, by peer address."""

    suspects: frozenset[str]
    """Peer addresses of nodes that do not answer at the moment."""

    holders: dict[tuple[str, int], str]
    """Peer address of the rate holder, by region and group."""

    changes: int
    """Counts the views."""


class Heartbeat(msgspec.Struct):
    """A heartbeat that awaits its answer."""

    peer: str
    """Who was asked."""

    sent_at: float
    """Own monotonic clock, in seconds."""

    is_indirect: bool = False
    """Whether others were asked to try."""


class Membership:
    """Owns the member table; others read `view`."""

    def __init__(
        self,
        kernel: Kernel,
        own: NodeRecord,
        settings: Settings,
    ) -> None:
        """Find the services that are needed, and register."""
        self.transport: Transport = kernel.find('transport')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.table = member_table.MemberTable(own, monotonic())
        self.heartbeats: dict[int, Heartbeat] = {}
        self.readings: dict[str, PeerClockReading] = {}
        self.awaited: dict[str, list[Future[PeerClockReading]]] = {}
        self.turns: dict[bool, list[str]] = {True: [], False: []}
        self.rounds = 0
        self.far_rounds = settings.far_rounds
        self.number = 0
        self.seeds: tuple[str, ...] = ()
        self.table_asked_at = -TABLE_ASK_SECONDS
        self.dead_pinged_at = 0.0
        self.seen_changes = -1
        self.rng = random.Random(own.incarnation)
        self.view = self._make_view()
        self.task = Task(
            'membership',
            {
                gossip.Ping: self.on_ping,
                gossip.Pong: self.on_pong,
                gossip.IndirectPingRequest: self.on_indirect_ping_request,
                gossip.IndirectPong: self.on_indirect_pong,
                gossip.SyncRequest: self.on_sync_request,
                gossip.SyncResponse: self.on_sync_response,
                UpstreamsChangedEvent: self.on_upstreams_changed,
                GroupsHeldEvent: self.on_groups_held,
                LeaveCommand: self.on_leave,
                JoinCommand: self.on_join,
                PingCommand: self.on_ping_command,
                ReadClockCommand: self.on_read_clock,
            },
            tick=self.run_round,
            tick_seconds=settings.heartbeat,
        )
        self.transport.deliver_to(self.task)
        kernel.register('membership', self)
        kernel.add_task(self.task)

    def reading_of(self, peer: str, patience: float) -> PeerClockReading | None:
        """What is known of a peer's clock; asks and waits where nothing is."""
        node = self.view.by_address.get(peer)
        reading = self.readings.get(peer)
        least = node.incarnation if node else 0
        if reading is not None and reading.incarnation >= least:
            return reading
        reply: Future[PeerClockReading] = Future()
        self.task.post(ReadClockCommand(peer, reply))
        try:
            return reply.result(patience)
        except FutureTimeout:
            return None

    def run_round(self) -> None:
        """Send this round's heartbeat and judge the unanswered ones."""
        now = monotonic()
        self._judge_heartbeats(now)
        for record in self.table.expire_members(now):
            logger.warning('node declared dead', peer=record.address)
        if len(self.table.members) == 1:
            self._ask_seeds()
        peer = self._next_turn()
        if peer is not None:
            self._ping(peer, now)
        if now - self.dead_pinged_at >= DEAD_PING_SECONDS:
            self.dead_pinged_at = now
            self._ping_dead(now)
        self.transport.close_idle()
        self._refresh_view()

    def news_peers(self) -> list[str]:
        """A few peers to tell of news: of the own zone, and one beyond."""
        view = self.view
        own = self.table.own
        near = [one.address for one in view.nodes if one.zone == own.zone]
        far = [one.address for one in view.nodes if one.zone != own.zone]
        chosen = [
            *self.rng.sample(near, min(NEWS_NEAR_FANOUT, len(near))),
            *self.rng.sample(far, min(1, len(far))),
        ]
        return [peer for peer in chosen if peer != own.address]

    def on_ping(self, envelope: Envelope[gossip.Ping]) -> None:
        """Answer a heartbeat."""
        ping = envelope.message
        self._merge(ping.updates)
        pong = gossip.Pong(
            number=ping.number,
            on_behalf_of=ping.on_behalf_of,
            origin_number=ping.origin_number,
            clock=monotonic(),
            table_digest=self.table.digest,
            freshness=self.freshness.make_report(),
            updates=self._rumours_for(envelope.sender),
        )
        self.transport.try_send(envelope.sender, pong)
        self.freshness.record_peer_version(envelope.sender, ping.freshness)
        self._compare_tables(envelope.sender, ping.table_digest)

    def on_pong(self, envelope: Envelope[gossip.Pong]) -> None:
        """Take in an answer, or pass it to the node that wanted it."""
        pong = envelope.message
        self._merge(pong.updates)
        if pong.on_behalf_of:
            answer = gossip.IndirectPong(
                number=pong.origin_number,
                subject=envelope.sender,
            )
            self.transport.try_send(pong.on_behalf_of, answer)
            return
        heartbeat = self.heartbeats.pop(pong.number, None)
        if heartbeat is None:
            return
        reading = PeerClockReading(
            incarnation=envelope.incarnation,
            clock=pong.clock,
            requested_at=heartbeat.sent_at,
        )
        self.readings[envelope.sender] = reading
        for reply in self.awaited.pop(envelope.sender, ()):
            reply.set_result(reading)
        self.freshness.record_peer_report(
            envelope.sender,
            pong.freshness,
            heartbeat.sent_at,
        )
        self._compare_tables(envelope.sender, pong.table_digest)

    def on_indirect_ping_request(
        self, envelope: Envelope[gossip.IndirectPingRequest]
    ) -> None:
        """Try a third node for one that cannot reach it."""
        asked = envelope.message
        ping = self._make_ping(
            asked.subject,
            0,
            envelope.sender,
            asked.number,
        )
        self.transport.try_send(asked.subject, ping)

    def on_indirect_pong(self, envelope: Envelope[gossip.IndirectPong]) -> None:
        """Note that a node answers others."""
        self.heartbeats.pop(envelope.message.number, None)

    def on_sync_request(self, envelope: Envelope[gossip.SyncRequest]) -> None:
        """Send what the asker lacks, in parts."""
        self._merge(envelope.message.updates)
        rumours = self.table.list_missing_updates(
            envelope.message.record_hashes
        )
        for start in range(0, len(rumours), TABLE_RECORDS):
            part = tuple(rumours[start : start + TABLE_RECORDS])
            message = gossip.SyncResponse(updates=part)
            self.transport.try_send(envelope.sender, message)

    def on_sync_response(self, envelope: Envelope[gossip.SyncResponse]) -> None:
        """Take in a part of a peer's table."""
        self._merge(envelope.message.updates)

    def on_upstreams_changed(self, change: UpstreamsChangedEvent) -> None:
        """Tell the fleet at once."""
        self.table.update_own(monotonic(), upstreams=change.upstreams)
        self._spread_now()

    def on_groups_held(self, change: GroupsHeldEvent) -> None:
        """Tell the fleet at once."""
        self.table.update_own(monotonic(), rate_groups=change.groups)
        self._spread_now()

    def on_leave(self, _: LeaveCommand) -> None:
        """Tell the fleet at once."""
        self.table.update_own(monotonic(), leaving=True)
        self._spread_now()

    def on_join(self, given: JoinCommand) -> None:
        """Ask each for its table."""
        own = self.table.own.address
        self.seeds = tuple(one for one in given.addresses if one != own)
        self._ask_seeds()

    def on_ping_command(self, wanted: PingCommand) -> None:
        """Send a heartbeat out of turn."""
        self._ping(wanted.peer, monotonic())

    def on_read_clock(self, wanted: ReadClockCommand) -> None:
        """Ask a peer for its clock."""
        self.awaited.setdefault(wanted.peer, []).append(wanted.reply)
        self._ping(wanted.peer, monotonic())

    def _rumours_for(self, peer: str) -> tuple[gossip.MemberUpdate, ...]:
        """What to tell a peer: also that it is believed dead, to refute."""
        rumours = self.table.take_updates()
        if self.table.is_suspect_or_dead(peer):
            return (*rumours, self.table.make_update(peer))
        return rumours

    def _make_ping(
        self,
        peer: str,
        number: int,
        on_behalf_of: str = '',
        origin_number: int = 0,
    ) -> gossip.Ping:
        return gossip.Ping(
            number=number,
            on_behalf_of=on_behalf_of,
            origin_number=origin_number,
            table_digest=self.table.digest,
            freshness=self.freshness.make_report(),
            updates=self._rumours_for(peer),
        )

    def _ping(self, peer: str, now: float) -> None:
        self.number += 1
        self.heartbeats[self.number] = Heartbeat(peer, now)
        self.transport.try_send(peer, self._make_ping(peer, self.number))

    def _ping_dead(self, now: float) -> None:
        """Try a node believed dead: both sides of a cut may believe it."""
        dead = self.table.list_dead()
        if dead:
            self._ping(self.rng.choice(dead), now)

    def _next_turn(self) -> str | None:
        """The peer of this round: mostly one of the own zone."""
        self.rounds += 1
        is_far = self.rounds % self.far_rounds == 0
        peer = self._take_turn(is_far=is_far)
        return peer or self._take_turn(is_far=True)

    def _take_turn(self, *, is_far: bool) -> str | None:
        turns = self.turns[is_far]
        if not turns:
            turns.extend(self._peers(is_far=is_far))
            self.rng.shuffle(turns)
        return turns.pop() if turns else None

    def _peers(self, *, is_far: bool) -> list[str]:
        """Peers of other zones, or those of the own one.

        Where all rounds are alike, zones make no difference.
        """
        if self.far_rounds == 1:
            return self.table.list_peers()
        own_zone = self.table.own.zone
        return [
            peer
            for peer in self.table.list_peers()
            if (self.table.members[peer].record.zone != own_zone) == is_far
        ]

    def _judge_heartbeats(self, now: float) -> None:
        for number, heartbeat in list(self.heartbeats.items()):
            age = now - heartbeat.sent_at
            if age >= DIRECT_SECONDS + INDIRECT_SECONDS:
                self.heartbeats.pop(number)
                self.transport.reset(heartbeat.peer, heartbeat.sent_at)
                if self.table.mark_suspect(heartbeat.peer, now):
                    logger.info('node suspected', peer=heartbeat.peer)
            elif age >= DIRECT_SECONDS and not heartbeat.is_indirect:
                heartbeat.is_indirect = True
                self._ask_helpers(number, heartbeat.peer)

    def _ask_helpers(self, number: int, subject: str) -> None:
        others = [one for one in self.table.list_peers() if one != subject]
        helpers = self.rng.sample(others, min(HELPERS, len(others)))
        asked = gossip.IndirectPingRequest(number=number, subject=subject)
        for helper in helpers:
            self.transport.try_send(helper, asked)

    def _ask_seeds(self) -> None:
        """Ask one seed; a node that stays alone asks another next round."""
        if self.seeds:
            asked = _ask_for_table(self.table)
            self.transport.try_send(self.rng.choice(self.seeds), asked)

    def _compare_tables(self, peer: str, digest: int) -> None:
        now = monotonic()
        if digest == self.table.digest:
            self.table_asked_at = now
            return
        # Rumours usually settle a difference; a table is many of them.
        patience = TABLE_ASK_SECONDS
        if self.far_rounds > 1 and peer in self._peers(is_far=True):
            patience *= FAR_PATIENCE
        if now - self.table_asked_at < patience:
            return
        self.table_asked_at = now
        self.transport.try_send(peer, _ask_for_table(self.table))

    def _merge(self, rumours: tuple[gossip.MemberUpdate, ...]) -> None:
        now = monotonic()
        for rumour in rumours:
            self.table.merge(rumour, now)
        incarnation = self.table.own.incarnation
        if incarnation != self.transport.incarnation:
            logger.warning('incarnation raised', incarnation=incarnation)
            self.transport.incarnation = incarnation
        self._refresh_view()

    def _spread_now(self) -> None:
        self._refresh_view()
        chosen = self._urgent_peers()
        now = monotonic()
        for peer in chosen:
            self._ping(peer, now)

    def _urgent_peers(self) -> list[str]:
        if self.far_rounds == 1:
            peers = self.table.list_peers()
            return self.rng.sample(peers, min(URGENT_FANOUT, len(peers)))
        far = self._peers(is_far=True)
        drawn = self.rng.sample(far, min(URGENT_FAR_FANOUT, len(far)))
        return [*self._peers(is_far=False), *drawn]

    def _refresh_view(self) -> None:
        if self.seen_changes != self.table.change_count:
            self.view = self._make_view()

    def _make_view(self) -> FleetView:
        self.seen_changes = self.table.change_count
        nodes = tuple(self.table.list_live_records())
        holders = {
            (node.region, group): node.address
            for node in nodes
            for group in node.rate_groups
        }
        return FleetView(
            nodes=nodes,
            by_address={node.address: node for node in nodes},
            suspects=frozenset(self.table.list_suspects()),
            holders=holders,
            changes=self.table.change_count,
        )


def _ask_for_table(table: member_table.MemberTable) -> gossip.SyncRequest:
    own = table.make_update(table.own.address)
    return gossip.SyncRequest((own,), table.list_short_hashes())
