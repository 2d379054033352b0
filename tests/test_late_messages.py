"""Messages between nodes that are lost or delayed.

Guards against a request that runs after its caller was told that it did not.
"""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.fleet_spec import Spec, Vm
from kumquathold_standins.loopback import wait_until
from tests.support import KEYS, make_rules

NOTE_DEADLINE_SECONDS = 5.0


class LateMessagesTest(unittest.TestCase):
    """An ingress without upstreams, and an owner with all of them."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        spec = Spec(
            vms=(
                Vm('north-a', 'north', ()),
                Vm('north-b', 'north', ('listings', 'holds')),
            ),
            relayed=True,
        )
        cls.fleet = cls.enterClassContext(running_fleet(spec))
        cls.fleet.accept(make_rules())
        cls.fleet.wait_for_rate_holders()

    def setUp(self) -> None:
        self.ingress, self.owner = self.fleet.nodes
        self._wait_for_path()

    def tearDown(self) -> None:
        self.fleet.release()
        self.fleet.heal()

    def test_delayed_request_does_not_run_after_it_was_reported_not_run(
        self,
    ) -> None:
        resets = self._read_counter('peers.connections_reset')
        self.fleet.stall([self.ingress], [self.owner])
        response = self._send('POST', '/open-notes', 'late-note')
        self.fleet.release()
        time.sleep(1.0)
        runs = len(self.fleet.runs_of('late-note'))
        if response.outcome == 'not-run':
            self.assertEqual(runs, 0, response)
        self.assertLessEqual(runs, 1)
        # The stalled connection was detected and replaced, and the status
        # request on the new one returned the outcome of the request.
        self.assertGreater(
            self._read_counter('peers.connections_reset'), resets
        )
        self.assertNotEqual(response.outcome, 'unknown', response)

    def test_idempotent_request_is_retried_when_its_connection_is_silent(
        self,
    ) -> None:
        self.fleet.silence([self.ingress], [self.owner])
        response = self._send('GET', '/diffs/1', 'silent-read')
        self.assertEqual(response.status, 200, response)
        self.assertLess(response.seconds, 3)

    def test_outcome_is_right_when_responses_are_lost(self) -> None:
        self.fleet.silence([self.owner], [self.ingress])
        response = self._send('POST', '/notes', 'silent-note')
        runs = len(self.fleet.runs_of('silent-note'))
        self.assertLessEqual(runs, 1)
        if response.status == 200:
            self.assertEqual(runs, 1)
        if response.outcome == 'not-run':
            self.assertEqual(runs, 0, response)

    def test_outcome_is_right_when_the_way_back_is_cut(self) -> None:
        self.fleet.cut([self.owner], [self.ingress])
        response = self._send('POST', '/notes', 'cut-note')
        runs = len(self.fleet.runs_of('cut-note'))
        self.assertLessEqual(runs, 1)
        self.assertNotEqual((response.outcome, runs), ('not-run', 1))

    def test_frozen_owner_runs_nothing_after_the_deadline(self) -> None:
        self.owner.process.freeze()
        responses: list[Response] = []
        thread = threading.Thread(
            target=lambda: responses.append(
                self._send('POST', '/notes', 'frozen-note'),
            ),
        )
        thread.start()
        time.sleep(NOTE_DEADLINE_SECONDS + 0.2)
        self.owner.process.resume()
        thread.join()
        time.sleep(1.0)
        self.assertEqual(self.fleet.runs_of('frozen-note'), [], responses)

    def _read_counter(self, name: str) -> float:
        return self.ingress.metrics().get(name, 0)

    def _send(self, method: str, path: str, operation: str) -> Response:
        return Caller(KEYS['dealers']).send(
            self.ingress.callers,
            method,
            path,
            body=b'x' if method == 'POST' else b'',
            headers={'X-Operation': operation},
        )

    def _wait_for_path(self) -> None:
        wait_until(
            lambda: self._send('GET', '/diffs/1', 'probe').status == 200,
            'path from ingress to owner',
        )
