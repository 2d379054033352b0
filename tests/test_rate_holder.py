"""Tests of the rate holder with a fake transport and configuration."""

from __future__ import annotations

import unittest
from concurrent.futures import Future
from types import SimpleNamespace
from typing import Any

from kumquathold_core import distribution, rules_file
from kumquathold_core.wire import Envelope
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.process_clock import read_boot_clock
from kumquathold_node.rate_holder import HoldGroupsCommand, RateHolder
from tests.support import make_rules


class FakeTransport:
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def deliver_to(self, _: object) -> None:
        """Ignore the subscription; the test calls the handlers itself."""

    def try_send(self, _: str, message: Any) -> bool:
        """Record the message."""
        self.sent.append(message)
        return True


class HolderStage(unittest.TestCase):
    """A holder without a network: its services are replaced by fakes."""

    def setUp(self) -> None:
        kernel = Kernel()
        self.transport = FakeTransport()
        rules = rules_file.parse_rules(make_rules())
        configuration = SimpleNamespace(current=SimpleNamespace(rules=rules))
        settings = SimpleNamespace(
            region='north',
            regions=('north',),
            rate_groups=1,
        )
        kernel.register('transport', self.transport)
        kernel.register('configuration', configuration)
        kernel.register('metrics', Metrics(None))
        self.holder = RateHolder(kernel, settings)  # type: ignore[arg-type]

    def request_grant(self) -> distribution.GrantResponse:
        """Return the response to a request for three tokens."""
        request = distribution.GrantRequest(
            number=len(self.transport.sent) + 1,
            workspace='small',
            wanted=3,
            reports=(),
        )
        self.holder.on_grant_request(Envelope('10.0.0.9:1', 1, request))
        response = self.transport.sent[-1]
        assert isinstance(response, distribution.GrantResponse)  # noqa: S101
        return response


class RateHolderTest(HolderStage):
    """A holder grants tokens only while its lease is certainly valid."""

    def test_grants_while_the_lease_is_valid(self) -> None:
        self._hold_group(ready_in=-5, valid_for=5)
        self.assertEqual(self.request_grant().tokens, 3)

    def test_grants_nothing_after_the_lease_expires(self) -> None:
        self._hold_group(ready_in=-5, valid_for=-0.01)
        response = self.request_grant()
        self.assertEqual((response.tokens, response.is_holder), (0, False))

    def test_grants_nothing_while_earlier_grants_may_be_used(self) -> None:
        self._hold_group(ready_in=1, valid_for=5)
        self.assertEqual(self.request_grant().tokens, 0)

    def test_lost_group_is_forgotten(self) -> None:
        self._hold_group(ready_in=-5, valid_for=5)
        self.request_grant()
        done: Future[None] = Future()
        self.holder.on_hold_groups(HoldGroupsCommand({}, 0.0, done))
        self.assertTrue(done.done())
        self.assertEqual(self.holder.buckets, {})
        self.assertFalse(self.request_grant().is_holder)

    def _hold_group(self, ready_in: float, valid_for: float) -> None:
        now = read_boot_clock()
        self.holder.on_hold_groups(
            HoldGroupsCommand({0: now + ready_in}, now + valid_for, Future()),
        )
