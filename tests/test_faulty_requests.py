"""Requests that crash upstreams, and unauthenticated messages."""

from __future__ import annotations

import threading
import time
import unittest

import pynng

from kumquathold_core import distribution, wire
from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from tests.support import KEYS, make_rules, small_spec

POISONOUS_PATH = '/diffs/poison'


class CrashTest(unittest.TestCase):
    """A request that crashes upstreams is blocked; others still succeed."""

    def test_poisonous_request_is_stopped_after_two_upstreams(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            is_over = threading.Event()
            neighbours: list[Response] = []

            def send_neighbour_requests(number: int) -> None:
                caller = Caller(KEYS['pixels'])
                while not is_over.is_set():
                    node = fleet.nodes[number % 3]
                    neighbours.append(
                        caller.send(node.callers, 'GET', '/diffs/1'),
                    )
                    time.sleep(0.01)

            threads = [
                threading.Thread(target=send_neighbour_requests, args=(number,))
                for number in range(3)
            ]
            for thread in threads:
                thread.start()
            responses = [
                Caller(KEYS['dealers']).send(
                    fleet.nodes[number % 3].callers,
                    'GET',
                    POISONOUS_PATH,
                    headers={'X-Operation': 'poison'},
                )
                for number in range(6)
            ]
            time.sleep(1)
            is_over.set()
            for thread in threads:
                thread.join()
            self.assertLessEqual(len(fleet.runs_of('poison')), 2)
            for response in responses[1:]:
                self.assertEqual(
                    response.reason, 'crashes-upstreams', responses
                )
                self.assertEqual(response.outcome, 'not-run')
            good = sum(response.status == 200 for response in neighbours)
            self.assertGreater(good, len(neighbours) * 0.9)
            self.assertGreater(len(neighbours), 10)


class AuthenticationTest(unittest.TestCase):
    """Messages that lack the fleet's secret are refused and logged."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(running_fleet(small_spec()))
        cls.fleet.accept(make_rules())

    def test_forged_and_misdirected_frames_are_refused(self) -> None:
        node, other, _ = self.fleet.nodes
        notice = wire.Envelope(
            other.peer, 1, distribution.VersionNotice(version=999)
        )
        forged = wire.encode_frame(notice, node.peer, b'not the fleet secret')
        secret = self.fleet.secret_files['fleet'].read_bytes()
        misdirected = wire.encode_frame(notice, other.peer, secret)
        with pynng.Push0(dial=f'tcp://{node.peer}') as sender:
            for frame in (b'', b'x', b'\xff' * 500, forged, misdirected):
                sender.send(frame)
            wait_until(
                lambda: node.metrics().get('peers.refused.ForgedFrame', 0) >= 5,
                'count of forged frames',
            )
        events = [line['event'] for line in node.log_lines()]
        self.assertIn('frame refused', events)
        status = node.client.get_json('/status')
        self.assertEqual(status['config_version'], 1)

    def test_administration_takes_signed_calls_only(self) -> None:
        node = self.fleet.nodes[0]
        for path in ('/status', '/config', '/history', '/once', '/nothing'):
            response = Caller().send(node.admin, 'GET', path)
            self.assertEqual(response.status, 401, path)
        for path in ('/config?base=1', '/drain'):
            response = Caller().send(node.admin, 'POST', path, body=b'x')
            self.assertEqual(response.status, 401, path)
        health = Caller().send(node.admin, 'GET', '/health')
        self.assertEqual(health.status, 200)

    def test_signature_works_once(self) -> None:
        node = self.fleet.nodes[0]
        headers = node.client._sign('GET', '/status', b'')  # noqa: SLF001
        first = Caller().send(node.admin, 'GET', '/status', headers=headers)
        second = Caller().send(node.admin, 'GET', '/status', headers=headers)
        other = Caller().send(node.admin, 'GET', '/config', headers=headers)
        self.assertEqual(
            (first.status, second.status, other.status),
            (200, 401, 401),
        )

    def test_logs_name_no_key_and_are_json(self) -> None:
        key = KEYS['dealers']
        node = self.fleet.nodes[1]
        Caller(key).send(node.callers, 'GET', f'/diffs/1?k={key}')
        Caller(f'{key}x').send(node.callers, 'GET', '/diffs/1')
        text = node.process.log.read_text()
        self.assertNotIn(key, text)
        for line in text.splitlines():
            self.assertTrue(line.startswith('{'), line)
