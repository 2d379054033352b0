"""The whole path, through real processes."""

from __future__ import annotations

import unittest

from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import running_fleet
from tests.support import KEYS, make_rules, small_spec


class PathTest(unittest.TestCase):
    """A caller's request goes through ingress and owner, and back."""

    def test_requests_are_answered_through_every_node(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            caller = Caller(KEYS['dealers'])
            for node in fleet.nodes:
                answer = caller.send(
                    node.callers,
                    'GET',
                    '/diffs/7',
                    headers={'X-Operation': f'read-{node.peer}'},
                )
                self.assertEqual(answer.status, 200, answer)
                self.assertEqual(answer.outcome, 'ran')
                runs = fleet.runs_of(f'read-{node.peer}')
                self.assertEqual(len(runs), 1)
