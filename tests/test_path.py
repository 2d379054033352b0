"""The path of a request through a fleet of real processes."""

from __future__ import annotations

import unittest

from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import running_fleet
from tests.support import KEYS, make_rules, small_spec


class PathTest(unittest.TestCase):
    """A request passes ingress and owner, and its response returns."""

    def test_requests_are_answered_through_every_node(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            caller = Caller(KEYS['dealers'])
            for node in fleet.nodes:
                response = caller.send(
                    node.callers,
                    'GET',
                    '/diffs/7',
                    headers={'X-Operation': f'read-{node.peer}'},
                )
                self.assertEqual(response.status, 200, response)
                self.assertEqual(response.outcome, 'ran')
                runs = fleet.runs_of(f'read-{node.peer}')
                self.assertEqual(len(runs), 1)
