"""Once-only requests: no fault of a node, upstream or store runs one twice."""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_cli.client import CallRefused
from kumquathold_node.claims_service import STORE_BACKOFF_SECONDS
from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, small_spec


def hold(
    node: Node,
    name: str,
    *,
    work: float = 0.0,
    body: bytes = b'{"watch": 7}',
) -> Response:
    """Send a once-only hold, with its name as the idempotency key."""
    headers = {'Idempotency-Key': name, 'X-Operation': name}
    if work:
        headers['X-Work'] = str(work)
    return Caller(KEYS['dealers']).send(
        node.callers,
        'POST',
        '/holds',
        body=body,
        headers=headers,
    )


class OnceTest(unittest.TestCase):
    """Faults after which the fleet recovers, so that all tests share one."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(running_fleet(small_spec()))
        cls.fleet.accept(make_rules())
        cls.fleet.wait_for_rate_holders()

    def tearDown(self) -> None:
        self.fleet.set_platform()
        # Owners whose last call to the store failed refuse claims meanwhile.
        time.sleep(STORE_BACKOFF_SECONDS)

    def test_repeat_through_another_region_gets_the_first_answer(self) -> None:
        first = hold(self.fleet.nodes[0], 'repeat')
        second = hold(self.fleet.nodes[2], 'repeat')
        self.assertEqual((first.status, second.status), (200, 200))
        self.assertEqual(first.body, second.body)
        self.assertEqual(second.headers['kumquathold-replayed'], 'true')
        self.assertEqual(len(self.fleet.runs_of('repeat')), 1)

    def test_concurrent_attempts_through_all_nodes_run_once(self) -> None:
        responses: list[Response] = []

        def send(node: Node) -> None:
            responses.append(hold(node, 'race', work=0.3))

        threads = [
            threading.Thread(target=send, args=(node,))
            for node in self.fleet.nodes * 3
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(self.fleet.runs_of('race')), 1)
        self.assertIn(200, {response.status for response in responses})
        for response in responses:
            if response.status != 200:
                self.assertEqual(response.reason, 'in-progress')
                self.assertEqual(response.outcome, 'unknown')

    def test_missing_key_is_refused_and_does_not_run(self) -> None:
        response = Caller(KEYS['dealers']).send(
            self.fleet.nodes[0].callers,
            'POST',
            '/holds',
            headers={'X-Operation': 'keyless'},
        )
        self.assertEqual(response.reason, 'idempotency-key-missing')
        self.assertEqual(self.fleet.runs_of('keyless'), [])

    def test_reused_key_with_another_body_does_not_run(self) -> None:
        hold(self.fleet.nodes[0], 'reuse')
        response = hold(self.fleet.nodes[1], 'reuse', body=b'{"watch": 8}')
        self.assertEqual(response.reason, 'idempotency-key-reused')
        self.assertEqual(len(self.fleet.runs_of('reuse')), 1)

    def test_lost_reply_to_the_claim_is_looked_up(self) -> None:
        for round_number in range(4):
            name = f'lost-{round_number}'
            self.fleet.set_platform(lose_replies=1)
            response = hold(self.fleet.nodes[round_number % 3], name)
            self.fleet.set_platform()
            repeat = hold(self.fleet.nodes[(round_number + 1) % 3], name)
            runs = len(self.fleet.runs_of(name))
            self.assertEqual(runs, 1, (response, repeat))
            self.assertEqual(repeat.status, 200, repeat)

    def test_platform_down_means_refused_and_not_run(self) -> None:
        self.fleet.set_platform(down=True)
        response = hold(self.fleet.nodes[1], 'down')
        self.assertEqual(response.reason, 'store-unavailable')
        self.assertEqual(response.outcome, 'not-run')
        self.assertEqual(self.fleet.runs_of('down'), [])
        self.fleet.set_platform()
        wait_until(
            lambda: hold(self.fleet.nodes[1], 'down').status == 200,
            'hold after the outage',
        )
        self.assertEqual(len(self.fleet.runs_of('down')), 1)

    def test_platform_lost_while_running_keeps_the_outcome_for_later(
        self,
    ) -> None:
        responses: list[Response] = []
        thread = threading.Thread(
            target=lambda: responses.append(
                hold(self.fleet.nodes[0], 'midway', work=0.6),
            ),
        )
        thread.start()
        wait_until(
            lambda: bool(self.fleet.runs_of('midway')),
            'start of the run',
        )
        self.fleet.set_platform(down=True)
        thread.join()
        self.assertEqual(responses[0].status, 200)
        time.sleep(0.5)
        self.fleet.set_platform()
        wait_until(
            lambda: hold(self.fleet.nodes[2], 'midway').status == 200,
            'replay after the outage',
        )
        self.assertEqual(len(self.fleet.runs_of('midway')), 1)

    def test_cut_answer_of_the_upstream_leaves_the_outcome_to_operators(
        self,
    ) -> None:
        for upstream in self.fleet.upstreams:
            upstream.behave(cut_share=1.0)
        response = hold(self.fleet.nodes[0], 'open')
        for upstream in self.fleet.upstreams:
            upstream.behave()
        self.assertEqual(response.outcome, 'unknown', response)
        repeat = hold(self.fleet.nodes[1], 'open')
        self.assertEqual(repeat.reason, 'outcome-unknown')
        query: dict[str, object] = {'workspace': 'dealers', 'key': 'open'}
        client = self.fleet.client
        self.assertEqual(client.get_json('/once', query)['state'], 'unknown')
        client.post('/once', {**query, 'ruling': 'ran'})
        self.assertEqual(hold(self.fleet.nodes[2], 'open').outcome, 'ran')
        self.assertEqual(len(self.fleet.runs_of('open')), 1)

    def test_ruling_not_run_lets_the_next_attempt_run(self) -> None:
        for upstream in self.fleet.upstreams:
            upstream.behave(cut_share=1.0)
        hold(self.fleet.nodes[0], 'reopened')
        for upstream in self.fleet.upstreams:
            upstream.behave()
        query: dict[str, object] = {'workspace': 'dealers', 'key': 'reopened'}
        self.fleet.client.post('/once', {**query, 'ruling': 'not-run'})
        self.assertEqual(hold(self.fleet.nodes[1], 'reopened').status, 200)
        with self.assertRaises(CallRefused):
            self.fleet.client.post('/once', {**query, 'ruling': 'ran'})


class OwnerKilledTest(unittest.TestCase):
    """Kill the owner at several moments of a request's run."""

    def test_killed_owner_never_leads_to_a_second_run(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            for round_number, kill_delay in enumerate((0.0, 0.1, 0.45)):
                name = f'kill-{round_number}'
                self._kill_owner_during(fleet, name, kill_delay)
                wait_until(
                    lambda name=name: (
                        hold(  # type: ignore[misc]
                            fleet.nodes[0],
                            name,
                        ).outcome
                        in {'ran', 'unknown'}
                    ),
                    f'outcome of {name}',
                )
                self.assertLessEqual(len(fleet.runs_of(name)), 1)

    def _kill_owner_during(
        self,
        fleet: Fleet,
        name: str,
        kill_delay: float,
    ) -> None:
        ingress = fleet.nodes[0]
        owners = {
            one.address: node for node in fleet.nodes for one in node.upstreams
        }
        for upstream in ingress.upstreams:
            upstream.behave(state='leaving')
        wait_until(
            lambda: not _has_ready_upstreams(ingress),
            'ingress without upstreams of its own',
        )
        responses: list[Response] = []
        thread = threading.Thread(
            target=lambda: responses.append(hold(ingress, name, work=0.4)),
        )
        thread.start()
        wait_until(lambda: bool(fleet.runs_of(name)), f'start of {name}')
        owner = owners[fleet.runs_of(name)[0].upstream]
        time.sleep(kill_delay)
        owner.process.kill()
        thread.join()
        if responses[0].status == 200:
            self.assertEqual(len(fleet.runs_of(name)), 1)
        else:
            self.assertNotEqual(responses[0].outcome, 'not-run')
        owner.process.restart()
        wait_until(lambda: _has_ready_upstreams(owner), 'restart')
        fleet.wait_in_force(1)


def _has_ready_upstreams(node: Node) -> bool:
    status = node.client.get_json('/status')
    own = next(
        one for one in status['nodes'] if one['address'] == status['node']
    )
    return any(one['ready'] and not one['leaving'] for one in own['upstreams'])
