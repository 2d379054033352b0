"""End-to-end tests of a node on the users' platform.

The node runs with the users' settings, between stand-ins of the store and of a
target.
"""

from __future__ import annotations

import http.client
import itertools
import json
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import msgspec

from kumquathold_standins.loopback import (
    loopback_address,
    wait_until,
)
from kumquathold_standins.ports import free_port
from tests.site_store import SiteStore, serving_store
from tests.site_target import INSTANCE, SEAL, SiteTarget, serving_target
from tests.test_site_platform import SECRET, make_config

ROOT = Path(__file__).parent.parent
PROGRAM = ROOT / 'platform' / 'node.py'
SLOW_ENDING_PROGRAM = ROOT / 'tests' / 'slow_ending_node.py'
GRACE_SECONDS = 6
BORN_MILLISECONDS = 1_780_339_603_000
KEY_HEADERS = {'Api-Key': SECRET}
ADDRESS_FLAGS = ('peer', 'admin', 'callers', 'announce', 'health', 'metrics')


class Reply(msgspec.Struct, frozen=True):
    """Response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
) -> Reply:
    """Make a request on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        named = {key.lower(): text for key, text in response.getheaders()}
        return Reply(response.status, named, response.read())
    finally:
        connection.close()


class SiteNode:
    """Node process with its stand-ins."""

    def __init__(self, store: SiteStore, target: SiteTarget) -> None:
        self.store = store
        self.target = target
        self.addresses = {
            name: loopback_address(free_port()) for name in ADDRESS_FLAGS
        }
        self.target_address = ''
        self.born = BORN_MILLISECONDS
        self.sequence = itertools.count(1)
        self.ids = itertools.count(1)

    def start(self, store: str, log: Path, program: Path) -> None:
        """Start the node as the deploy file does, with its output in `log`."""
        self.log = log
        flags = {
            **self.addresses,
            'platform': store,
            'zone': 'ub-a',
            'region': 'ulaanbaatar',
            'regions': 'ulaanbaatar,darkhan,ulaanbaatar',
            'store-region': 'ulaanbaatar',
            'service': 'holds',
            'grace': GRACE_SECONDS,
            'rate-groups': 2,
            'rate-term': 6,
            'quiet': 0.3,
            'fleet-secret': 'a-secret-for-this-test-only',
            'operator-secret': 'another-secret-for-this-test',
        }
        arguments = [sys.executable, str(program)]
        for flag, given in flags.items():
            arguments.extend((f'--{flag}', str(given)))
        self.arguments = arguments
        self.start_process()

    def start_process(self) -> None:
        """Start the process of the node with the arguments of its start."""
        with self.log.open('ab') as out:
            self.process = subprocess.Popen(
                self.arguments,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    def restart(self) -> None:
        """Kill the process and start it again; wait until it is ready."""
        self.process.kill()
        self.process.wait()
        self.start_process()
        wait_until(self._is_up, 'readiness after a restart')

    def _is_up(self) -> bool:
        with suppress(OSError):
            return self.is_ready()
        return False

    def is_ready(self) -> bool:
        """Return whether the node reports that it accepts requests."""
        path = '/api/readiness'
        return call(self.addresses['health'], 'GET', path).status == 200

    def send_heartbeat(self, **status: Any) -> int:
        """Send a heartbeat of the target, and return the status."""
        body = {
            'address': self.target_address,
            'born': self.born,
            'info': {'service': 'catalog', 'slots': 4},
            'status': {
                'state': 'ready',
                'sequence': next(self.sequence),
                **status,
            },
        }
        path = f'/api/instances/{INSTANCE}/heartbeat'
        raw = json.dumps(body).encode()
        return call(self.addresses['announce'], 'POST', path, raw).status

    def deregister(self, **fields: int) -> int:
        """Deregister the target, and return the status."""
        path = f'/api/instances/{INSTANCE}/deregister'
        raw = json.dumps(fields).encode()
        return call(self.addresses['announce'], 'POST', path, raw).status

    def is_serving(self) -> bool:
        """Send a heartbeat; return whether the target gets requests."""
        self.send_heartbeat()
        return self.send('GET', '/holds/open/first').status == 200

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a caller's request with a new request id."""
        named = {
            'Host': 'shop.example',
            'X-Kumquathold-Request-Id': f'id-{next(self.ids)}',
            'X-Kumquathold-Deadline-Ms': '5000',
            **(KEY_HEADERS if headers is None else headers),
        }
        return call(self.addresses['callers'], method, path, body, named)


@contextmanager
def running_node(program: Path = PROGRAM) -> Iterator[SiteNode]:
    """Run a node with its stand-ins while the block runs."""
    node = SiteNode(SiteStore(), SiteTarget())
    config = json.loads(make_config())
    for route in config['routes']:
        route['service'] = 'catalog'
        route['weightedServices'] = []
    node.store.put('op/config', json.dumps(config).encode())
    with (
        tempfile.TemporaryDirectory() as directory,
        serving_store(node.store) as store,
        serving_target(node.target) as target,
    ):
        node.target_address = target
        node.start(store, Path(directory) / 'node.log', program)
        try:
            wait_until(node.is_ready, 'readiness')
            wait_until(lambda: node.send_heartbeat() == 200, 'announcement')
            wait_until(node.is_serving, 'first answer')
            wait_until(
                lambda: node.send('POST', '/holds/first').status == 200,
                'first token',
            )
            yield node
        finally:
            node.process.kill()
            node.process.wait()


class SiteNodeTest(unittest.TestCase):
    """Requests through a node with the users' headers and statuses."""

    node: SiteNode

    @classmethod
    def setUpClass(cls) -> None:
        cls.node = cls.enterClassContext(running_node())

    def test_headers_are_rewritten_for_the_target(self) -> None:
        forged = {'X-Kumquathold-Tenant-Id': 'else', **KEY_HEADERS}
        reply = self.node.send('POST', '/holds/a?b=c', b'body', forged)
        self.assertEqual((reply.status, reply.body), (200, b'ran body'))
        self.assertEqual(reply.headers['x-kumquathold-response-seal'], SEAL)
        (headers,) = self.node.target.list_headers('/holds/a?b=c')
        self.assertEqual(headers['x-kumquathold-tenant-id'], 'dealer')
        self.assertEqual(headers['x-kumquathold-caller-service'], 'holds')
        self.assertEqual(headers['x-kumquathold-expect-instance'], INSTANCE)
        self.assertEqual(headers['host'], 'shop.example')
        self.assertLessEqual(int(headers['x-kumquathold-deadline-ms']), 5000)
        self.assertNotIn(SECRET, str(headers))

    def test_refusals_have_their_statuses(self) -> None:
        cases: tuple[tuple[str, dict[str, str], int], ...] = (
            ('/nowhere/', KEY_HEADERS, 404),
            ('/holds/a', {}, 401),
            ('/holds/a', {'Api-Key': 'unknown'}, 401),
            ('/holds/shed', KEY_HEADERS, 503),
            ('/holds/busy', KEY_HEADERS, 502),
            ('/holds/unsealed', KEY_HEADERS, 502),
            ('/holds/foreign', KEY_HEADERS, 502),
        )
        for path, headers, status in cases:
            reply = self.node.send('POST', path, b'x', headers)
            self.assertEqual(reply.status, status, path)
        self.assertEqual(len(self.node.target.list_headers('/holds/busy')), 1)

    def test_large_bodies_are_refused_unread(self) -> None:
        reply = self.node.send('POST', '/holds/large', b'x' * 2000)
        self.assertEqual(reply.status, 413)

    def test_surplus_responses_are_not_forwarded(self) -> None:
        for number in range(4):
            path = f'/holds/open/{number}/extra'
            self.assertEqual(self.node.send('GET', path).body, b'ran ')

    def test_new_version_is_active_within_two_seconds(self) -> None:
        before = self.node.send('GET', '/added/x', headers={})
        self.assertEqual(before.status, 404)
        config = json.loads(make_config(configVersion='0000000d'))
        for route in config['routes']:
            route['service'] = 'catalog'
            route['weightedServices'] = []
        added = {**config['routes'][1], 'pathPrefix': '/added/'}
        config['routes'].append(added)
        self.node.store.put('op/config', json.dumps(config).encode())
        seconds = wait_until(
            lambda: self.node.send('GET', '/added/x').status == 200,
            'new route',
        )
        self.assertLess(seconds, 2)

    def test_metrics_are_histograms(self) -> None:
        self.node.send('GET', '/holds/open/m')
        page = call(self.node.addresses['metrics'], 'GET', '/metrics').body
        self.assertIn(b'kumquathold_ingress_request_seconds_bucket', page)
        self.assertIn(b'kumquathold_ingress_answered_total', page)


class SiteLeavingTest(unittest.TestCase):
    """Draining and replaced targets, and shutdown of a node."""

    def test_draining_target_gets_nothing_after_the_acknowledgement(
        self,
    ) -> None:
        with running_node() as node:
            self.assertEqual(node.send_heartbeat(state='draining'), 200)
            reply = node.send('POST', '/holds/late', b'x')
            self.assertEqual(reply.status, 503)
            # An earlier heartbeat that arrives late changes nothing.
            self.assertEqual(node.send_heartbeat(sequence=0), 200)
            self.assertEqual(node.send('POST', '/holds/late').status, 503)
            self.assertEqual(node.target.list_headers('/holds/late'), [])

    def test_replaced_target_at_the_address_runs_nothing(self) -> None:
        with running_node() as node:
            node.target.instance = 'i-other'
            reply = node.send('POST', '/holds/moved', b'x')
            self.assertEqual(reply.status, 503)
            self.assertEqual(node.target.list_headers('/holds/moved'), [])

    def test_node_exits_within_its_grace_period(self) -> None:
        with running_node() as node:
            started_at = time.monotonic()
            node.process.send_signal(signal.SIGTERM)
            wait_until(lambda: not node.is_ready(), 'no longer ready')
            self.assertEqual(node.process.wait(GRACE_SECONDS), 0)
            self.assertLess(time.monotonic() - started_at, GRACE_SECONDS)

    def test_node_whose_threads_do_not_stop_exits_in_time_too(self) -> None:
        with running_node(SLOW_ENDING_PROGRAM) as node:
            node.process.send_signal(signal.SIGTERM)
            self.assertEqual(node.process.wait(GRACE_SECONDS), 0)
