"""Requests that may be served in some regions only."""

from __future__ import annotations

import random
import unittest
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import claims, permitted_regions, rules_file
from kumquathold_core.ejection import OutcomeSample, OutlierDetector
from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.identity import NodeRecord, UpstreamRecord
from kumquathold_core.retries import AttemptFailure
from kumquathold_core.routing import RouteTable
from kumquathold_core.rules import Route, Rules, Service, Workspace
from kumquathold_core.rules_errors import RulesErrors, list_errors
from kumquathold_node import claim_writes
from kumquathold_node.balancer import Balancer
from kumquathold_node.configuration import Configuration, empty_configuration
from kumquathold_node.kernel import Kernel
from kumquathold_node.load_exchange import LoadExchange
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.selections import OwnerReport, SelectionRequest
from kumquathold_node.store import ABSENT
from kumquathold_node.upstream_responses import UpstreamResponse
from kumquathold_node.zone_evacuations import ZoneEvacuations
from tests.owner_stage import OwnerStage
from tests.support import ASKED, make_node_record
from tests.test_jobs import WORK

SERVICE = Service('s', floor=0.7)
ROUTE = Route('POST', '/a', 's')
WORKSPACE = Workspace('w', rate=1.0, burst=1)
NORTH = frozenset(('north',))
NOWHERE: frozenset[str] = frozenset()
CHOICES = 400
BAD_OUTCOMES = 60


def make_rules(
    route: tuple[str, ...] = (),
    workspace: tuple[str, ...] = (),
    evacuated: frozenset[str] = NOWHERE,
) -> Rules:
    """Make rules with one route and one workspace, bound to regions."""
    return Rules(
        services={'s': SERVICE},
        routes=(msgspec.structs.replace(ROUTE, regions=route),),
        workspaces={'w': msgspec.structs.replace(WORKSPACE, regions=workspace)},
        keys={},
        evacuated_zones=evacuated,
    )


def make_configuration(version: int, rules: Rules) -> Configuration:
    """Make a configuration with these rules."""
    return msgspec.structs.replace(
        empty_configuration(),
        version=version,
        rules=rules,
        routes=RouteTable.from_rules(rules),
    )


def make_node(number: int, zone: str, region: str) -> NodeRecord:
    """Make the record of a node with one upstream of the service."""
    upstream = UpstreamRecord(f'u{number}', 's', 4, ready=True, leaving=False)
    record = make_node_record(f'10.0.0.{number}:1', zone, 1, (upstream,))
    return msgspec.structs.replace(record, region=region)


class BalancerStage:
    """A balancer in zone `n1` of region `north`, among six upstreams."""

    def __init__(self, rules: Rules) -> None:
        kernel = Kernel()
        places = [('n1', 'north'), ('n2', 'north'), ('e1', 'east')]
        self.nodes = tuple(
            make_node(number, *place)
            for number, place in enumerate([*places, *places])
        )
        view = SimpleNamespace(
            nodes=self.nodes, suspects=frozenset(), change_count=1
        )
        kernel.register('membership', SimpleNamespace(view=view))
        kernel.register('metrics', mock.MagicMock())
        configuration = make_configuration(1, rules)
        self.configuration = SimpleNamespace(current=configuration)
        kernel.register('configuration', self.configuration)
        self.evacuations = ZoneEvacuations(kernel)
        settings: Any = SimpleNamespace(
            peer='10.0.0.0:1',
            zone='n1',
            region='north',
            explore_share=0.5,
            load_reports=0,
            zone_kilobyte_cost=0.0,
            region_kilobyte_cost=0.0,
        )
        LoadExchange(kernel, settings)
        self.balancer = Balancer(kernel, settings)

    def choose_zones(self, **changes: Any) -> set[str]:
        """Return the zones that many requests are placed in."""
        zones: set[str] = set()
        for number in range(CHOICES):
            request = SelectionRequest(
                service=SERVICE,
                route='r',
                idempotent=True,
                caller_id=str(number),
                objective=1.0,
                **changes,
            )
            selection = self.balancer.choose(request)
            if selection is None:
                return zones
            zones.add(selection.candidate.zone)
            if number % 2:
                self.balancer.finish(selection)
        return zones


