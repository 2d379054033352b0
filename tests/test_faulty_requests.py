"""Requests that crash upstreams, and messages of strangers."""

from __future__ import annotations

import threading
import time
import unittest

import pynng

from kumquathold_core import distribution, wire
from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet, wait_until
from tests.support import KEYS, make_rules, small_spec

POISON = '/diffs/poison'


class CrashTest(unittest.TestCase):
    """A request that crashes upstreams is stopped; its neighbours go on."""

    def test_poisonous_request_is_stopped_after_two_upstreams(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            is_over = threading.Event()
            neighbours: list[Response] = []

            def be_neighbour(number: int) -> None:
                caller = Caller(KEYS['pixels'])
                while not is_over.is_set():
                    node = fleet.nodes[number % 3]
                    neighbours.append(
                        caller.send(node.callers, 'GET', '/diffs/1'),
                    )
                    time.sleep(0.01)

            threads = [
                threading.Thread(target=be_neighbour, args=(number,))
                for number in range(3)
            ]
            for thread in threads:
                thread.start()
            answers = [
                Caller(KEYS['dealers']).send(
                    fleet.nodes[number % 3].callers,
                    'GET',
                    POISON,
                    headers={'X-Operation': 'poison'},
                )
                for number in range(6)
            ]
            time.sleep(1)
            is_over.set()
            for thread in threads:
                thread.join()
            self.assertLessEqual(len(fleet.runs_of('poison')), 2)
            for answer in answers[1:]:
                self.assertEqual(answer.reason, 'crashes-upstreams', answers)
                self.assertEqual(answer.outcome, 'not-run')
            good = sum(answer.status == 200 for answer in neighbours)
            self.assertGreater(good, len(neighbours) * 0.9)
            self.assertGreater(len(neighbours), 10)


class StrangerTest(unittest.TestCase):
    """What was not made with the fleet's secret is refused and logged."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(running_fleet(small_spec()))
        cls.fleet.accept(make_rules())

    def test_forged_and_misdirected_frames_are_refused(self) -> None:
        node, other, _ = self.fleet.nodes
        news = wire.Envelope(
            other.peer, 1, distribution.VersionNotice(version=999)
        )
        forged = wire.encode_frame(news, node.peer, b'not the fleet secret')
        secret = self.fleet.secret_files['fleet'].read_bytes()
        misdirected = wire.encode_frame(news, other.peer, secret)
        with pynng.Push0(dial=f'tcp://{node.peer}') as stranger:
            for frame in (b'', b'x', b'\xff' * 500, forged, misdirected):
                stranger.send(frame)
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
            answer = Caller().send(node.admin, 'GET', path)
            self.assertEqual(answer.status, 401, path)
        for path in ('/config?base=1', '/drain'):
            answer = Caller().send(node.admin, 'POST', path, body=b'x')
            self.assertEqual(answer.status, 401, path)
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
