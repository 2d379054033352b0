"""Upstreams that have announced their leaving, beside nodes that restart."""

from __future__ import annotations

import time
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core.gossip import MemberState, MemberUpdate, SyncResponse
from kumquathold_core.identity import NodeRecord, UpstreamRecord
from kumquathold_core.member_table import MemberTable
from kumquathold_core.wire import Envelope
from kumquathold_node.kernel import Kernel
from kumquathold_node.load_exchange import LoadExchange
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import DeparturesLearnedEvent
from kumquathold_node.zone_evacuations import ZoneEvacuations
from kumquathold_standins.processes import Node
from tests.owner_stage import OwnerStage
from tests.support import make_node_record
from tests.test_stated_limits import (
    arrivals_at,
    fleet_with_one_upstream,
    restart,
    send_note,
    sending,
)

LEFT = UpstreamRecord('u', 's', slots=4, ready=True, leaving=True, lifetime=7)
READY = msgspec.structs.replace(LEFT, leaving=False)
OWNER = '10.0.0.1:1'
SPREAD_SECONDS = 1.5
LATE_ANNOUNCEMENTS_SECONDS = 3.0
LOAD_SECONDS = 2.0
UNAVAILABLE = 503


class DepartureTest(unittest.TestCase):
    """A process of an upstream that has left does not come back."""

    def upstream_after(self, *upstreams: UpstreamRecord) -> UpstreamRecord:
        """Return what a peer believes after records of new processes."""
        peer = MemberTable(make_node_record('peer'), 0.0)
        for incarnation, upstream in enumerate(upstreams, 1):
            record = make_node_record(OWNER, 'a', incarnation, (upstream,))
            peer.merge(MemberUpdate(record, MemberState.alive), 0.0)
        (found,) = [
            one.upstreams[0]
            for one in peer.list_live_records()
            if one.address == OWNER
        ]
        return found

    def test_peers_remember_it_beyond_a_restart_of_the_owner(self) -> None:
        self.assertTrue(self.upstream_after(LEFT, READY).leaving)
        self.assertFalse(self.upstream_after(READY, READY).leaving)

    def test_next_process_of_that_name_is_used(self) -> None:
        later = msgspec.structs.replace(READY, lifetime=8)
        self.assertFalse(self.upstream_after(LEFT, later).leaving)

    def test_restarted_owner_learns_of_it_from_its_peers(self) -> None:
        for is_announced_first in (False, True):
            stage = OwnerStage.for_test(self)
            event = DeparturesLearnedEvent((LEFT,))
            if is_announced_first:
                stage.announce()
                stage.send(1)
            stage.owner.announcements.on_departures_learned(event)
            upstream = stage.announce()
            with self.subTest(is_announced_first):
                is_offered = upstream and not upstream.record.leaving
                self.assertFalse(is_offered)


class CorrectionTest(unittest.TestCase):
    """A peer tells a restarted owner what it offers in error."""

    def test_owner_whose_new_record_came_first_is_told(self) -> None:
        own = make_node_record(OWNER, 'a', 2, (READY,))
        owner, learned = make_membership(own)
        peer = MemberTable(make_node_record('peer'), 0.0)
        for record in (make_node_record(OWNER, 'a', 1, (LEFT,)), own):
            peer.merge(MemberUpdate(record, MemberState.alive), 0.0)
        correction = peer.find_correction(OWNER)
        self.assertIsNotNone(correction)
        if correction:
            owner.on_sync_response(
                Envelope('peer', 1, SyncResponse(updates=(correction,)))
            )
        self.assertEqual(learned, [DeparturesLearnedEvent((LEFT,))])

    def test_owner_that_is_right_is_told_nothing(self) -> None:
        peer = MemberTable(make_node_record('peer'), 0.0)
        for upstream in (READY, LEFT):
            record = make_node_record(OWNER, 'a', 1, (upstream,))
            peer.merge(MemberUpdate(record, MemberState.alive), 0.0)
            self.assertIsNone(peer.find_correction(OWNER))
        owner, learned = make_membership(
            make_node_record(OWNER, 'a', 1, (LEFT,))
        )
        echo = MemberUpdate(owner.table.own, MemberState.alive)
        owner.on_sync_response(
            Envelope('peer', 1, SyncResponse(updates=(echo,)))
        )
        self.assertEqual(learned, [])


def make_membership(own: NodeRecord) -> tuple[Membership, list[object]]:
    """Make the membership of an owner, and the list of what it tells it."""
    kernel = Kernel()
    learned: list[object] = []
    kernel.register('transport', mock.MagicMock(incarnation=own.incarnation))
    kernel.register('freshness', mock.MagicMock())
    kernel.register('metrics', mock.MagicMock())
    ZoneEvacuations(kernel)
    task = SimpleNamespace(post=learned.append)
    kernel.register('owner', SimpleNamespace(task=task))
    settings: Any = SimpleNamespace(
        far_rounds=1, heartbeat=1.0, load_reports=0, zone='a'
    )
    LoadExchange(kernel, settings)
    return Membership(kernel, own, settings), learned


class LeftUpstreamTest(unittest.TestCase):
    """An upstream that has left is used by nobody after a restart."""

    def test_late_announcement_after_a_restart_of_the_owner(self) -> None:
        with fleet_with_one_upstream() as (fleet, owner, upstream):
            upstream.behave(state='leaving')
            time.sleep(SPREAD_SECONDS)
            self.check_unavailable(fleet.nodes)
            restart(owner)
            upstream.behave(state='ready')
            time.sleep(LATE_ANNOUNCEMENTS_SECONDS)
            checked_from = time.time()
            with sending(fleet.nodes):
                time.sleep(LOAD_SECONDS)
            late = [
                at for at in arrivals_at(fleet, upstream) if at > checked_from
            ]
            self.assertEqual(late, [])

    def check_unavailable(self, nodes: list[Node]) -> None:
        """Check that no node has an upstream for a request."""
        statuses = [send_note(node).status for node in nodes]
        self.assertEqual(statuses, [UNAVAILABLE] * len(nodes))


if __name__ == '__main__':
    unittest.main()
