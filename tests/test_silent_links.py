"""Connections between nodes that fall silent while new ones work."""

from __future__ import annotations

import unittest

from kumquathold_core.silence_detector import SilenceDetector
from tests.link_stage import HEARTBEAT_SECONDS, LinkStage

SILENT_ROUNDS = 40


class SilenceDetectorTest(unittest.TestCase):
    """Which missed heartbeats make a node doubt its connections."""

    def setUp(self) -> None:
        self.detector = SilenceDetector()

    def test_one_silent_peer_is_no_reason_for_doubt(self) -> None:
        for moment in (1.0, 5.0, 9.0):
            doubt = self.detector.record_timeout('a', moment, moment + 1)
            self.assertIsNone(doubt)

    def test_two_silent_peers_in_a_row_are(self) -> None:
        self.detector.record_timeout('a', 1.0, 2.0)
        self.assertEqual(self.detector.record_timeout('b', 1.5, 2.5), 1.5)

    def test_answer_by_an_old_connection_ends_the_row(self) -> None:
        self.detector.record_timeout('a', 1.0, 2.0)
        self.detector.record_answer(opened_at=0.5)
        self.assertIsNone(self.detector.record_timeout('b', 2.5, 3.5))

    def test_answer_by_a_new_connection_says_nothing_of_the_others(
        self,
    ) -> None:
        self.detector.record_timeout('a', 1.0, 2.0)
        self.detector.record_answer(opened_at=2.0)
        self.assertEqual(self.detector.record_timeout('b', 1.5, 2.5), 1.5)

    def test_new_connections_get_time_before_the_next_doubt(self) -> None:
        self.detector.record_timeout('a', 1.0, 2.0)
        self.detector.record_timeout('b', 1.5, 2.5)
        for peer in ('c', 'd'):
            doubt = self.detector.record_timeout(peer, 2.0, 3.0)
            self.assertIsNone(doubt)


class SilentLinksTest(LinkStage):
    """A fleet whose open connections between nodes all fall silent."""

    def test_no_node_is_declared_dead(self) -> None:
        self.add_nodes(zones=6, nodes_per_zone=6)
        self.run_for(40)
        self.assertEqual(self.list_dead(), [])
        self.silence_links()
        dead: set[tuple[str, str]] = set()
        for _ in range(SILENT_ROUNDS):
            self.run_for(HEARTBEAT_SECONDS)
            dead.update(self.list_dead())
        self.assertEqual(dead, set())

    def test_lost_node_is_declared_dead_all_the_same(self) -> None:
        self.add_nodes(zones=2, nodes_per_zone=3)
        self.run_for(10)
        lost, *others = self.nodes
        self.nodes[lost].run_round = lambda: None  # type: ignore[method-assign]
        self.nodes[lost].task.handlers = dict.fromkeys(
            self.nodes[lost].task.handlers, lambda _: None
        )
        self.run_for(20)
        self.assertEqual(
            set(self.list_dead()), {(other, lost) for other in others}
        )
