"""Tests of the adapter in `platform/` to the users' platform."""

from __future__ import annotations

import json
import re
import sys
import unittest
from http import HTTPStatus
from pathlib import Path
from typing import Any
from unittest import mock

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.routing import RouteTable, match_route
from kumquathold_core.rules import authenticate_key
from kumquathold_node.announcements import AnnouncedEvent, DeregisteredEvent
from kumquathold_node.configuration_watch import UnreadableConfiguration
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    ABSENT,
    HistoryCompacted,
    StoreRefused,
    StoreUnavailable,
    Write,
)
from tests.site_announcements import AnnouncementsCase
from tests.site_store import Call, SiteStore, serving_store

ROOT = Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from kumquathold_platform import (  # noqa: E402
    configuration,
    headers,
)
from kumquathold_platform.store import PlatformStore  # noqa: E402

SITE_NAMES = re.compile(
    r'X-Kumquathold-|Api-Key|apiKeys|kv-(?:key|range|watch|txn|lease|keep)'
    r'|weightedServices|routeType|authExempt|pathPrefix|op/config'
    r'|/api/(?:instances|readiness|kv)'
    r'|beatAddr|coldLeftMs|deregister[\'"/]|maxAttempts',
)
SECRET = 'opaque-key-7f3a'


def make_config(**changes: Any) -> str:
    """Return a configuration as operators write it."""
    route = {
        'name': 'r1',
        'host': 'Shop.example',
        'pathPrefix': '/holds/',
        'routeType': 'unsafe',
        'timeoutMs': 8000,
        'objectiveMs': 2000,
        'priority': 1,
        'maxAttempts': 2,
        'authExempt': False,
        'weightedServices': [
            {'service': 'holds', 'weight': 90},
            {'service': 'catalog', 'weight': 10},
        ],
    }
    config = {
        'configVersion': '0000000c',
        'routes': [
            route,
            {
                **route,
                'pathPrefix': '/holds/open/',
                'routeType': 'safe',
                'authExempt': True,
                'weightedServices': [],
                'service': 'catalog',
            },
        ],
        'services': [{'name': 'holds', 'healthPath': '/health'}],
        'limits': {'maxBodyBytes': 1000},
        'tenants': [
            {
                'name': 'dealer',
                'apiKeys': [SECRET],
                'priority': 3,
                'ratePerS': 26,
                'burstSize': 27,
            },
        ],
        **changes,
    }
    return json.dumps(config)


