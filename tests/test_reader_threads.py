"""Threads that must survive what they do not expect."""

from __future__ import annotations

import io
import json
import threading
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from loguru import logger

from kumquathold_core.distribution import VersionNotice
from kumquathold_node import health, logs, supervision
from kumquathold_node.configuration import ConfigurationFoundEvent
from kumquathold_node.configuration_watch import ConfigurationWatch, WatchedKeys
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.supervision import Supervisor
from kumquathold_node.transport import Transport
from kumquathold_node.zone_evacuations import ZoneEvacuations
from kumquathold_standins.loopback import (
    loopback_address,
    wait_until,
)
from kumquathold_standins.ports import free_port
from tests.site_store import SiteStore, serving_store
from tests.test_site_platform import (
    PlatformStore,
    configuration,
    make_config,
)

SECRET = b'a-secret-for-this-test-only'
NESTED = '[' * 50_000 + ']' * 50_000
DIGITS = '9' * 400


class Unexpected(Exception):
    """An error that the supervised function does not expect."""


def fail() -> None:
    """Raise an error."""
    raise Unexpected


class SupervisorTest(unittest.TestCase):
    """Functions that raise exceptions, without threads or waits."""

    def setUp(self) -> None:
        self.pauses: list[float] = []
        self.now = 100.0
        clock = mock.patch.object(supervision, 'monotonic', lambda: self.now)
        self.enterContext(clock)

    def run_failing(self, durations: list[float]) -> Supervisor:
        """Run a function that fails after each of the durations."""
        remaining = iter(durations)

        def fail() -> None:
            duration = next(remaining, None)
            if duration is not None:
                self.now += duration
                raise Unexpected

        supervisor = Supervisor('reader', fail, pause=self.pauses.append)
        supervisor.run()
        return supervisor

    def test_function_is_started_again_after_growing_pauses(self) -> None:
        self.run_failing([0, 0, 0, 0, 0, 0])
        self.assertEqual(self.pauses[:3], [0.1, 0.2, 0.4])
        self.assertLessEqual(max(self.pauses), 1.0)

    def test_function_fails_after_failures_in_a_row(self) -> None:
        self.assertFalse(self.run_failing([0, 0]).is_failing)
        supervisor = self.run_failing([0, 0, 0])
        self.assertTrue(supervisor.is_failing)
        self.now += supervision.STABLE_SECONDS
        self.assertFalse(supervisor.is_failing)

    def test_rare_failures_do_not_add_up(self) -> None:
        long = supervision.STABLE_SECONDS
        self.assertFalse(self.run_failing([long] * 5).is_failing)


class LogWriterTest(unittest.TestCase):
    """The thread that writes log lines."""

    def test_lines_follow_one_that_cannot_be_encoded(self) -> None:
        writer = logs.LineWriter()
        for event in ('lone surrogate \ud800', 'after it'):
            writer.lines.put({'event': event})
        writer.lines.put(None)
        with mock.patch('sys.stdout', io.StringIO()) as output:
            writer.run()
        self.assertIn('after it', output.getvalue())
        self.assertEqual(writer.dropped, 1)


class UnsupervisedThreadTest(unittest.TestCase):
    """A thread that runs once, such as the one that releases a lease."""

    def test_error_that_ends_it_is_logged(self) -> None:
        self.addCleanup(logger.remove)
        output = self.enterContext(mock.patch('sys.stdout', io.StringIO()))
        with logs.writing_logs('INFO', 'a-node'):
            thread = threading.Thread(target=fail, name='rate-hand-back')
            thread.start()
            thread.join()
        (line,) = map(json.loads, output.getvalue().splitlines())
        self.assertEqual(line['event'], 'thread ended')
        self.assertEqual(line['thread'], 'rate-hand-back')
        self.assertIn('Unexpected', line['error'])


class ReceiverTest(unittest.TestCase):
    """The thread that receives messages of peers."""

    def test_messages_are_received_after_an_unexpected_error(self) -> None:
        peer = loopback_address(free_port())
        received: list[bytes] = []

        def process(frame: bytes) -> None:
            received.append(frame)
            if len(received) == 1:
                raise Unexpected

        transport = Transport(peer, 1, SECRET, Metrics(None), {})
        sender = Transport('127.0.0.1:1', 1, SECRET, Metrics(None), {})
        with (
            mock.patch.object(transport, '_process_frame', process),
            transport.listening(),
        ):
            notice = VersionNotice(version=1)
            wait_until(
                lambda: sender.try_send(peer, notice) and len(received) > 1,
                'message after an error',
            )
        sender.reset(peer)


