"""Owners that fall silent for a while with requests running beside them."""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Callable

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.fleet_spec import Spec, Vm
from kumquathold_standins.loopback import wait_until
from tests.support import ASKED, KEYS, make_rules

RUN_SECONDS = 0.5
SILENT_SECONDS = 5.0
"""Longer than membership takes to declare a node dead."""

SLOW_ROUTE = f'route POST /slow-notes service=holds deadline=12s{ASKED}'


class SilentOwnerTest(unittest.TestCase):
    """A request that runs is neither given up nor started elsewhere."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        spec = Spec(
            vms=(
                Vm('north-a', 'north', ()),
                Vm('north-b', 'north', ('holds',)),
                Vm('north-a', 'north', ()),
            ),
            latency=RUN_SECONDS,
            relayed=True,
        )
        cls.fleet = cls.enterClassContext(running_fleet(spec))
        cls.fleet.accept(make_rules(SLOW_ROUTE))
        cls.fleet.wait_for_rate_holders()

    def setUp(self) -> None:
        self.ingress, self.owner = self.fleet.nodes[:2]
        wait_until(
            lambda: self._send('probe').status == 200,
            'path from ingress to owner',
        )

    def test_frozen_owner_delivers_what_ran_when_it_wakes(self) -> None:
        (response,) = self._send_beside(
            'frozen', self.owner.process.freeze, self.owner.process.resume
        )
        self.assertEqual(response.status, 200, response)
        self.assertEqual(len(self.fleet.runs_of('frozen')), 1)

    def test_owner_behind_a_cut_delivers_what_ran_when_it_heals(self) -> None:
        others = [one for one in self.fleet.nodes if one is not self.owner]

        def cut() -> None:
            self.fleet.cut([self.owner], others)
            self.fleet.cut(others, [self.owner])

        (response,) = self._send_beside('cut', cut, self.fleet.heal)
        self.assertEqual(response.status, 200, response)
        self.assertEqual(len(self.fleet.runs_of('cut')), 1)

    def test_end_of_an_owner_is_told_once_its_successor_is_known(self) -> None:
        (response,) = self._send_beside(
            'killed', self.owner.process.kill, self.owner.process.restart
        )
        self.assertEqual(response.outcome, 'unknown', response)
        self.assertLess(response.seconds, SILENT_SECONDS + 3)
        self.assertEqual(len(self.fleet.runs_of('killed')), 1)

    def _send_beside(
        self,
        operation: str,
        silence: Callable[[], object],
        restore: Callable[[], object],
    ) -> list[Response]:
        """Send a request, and silence its owner while it runs."""
        responses: list[Response] = []
        thread = threading.Thread(
            target=lambda: responses.append(self._send(operation))
        )
        thread.start()
        wait_until(
            lambda: len(self.fleet.runs_of(operation)) > 0, 'start of the run'
        )
        silence()
        time.sleep(SILENT_SECONDS)
        restore()
        thread.join()
        return responses

    def _send(self, operation: str) -> Response:
        return Caller(KEYS['dealers']).send(
            self.ingress.callers,
            'POST',
            '/slow-notes',
            body=b'x',
            headers={'X-Operation': operation},
        )


if __name__ == '__main__':
    unittest.main()