class SiteStoreTest(unittest.TestCase):
    """The store's client against a stand-in of the store."""

    def setUp(self) -> None:
        self.store = SiteStore()
        address = self.enterContext(serving_store(self.store))
        self.client = PlatformStore(address, Metrics(None))

    def test_swap_writes_all_or_nothing(self) -> None:
        first = self.client.swap(
            [Write('a', b'1', ABSENT), Write('b', b'\0\xff', ABSENT)]
        )
        self.assertTrue(first.succeeded)
        lost = self.client.swap(
            [Write('a', b'2', ABSENT), Write('c', b'3', ABSENT)]
        )
        self.assertFalse(lost.succeeded)
        self.assertEqual([one.value for one in lost.found], [b'1'])
        self.assertEqual(self.client.read('c').found, ())
        self.assertEqual(self.client.read('b').found[0].value, b'\0\xff')

    def test_prefix_is_read_page_by_page(self) -> None:
        self.store.page_size = 2
        for number in range(5):
            self.store.put(f'p/{number}', b'x')
        self.store.put('q/0', b'x')
        found = self.client.read_prefix('p/').found
        self.assertEqual(
            [one.key for one in found], [f'p/{number}' for number in range(5)]
        )

    def test_change_between_two_pages_is_reported_by_a_watch(self) -> None:
        self.store.page_size = 1
        self.store.put('p/0', b'old')
        self.store.put('p/1', b'x')
        read_page = self.store.on_range

        def read_and_change(call: Call) -> tuple[int, Any]:
            page = read_page(call)
            if 'after' not in call.query:
                self.store.put('p/0', b'new')
            return page

        with mock.patch.object(self.store, 'on_range', read_and_change):
            after = self.client.read_prefix('p/').revision
        changes = self.client.watch('p/', after, 0.1).changes
        stored = [one.stored for one in changes]
        self.assertEqual([one.value for one in stored if one], [b'new'])

    def test_lost_response_raises_and_closes_the_connection(self) -> None:
        self.store.responses_to_lose = 1
        with self.assertRaises(StoreUnavailable):
            self.client.swap([Write('a', b'1', ABSENT)])
        self.assertEqual(self.client.read('a').found[0].value, b'1')

    def test_error_statuses_raise(self) -> None:
        for status, kind in (
            (429, StoreUnavailable),
            (503, StoreUnavailable),
            (403, StoreRefused),
        ):
            self.store.refuse_status = status
            with self.assertRaises(kind):
                self.client.read_prefix('a')

    def test_watch_reports_changes_and_compaction(self) -> None:
        after = self.client.read_prefix('w').revision
        self.store.put('w/1', b'new')
        watched = self.client.watch('w', after, 5)
        stored = [one.stored for one in watched.changes]
        self.assertEqual([one.value for one in stored if one], [b'new'])
        self.store.compact_history()
        with self.assertRaises(HistoryCompacted):
            self.client.watch('w', after, 5)

    def test_revoked_lease_deletes_its_keys(self) -> None:
        lease = self.client.grant_lease(6.0)
        self.assertEqual(lease.seconds, 6.0)
        self.client.swap([Write('a', b'1', ABSENT, lease)])
        self.assertEqual(self.client.keep_alive(lease).seconds, 6.0)
        self.client.revoke_lease(lease)
        self.assertEqual(self.client.read('a').found, ())
        self.assertEqual(self.client.keep_alive(lease).seconds, 0.0)


class SiteConfigurationTest(unittest.TestCase):
    """Decoding of operators' configurations to rules."""

    def test_fields_are_decoded(self) -> None:
        decoded = configuration.decode_configuration(make_config())
        self.assertEqual(decoded.version, 12)
        rules = decoded.rules
        table = RouteTable.from_rules(rules)
        unsafe = match_route(table, 'POST', '/holds/1', 'shop.example').route
        assert unsafe is not None  # noqa: S101
        self.assertEqual(unsafe.services, ('holds', 'catalog'))
        self.assertEqual([part.weight for part in unsafe.split], [90, 10])
        self.assertEqual((unsafe.deadline, unsafe.objective), (8.0, 2.0))
        self.assertEqual((unsafe.attempts, unsafe.priority), (2, 1))
        self.assertFalse(unsafe.idempotent or unsafe.public)
        safe = match_route(table, 'GET', '/holds/open/x', 'SHOP.example').route
        assert safe is not None  # noqa: S101
        self.assertTrue(safe.public and safe.idempotent)
        other = match_route(table, 'GET', '/holds/open/x', 'other.example')
        self.assertIsNone(other.route)

    def test_keys_are_kept_as_digests(self) -> None:
        rules = configuration.read_rules(make_config())
        known = authenticate_key(rules, SECRET)
        assert known is not None  # noqa: S101
        self.assertEqual(known.workspace, 'dealer')
        self.assertIsNone(authenticate_key(rules, f'{SECRET}x'))
        self.assertNotIn(SECRET, repr(rules))
        workspace = rules.workspaces['dealer']
        limits = (workspace.rate, workspace.burst, workspace.priority)
        self.assertEqual(limits, (26, 27, 3))

    def test_without_workspaces_all_routes_are_public(self) -> None:
        rules = configuration.read_rules(make_config(tenants=[]))
        self.assertTrue(all(route.public for route in rules.routes))

    def test_malformed_configurations_are_refused(self) -> None:
        for text in (
            '',
            '{"configVersion": 7}',
            make_config(configVersion='xyz'),
            make_config(routes=[{'host': 'h'}]),
        ):
            with self.assertRaises(UnreadableConfiguration):
                configuration.decode_configuration(text)


