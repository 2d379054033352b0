"""What an owner believes of an upstream that has said otherwise."""

from __future__ import annotations

import unittest

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.owner_calls import CallFailedEvent
from kumquathold_node.upstream_calls import CallFailed
from tests.owner_stage import OwnerStage


class ReplacedUpstreamTest(unittest.TestCase):
    """Another process has answered at the upstream's address."""

    def test_replaced_upstream_is_offered_to_nobody(self) -> None:
        stage = OwnerStage.for_test(self)
        stage.announce()
        stage.send(1)
        failure = CallFailed(Outcome.not_run, Refusal.upstream_replaced)
        stage.owner.on_call_failed(CallFailedEvent(stage.started[0], failure))
        (published,) = stage.last_published()
        self.assertFalse(published.ready)
        stage.announce()
        (published,) = stage.last_published()
        self.assertTrue(published.ready)


if __name__ == '__main__':
    unittest.main()
