"""What an owner believes of an upstream that has said otherwise."""

from __future__ import annotations

import unittest

from kumquathold_core.failure_risk import TRIAL_INTERVAL_SECONDS
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.owner_calls import CallFailedEvent, CallSucceededEvent
from kumquathold_node.upstream_calls import CallFailed
from kumquathold_node.upstream_responses import UpstreamResponse
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


class RestartedUpstreamTest(unittest.TestCase):
    """A new process takes the name while a call of the earlier one runs."""

    def test_call_of_the_earlier_process_frees_no_slot_of_the_new_one(
        self,
    ) -> None:
        """The new process would run more requests than it has slots."""
        stage = OwnerStage.for_test(self)
        stage.announce(lifetime=7)
        stage.send(1)
        upstream = stage.announce(lifetime=8)
        assert upstream is not None
        failure = CallFailed(Outcome.unknown, Refusal.upstream_failed)
        stage.owner.on_call_failed(CallFailedEvent(stage.started[0], failure))
        self.assertEqual(upstream.in_use, 0)


class SuspectQueueTest(unittest.TestCase):
    """An upstream that turns gray fails each request within milliseconds."""

    def test_queue_is_returned_and_not_run_by_a_suspect_upstream(self) -> None:
        """It would fail the whole queue, most of which cannot be repeated."""
        stage = OwnerStage.for_test(self)
        upstream = stage.announce()
        assert upstream is not None
        for number in range(1, 5):
            stage.send(number)
        failed = UpstreamResponse(500, (), b'', 0.001)
        stage.owner.on_call_succeeded(
            CallSucceededEvent(stage.started[0], failed)
        )
        self.assertEqual(len(stage.started), 1)
        failures = stage.list_failures()
        self.assertEqual([one.request.number for one in failures], [2, 3, 4])
        for failure in failures:
            self.assertEqual(failure.outcome, Outcome.not_run)
            self.assertEqual(failure.reason, Refusal.upstream_suspect)

    def test_request_that_hangs_does_not_keep_the_upstream_idle(self) -> None:
        """After a failure, requests waited for the outcome of one that hung."""
        stage = OwnerStage.for_test(self)
        upstream = stage.announce(slots=4)
        assert upstream is not None
        stage.send(1)
        failed = UpstreamResponse(500, (), b'', 0.001)
        stage.owner.on_call_succeeded(
            CallSucceededEvent(stage.started[0], failed)
        )
        for number in range(2, 5):
            stage.send(number, max_risk=1.0)
        self.assertEqual(len(stage.started), 2)
        for count in (3, 4):
            upstream.failure_risk.started_at -= TRIAL_INTERVAL_SECONDS
            stage.owner.on_tick()
            self.assertEqual(len(stage.started), count)


if __name__ == '__main__':
    unittest.main()
