"""Tests of API keys on a fleet: authentication, secrecy and withdrawal."""

from __future__ import annotations

import http.client
import threading
import time
import unittest

from kumquathold_cli import changes, keys
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, small_spec

MAX_WITHDRAWAL_SECONDS = 5.0


def withdraw_key(fleet: Fleet, workspace: str) -> int:
    """Withdraw a workspace's key and return the new version."""
    key_id = KEYS[workspace].split('_')[1]
    return changes.edit_accepted_text(
        fleet.client,
        lambda text: keys.remove_key(text, key_id),
        'test',
    )


def measure_seconds_until_refused(caller: Caller, node: Node) -> float:
    """Return how long a key stays valid on one persistent connection."""
    started_at = time.monotonic()
    connection = http.client.HTTPConnection(node.callers, timeout=10)
    while time.monotonic() - started_at < 4 * MAX_WITHDRAWAL_SECONDS:
        response = caller.send_on(connection, 'GET', '/diffs/1')
        if response.status not in {0, 200}:
            return time.monotonic() - started_at
        time.sleep(0.02)
    return time.monotonic() - started_at


class KeySecrecyTest(unittest.TestCase):
    """No upstream sees a key; a key authenticates only its own workspace."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(running_fleet(small_spec()))
        cls.fleet.accept(make_rules())
        cls.fleet.wait_for_rate_holders()

    def test_upstream_sees_the_workspace_and_not_the_key(self) -> None:
        key = KEYS['dealers']
        for number, headers in enumerate(
            (
                {'Authorization': f'Bearer {key}'},
                {'X-Api-Key': key},
                {'Authorization': f'Bearer {key}', 'X-Api-Key': key},
                {
                    'Authorization': f'Bearer {key}',
                    'Kumquathold-Workspace': 'pixels',
                },
            )
        ):
            operation = f'secret-{number}'
            response = Caller().send(
                self.fleet.nodes[number % 3].callers,
                'GET',
                '/diffs/1',
                headers={**headers, 'X-Operation': operation},
            )
            self.assertEqual(response.status, 200, response)
            (run,) = self.fleet.runs_of(operation)
            self.assertNotIn(key, str(run.headers))
            self.assertEqual(run.headers['Kumquathold-Workspace'], 'dealers')

    def test_key_elsewhere_in_the_request_is_refused(self) -> None:
        key = KEYS['dealers']
        encoded = key.replace('_', '%5F')
        for path, headers, body in (
            (f'/diffs/1?api_key={key}', {}, b''),
            (f'/diffs/{encoded}', {}, b''),
            ('/diffs/1', {'X-Note': f'my key is {key}'}, b''),
            ('/files/1', {}, f'{{"key": "{key}"}}'.encode()),
        ):
            response = Caller(key).send(
                self.fleet.nodes[0].callers,
                'PUT' if body else 'GET',
                path,
                body=body,
                headers={**headers, 'X-Operation': 'exposed'},
            )
            self.assertEqual(response.reason, 'key-exposed', (path, response))
            self.assertEqual(response.outcome, 'not-run')
        self.assertEqual(self.fleet.runs_of('exposed'), [])

    def test_public_route_does_not_pass_a_key_on(self) -> None:
        response = Caller(KEYS['dealers']).send(
            self.fleet.nodes[1].callers,
            'GET',
            '/listings/1',
            headers={'X-Operation': 'public'},
        )
        self.assertEqual(response.status, 200)
        (run,) = self.fleet.runs_of('public')
        self.assertNotIn(KEYS['dealers'], str(run.headers))

    def test_wrong_keys_are_refused(self) -> None:
        real = KEYS['dealers']
        for key in (
            '',
            'nonsense',
            'kq_dealers1_',
            'kq_dealers1_0123456789abcdee',
            'kq_unknown1_0123456789abcdef',
            f'{real}x',
            real.replace('dealers1', 'pixels1'),
        ):
            response = Caller(key).send(
                self.fleet.nodes[0].callers,
                'GET',
                '/diffs/1',
                headers={'X-Operation': 'wrong'},
            )
            self.assertEqual(response.status, 401, (key, response))
        self.assertEqual(self.fleet.runs_of('wrong'), [])


class WithdrawalTest(unittest.TestCase):
    """A withdrawn key is refused within the bound, also during faults.

    The faults are isolated or frozen nodes and an outage of the store.
    """

    def test_withdrawn_key_is_refused_on_open_connections(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            durations: list[float] = []
            threads = [
                threading.Thread(
                    target=lambda node=node: durations.append(
                        measure_seconds_until_refused(
                            Caller(KEYS['dealers']), node
                        ),
                    ),
                )
                for node in fleet.nodes
            ]
            for thread in threads:
                thread.start()
            withdraw_key(fleet, 'dealers')
            for thread in threads:
                thread.join()
            self.assertLess(max(durations), MAX_WITHDRAWAL_SECONDS)

    def test_withdrawn_key_is_refused_by_a_node_without_the_store(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            isolated_node = fleet.nodes[2]
            fleet.cut_store([isolated_node])
            caller = Caller(KEYS['dealers'])
            time.sleep(MAX_WITHDRAWAL_SECONDS)
            response = caller.send(isolated_node.callers, 'GET', '/diffs/1')
            self.assertEqual(response.status, 200, 'peers prove freshness')
            withdraw_key(fleet, 'dealers')
            took = measure_seconds_until_refused(caller, isolated_node)
            self.assertLess(took, MAX_WITHDRAWAL_SECONDS)

    def test_isolated_node_refuses_requests_with_keys(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(
                make_rules(
                    'route GET /stale/* service=listings stale=serve'
                    '  # asked by the tests',
                ),
            )
            fleet.wait_for_rate_holders()
            *rest, isolated_node = fleet.nodes
            fleet.cut_store([isolated_node])
            fleet.cut(rest, [isolated_node])
            withdraw_key(fleet, 'dealers')
            caller = Caller(KEYS['dealers'])
            took = measure_seconds_until_refused(caller, isolated_node)
            self.assertLess(took, MAX_WITHDRAWAL_SECONDS)
            refused = caller.send(isolated_node.callers, 'GET', '/diffs/1')
            self.assertEqual(refused.reason, 'stale-configuration')
            self.assertEqual(refused.outcome, 'not-run')
            public = caller.send(isolated_node.callers, 'GET', '/listings/1')
            self.assertEqual(public.status, 200)

    def test_requests_with_keys_succeed_during_a_store_outage(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            fleet.set_platform(down=True)
            caller = Caller(KEYS['dealers'])
            ends_at = time.monotonic() + 2 * MAX_WITHDRAWAL_SECONDS
            while time.monotonic() < ends_at:
                for node in fleet.nodes:
                    response = caller.send(node.callers, 'GET', '/diffs/1')
                    self.assertEqual(response.status, 200, response)
                time.sleep(0.05)
            fleet.set_platform()
            withdraw_key(fleet, 'dealers')
            for node in fleet.nodes:
                took = measure_seconds_until_refused(caller, node)
                self.assertLess(took, MAX_WITHDRAWAL_SECONDS)

    def test_resumed_node_refuses_from_its_first_response_on(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            frozen_node = fleet.nodes[2]
            caller = Caller(KEYS['dealers'])
            warm = caller.send(frozen_node.callers, 'GET', '/diffs/1')
            self.assertEqual(warm.status, 200)
            frozen_node.process.freeze()
            withdraw_key(fleet, 'dealers')
            statuses: list[int] = []
            threads = [
                threading.Thread(
                    target=lambda: statuses.append(
                        caller.send(
                            frozen_node.callers, 'GET', '/diffs/1'
                        ).status,
                    ),
                )
                for _ in range(8)
            ]
            for thread in threads:
                thread.start()
            time.sleep(MAX_WITHDRAWAL_SECONDS + 0.5)
            frozen_node.process.resume()
            for thread in threads:
                thread.join()
            self.assertNotIn(200, statuses)
