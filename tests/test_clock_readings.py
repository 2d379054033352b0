"""Readings of the clocks of peers in other zones carry little."""

from __future__ import annotations

from collections import defaultdict
from concurrent.futures import Future
from typing import Any

from kumquathold_core.gossip import Ping, Pong
from kumquathold_core.peer_clock import PeerClockReading
from kumquathold_core.wire import Envelope
from kumquathold_node.membership_messages import ReadClockCommand
from tests.link_stage import LinkStage


class ClockReadingTest(LinkStage):
    """Each ingress reads the clock of an owner before its first request."""

    def read_clock(self, reader: str, peer: str) -> list[Ping | Pong]:
        """Read a peer's clock; return the ping and the pong."""
        nodes = self.nodes
        sent: list[Ping | Pong] = []

        def send(_: str, message: Ping | Pong) -> bool:
            sent.append(message)
            return True

        for address in (reader, peer):
            transport: Any = nodes[address].transport
            transport.opened_at = defaultdict(float)
            transport.try_send = send
        reply: Future[PeerClockReading] = Future()
        nodes[reader].on_read_clock(ReadClockCommand(peer, reply))
        ping = sent[0]
        assert isinstance(ping, Ping)
        nodes[peer].on_ping(Envelope(reader, 1, ping))
        pong = sent[1]
        assert isinstance(pong, Pong)
        nodes[reader].on_pong(Envelope(peer, 1, pong))
        self.assertGreater(reply.result(0).clock, 0)
        return sent[:2]

    def test_reading_beyond_the_zone_carries_no_updates(self) -> None:
        """At the start of a fleet they came to most bytes between regions."""
        self.add_nodes(zones=2, nodes_per_zone=2)
        first, near, far, _ = self.nodes
        for message in self.read_clock(first, far):
            self.assertEqual(message.updates, ())
        ping, _ = self.read_clock(first, near)
        assert isinstance(ping, Ping)
        self.assertFalse(ping.is_clock_reading)
