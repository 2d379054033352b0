"""Keys: whose request runs, who sees the key, and when it stops working."""

from __future__ import annotations

import http.client
import threading
import time
import unittest

from kumquathold_cli import changes, keys
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, Node, running_fleet
from tests.support import KEYS, make_rules, small_spec

BOUND_SECONDS = 5.0


def withdraw(fleet: Fleet, workspace: str) -> int:
    """Withdraw a workspace's key, and give the new version."""
    key_id = KEYS[workspace].split('_')[1]
    return changes.edit_accepted_text(
        fleet.client,
        lambda text: keys.remove_key(text, key_id),
        'test',
    )


def seconds_until_refused(caller: Caller, node: Node) -> float:
    """How long a key goes on working on one kept connection."""
    started_at = time.monotonic()
    connection = http.client.HTTPConnection(node.callers, timeout=10)
    while time.monotonic() - started_at < 4 * BOUND_SECONDS:
        answer = caller.send_on(connection, 'GET', '/diffs/1')
        if answer.status not in {0, 200}:
            return time.monotonic() - started_at
        time.sleep(0.02)
    return time.monotonic() - started_at


class KeySecrecyTest(unittest.TestCase):
    """No upstream sees a key, and a key speaks for its workspace only."""

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
            answer = Caller().send(
                self.fleet.nodes[number % 3].callers,
                'GET',
                '/diffs/1',
                headers={**headers, 'X-Operation': operation},
            )
            self.assertEqual(answer.status, 200, answer)
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
            answer = Caller(key).send(
                self.fleet.nodes[0].callers,
                'PUT' if body else 'GET',
                path,
                body=body,
                headers={**headers, 'X-Operation': 'exposed'},
            )
            self.assertEqual(answer.reason, 'key-exposed', (path, answer))
            self.assertEqual(answer.outcome, 'not-run')
        self.assertEqual(self.fleet.runs_of('exposed'), [])

    def test_public_route_does_not_pass_a_key_on(self) -> None:
        answer = Caller(KEYS['dealers']).send(
            self.fleet.nodes[1].callers,
            'GET',
            '/listings/1',
            headers={'X-Operation': 'public'},
        )
        self.assertEqual(answer.status, 200)
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
            answer = Caller(key).send(
                self.fleet.nodes[0].callers,
                'GET',
                '/diffs/1',
                headers={'X-Operation': 'wrong'},
            )
            self.assertEqual(answer.status, 401, (key, answer))
        self.assertEqual(self.fleet.runs_of('wrong'), [])


class WithdrawalTest(unittest.TestCase):
    """A withdrawn key stops within the bound, whatever is cut or frozen."""

    def test_withdrawn_key_stops_for_connected_callers(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            took: list[float] = []
            threads = [
                threading.Thread(
                    target=lambda node=node: took.append(
                        seconds_until_refused(Caller(KEYS['dealers']), node),
                    ),
                )
                for node in fleet.nodes
            ]
            for thread in threads:
                thread.start()
            withdraw(fleet, 'dealers')
            for thread in threads:
                thread.join()
            self.assertLess(max(took), BOUND_SECONDS)

    def test_withdrawn_key_stops_at_a_node_cut_from_the_store(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            victim = fleet.nodes[2]
            fleet.cut_store([victim])
            caller = Caller(KEYS['dealers'])
            time.sleep(BOUND_SECONDS)
            answer = caller.send(victim.callers, 'GET', '/diffs/1')
            self.assertEqual(answer.status, 200, 'peers prove freshness')
            withdraw(fleet, 'dealers')
            took = seconds_until_refused(caller, victim)
            self.assertLess(took, BOUND_SECONDS)

    def test_node_cut_from_everyone_refuses_keyed_requests(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(
                make_rules(
                    'route GET /stale/* service=listings stale=serve'
                    '  # asked by the tests',
                ),
            )
            fleet.wait_for_rate_holders()
            *rest, victim = fleet.nodes
            fleet.cut_store([victim])
            fleet.cut(rest, [victim])
            withdraw(fleet, 'dealers')
            caller = Caller(KEYS['dealers'])
            took = seconds_until_refused(caller, victim)
            self.assertLess(took, BOUND_SECONDS)
            refused = caller.send(victim.callers, 'GET', '/diffs/1')
            self.assertEqual(refused.reason, 'stale-configuration')
            self.assertEqual(refused.outcome, 'not-run')
            public = caller.send(victim.callers, 'GET', '/listings/1')
            self.assertEqual(public.status, 200)

    def test_store_outage_keeps_keyed_requests_going(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            fleet.set_platform(down=True)
            caller = Caller(KEYS['dealers'])
            ends_at = time.monotonic() + 2 * BOUND_SECONDS
            while time.monotonic() < ends_at:
                for node in fleet.nodes:
                    answer = caller.send(node.callers, 'GET', '/diffs/1')
                    self.assertEqual(answer.status, 200, answer)
                time.sleep(0.05)
            fleet.set_platform()
            withdraw(fleet, 'dealers')
            for node in fleet.nodes:
                took = seconds_until_refused(caller, node)
                self.assertLess(took, BOUND_SECONDS)

    def test_frozen_node_refuses_with_its_first_answer(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            victim = fleet.nodes[2]
            caller = Caller(KEYS['dealers'])
            warm = caller.send(victim.callers, 'GET', '/diffs/1')
            self.assertEqual(warm.status, 200)
            victim.process.freeze()
            withdraw(fleet, 'dealers')
            statuses: list[int] = []
            threads = [
                threading.Thread(
                    target=lambda: statuses.append(
                        caller.send(victim.callers, 'GET', '/diffs/1').status,
                    ),
                )
                for _ in range(8)
            ]
            for thread in threads:
                thread.start()
            time.sleep(BOUND_SECONDS + 0.5)
            victim.process.resume()
            for thread in threads:
                thread.join()
            self.assertNotIn(200, statuses)
