"""Each field from outside with each odd value: refused, or usable later."""

from __future__ import annotations

import copy
import http
import json
import random
import threading
import unittest
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import wire
from kumquathold_core.gossip import MemberState, MemberUpdate, SyncResponse
from kumquathold_core.routing import RouteTable
from kumquathold_core.rules import Rules
from kumquathold_node.configuration_watch import UnreadableConfiguration
from kumquathold_node.http_calls import HttpResponse
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import Lease, Revision, StoreError
from tests.site_announcements import AnnouncementsCase
from tests.support import make_node_record
from tests.test_site_platform import PlatformStore, configuration, make_config

SECRET = b'a-secret-for-this-test-only'
RECEIVER = '127.0.0.1:2'


ODD_TEXTS = (
    '9' * 400,
    '9' * 5000,
    '-' + '9' * 400,
    '1e400',
    '1e300',
    '[' * 7900 + ']' * 7900,
    r'"\ud800"',
    r'"line\r\nbreak"',
    r'"\u0000"',
    r'"\u00e9"',
    'NaN',
    str(2**64),
    str(2**63),
    str(2**62),
    '-1',
    '0',
    '0.5',
    '""',
    json.dumps('x' * 5000),
    'null',
    'true',
    '[]',
    '{}',
    '[[]]',
    '{"a": 1}',
)
"""JSON texts that take the place of a value."""

MARK = '@odd@'


def replace_leaves(content: Any) -> Iterator[Any]:
    """Yield copies of a content, each with another leaf marked."""
    for path in list(_list_paths(content)):
        marked = copy.deepcopy(content)
        place = marked
        for step in path[:-1]:
            place = place[step]
        place[path[-1]] = MARK
        yield marked


def make_odd_texts(content: Any) -> Iterator[str]:
    """Yield the content as JSON with each leaf replaced by each odd value."""
    for marked in replace_leaves(content):
        text = json.dumps(marked)
        for odd in ODD_TEXTS:
            yield text.replace(json.dumps(MARK), odd)


def _list_paths(content: Any, path: tuple[Any, ...] = ()) -> Iterator[Any]:
    steps: Any = ()
    if isinstance(content, dict):
        steps = content.items()
    elif isinstance(content, list):
        steps = enumerate(content)
    if path:
        yield path
    for step, inner in steps:
        yield from _list_paths(inner, (*path, step))


class OddConfigurationTest(unittest.TestCase):
    """Configurations with one odd value."""

    def test_each_is_refused_or_can_be_used(self) -> None:
        used = 0
        for text in make_odd_texts(json.loads(make_config())):
            with self.subTest(text=text[:300]):
                used += self.is_used(text)
        self.assertGreater(used, 0)

    def is_used(self, text: str) -> bool:
        """Use a configuration unless it is refused."""
        try:
            decoded = configuration.decode_configuration(text)
        except UnreadableConfiguration:
            return False
        msgspec.msgpack.encode(decoded.version)
        self.check_use(decoded.rules)
        return True

    def check_use(self, rules: Rules) -> None:
        """Do what later steps do with rules."""
        RouteTable.from_rules(rules)
        rng = random.Random(1)
        for route in rules.routes:
            self.assertLess(route.deadline, threading.TIMEOUT_MAX)
            self.assertLess(route.objective, threading.TIMEOUT_MAX)
            msgspec.msgpack.encode((route.priority, route.attempts))
            if route.split:
                weights = [part.weight for part in route.split]
                rng.choices(route.services, weights)
        for workspace in rules.workspaces.values():
            msgspec.msgpack.encode((workspace.rate, workspace.burst))


class OddAnnouncementTest(AnnouncementsCase):
    """Heartbeats and deregistrations with one odd value."""

    def test_each_heartbeat_is_refused_or_can_be_sent_on(self) -> None:
        for text in make_odd_texts(self.make_heartbeat()):
            self.task.posted.clear()
            with self.subTest(text=text[:300]):
                status = self.post(text, 'heartbeat')
                self.assertEqual(len(self.task.posted), status == 200)
                for announced in self.task.posted:
                    self.check_sending(announced.record)

    def test_each_deregistration_is_refused_or_taken(self) -> None:
        for text in make_odd_texts({'born': 5}):
            with self.subTest(text=text[:300]):
                self.post(text, 'deregister')

    def post(self, text: str, action: str) -> int:
        """Send a body; return the status, which must be 200 or 400."""
        path = f'/api/instances/i-7f/{action}'
        status = self.call(path, text.encode())
        self.assertIn(status, {200, 400})
        return status

    def check_sending(self, record: Any) -> None:
        """Send the record to a peer."""
        own = make_node_record('127.0.0.1:1', upstreams=(record,))
        update = MemberUpdate(own, MemberState.alive)
        envelope = wire.Envelope('127.0.0.1:1', 1, SyncResponse((update,)))
        frame = wire.encode_frame(envelope, RECEIVER, SECRET)
        wire.decode_frame(frame, RECEIVER, SECRET)


class OddStoreResponseTest(unittest.TestCase):
    """Responses of the store with one odd value."""

    def setUp(self) -> None:
        self.client = PlatformStore('127.0.0.1:1', Metrics(None))
        self.text = ''
        self.enterContext(mock.patch.object(self.client, '_call', self.answer))

    def answer(self, *_: object, **_ignored: object) -> HttpResponse:
        """Take the place of a call to the store."""
        return HttpResponse(http.HTTPStatus.OK, self.text.encode())

    def check(self, content: Any, call: Callable[[], object]) -> None:
        """Make a call with each odd response."""
        for text in make_odd_texts(content):
            self.text = text
            with self.subTest(text=text[:300]), suppress(StoreError):
                call()

    def test_each_call_raises_only_errors_of_the_store(self) -> None:
        item = {'key': 'a', 'value': 'eA==', 'revision': 4, 'createdRev': 3}
        page = {'items': [item], 'hasMore': False, 'atRev': 5}
        changes = {'events': [item], 'atRev': 5}
        lease = {'leaseId': 7, 'ttlMs': 6000}
        self.check({**item, 'atRev': 5}, lambda: self.client.read('a'))
        self.check(page, lambda: self.client.read_prefix('a', limit=1))
        self.check(changes, lambda: self.client.watch('a', Revision(0, 4), 1.0))
        self.check({'revision': 5}, lambda: self.client.swap(()))
        self.check(lease, lambda: self.client.grant_lease(6))
        self.check({'ttlMs': 6000}, lambda: self.client.keep_alive(Lease(7, 6)))
