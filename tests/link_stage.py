"""Several nodes' memberships on simulated links and a simulated clock."""

from __future__ import annotations

import unittest
from collections import deque
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_core.freshness_tracker import FreshnessTracker
from kumquathold_core.gossip import FreshnessReport, MemberState, MemberUpdate
from kumquathold_core.wire import Envelope, Message
from kumquathold_node import membership
from kumquathold_node.kernel import Kernel
from kumquathold_node.load_exchange import LoadExchange
from kumquathold_node.membership import Membership
from kumquathold_node.zone_evacuations import ZoneEvacuations
from tests.support import make_node_record

HEARTBEAT_SECONDS = 0.5
FAR_ROUNDS = 10
START_SECONDS = 100.0


class SimulatedLinks:
    """The sending end of one node: a link to each peer, opened on use."""

    def __init__(self, stage: LinkStage, address: str) -> None:
        self.stage = stage
        self.address = address
        self.incarnation = 1
        self.opened_at: dict[str, float] = {}

    def deliver_to(self, _: Any) -> None:
        """Receive nothing by itself; the stage delivers."""

    def close_idle(self) -> None:
        """Keep all links."""

    def try_send(self, receiver: str, message: Message) -> bool:
        """Send by the link, which may be silent."""
        opened_at = self.opened_at.setdefault(receiver, self.stage.now)
        if opened_at >= self.stage.silent_before:
            envelope = Envelope(self.address, self.incarnation, message)
            self.stage.sent.append((receiver, envelope))
        return True

    def get_opened_time(self, receiver: str) -> float:
        """Return when the link was opened."""
        return self.opened_at[receiver]

    def reset(self, receiver: str, opened_before: float) -> None:
        """Close a link that was opened before a time."""
        if self.opened_at.get(receiver, opened_before) < opened_before:
            self.opened_at.pop(receiver)

    def reset_all(self, opened_before: float) -> None:
        """Close the links that were opened before a time."""
        for receiver in list(self.opened_at):
            self.reset(receiver, opened_before)


class LinkStage(unittest.TestCase):
    """Nodes that know one another; links opened before a time are silent."""

    def setUp(self) -> None:
        self.now = START_SECONDS
        self.silent_before = 0.0
        self.sent: deque[tuple[str, Envelope[Any]]] = deque()
        clock = mock.patch.object(membership, 'monotonic', lambda: self.now)
        self.enterContext(clock)
        self.nodes: dict[str, Membership] = {}
        self.started: list[Any] = []

    def add_nodes(self, zones: int, nodes_per_zone: int) -> None:
        """Add nodes that know all others."""
        records = [
            make_node_record(f'10.0.{zone}.{number}:7400', f'zone-{zone}')
            for zone in range(zones)
            for number in range(nodes_per_zone)
        ]
        for own in records:
            self.nodes[own.address] = self.make_membership(own)
        for node in self.nodes.values():
            for record in records:
                node.table.merge(
                    MemberUpdate(record, MemberState.alive), self.now
                )

    def make_membership(self, own: Any) -> Membership:
        """Return the membership of one node, without its thread."""
        kernel = Kernel()
        report = FreshnessTracker().make_report(self.now)
        freshness = mock.Mock()
        freshness.make_report = lambda: report
        assert isinstance(report, FreshnessReport)
        kernel.register('transport', SimulatedLinks(self, own.address))
        kernel.register('freshness', freshness)
        kernel.register('metrics', mock.Mock())
        ZoneEvacuations(kernel)
        kernel.register('owner', mock.Mock())
        settings: Any = SimpleNamespace(
            heartbeat=HEARTBEAT_SECONDS,
            far_rounds=FAR_ROUNDS,
            load_reports=0,
            zone='a',
        )
        LoadExchange(kernel, settings)
        return Membership(kernel, own, settings)

    def run_for(self, seconds: float) -> None:
        """Let all nodes run their rounds."""
        end_at = self.now + seconds
        while self.now < end_at:
            for node in self.nodes.values():
                self.now += HEARTBEAT_SECONDS / len(self.nodes)
                node.run_round()
                self.deliver()

    def deliver(self) -> None:
        """Deliver what was sent, and what is sent in return."""
        while self.sent:
            receiver, envelope = self.sent.popleft()
            task = self.nodes[receiver].task
            task.handlers[type(envelope.message)](envelope)

    def silence_links(self) -> None:
        """Drop from now on what is sent on the links that are open."""
        self.silent_before = self.now

    def list_dead(self) -> list[tuple[str, str]]:
        """List who considers whom dead."""
        return [
            (address, dead)
            for address, node in self.nodes.items()
            for dead in node.table.list_dead()
        ]
