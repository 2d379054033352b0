"""Freshness against a judge who knows what was accepted when."""

from __future__ import annotations

import math
import random
import unittest

from kumquathold_core.freshness_tracker import (
    OUTAGE_REPORT_SECONDS,
    PROOF_SECONDS,
    FreshnessState,
    FreshnessTracker,
)
from kumquathold_core.gossip import FreshnessReport

NODES = 5
STEP_SECONDS = 0.2
BOUND_SECONDS = 5.0


class World:
    """A store, nodes that ask it and each other, and lost messages."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.accepted_at = [0.0]
        self.keepers = [FreshnessTracker() for _ in range(NODES)]
        self.reach = [True] * NODES
        self.now = 0.0

    @property
    def latest(self) -> int:
        """The newest accepted version."""
        return len(self.accepted_at) - 1

    def step(self) -> None:
        self.now += STEP_SECONDS
        if self.rng.random() < 0.05:
            self.accepted_at.append(self.now)
        if self.rng.random() < 0.1:
            node = self.rng.randrange(NODES)
            self.reach[node] = not self.reach[node]
        for number, keeper in enumerate(self.keepers):
            if self.reach[number] and self.rng.random() < 0.3:
                keeper.adopt(self.latest)
                keeper.prove(self.latest, self.now)
            self._ask_peer(keeper)

    def _ask_peer(self, keeper: FreshnessTracker) -> None:
        peer = self.rng.choice(self.keepers)
        if peer is keeper or self.rng.random() < 0.5:
            return
        asked_at = self.now - self.rng.uniform(0, 0.3)
        told = peer.describe(self.now)
        if self.rng.random() < 0.5:
            keeper.adopt(told.version)
        keeper.hear('peer', told, asked_at, is_near_store=False)


class FreshnessTest(unittest.TestCase):
    """What a proof is worth."""

    def test_fresh_nodes_are_never_behind_for_long(self) -> None:
        for seed in range(100):
            world = World(seed)
            for _ in range(400):
                world.step()
                self._judge(world, seed)

    def _judge(self, world: World, seed: int) -> None:
        for keeper in world.keepers:
            verdict = keeper.judge(
                world.now,
                near_store=frozenset(),
                is_near_store=False,
            )
            if (
                verdict == FreshnessState.fresh
                and keeper.version < world.latest
            ):
                missed_at = world.accepted_at[keeper.version + 1]
                self.assertLess(world.now - missed_at, BOUND_SECONDS, seed)

    def test_versions_never_go_back(self) -> None:
        keeper = FreshnessTracker()
        self.assertTrue(keeper.adopt(5))
        self.assertFalse(keeper.adopt(4))
        self.assertFalse(keeper.adopt(5))
        self.assertEqual(keeper.version, 5)

    def test_proof_of_a_higher_version_proves_nothing(self) -> None:
        keeper = FreshnessTracker()
        keeper.adopt(1)
        keeper.prove(2, 10.0)
        self.assertFalse(keeper.is_fresh(10.0))

    def test_outage_needs_every_witness_near_the_store(self) -> None:
        keeper = FreshnessTracker()
        keeper.adopt(1)
        near = frozenset(('a', 'b'))
        now = 100.0
        keeper.fail_store(now)
        down = FreshnessReport(version=1, proof_age=math.inf, outage_age=0.5)
        up = FreshnessReport(version=1, proof_age=9.0, outage_age=math.inf)
        for told, expected in (
            (up, FreshnessState.cut_off),
            (down, FreshnessState.store_outage),
        ):
            keeper.hear('a', down, now, is_near_store=True)
            keeper.hear('b', told, now, is_near_store=True)
            verdict = keeper.judge(now, near_store=near, is_near_store=False)
            self.assertEqual(verdict, expected)
        late = now + OUTAGE_REPORT_SECONDS
        verdict = keeper.judge(late, near_store=near, is_near_store=False)
        self.assertEqual(verdict, FreshnessState.cut_off)

    def test_frozen_node_finds_its_proof_old(self) -> None:
        keeper = FreshnessTracker()
        keeper.adopt(1)
        keeper.prove(1, 0.0)
        self.assertTrue(keeper.is_fresh(PROOF_SECONDS))
        self.assertFalse(keeper.is_fresh(PROOF_SECONDS + 0.1))
