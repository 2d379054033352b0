"""Acceptance of a configuration whose replies from the store are lost."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_core import store_keys
from kumquathold_core.store_eras import CallStart
from kumquathold_node import acceptance
from kumquathold_node.http_calls import HttpResponse
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    ReadResult,
    StoreRefused,
    StoreUnavailable,
    SwapResult,
    Write,
)
from tests.site_store import SiteStore, serving_store
from tests.support import make_rules
from tests.test_site_platform import PlatformStore

SWITCH_TIMEOUT_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 30.0
"""So that only the replies which the test loses are lost."""


class LossyStore(PlatformStore):
    """Store that loses the reply to a switch, and refuses what follows."""

    def __init__(self, case: unittest.TestCase) -> None:
        self.site = SiteStore()
        address = case.enterContext(serving_store(self.site))
        super().__init__(address, Metrics(None))
        self.applies_lost_switch = True
        self.loses_reply = True
        self.refuses_reads = False
        self.is_refusing = False

    def _call(
        self,
        start: CallStart,
        method: str,
        target: str,
        content: object = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> HttpResponse:
        return super()._call(start, method, target, content, timeout)

    def swap(self, writes: Sequence[Write]) -> SwapResult:
        is_switch = writes[0].key == store_keys.MANIFEST_KEY
        if is_switch:
            self.before_switch()
        if is_switch and self.is_refusing:
            raise StoreRefused('status 403')
        if not is_switch or not self.loses_reply:
            return super().swap(writes)
        self.is_refusing = True
        if self.applies_lost_switch:
            super().swap(writes)
        raise StoreUnavailable('no reply')

    def before_switch(self) -> None:
        """Do nothing; subclasses change the store."""

    def read(self, key: str) -> ReadResult:
        if self.is_refusing and self.refuses_reads:
            raise StoreRefused('status 403')
        return super().read(key)


def make_acceptance_kernel(store: LossyStore) -> Kernel:
    """Return a kernel that accepts configurations, and nothing else."""
    kernel = Kernel()
    service: Any = SimpleNamespace(
        task=SimpleNamespace(post=bool),
        notify_all_peers=bool,
        current=SimpleNamespace(version=0, digest=''),
    )
    kernel.register('store', store)
    kernel.register('configuration', service)
    return kernel


class LostReplyTest(unittest.TestCase):
    """A refused retry says nothing about the attempt before it."""

    def setUp(self) -> None:
        self.store = LossyStore(self)
        self.kernel = make_acceptance_kernel(self.store)
        self.enterContext(
            mock.patch.object(
                acceptance, 'SWITCH_TIMEOUT_SECONDS', SWITCH_TIMEOUT_SECONDS
            )
        )

    def accept(self) -> int:
        """Accept the first version of the rules; return its number."""
        proposal = acceptance.Proposal(make_rules(), 0, 'me', 'first')
        return acceptance.accept(self.kernel, proposal).version

    def test_read_settles_a_switch_that_took_effect(self) -> None:
        self.assertEqual(self.accept(), 1)

    def test_outcome_is_unknown_while_reads_are_refused(self) -> None:
        self.store.refuses_reads = True
        with self.assertRaises(acceptance.OutcomeUnknown):
            self.accept()

    def test_outcome_is_unknown_if_the_switch_may_still_arrive(self) -> None:
        self.store.applies_lost_switch = False
        with self.assertRaises(acceptance.OutcomeUnknown):
            self.accept()

    def test_refused_first_switch_was_not_accepted(self) -> None:
        self.store.is_refusing = True
        with self.assertRaises(acceptance.NotAccepted):
            self.accept()


if __name__ == '__main__':
    unittest.main()