class ReadinessTest(unittest.TestCase):
    """A node whose reader is gone."""

    def test_node_is_not_ready_while_its_reader_keeps_failing(self) -> None:
        kernel = Kernel()
        metrics = Metrics(None)
        version = SimpleNamespace(version=1)
        kernel.register('metrics', metrics)
        kernel.register('request-gate', SimpleNamespace(is_draining=False))
        kernel.register('configuration', SimpleNamespace(current=version))
        kernel.add_background_thread('reader', fail)
        self.assertTrue(health.is_ready(kernel))
        with kernel.running():
            wait_until(lambda: not health.is_ready(kernel), 'not ready')
        failures = metrics.read()['kernel.thread_failures.reader']
        self.assertGreaterEqual(failures, supervision.MAX_FAILURES)


class OddConfigurationTest(unittest.TestCase):
    """The thread that follows the configuration, and values it can't use."""

    def setUp(self) -> None:
        self.store = SiteStore()
        self.versions: list[int] = []
        self.kernel = Kernel()
        metrics = Metrics(None)
        address = self.enterContext(serving_store(self.store))
        self.kernel.register('metrics', metrics)
        self.kernel.register('store', PlatformStore(address, metrics))
        self.kernel.register('freshness', mock.Mock())
        self.kernel.register('configuration', SimpleNamespace(task=self))
        ZoneEvacuations(self.kernel)

    def post(self, event: ConfigurationFoundEvent) -> None:
        """Record a version that was found, as the task that adopts it."""
        self.versions.append(event.configuration.version)

    def follow(self, decode: Any = configuration.decode_configuration) -> None:
        """Start the thread."""
        keys = WatchedKeys(configuration.CONFIGURATION_KEY)
        ConfigurationWatch(self.kernel, keys, decode)
        self.enterContext(self.kernel.running())

    def put(self, text: str) -> None:
        """Write the value of the key."""
        self.store.put(configuration.CONFIGURATION_KEY, text.encode())

    def put_version(self, version: int) -> None:
        """Write a valid configuration."""
        self.put(make_config(configVersion=f'{version:08x}'))

    def wait_for(self, version: int) -> None:
        """Wait until a version has been found."""
        wait_until(lambda: version in self.versions, f'version {version}')

    def test_versions_are_found_after_an_unexpected_error(self) -> None:
        def decode(text: str) -> Any:
            if text == 'odd':
                raise Unexpected
            return configuration.decode_configuration(text)

        self.put('odd')
        self.follow(decode)
        wait_until(lambda: 'range' in self.store.calls, 'read')
        self.put(make_config())
        self.wait_for(12)

    def test_versions_are_found_after_odd_values(self) -> None:
        added = {**json.loads(make_config())['routes'][0], 'priority': 1}
        odd = (
            f'{{"extra": {NESTED}}}',
            make_config().replace(
                '"timeoutMs": 8000', f'"timeoutMs": {DIGITS}'
            ),
            make_config(configVersion=DIGITS),
            make_config(routes=[{**added, 'timeoutMs': 10**18}]),
            make_config(routes=[{**added, 'priority': 10**30}]),
            make_config(
                routes=[
                    {
                        **added,
                        'weightedServices': [{'service': 'a', 'weight': 0}],
                    }
                ]
            ),
            make_config(tenants=[{'name': 'a', 'burstSize': 10**30}]),
        )
        self.follow()
        for number, text in enumerate(odd):
            with self.subTest(text=text[:40], number=number):
                self.put(text)
                self.put_version(13 + number)
                self.wait_for(13 + number)
        self.assertEqual(self.versions, list(range(13, 13 + len(odd))))

    def test_value_that_is_no_base64_is_refused(self) -> None:
        self.put(make_config())
        self.store.items['op/config']['value'] = 'é'
        self.follow()
        wait_until(lambda: 'range' in self.store.calls, 'read')
        self.put_version(13)
        self.wait_for(13)

    def test_key_beside_the_configuration_is_not_taken_for_it(self) -> None:
        other = make_config(configVersion='000000ff')
        self.store.put('op/config-draft', other.encode())
        self.put(make_config())
        self.follow()
        self.wait_for(12)
        self.assertEqual(self.versions, [12])
