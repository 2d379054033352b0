"""The adapter in `platform/`: store, configuration, announcements, headers."""

from __future__ import annotations

import json
import re
import sys
import unittest
from concurrent.futures import Future
from http import HTTPStatus
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.routing import RouteTable, match_route
from kumquathold_core.rules import authenticate_key
from kumquathold_node.announcements import AnnouncedEvent, DeregisteredEvent
from kumquathold_node.configuration_watch import UnreadableConfiguration
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    HistoryCompacted,
    StoreRefused,
    StoreUnavailable,
    Write,
)
from tests.site_store import SiteStore, serving_store

ROOT = Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from kumquathold_platform import (  # noqa: E402
    announcements,
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
    """A configuration as operators write it."""
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
    """The client against a stand-in of the store."""

    def setUp(self) -> None:
        self.store = SiteStore()
        address = self.enterContext(serving_store(self.store))
        self.client = PlatformStore(address, Metrics(None))

    def test_swap_writes_all_or_nothing(self) -> None:
        first = self.client.swap(
            [Write('a', b'1', 0), Write('b', b'\0\xff', 0)]
        )
        self.assertTrue(first.succeeded)
        lost = self.client.swap([Write('a', b'2', 0), Write('c', b'3', 0)])
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

    def test_lost_answer_is_unknown_and_the_connection_is_dropped(self) -> None:
        self.store.responses_to_lose = 1
        with self.assertRaises(StoreUnavailable):
            self.client.swap([Write('a', b'1', 0)])
        self.assertEqual(self.client.read('a').found[0].value, b'1')

    def test_refusals_are_not_answers(self) -> None:
        for status, kind in (
            (429, StoreUnavailable),
            (503, StoreUnavailable),
            (403, StoreRefused),
        ):
            self.store.refuse_status = status
            with self.assertRaises(kind):
                self.client.read_prefix('a')

    def test_watch_tells_changes_and_that_history_is_gone(self) -> None:
        after = self.client.read_prefix('w').revision
        self.store.put('w/1', b'new')
        told = self.client.watch('w', after, 5)
        stored = [one.stored for one in told.changes]
        self.assertEqual([one.value for one in stored if one], [b'new'])
        self.store.compact_history()
        with self.assertRaises(HistoryCompacted):
            self.client.watch('w', after, 5)

    def test_lease_that_ended_takes_its_keys_along(self) -> None:
        lease = self.client.grant_lease(6.0)
        self.assertEqual(lease.seconds, 6.0)
        self.client.swap([Write('a', b'1', 0, lease.id)])
        self.assertEqual(self.client.keep_alive(lease.id).seconds, 6.0)
        self.client.revoke_lease(lease.id)
        self.assertEqual(self.client.read('a').found, ())
        self.assertEqual(self.client.keep_alive(lease.id).seconds, 0.0)


class SiteConfigurationTest(unittest.TestCase):
    """Operators' configurations become rules."""

    def test_fields_arrive_in_the_rules(self) -> None:
        decoded = configuration.decode_configuration(make_config())
        self.assertEqual(decoded.version, 12)
        rules = decoded.rules
        table = RouteTable.from_rules(rules)
        keyed = match_route(table, 'POST', '/holds/1', 'shop.example').route
        assert keyed is not None  # noqa: S101
        self.assertEqual(keyed.services, ('holds', 'catalog'))
        self.assertEqual([part.weight for part in keyed.split], [90, 10])
        self.assertEqual((keyed.deadline, keyed.objective), (8.0, 2.0))
        self.assertEqual((keyed.attempts, keyed.priority), (2, 1))
        self.assertFalse(keyed.idempotent or keyed.public)
        longer = match_route(
            table, 'GET', '/holds/open/x', 'SHOP.example'
        ).route
        assert longer is not None  # noqa: S101
        self.assertTrue(longer.public and longer.idempotent)
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

    def test_without_workspaces_nobody_needs_a_key(self) -> None:
        rules = configuration.read_rules(make_config(tenants=[]))
        self.assertTrue(all(route.public for route in rules.routes))

    def test_unreadable_ones_are_refused(self) -> None:
        for text in (
            '',
            '{"configVersion": 7}',
            make_config(configVersion='xyz'),
            make_config(routes=[{'host': 'h'}]),
        ):
            with self.assertRaises(UnreadableConfiguration):
                configuration.decode_configuration(text)


class RecordingTask:
    """Takes what the adapter posts to the owner."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        """Keep a message and answer it."""
        self.posted.append(message)
        reply: Future[tuple[int, int]] = message.reply
        reply.set_result((0, 0))


class SiteAnnouncementsTest(unittest.TestCase):
    """Heartbeats and farewells become the owner's messages."""

    def setUp(self) -> None:
        self.task = RecordingTask()
        kernel = Kernel()
        kernel.register('owner', SimpleNamespace(task=self.task))
        kernel.register('metrics', Metrics(None))
        self.app = announcements.make_announcement_app(kernel)

    def call(self, path: str, body: object, method: str = 'POST') -> int:
        """Call the application; gives the status."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        status: list[str] = []
        environ = {
            'PATH_INFO': path,
            'REQUEST_METHOD': method,
            'wsgi.input': SimpleNamespace(read=lambda size: raw[:size]),
        }
        list(self.app(environ, lambda line, _: status.append(line)))
        return int(status[0].split()[0])

    def beat(self, **status: Any) -> dict[str, Any]:
        """The body of a heartbeat."""
        return {
            'address': '10.1.0.41:8289',
            'born': 1780339603000,
            'info': {'service': 'holds', 'slots': 4, 'zone': 'ub-a'},
            'status': {
                'state': 'ready',
                'sequence': 4,
                'coldLeftMs': 0,
                **status,
            },
        }

    def test_heartbeat_is_decoded(self) -> None:
        path = '/api/instances/i-7f/heartbeat'
        self.assertEqual(self.call(path, self.beat(state='draining')), 200)
        (announced,) = self.task.posted
        assert isinstance(announced, AnnouncedEvent)  # noqa: S101
        record = announced.record
        self.assertEqual(record.name, 'i-7f')
        self.assertEqual(record.address, '10.1.0.41:8289')
        self.assertEqual((record.service, record.slots), ('holds', 4))
        self.assertTrue(record.leaving)
        self.assertEqual(announced.stamp.sequence, 4)
        self.assertEqual(announced.stamp.lifetime, 1780339603000)

    def test_farewell_needs_no_body(self) -> None:
        self.assertEqual(self.call('/api/instances/i-7f/deregister', b''), 200)
        (gone,) = self.task.posted
        assert isinstance(gone, DeregisteredEvent)  # noqa: S101
        self.assertEqual((gone.name, gone.lifetime), ('i-7f', 0))

    def test_unreadable_heartbeats_name_nothing(self) -> None:
        path = '/api/instances/i-7f/heartbeat'
        beat = self.beat()
        unreadable: tuple[object, ...] = (
            b'\xff\x00',
            {},
            [],
            {**beat, 'address': 'nowhere'},
            {**beat, 'info': {'service': 7, 'slots': 4}},
            {**beat, 'info': {'service': 'holds', 'slots': 0}},
            self.beat(state='dancing'),
            self.beat(sequence='four'),
        )
        for body in unreadable:
            self.assertEqual(self.call(path, body), 400, body)
        self.assertEqual(self.task.posted, [])
        self.assertEqual(self.call('/api/instances/i/other', beat), 404)
        self.assertEqual(self.call(path, beat, 'GET'), 405)


class SiteStatusTest(unittest.TestCase):
    """What refusals say on the wire is true."""

    def test_promises_are_made_only_for_what_has_not_run(self) -> None:
        promises = {408, 421, 429, 503}
        for reason in Refusal:
            for outcome in (Outcome.ran, Outcome.unknown):
                status = headers.status_of(reason, outcome)
                self.assertNotIn(status, promises, reason)

    def test_not_run_is_told_so(self) -> None:
        status = headers.status_of(Refusal.overloaded, Outcome.not_run)
        self.assertEqual(status, HTTPStatus.SERVICE_UNAVAILABLE)
        late = headers.status_of(Refusal.deadline_passed, Outcome.not_run)
        self.assertEqual(late, HTTPStatus.SERVICE_UNAVAILABLE)
        open_end = headers.status_of(Refusal.deadline_passed, Outcome.unknown)
        self.assertEqual(open_end, HTTPStatus.GATEWAY_TIMEOUT)


class SiteNamesTest(unittest.TestCase):
    """Only the adapter knows the users' names."""

    def test_no_other_folder_knows_them(self) -> None:
        found = [
            f'{path.relative_to(ROOT)}:{number}: {line.strip()}'
            for path in sorted((ROOT / 'packages').rglob('*.py'))
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if SITE_NAMES.search(line)
        ]
        self.assertEqual(found, [])
