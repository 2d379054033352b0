"""The member table against a naive merge."""

from __future__ import annotations

import random
import unittest

from kumquathold_core.gossip import MemberState, MemberUpdate
from kumquathold_core.identity import NodeRecord
from kumquathold_core.member_table import (
    DEAD_KEPT_SECONDS,
    SUSPICION_SECONDS,
    MemberTable,
    rank_by_rendezvous,
)


def record(number: int, incarnation: int = 1, version: int = 1) -> NodeRecord:
    """A node's record."""
    return NodeRecord(
        address=f'10.0.0.{number}:7000',
        incarnation=incarnation,
        version=version,
        zone='a',
        region='north',
        admin='',
        leaving=False,
        upstreams=(),
        rate_groups=(),
    )


def key_of(rumour: MemberUpdate) -> tuple[int, int, int]:
    """What decides between two rumours."""
    told = rumour.record
    return told.incarnation, told.version, rumour.health


def draw_rumour(rng: random.Random) -> MemberUpdate:
    """A rumour about one of a few nodes."""
    told = record(rng.randint(2, 6), rng.randint(1, 3), rng.randint(1, 4))
    return MemberUpdate(told, MemberState(rng.randint(0, 2)))


def naive_merge(rumours: list[MemberUpdate]) -> dict[str, MemberUpdate]:
    """The highest rumour of each node."""
    best: dict[str, MemberUpdate] = {}
    for rumour in sorted(rumours, key=key_of):
        best[rumour.record.address] = rumour
    return best


class MergeTest(unittest.TestCase):
    """The order in which rumours arrive does not matter."""

    def test_tables_agree_with_the_naive_maximum(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            rumours = [draw_rumour(rng) for _ in range(60)]
            naive = naive_merge(rumours)
            digests = set()
            for _ in range(3):
                rng.shuffle(rumours)
                table = MemberTable(record(1), 0.0)
                for rumour in rumours * 2:
                    table.merge(rumour, 0.0)
                digests.add(table.digest)
                for address, best in naive.items():
                    held = table.rumour_of(address)
                    self.assertEqual(key_of(held), key_of(best))
            self.assertEqual(len(digests), 1)

    def test_node_refutes_rumours_of_its_death(self) -> None:
        table = MemberTable(record(1), 0.0)
        own = table.own
        self.assertTrue(table.merge(MemberUpdate(own, MemberState.dead), 1.0))
        self.assertGreater(table.own.version, own.version)
        told = table.rumour_of(own.address)
        self.assertEqual(told.health, MemberState.alive)

    def test_life_that_began_with_a_clock_set_back_overrules(self) -> None:
        table = MemberTable(record(1, incarnation=5), 0.0)
        earlier = MemberUpdate(
            record(1, incarnation=9, version=3), MemberState.alive
        )
        self.assertTrue(table.merge(earlier, 1.0))
        told = table.rumour_of(table.own.address)
        self.assertGreater(told.record.incarnation, 9)
        self.assertFalse(table.merge(earlier, 2.0))

    def test_suspects_die_and_are_forgotten_in_time(self) -> None:
        table = MemberTable(record(1), 0.0)
        table.merge(MemberUpdate(record(2), MemberState.alive), 0.0)
        self.assertTrue(table.suspect(record(2).address, 1.0))
        self.assertEqual(table.expire(1.0 + SUSPICION_SECONDS / 2), [])
        died = table.expire(1.0 + SUSPICION_SECONDS)
        self.assertEqual([one.address for one in died], [record(2).address])
        self.assertEqual(table.peers(), [])
        table.expire(10.0 + DEAD_KEPT_SECONDS)
        self.assertNotIn(record(2).address, table.members)

    def test_table_sends_only_what_another_lacks(self) -> None:
        first = MemberTable(record(1), 0.0)
        second = MemberTable(record(2), 0.0)
        for number in range(3, 90):
            for table in (first, second):
                table.merge(
                    MemberUpdate(record(number), MemberState.alive), 0.0
                )
        first.suspect(record(7).address, 1.0)
        first.merge(MemberUpdate(record(90), MemberState.alive), 1.0)
        lacking = first.rumours_beyond(second.short_states())
        told = {rumour.record.address for rumour in lacking}
        expected = {record(number).address for number in (1, 7, 90)}
        self.assertEqual(told, expected)
        for rumour in lacking:
            second.merge(rumour, 2.0)
        for rumour in second.rumours_beyond(first.short_states()):
            first.merge(rumour, 2.0)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(first.rumours_beyond(second.short_states()), [])

    def test_digest_forgets_who_is_forgotten(self) -> None:
        table = MemberTable(record(1), 0.0)
        alone = table.digest
        table.merge(MemberUpdate(record(2), MemberState.dead), 0.0)
        self.assertNotEqual(table.digest, alone)
        table.expire(DEAD_KEPT_SECONDS)
        self.assertEqual(table.digest, alone)

    def test_every_change_is_told_and_then_no_more(self) -> None:
        table = MemberTable(record(1), 0.0)
        for number in range(2, 30):
            table.merge(MemberUpdate(record(number), MemberState.alive), 0.0)
        told: set[str] = set()
        for _ in range(200):
            told.update(one.record.address for one in table.take_rumours())
        self.assertEqual(len(told), 29)
        self.assertEqual(table.take_rumours(), ())

    def test_ranking_is_the_same_everywhere_and_spread(self) -> None:
        nodes = [record(number) for number in range(1, 10)]
        shuffled = list(nodes)
        random.Random(1).shuffle(shuffled)
        firsts = set()
        for group in range(100):
            first = rank_by_rendezvous(nodes, f'group {group}')[0]
            self.assertEqual(
                first, rank_by_rendezvous(shuffled, f'group {group}')[0]
            )
            firsts.add(first.address)
        self.assertEqual(len(firsts), 9)
