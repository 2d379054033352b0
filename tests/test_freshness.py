"""The freshness tracker, compared with the known times of acceptance."""

from __future__ import annotations

import math
import random
import unittest

from kumquathold_core.freshness_tracker import (
    MAX_OUTAGE_REPORT_AGE_SECONDS,
    MAX_PROOF_AGE_SECONDS,
    FreshnessState,
    FreshnessTracker,
)
from kumquathold_core.gossip import FreshnessReport

NODES = 5
STEP_SECONDS = 0.2
BOUND_SECONDS = 5.0


class SimulatedFleet:
    """A simulated store and nodes that query it and each other, with losses."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.accepted_at = [0.0]
        self.trackers = [FreshnessTracker() for _ in range(NODES)]
        self.is_store_reachable = [True] * NODES
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
            self.is_store_reachable[node] = not self.is_store_reachable[node]
        for number, tracker in enumerate(self.trackers):
            if self.is_store_reachable[number] and self.rng.random() < 0.3:
                tracker.adopt_version(self.latest)
                tracker.record_proof(self.latest, self.now)
            self._ask_peer(tracker)

    def _ask_peer(self, tracker: FreshnessTracker) -> None:
        peer = self.rng.choice(self.trackers)
        if peer is tracker or self.rng.random() < 0.5:
            return
        requested_at = self.now - self.rng.uniform(0, 0.3)
        report = peer.make_report(self.now)
        if self.rng.random() < 0.5:
            tracker.adopt_version(report.version)
        tracker.record_peer_report(
            'peer', report, requested_at, is_near_store=False
        )


class FreshnessTest(unittest.TestCase):
    """Rules for proofs of freshness and outage reports."""

    def test_fresh_nodes_are_never_behind_for_long(self) -> None:
        for seed in range(100):
            fleet = SimulatedFleet(seed)
            for _ in range(400):
                fleet.step()
                self._check_bound(fleet, seed)

    def _check_bound(self, fleet: SimulatedFleet, seed: int) -> None:
        for tracker in fleet.trackers:
            state = tracker.decide_state(
                fleet.now,
                near_store=frozenset(),
                is_near_store=False,
            )
            if state == FreshnessState.fresh and tracker.version < fleet.latest:
                missed_at = fleet.accepted_at[tracker.version + 1]
                self.assertLess(fleet.now - missed_at, BOUND_SECONDS, seed)

    def test_versions_never_go_back(self) -> None:
        tracker = FreshnessTracker()
        self.assertTrue(tracker.adopt_version(5))
        self.assertFalse(tracker.adopt_version(4))
        self.assertFalse(tracker.adopt_version(5))
        self.assertEqual(tracker.version, 5)

    def test_proof_of_a_higher_version_proves_nothing(self) -> None:
        tracker = FreshnessTracker()
        tracker.adopt_version(1)
        tracker.record_proof(2, 10.0)
        self.assertFalse(tracker.is_fresh(10.0))

    def test_outage_needs_every_witness_near_the_store(self) -> None:
        tracker = FreshnessTracker()
        tracker.adopt_version(1)
        near = frozenset(('a', 'b'))
        now = 100.0
        tracker.record_store_failure(now)
        down = FreshnessReport(version=1, proof_age=math.inf, outage_age=0.5)
        up = FreshnessReport(version=1, proof_age=9.0, outage_age=math.inf)
        for report, expected in (
            (up, FreshnessState.cut_off),
            (down, FreshnessState.store_outage),
        ):
            tracker.record_peer_report('a', down, now, is_near_store=True)
            tracker.record_peer_report('b', report, now, is_near_store=True)
            state = tracker.decide_state(
                now, near_store=near, is_near_store=False
            )
            self.assertEqual(state, expected)
        late = now + MAX_OUTAGE_REPORT_AGE_SECONDS
        state = tracker.decide_state(late, near_store=near, is_near_store=False)
        self.assertEqual(state, FreshnessState.cut_off)

    def test_proof_expires_while_node_is_paused(self) -> None:
        tracker = FreshnessTracker()
        tracker.adopt_version(1)
        tracker.record_proof(1, 0.0)
        self.assertTrue(tracker.is_fresh(MAX_PROOF_AGE_SECONDS))
        self.assertFalse(tracker.is_fresh(MAX_PROOF_AGE_SECONDS + 0.1))
