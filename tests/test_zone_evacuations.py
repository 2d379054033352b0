"""Zones whose upstreams get no new requests until they are taken back."""

from __future__ import annotations

import unittest

from kumquathold_cli import zones
from kumquathold_core import rules_file
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.rules_errors import RulesErrors
from kumquathold_core.zone_evacuations import (
    CONTACT_VALID_SECONDS,
    REPORT_VALID_SECONDS,
    EvacuationReading,
    EvacuationTable,
)
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Node
from tests.owner_stage import OwnerStage
from tests.support import ASKED, make_rules, small_spec
from tests.test_permitted_regions import make_configuration
from tests.test_permitted_regions import make_rules as make_bound_rules

NOW = 100.0
BINDING_SECONDS = 5.0
"""Time after which an evacuation binds all nodes that are in contact."""

NONE: frozenset[str] = frozenset()
ZONE_A = frozenset(('a',))


class EvacuationTableTest(unittest.TestCase):
    """What one node takes for evacuated, by the store and by its peers."""

    def setUp(self) -> None:
        self.table = EvacuationTable()

    def test_own_reading_counts(self) -> None:
        self.table.record_reading(ZONE_A, 10, NOW)
        self.assertEqual(self.table.find_zones(NOW), ZONE_A)
        self.table.record_reading(NONE, 12, NOW + 1)
        self.assertEqual(self.table.find_zones(NOW + 1), NONE)

    def test_node_that_starts_without_the_store_learns_from_a_peer(
        self,
    ) -> None:
        self.table.record_peer_reading(EvacuationReading(10, ('a',)), NOW)
        self.assertEqual(self.table.find_zones(NOW), ZONE_A)

    def test_node_that_is_cut_off_learns_both_ends_from_peers(self) -> None:
        self.table.record_reading(NONE, 10, NOW)
        later = NOW + CONTACT_VALID_SECONDS + 1
        self.table.record_peer_reading(EvacuationReading(11, ('a',)), later)
        self.assertEqual(self.table.find_zones(later), ZONE_A)
        self.table.record_peer_reading(EvacuationReading(12, ()), later + 1)
        self.assertEqual(self.table.find_zones(later + 1), NONE)

    def test_delayed_report_does_not_evacuate_a_zone_again(self) -> None:
        self.table.record_reading(NONE, 12, NOW)
        self.table.record_peer_reading(EvacuationReading(10, ('a',)), NOW)
        self.assertEqual(self.table.find_zones(NOW), NONE)

    def test_peer_ends_no_evacuation_while_the_store_is_read(self) -> None:
        self.table.record_reading(ZONE_A, 10, NOW)
        self.table.record_peer_reading(EvacuationReading(99, ()), NOW)
        self.assertEqual(self.table.find_zones(NOW), ZONE_A)

    def test_report_from_before_a_restore_expires(self) -> None:
        """The restored store gives out lower revisions."""
        self.table.record_peer_reading(EvacuationReading(900, ('a',)), NOW)
        self.table.record_reading(NONE, 20, NOW + 1)
        end = NOW + REPORT_VALID_SECONDS + 1
        self.assertEqual(self.table.find_zones(end), NONE)

    def test_only_own_readings_are_reported(self) -> None:
        """Else two nodes would keep an outdated report alive."""
        self.table.record_peer_reading(EvacuationReading(10, ('a',)), NOW)
        self.assertIsNone(self.table.make_report())
        self.table.record_reading(NONE, 11, NOW)
        self.assertEqual(self.table.make_report(), EvacuationReading(11, ()))