class PermittedRegionsTest(unittest.TestCase):
    """Where route and workspace permit a request to be served."""

    def find(self, route: tuple[str, ...], workspace: tuple[str, ...]) -> Any:
        """Return the permitted regions for these bounds."""
        return permitted_regions.find_permitted_regions(
            msgspec.structs.replace(ROUTE, regions=route),
            msgspec.structs.replace(WORKSPACE, regions=workspace),
        )

    def test_both_bounds_count(self) -> None:
        self.assertIsNone(self.find((), ()))
        self.assertEqual(self.find(('north', 'east'), ()), {'north', 'east'})
        self.assertEqual(self.find((), ('north',)), NORTH)
        self.assertEqual(self.find(('north', 'east'), ('north',)), NORTH)
        self.assertEqual(self.find(('east',), ('north',)), frozenset())

    def test_bounds_of_two_configurations_are_intersected(self) -> None:
        """A route that is removed meanwhile would bind no retry any more."""
        east = frozenset(('north', 'east'))
        for first, second, expected in (
            (None, None, None),
            (NORTH, None, NORTH),
            (None, NORTH, NORTH),
            (NORTH, east, NORTH),
        ):
            found = permitted_regions.intersect(first, second)
            self.assertEqual(found, expected)

    def test_rules_without_a_common_region_are_refused(self) -> None:
        """Else each request of that workspace would be refused for good."""
        lines = [
            f'service s{ASKED}',
            f'route POST /a service=s regions=east{ASKED}',
            f'workspace w rate=1 burst=1 regions=north,south{ASKED}',
        ]
        with self.assertRaises(RulesErrors) as raised:
            rules_file.parse_rules('\n'.join(lines))
        errors = list_errors(raised.exception)
        self.assertEqual([error.line for error in errors], [2])
        lines[1] = f'route POST /a service=s regions=east,south{ASKED}'
        rules = rules_file.parse_rules('\n'.join(lines))
        self.assertEqual(rules.routes[0].regions, ('east', 'south'))
        self.assertEqual(rules.workspaces['w'].regions, ('north', 'south'))


class BoundPlacementTest(unittest.TestCase):
    """An ingress sends a bound request to permitted regions only."""

    def test_no_choice_leaves_the_permitted_regions(self) -> None:
        """Neither a first choice, an exploration, a trial nor a retry."""
        stage = BalancerStage(make_rules())
        self.assertEqual(stage.choose_zones(regions=NORTH), {'n1', 'n2'})
        tried = {'u0', 'u1', 'u3', 'u4'}
        zones = stage.choose_zones(regions=NORTH, tried=tried)
        self.assertEqual(zones, {'n1', 'n2'})

    def test_request_without_a_permitted_upstream_is_refused_at_once(
        self,
    ) -> None:
        """It would wait for an upstream that nobody may announce there."""
        stage = BalancerStage(make_rules())
        request = SelectionRequest(
            service=SERVICE,
            route='r',
            idempotent=False,
            caller_id='c',
            objective=1.0,
            regions=frozenset(('south',)),
        )
        self.assertIsNone(stage.balancer.choose(request))
        self.assertTrue(stage.balancer.is_unplaceable(request))
        request.regions = NORTH
        self.assertFalse(stage.balancer.is_unplaceable(request))

    def test_floor_holds_within_the_permitted_regions(self) -> None:
        """A floor over the fleet may leave a region without any upstream."""
        detector = OutlierDetector()
        now = 100.0
        slots = {f'u{number}': 4 for number in range(10)}
        rng = random.Random(1)
        for step in range(BAD_OUTCOMES):
            for name in slots:
                is_bad = name in {'u0', 'u1'} or rng.random() < 0.01
                sample = OutcomeSample(now + step, 'r', 0.1, is_bad)
                detector.record_outcome(name, sample, is_bad=is_bad)
        ejected = detector.update_ejections(slots, 0.7, now + BAD_OUTCOMES)
        self.assertEqual(ejected, {'u0', 'u1'})
        region = {name: slots[name] for name in ('u0', 'u1', 'u2')}
        kept = detector.keep_floor(ejected, region, 0.7)
        self.assertEqual(kept, set())


