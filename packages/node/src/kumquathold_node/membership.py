"""The membership service: a failure detector with gossip, as in SWIM.

Each round sends a heartbeat to one peer, taken from a shuffled list, and
piggybacks member updates on it. A peer that does not respond is probed
indirectly, through other nodes, before it is suspected, so that a path that
fails in one direction does not make a node look dead.
"""

from __future__ import annotations

import random
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from kumquathold_core import departures, gossip, member_table
from kumquathold_core.peer_clock import PeerClockReading
from kumquathold_core.peer_selection import PeerSelector
from kumquathold_core.silence_detector import SilenceDetector
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.heartbeat_tracker import Heartbeat, HeartbeatTracker
from kumquathold_node.kernel import HandlerFailed, Kernel, Task
from kumquathold_node.load_exchange import LoadExchange
from kumquathold_node.membership_messages import (
    DeparturesLearnedEvent,
    GroupsHeldEvent,
    JoinCommand,
    LeaveCommand,
    PeerStartedEvent,
    PingCommand,
    ReadClockCommand,
    UpstreamsChangedEvent,
    UpstreamsRecalledEvent,
    WatchPeersCommand,
)
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport
from kumquathold_node.zone_evacuations import ZoneEvacuations

if TYPE_CHECKING:
    from kumquathold_core.identity import NodeRecord
    from kumquathold_core.wire import Envelope

SYNC_BATCH_RECORDS = 32
"""Most records in one `SyncResponse`."""

SYNC_INTERVAL_SECONDS = 2.0
"""Shortest time from an equal digest or a table request to the next request.

Gossip usually settles a difference sooner, and a table is far larger.
"""

FAR_SYNC_INTERVAL_FACTOR = 4
"""Lengthens `SYNC_INTERVAL_SECONDS` for peers of other zones."""

NOTICE_ZONE_FANOUT = 3
"""Peers of the own zone that a version notice is sent to."""

STARTED_PEER_SHARE = 0.5
"""Share of the known nodes that a peer which has just started knows at most."""

SUSPECTS_PER_ROUND = 3
"""Most suspected nodes that get a heartbeat in a round."""

DEAD_PING_SECONDS = 1.0
"""Interval of the heartbeats to a random dead node."""


class FleetView(msgspec.Struct, frozen=True):
    """Immutable view of the member table, replaced on each change."""

    nodes: tuple[NodeRecord, ...]
    """All nodes that are not dead, this one included."""

    by_address: dict[str, NodeRecord]
    """The same records, by peer address."""

    lost: tuple[NodeRecord, ...]
    """The dead nodes that had not drained."""

    suspects: frozenset[str]
    """Peer addresses of the suspected nodes."""

    holders: dict[tuple[str, int], str]
    """Peer address of the rate holder, by region and group."""

    change_count: int
    """Change count of the member table that the view was made from."""


