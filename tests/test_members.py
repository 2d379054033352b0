"""The member table, compared with a naive merge."""

from __future__ import annotations

import random
import unittest

from kumquathold_core.gossip import MemberState, MemberUpdate
from kumquathold_core.identity import NodeRecord
from kumquathold_core.member_table import (
    DEAD_RETENTION_SECONDS,
    SUSPICION_TIMEOUT_SECONDS,
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


def key_of(update: MemberUpdate) -> tuple[int, int, int]:
    """The precedence of an update."""
    received = update.record
    return received.incarnation, received.version, update.state


def draw_update(rng: random.Random) -> MemberUpdate:
    """Draw an update about one of a few nodes."""
    drawn = record(rng.randint(2, 6), rng.randint(1, 3), rng.randint(1, 4))
    return MemberUpdate(drawn, MemberState(rng.randint(0, 2)))


def naive_merge(updates: list[MemberUpdate]) -> dict[str, MemberUpdate]:
    """The update of highest precedence for each node."""
    best: dict[str, MemberUpdate] = {}
    for update in sorted(updates, key=key_of):
        best[update.record.address] = update
    return best


class MergeTest(unittest.TestCase):
    """Merging does not depend on the order of updates."""

    def test_tables_agree_with_the_naive_maximum(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            updates = [draw_update(rng) for _ in range(60)]
            naive = naive_merge(updates)
            digests = set()
            for _ in range(3):
                rng.shuffle(updates)
                table = MemberTable(record(1), 0.0)
                for update in updates * 2:
                    table.merge(update, 0.0)
                digests.add(table.digest)
                for address, best in naive.items():
                    current = table.make_update(address)
                    self.assertEqual(key_of(current), key_of(best))
            self.assertEqual(len(digests), 1)

    def test_node_refutes_updates_that_call_it_dead(self) -> None:
        table = MemberTable(record(1), 0.0)
        own = table.own
        self.assertTrue(table.merge(MemberUpdate(own, MemberState.dead), 1.0))
        self.assertGreater(table.own.version, own.version)
        current = table.make_update(own.address)
        self.assertEqual(current.state, MemberState.alive)

    def test_process_started_after_clock_was_set_back_wins(self) -> None:
        table = MemberTable(record(1, incarnation=5), 0.0)
        earlier = MemberUpdate(
            record(1, incarnation=9, version=3), MemberState.alive
        )
        self.assertTrue(table.merge(earlier, 1.0))
        current = table.make_update(table.own.address)
        self.assertGreater(current.record.incarnation, 9)
        self.assertFalse(table.merge(earlier, 2.0))

    def test_suspects_are_declared_dead_and_later_removed(self) -> None:
        table = MemberTable(record(1), 0.0)
        table.merge(MemberUpdate(record(2), MemberState.alive), 0.0)
        self.assertTrue(table.mark_suspect(record(2).address, 1.0))
        self.assertEqual(
            table.expire_members(1.0 + SUSPICION_TIMEOUT_SECONDS / 2), []
        )
        expired = table.expire_members(1.0 + SUSPICION_TIMEOUT_SECONDS)
        self.assertEqual([one.address for one in expired], [record(2).address])
        self.assertEqual(table.list_peers(), [])
        table.expire_members(10.0 + DEAD_RETENTION_SECONDS)
        self.assertNotIn(record(2).address, table.members)

    def test_sync_sends_only_missing_updates(self) -> None:
        first = MemberTable(record(1), 0.0)
        second = MemberTable(record(2), 0.0)
        for number in range(3, 90):
            for table in (first, second):
                table.merge(
                    MemberUpdate(record(number), MemberState.alive), 0.0
                )
        first.mark_suspect(record(7).address, 1.0)
        first.merge(MemberUpdate(record(90), MemberState.alive), 1.0)
        missing = first.list_missing_updates(second.list_short_hashes())
        addresses = {update.record.address for update in missing}
        expected = {record(number).address for number in (1, 7, 90)}
        self.assertEqual(addresses, expected)
        for update in missing:
            second.merge(update, 2.0)
        for update in second.list_missing_updates(first.list_short_hashes()):
            first.merge(update, 2.0)
        self.assertEqual(first.digest, second.digest)
        self.assertEqual(
            first.list_missing_updates(second.list_short_hashes()), []
        )

    def test_digest_omits_removed_members(self) -> None:
        table = MemberTable(record(1), 0.0)
        alone = table.digest
        table.merge(MemberUpdate(record(2), MemberState.dead), 0.0)
        self.assertNotEqual(table.digest, alone)
        table.expire_members(DEAD_RETENTION_SECONDS)
        self.assertEqual(table.digest, alone)

    def test_every_update_is_sent_a_limited_number_of_times(self) -> None:
        table = MemberTable(record(1), 0.0)
        for number in range(2, 30):
            table.merge(MemberUpdate(record(number), MemberState.alive), 0.0)
        sent: set[str] = set()
        for _ in range(200):
            sent.update(one.record.address for one in table.take_updates())
        self.assertEqual(len(sent), 29)
        self.assertEqual(table.take_updates(), ())

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
