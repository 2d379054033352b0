"""Callers that leave before their request is sent to an upstream."""

from __future__ import annotations

import math
import unittest
from time import monotonic
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.caller_requests import RequestRefused
from kumquathold_node.ingress import Ingress

DEADLINE_SECONDS = 5.0
THREADS = 8


class DepartedCallerTest(unittest.TestCase):
    """Nothing is sent for a caller that left while it waited for a token."""

    def setUp(self) -> None:
        self.kernel = mock.MagicMock()
        settings: Any = SimpleNamespace(
            threads=THREADS, peer='10.0.0.1:1', service=''
        )
        dialect: Any = SimpleNamespace(caller_service='')
        self.ingress = Ingress(self.kernel, settings, dialect)
        gate = SimpleNamespace(give_up_at=math.inf)
        self.ingress.context.request_gate = gate
        self.choose = mock.MagicMock(return_value=None)
        self.ingress.balancer = mock.MagicMock(
            choose=self.choose, is_unplaceable=lambda _: False
        )

    def run_request(self, *, is_gone: bool, claim: str = '') -> RequestRefused:
        """Run a request whose admission is over, and return its refusal."""
        configuration = self.ingress.configuration.current
        admitted: Any = SimpleNamespace(
            request=SimpleNamespace(
                id='r',
                arrived_at=monotonic() - DEADLINE_SECONDS,
                is_disconnected=lambda: is_gone,
            ),
            service=SimpleNamespace(name='s'),
            route=SimpleNamespace(
                name='r',
                idempotent=False,
                objective=1.0,
                attempts=1,
                regions=(),
            ),
            rank=0,
            workspace=None,
            configuration=configuration,
            claim=claim,
            deadline=monotonic() + DEADLINE_SECONDS,
        )
        with (
            mock.patch.object(self.ingress, '_admit', return_value=admitted),
            self.assertRaises(RequestRefused) as raised,
        ):
            self.ingress.handle(admitted.request)
        return raised.exception

    def test_request_of_a_caller_that_has_left_is_not_sent(self) -> None:
        refused = self.run_request(is_gone=True)
        self.assertEqual(refused.reason, Refusal.cancelled)
        self.assertEqual(refused.outcome, Outcome.not_run)
        self.choose.assert_not_called()

    def test_request_of_a_caller_that_waits_is_sent(self) -> None:
        self.run_request(is_gone=False)
        self.choose.assert_called()

    def test_once_only_request_is_sent_all_the_same(self) -> None:
        self.run_request(is_gone=True, claim='c')
        self.choose.assert_called()


if __name__ == '__main__':
    unittest.main()