class SiteAnnouncementsTest(AnnouncementsCase):
    """Decoding of heartbeats and deregistrations to the owner's messages."""

    def test_heartbeat_is_decoded(self) -> None:
        path = '/api/instances/i-7f/heartbeat'
        self.assertEqual(
            self.call(path, self.make_heartbeat(state='draining')), 200
        )
        (announced,) = self.task.posted
        assert isinstance(announced, AnnouncedEvent)  # noqa: S101
        record = announced.record
        self.assertEqual(record.name, 'i-7f')
        self.assertEqual(record.address, '10.1.0.41:8289')
        self.assertEqual((record.service, record.slots), ('holds', 4))
        self.assertTrue(record.leaving)
        self.assertEqual(announced.stamp.sequence, 4)
        self.assertEqual(announced.stamp.lifetime, 1780339603000)

    def test_deregistration_needs_no_body(self) -> None:
        self.assertEqual(self.call('/api/instances/i-7f/deregister', b''), 200)
        (deregistered,) = self.task.posted
        assert isinstance(deregistered, DeregisteredEvent)  # noqa: S101
        self.assertEqual(
            (deregistered.name, deregistered.lifetime), ('i-7f', 0)
        )

    def test_malformed_heartbeats_are_refused(self) -> None:
        path = '/api/instances/i-7f/heartbeat'
        heartbeat = self.make_heartbeat()
        unreadable: tuple[object, ...] = (
            b'\xff\x00',
            {},
            [],
            {**heartbeat, 'address': 'nowhere'},
            {**heartbeat, 'info': {'service': 7, 'slots': 4}},
            {**heartbeat, 'info': {'service': 'holds', 'slots': 0}},
            self.make_heartbeat(state='dancing'),
            self.make_heartbeat(sequence='four'),
        )
        for body in unreadable:
            self.assertEqual(self.call(path, body), 400, body)
        self.assertEqual(self.task.posted, [])
        self.assertEqual(self.call('/api/instances/i/other', heartbeat), 404)
        self.assertEqual(self.call(path, heartbeat, 'GET'), 405)


class SiteStatusTest(unittest.TestCase):
    """Statuses of refusals tell truly whether the request may have run."""

    def test_not_run_statuses_are_only_for_requests_that_did_not_run(
        self,
    ) -> None:
        not_run_statuses = {408, 421, 429, 503}
        for reason in Refusal:
            for outcome in (Outcome.ran, Outcome.unknown):
                status = headers.status_of(reason, outcome)
                self.assertNotIn(status, not_run_statuses, reason)

    def test_statuses_of_timeouts_and_overload(self) -> None:
        status = headers.status_of(Refusal.overloaded, Outcome.not_run)
        self.assertEqual(status, HTTPStatus.SERVICE_UNAVAILABLE)
        late = headers.status_of(Refusal.deadline_passed, Outcome.not_run)
        self.assertEqual(late, HTTPStatus.SERVICE_UNAVAILABLE)
        open_end = headers.status_of(Refusal.deadline_passed, Outcome.unknown)
        self.assertEqual(open_end, HTTPStatus.GATEWAY_TIMEOUT)


class SiteNamesTest(unittest.TestCase):
    """Names of the users' platform occur in the adapter only."""

    def test_packages_do_not_contain_them(self) -> None:
        found = [
            f'{path.relative_to(ROOT)}:{number}: {line.strip()}'
            for path in sorted((ROOT / 'packages').rglob('*.py'))
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if SITE_NAMES.search(line)
        ]
        self.assertEqual(found, [])
