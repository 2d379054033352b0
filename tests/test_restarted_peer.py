"""A peer that has restarted, as its fleet hears of it."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec

from kumquathold_core.gossip import MemberState, MemberUpdate, SyncResponse
from kumquathold_core.wire import Envelope
from kumquathold_node.membership_messages import PeerStartedEvent
from tests.link_stage import LinkStage


class RestartedPeerTest(LinkStage):
    """The owner is told, so that it can tell the peer what it knows."""

    def setUp(self) -> None:
        super().setUp()
        self.add_nodes(zones=1, nodes_per_zone=3)
        self.node, self.peer, other = self.nodes.values()
        self.owner: Any = self.node.kernel.find('owner')
        # The peer may hear of all others before it requests the table.
        self.record = self.peer.table.own
        self.sender = other.table.own.address

    def hear(self, incarnation: int) -> None:
        """Hear of the peer's record from another node."""
        record = msgspec.structs.replace(self.record, incarnation=incarnation)
        update = MemberUpdate(record, MemberState.alive)
        message = SyncResponse((update,))
        self.node.on_sync_response(Envelope(self.sender, 1, message))

    def test_owner_is_told_of_a_peer_that_asked_for_nothing(self) -> None:
        self.hear(incarnation=2)
        self.assertEqual(
            self.owner.task.post.mock_calls,
            [mock.call(PeerStartedEvent(self.record.address))],
        )

    def test_owner_is_told_once(self) -> None:
        for _ in range(3):
            self.hear(incarnation=2)
        self.assertEqual(self.owner.task.post.call_count, 1)

    def test_owner_is_not_told_of_the_same_process(self) -> None:
        self.hear(incarnation=1)
        self.owner.task.post.assert_not_called()
