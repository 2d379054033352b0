"""Requests of callers at the moment by which a draining node responds."""

from __future__ import annotations

import unittest
from time import monotonic
from typing import Any
from unittest import mock

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.retries import AttemptFailure
from kumquathold_node import ingress
from kumquathold_node.caller_requests import RequestRefused
from kumquathold_node.caller_server import RequestGate
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.ingress import Ingress
from kumquathold_node.kernel import Kernel

OWNERS = 50
"""Owners that would take one attempt each."""

SERVICES = (
    'balancer',
    'call-failures',
    'configuration',
    'freshness',
    'membership',
    'metrics',
    'pending-requests',
    'rate-client',
    'transport',
)


class DrainedIngressTest(unittest.TestCase):
    """The ingress of a draining node, without owners or a network."""

    def setUp(self) -> None:
        attempt = mock.patch.object(ingress, 'Attempt')
        self.attempt = self.enterContext(attempt)
        kernel = Kernel()
        for name in SERVICES:
            kernel.register(name, mock.MagicMock())
        selections = [mock.MagicMock() for _ in range(OWNERS)]
        kernel.find('balancer').choose.side_effect = selections
        self.gate = RequestGate(kernel)
        settings: Any = mock.MagicMock(peer='10.0.0.1:7400')
        self.ingress = Ingress(kernel, settings, UpstreamDialect())
        self.admitted: Any = mock.MagicMock(
            claim='', deadline=monotonic() + 100
        )
        self.admitted.request.arrived_at = monotonic()
        self.admitted.request.is_disconnected.side_effect = lambda: (
            self.attempt.call_count >= OWNERS
        )
        self.admitted.route.attempts = OWNERS
        failure = AttemptFailure(Outcome.not_run, Refusal.node_leaving)
        self.attempt.return_value.run.return_value = failure

    def test_request_is_refused_once_and_not_sent_on(self) -> None:
        now = monotonic()
        self.gate.drain(close_at=now - 2, give_up_at=now - 1)
        with self.assertRaises(RequestRefused) as refused:
            self.ingress._run_attempts(self.admitted)
        self.assertEqual(refused.exception.reason, Refusal.node_leaving)
        self.assertEqual(refused.exception.outcome, Outcome.not_run)
        self.assertEqual(self.attempt.call_count, 1)

    def test_request_is_sent_on_while_there_is_time(self) -> None:
        now = monotonic()
        self.gate.drain(close_at=now - 2, give_up_at=now + 50)
        with self.assertRaises(RequestRefused):
            self.ingress._run_attempts(self.admitted)
        self.assertGreater(self.attempt.call_count, 1)