class BoundOwnerTest(unittest.TestCase):
    """An owner runs nothing that the rules in force forbid in its region."""

    def test_request_is_refused_that_its_ingress_should_not_have_sent(
        self,
    ) -> None:
        stage = OwnerStage.for_test(self)
        stage.announce()
        rules = make_rules(route=('elsewhere',))
        current = make_configuration(WORK.config_version, rules)
        stage.configuration.current = current
        stage.send(1, route=ROUTE.name)
        failure = stage.list_failures()[-1]
        self.assertEqual(failure.reason, Refusal.region_not_permitted)
        self.assertEqual(failure.outcome, Outcome.not_run)
        self.assertEqual(stage.started, [])

    def test_rules_that_change_bind_queued_requests(self) -> None:
        stage = OwnerStage.for_test(self)
        upstream = stage.announce()
        assert upstream is not None
        stage.send(1, route=ROUTE.name)
        stage.send(2, route=ROUTE.name)
        rules = make_rules(route=('elsewhere',))
        version = WORK.config_version + 1
        stage.configuration.current = make_configuration(version, rules)
        stage.owner._free_slot(stage.started[0])
        failure = stage.list_failures()[-1]
        self.assertEqual(failure.request.number, 2)
        self.assertEqual(failure.reason, Refusal.region_not_permitted)


class BoundResponseTest(unittest.TestCase):
    """A stored response is kept in permitted regions only."""

    def make_stored(self, *, may_keep: bool) -> Any:
        """Return what the claim of a once-only request would store."""
        request = OwnerRequest(WORK, '10.0.0.9:1', monotonic())
        claim = claims.Claim(
            claims.ClaimState.claimed, 'c', 'f', 'o', 1, 'u', ''
        )
        headers: Headers = (('X-Secret', 'text'),)
        response = UpstreamResponse(200, headers, b'body', 0.1)
        write = claim_writes.make_outcome_write(
            request, (claim, ABSENT), response, may_keep=may_keep
        )
        return write.claim

    def test_store_elsewhere_keeps_the_status_only(self) -> None:
        kept = self.make_stored(may_keep=True)
        self.assertEqual(kept.answer.body, b'body')
        bound = self.make_stored(may_keep=False)
        self.assertEqual(bound.answer, claims.StoredResponse(200, (), None))
        decision = claims.decide_repeat(bound, 'f')
        self.assertEqual(
            decision,
            claims.RejectRepeat(Refusal.answer_not_kept, Outcome.ran),
        )


class EvacuatedPlacementTest(unittest.TestCase):
    """An ingress sends nothing to an evacuated zone."""

    def test_evacuated_zone_gets_no_request(self) -> None:
        rules = make_rules(evacuated=frozenset(('n1',)))
        stage = BalancerStage(rules)
        self.assertNotIn('n1', stage.choose_zones())
        bound = stage.choose_zones(regions=NORTH)
        self.assertEqual(bound, {'n2'})

    def test_request_is_refused_at_once_if_all_its_zones_are_evacuated(
        self,
    ) -> None:
        rules = make_rules(evacuated=frozenset(('n1', 'n2')))
        stage = BalancerStage(rules)
        self.assertEqual(stage.choose_zones(regions=NORTH), set())

    def test_refusal_by_an_evacuated_zone_is_retried_elsewhere(self) -> None:
        stage = BalancerStage(make_rules())
        request = SelectionRequest(
            service=SERVICE,
            route='r',
            idempotent=False,
            caller_id='c',
            objective=1.0,
        )
        first = stage.balancer.choose(request)
        assert first is not None
        failure = AttemptFailure(Outcome.not_run, Refusal.zone_evacuated)
        stage.balancer.record_refusal(
            first, failure.reason, OwnerReport(backlog=0, risk=0.1)
        )
        for _ in range(CHOICES):
            second = stage.balancer.choose(request)
            assert second is not None
            self.assertNotEqual(
                second.candidate.upstream, first.candidate.upstream
            )
            stage.balancer.finish(second)