class EvacuatedOwnerTest(unittest.TestCase):
    """An owner in an evacuated zone starts nothing more."""

    def test_queued_requests_are_returned_and_running_ones_end(self) -> None:
        stage = OwnerStage.for_test(self)
        stage.announce()
        for number in range(3):
            stage.send(number)
        stage.evacuations.record_reading(ZONE_A, 5)
        stage.owner.on_tick()
        stage.send(3)
        failures = stage.list_failures()
        self.assertEqual([one.request.number for one in failures], [1, 2, 3])
        for failure in failures:
            self.assertEqual(failure.reason, Refusal.zone_evacuated)
            self.assertEqual(failure.outcome, Outcome.not_run)
        self.assertEqual(len(stage.started), 1)
        stage.evacuations.record_reading(NONE, 6)
        stage.owner._free_slot(stage.started[0])
        stage.send(4)
        self.assertEqual(len(stage.started), 2)

    def test_rule_evacuates_as_well_as_the_store(self) -> None:
        stage = OwnerStage.for_test(self)
        stage.announce()
        rules = make_bound_rules(evacuated=ZONE_A)
        stage.configuration.current = make_configuration(2, rules)
        stage.send(1)
        self.assertEqual(
            stage.list_failures()[-1].reason, Refusal.zone_evacuated
        )


class ZoneRuleTest(unittest.TestCase):
    """Operators evacuate a zone by a line of the rules file."""

    KNOWN = ('north-a', 'east-a')

    def test_line_is_parsed(self) -> None:
        rules = rules_file.parse_rules(f'zone north-a evacuated{ASKED}')
        self.assertEqual(rules.evacuated_zones, {'north-a'})
        for line in ('zone north-a', 'zone evacuated', 'zone a evacuated x=1'):
            with self.assertRaises(RulesErrors, msg=line):
                rules_file.parse_rules(f'{line}{ASKED}')

    def test_edits_are_idempotent(self) -> None:
        text = f'service s{ASKED}\n'
        once = zones.evacuate_zone(text, 'north-a', 'ops', self.KNOWN)
        twice = zones.evacuate_zone(once, 'north-a', 'ops', self.KNOWN)
        self.assertEqual(once, twice)
        both = zones.evacuate_zone(once, 'east-a', 'ops', self.KNOWN)
        self.assertEqual(
            rules_file.parse_rules(both).evacuated_zones, set(self.KNOWN)
        )
        left = zones.restore_zone(both, 'north-a', self.KNOWN)
        self.assertEqual(
            rules_file.parse_rules(left).evacuated_zones, {'east-a'}
        )
        self.assertEqual(zones.restore_zone(left, 'north-a', self.KNOWN), left)

    def test_unknown_zone_is_refused(self) -> None:
        with self.assertRaises(zones.UnknownZone):
            zones.evacuate_zone('', 'nowhere', 'ops', self.KNOWN)
        with self.assertRaises(zones.UnknownZone):
            zones.restore_zone('', 'nowhere', self.KNOWN)

    def test_zone_whose_nodes_are_lost_can_be_restored(self) -> None:
        text = f'zone gone evacuated{ASKED}\n'
        self.assertEqual(zones.restore_zone(text, 'gone', self.KNOWN), '')


def send_note(node: Node) -> int:
    """Send a request that may run once only; return its status."""
    return Caller().send(node.callers, 'POST', '/open-notes').status


class EvacuatedFleetTest(unittest.TestCase):
    """Real nodes; the rules hold the evacuation of one of three zones."""

    def count_runs(self, fleet: Fleet, zone: str) -> int:
        """Return how many requests ran on the upstreams of a zone."""
        names = {
            upstream.address
            for node in fleet.nodes
            if node.vm.zone == zone
            for upstream in node.upstreams
        }
        return sum(run.upstream in names for run in fleet.ledger())

    def test_restarted_node_sends_nothing_while_the_store_is_away(self) -> None:
        with running_fleet(small_spec(quiet=0.3)) as fleet:
            fleet.accept(make_rules(f'zone north-a evacuated{ASKED}'))
            first = fleet.nodes[0]
            for node in fleet.nodes:
                self.assertEqual(send_note(node), 200)
            fleet.set_platform(down=True)
            first.process.kill()
            first.process.restart()
            wait_until(lambda: send_note(first) == 200, 'a response')
            for _ in range(10):
                send_note(first)
            self.assertEqual(self.count_runs(fleet, 'north-a'), 0)
