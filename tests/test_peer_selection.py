"""Which peers a node probes and tells of urgent updates."""

from __future__ import annotations

import random
import unittest

from kumquathold_core import peer_selection
from kumquathold_core.gossip import MemberState, MemberUpdate
from kumquathold_core.member_table import MemberTable
from kumquathold_core.peer_selection import PeerSelector
from tests.support import make_node_record

FAR_ROUNDS = 10
PEERS_PER_ZONE = 5


def make_selector(far_rounds: int) -> PeerSelector:
    """Make the selector of a node with five peers in each of two zones."""
    table = MemberTable(make_node_record('own', 'near'), 0.0)
    for zone in ('near', 'far'):
        for number in range(PEERS_PER_ZONE):
            record = make_node_record(f'{zone}-{number}', zone)
            table.merge(MemberUpdate(record, MemberState.alive), 0.0)
    return PeerSelector(table, far_rounds, random.Random(4))


class PeerSelectorTest(unittest.TestCase):
    """Peers of other zones are rarer, but none is left out."""

    def test_each_peer_is_probed_in_turn(self) -> None:
        selector = make_selector(1)
        peers = [
            selector.take_probe_target() for _ in range(2 * PEERS_PER_ZONE)
        ]
        self.assertEqual(len(set(peers)), 2 * PEERS_PER_ZONE)

    def test_one_round_in_ten_probes_another_zone(self) -> None:
        selector = make_selector(FAR_ROUNDS)
        rounds = FAR_ROUNDS * PEERS_PER_ZONE
        peers = [selector.take_probe_target() for _ in range(rounds)]
        far = [peer for peer in peers if peer and peer.startswith('far')]
        self.assertEqual(len(far), PEERS_PER_ZONE)
        self.assertEqual(len(set(far)), PEERS_PER_ZONE)

    def test_urgent_update_goes_to_the_zone_and_a_few_others(self) -> None:
        peers = make_selector(FAR_ROUNDS).select_urgent_peers()
        near = [peer for peer in peers if peer.startswith('near')]
        self.assertEqual(len(near), PEERS_PER_ZONE)
        self.assertEqual(
            len(peers) - len(near), peer_selection.URGENT_FAR_FANOUT
        )

    def test_peer_is_not_asked_to_probe_itself(self) -> None:
        for _ in range(FAR_ROUNDS):
            helpers = make_selector(1).select_helpers('near-1')
            self.assertNotIn('near-1', helpers)
            self.assertEqual(len(helpers), peer_selection.INDIRECT_HELPERS)


if __name__ == '__main__':
    unittest.main()