class Membership:
    """Owns the member table; other threads read `view`."""

    def __init__(
        self,
        kernel: Kernel,
        own: NodeRecord,
        settings: Settings,
    ) -> None:
        """Look up the services that it uses, and register itself."""
        self.kernel = kernel
        self.transport: Transport = kernel.find('transport')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.evacuations: ZoneEvacuations = kernel.find('zone-evacuations')
        self.loads: LoadExchange = kernel.find('load-exchange')
        self.table = member_table.MemberTable(own, monotonic())
        self.heartbeats = HeartbeatTracker()
        self.silence_detector = SilenceDetector()
        self.watched_peers: tuple[str, ...] = ()
        self.seeds: tuple[str, ...] = ()
        self.last_sync_at = -SYNC_INTERVAL_SECONDS
        self.last_dead_ping_at = 0.0
        self.view_change_count = -1
        self.rng = random.Random(own.incarnation)
        self.peers = PeerSelector(self.table, settings.far_rounds, self.rng)
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
                WatchPeersCommand: self.on_watch_peers,
            },
            tick=self.run_round,
            tick_seconds=settings.heartbeat,
        )
        self.transport.deliver_to(self.task)
        kernel.register('membership', self)
        kernel.add_task(self.task)

    def read_peer_clock(
        self, peer: str, timeout: float
    ) -> PeerClockReading | None:
        """Return a reading of a peer's clock.

        Without a reading of the peer's current incarnation, sends a heartbeat
        and waits for at most `timeout` seconds; returns `None` on timeout.
        """
        node = self.view.by_address.get(peer)
        reading = self.heartbeats.readings.get(peer)
        min_incarnation = node.incarnation if node else 0
        if reading is not None and reading.incarnation >= min_incarnation:
            return reading
        reply: Future[PeerClockReading] = Future()
        self.task.post(ReadClockCommand(peer, reply))
        try:
            return reply.result(timeout)
        except (FutureTimeout, HandlerFailed):
            return None

    def get_last_answer_time(self, peer: str) -> float:
        """Return when the heartbeat was sent that a peer answered last.

        In seconds of the own monotonic clock, 0 for never.
        """
        return self.heartbeats.answered_at.get(peer, 0.0)

    def run_round(self) -> None:
        """Send this round's heartbeats and act on those not answered."""
        now = monotonic()
        self._check_heartbeats(now)
        for record in self.table.expire_members(now):
            logger.warning('node declared dead', peer=record.address)
        if len(self.table.members) == 1:
            self._sync_with_seed()
        peer = self.peers.take_probe_target()
        if peer is not None:
            self._ping(peer, now)
        for watched in self.watched_peers:
            self._ping(watched, now)
        self._ping_unreachable(now)
        self.transport.close_idle()
        self._refresh_view()

    def select_notice_peers(self) -> list[str]:
        """Draw a few peers of the own zone, and one of another zone."""
        view = self.view
        own = self.table.own
        near = [one.address for one in view.nodes if one.zone == own.zone]
        far = [one.address for one in view.nodes if one.zone != own.zone]
        chosen = [
            *self.rng.sample(near, min(NOTICE_ZONE_FANOUT, len(near))),
            *self.rng.sample(far, min(1, len(far))),
        ]
        return [peer for peer in chosen if peer != own.address]

    def on_ping(self, envelope: Envelope[gossip.Ping]) -> None:
        """Respond to a heartbeat."""
        ping = envelope.message
        self._merge(ping.updates)
        self.evacuations.record_peer_reading(ping.evacuations)
        self.loads.merge(ping.loads)
        self.loads.merge_routes(ping.routes)
        peer = envelope.sender
        pong = gossip.Pong(
            number=ping.number,
            on_behalf_of=ping.on_behalf_of,
            origin_number=ping.origin_number,
            clock=monotonic(),
            table_digest=self.table.digest,
            freshness=self.freshness.make_report(),
            updates=_list_corrections(self.table, peer),
            evacuations=self.evacuations.make_report(),
        )
        if not ping.is_clock_reading:
            pong = msgspec.structs.replace(
                pong,
                updates=(
                    *self._take_updates_for(peer),
                    *_make_refutation(self.table, ping.updates),
                ),
                loads=self.loads.make_reports(self.view, peer),
                routes=self.loads.make_route_reports(self.view, peer),
            )
        self.transport.try_send(peer, pong)
        self.freshness.record_peer_version(envelope.sender, ping.freshness)
        self._compare_digests(envelope.sender, ping.table_digest)

    def on_pong(self, envelope: Envelope[gossip.Pong]) -> None:
        """Process a response, or relay that of an indirect probe."""
        pong = envelope.message
        self._merge(pong.updates)
        self.evacuations.record_peer_reading(pong.evacuations)
        self.loads.merge(pong.loads)
        self.loads.merge_routes(pong.routes)
        if pong.on_behalf_of:
            relayed = gossip.IndirectPong(
                number=pong.origin_number,
                subject=envelope.sender,
            )
            self.transport.try_send(pong.on_behalf_of, relayed)
            return
        heartbeat = self.heartbeats.take(pong.number)
        if heartbeat is None:
            return
        self.silence_detector.record_answer(
            self.transport.get_opened_time(heartbeat.peer)
        )
        reading = PeerClockReading(
            incarnation=envelope.incarnation,
            clock=pong.clock,
            requested_at=heartbeat.sent_at,
            received_at=monotonic(),
        )
        self.heartbeats.record_reading(envelope.sender, reading)
        self.freshness.record_peer_report(
            envelope.sender,
            pong.freshness,
            heartbeat.sent_at,
        )
        self._compare_digests(envelope.sender, pong.table_digest)

    def on_indirect_ping_request(
        self, envelope: Envelope[gossip.IndirectPingRequest]
    ) -> None:
        """Probe a node on behalf of a peer that got no response from it."""
        request = envelope.message
        ping = self._make_ping(
            request.subject,
            0,
            envelope.sender,
            request.number,
        )
        self.transport.try_send(request.subject, ping)

    def on_indirect_pong(self, envelope: Envelope[gossip.IndirectPong]) -> None:
        """Count a heartbeat as answered; its peer responded to a helper."""
        self.heartbeats.take(envelope.message.number)

    def on_sync_request(self, envelope: Envelope[gossip.SyncRequest]) -> None:
        """Send the records that the requester lacks, in batches.

        A node that has restarted also gets the record of its earlier process.
        """
        updates = self.table.list_missing_updates(
            envelope.message.record_hashes
        )
        known_count = len(envelope.message.record_hashes)
        if known_count <= len(self.table.members) * STARTED_PEER_SHARE:
            _report_started(self.kernel, envelope.sender)
        self._merge(envelope.message.updates)
        for start in range(0, len(updates), SYNC_BATCH_RECORDS):
            batch = tuple(updates[start : start + SYNC_BATCH_RECORDS])
            message = gossip.SyncResponse(updates=batch)
            self.transport.try_send(envelope.sender, message)

    def on_sync_response(self, envelope: Envelope[gossip.SyncResponse]) -> None:
        """Merge a batch of a peer's records."""
        self._merge(envelope.message.updates)

    def on_upstreams_changed(self, change: UpstreamsChangedEvent) -> None:
        """Publish the upstreams of this node at once."""
        self.table.update_own(monotonic(), upstreams=change.upstreams)
        self._gossip_now()

    def on_groups_held(self, change: GroupsHeldEvent) -> None:
        """Publish the rate groups that this node holds at once."""
        self.table.update_own(monotonic(), rate_groups=change.groups)
        self._gossip_now()

    def on_leave(self, _: LeaveCommand) -> None:
        """Publish at once that this node drains."""
        self.table.update_own(monotonic(), leaving=True)
        self._gossip_now()

    def on_join(self, command: JoinCommand) -> None:
        """Remember the seeds, and request the table of one."""
        own = self.table.own.address
        self.seeds = tuple(one for one in command.addresses if one != own)
        self._sync_with_seed()

    def on_ping_command(self, command: PingCommand) -> None:
        """Send a heartbeat outside the rounds."""
        self._ping(command.peer, monotonic())

    def on_read_clock(self, command: ReadClockCommand) -> None:
        """Request a reading of a peer's clock by a heartbeat."""
        peer = command.peer
        self.heartbeats.await_reading(peer, command.reply)
        if not self.peers.is_far(peer):
            self._ping(peer, monotonic())
            return
        # Many ingresses send to an owner of another zone now and then, and each
        # needs a reading first; traffic between zones is billed.
        ping = gossip.Ping(
            number=self.heartbeats.add(peer, monotonic()),
            on_behalf_of='',
            origin_number=0,
            table_digest=self.table.digest,
            freshness=self.freshness.make_report(),
            updates=_list_corrections(self.table, peer),
            evacuations=self.evacuations.make_report(),
            is_clock_reading=True,
        )
        self.transport.try_send(peer, ping)

    def on_watch_peers(self, command: WatchPeersCommand) -> None:
        """Replace the peers that get a heartbeat in each round."""
        self.watched_peers = command.peers

    def _take_updates_for(self, peer: str) -> tuple[gossip.MemberUpdate, ...]:
        """Take the updates to piggyback on a message to a peer.

        What it must be told of itself goes with each message.
        """
        updates = self.table.take_updates()
        return (*updates, *_list_corrections(self.table, peer))

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
            updates=self._take_updates_for(peer),
            evacuations=self.evacuations.make_report(),
            loads=self.loads.make_reports(self.view, peer),
            routes=self.loads.make_route_reports(self.view, peer),
        )

    def _ping(self, peer: str, now: float) -> None:
        number = self.heartbeats.add(peer, now)
        self.transport.try_send(peer, self._make_ping(peer, number))

    def _ping_unreachable(self, now: float) -> None:
        """Ask suspected nodes again, and now and then a random dead one.

        The path may have been at fault, and may work again. After a partition
        both sides may consider each other dead, and would not probe each other
        otherwise.
        """
        suspects = self.table.list_suspects()
        count = min(len(suspects), SUSPECTS_PER_ROUND)
        for suspect in self.rng.sample(suspects, count):
            self._ping(suspect, now)
        dead = self.table.list_dead()
        if dead and now - self.last_dead_ping_at >= DEAD_PING_SECONDS:
            self.last_dead_ping_at = now
            self._ping(self.rng.choice(dead), now)

    def _check_heartbeats(self, now: float) -> None:
        for missed in self.heartbeats.take_unanswered(now):
            self.transport.reset(missed.peer, missed.sent_at)
            if self.table.mark_suspect(missed.peer, now):
                logger.info('node suspected', peer=missed.peer)
            if missed.peer not in self.table.list_dead():
                self._doubt_connections(missed, now)
        for number, late in self.heartbeats.take_late(now):
            self._request_indirect_pings(number, late.peer)

    def _doubt_connections(self, missed: Heartbeat, now: float) -> None:
        """Open new connections if the present ones seem to be silent."""
        doubted_since = self.silence_detector.record_timeout(
            missed.peer, missed.sent_at, now
        )
        if doubted_since is None:
            return
        self.transport.reset_all(doubted_since)
        logger.warning(
            'connections doubted', suspects=len(self.table.list_suspects())
        )

    def _request_indirect_pings(self, number: int, subject: str) -> None:
        request = gossip.IndirectPingRequest(number=number, subject=subject)
        for helper in self.peers.select_helpers(subject):
            self.transport.try_send(helper, request)

    def _sync_with_seed(self) -> None:
        """Request the table of a random seed.

        A node that knows no peer repeats this in each round.
        """
        if self.seeds:
            request = _make_sync_request(self.table)
            self.transport.try_send(self.rng.choice(self.seeds), request)

    def _compare_digests(self, peer: str, digest: int) -> None:
        now = monotonic()
        if digest == self.table.digest:
            self.last_sync_at = now
            return
        interval = SYNC_INTERVAL_SECONDS
        if self.peers.is_far(peer):
            interval *= FAR_SYNC_INTERVAL_FACTOR
        if now - self.last_sync_at < interval:
            return
        self.last_sync_at = now
        self.transport.try_send(peer, _make_sync_request(self.table))

    def _merge(self, updates: tuple[gossip.MemberUpdate, ...]) -> None:
        now = monotonic()
        for update in updates:
            if update.record.address == self.table.own.address:
                self._learn_from_earlier_process(update.record)
            elif self.table.is_restart(update.record):
                _report_started(self.kernel, update.record.address)
            self.table.merge(update, now)
        incarnation = self.table.own.incarnation
        if incarnation != self.transport.incarnation:
            logger.warning('incarnation raised', incarnation=incarnation)
            self.transport.incarnation = incarnation
        self._refresh_view()

    def _learn_from_earlier_process(self, record: NodeRecord) -> None:
        """Tell the owner which upstreams had left, and which were in use."""
        known = departures.list_leaving(self.table.own)
        left = [
            one for one in departures.list_leaving(record) if one not in known
        ]
        if left:
            event = DeparturesLearnedEvent(tuple(left))
            self.kernel.find('owner').task.post(event)
        used = tuple(one for one in record.upstreams if not one.leaving)
        if used and record.incarnation < self.table.own.incarnation:
            self.kernel.find('owner').task.post(UpstreamsRecalledEvent(used))

    def _gossip_now(self) -> None:
        self._refresh_view()
        now = monotonic()
        for peer in self.peers.select_urgent_peers():
            self._ping(peer, now)

    def _refresh_view(self) -> None:
        if self.view_change_count != self.table.change_count:
            self.view = self._make_view()

    def _make_view(self) -> FleetView:
        self.view_change_count = self.table.change_count
        nodes = tuple(self.table.list_live_records())
        holders = {
            (node.region, group): node.address
            for node in nodes
            for group in node.rate_groups
        }
        return FleetView(
            nodes=nodes,
            by_address={node.address: node for node in nodes},
            lost=tuple(self.table.list_lost_records()),
            suspects=frozenset(self.table.list_suspects()),
            holders=holders,
            change_count=self.table.change_count,
        )


def _make_sync_request(table: member_table.MemberTable) -> gossip.SyncRequest:
    own = table.make_update(table.own.address)
    return gossip.SyncRequest((own,), table.list_short_hashes())


def _list_corrections(
    table: member_table.MemberTable, peer: str
) -> tuple[gossip.MemberUpdate, ...]:
    """Return what a peer must be told of itself, if anything."""
    correction = table.find_correction(peer)
    return (correction,) if correction else ()


def _make_refutation(
    table: member_table.MemberTable, heard: tuple[gossip.MemberUpdate, ...]
) -> tuple[gossip.MemberUpdate, ...]:
    """Return the own record for a peer that reported something of it.

    While many updates spread, it would not soon be among those taken.
    """
    own = table.own.address
    if any(update.record.address == own for update in heard):
        return (table.make_update(own),)
    return ()


def _report_started(kernel: Kernel, peer: str) -> None:
    kernel.find('owner').task.post(PeerStartedEvent(peer))
