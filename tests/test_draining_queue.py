"""Requests that wait at an owner whose node drains."""

from __future__ import annotations

import unittest
from time import monotonic

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.owner import DrainCommand
from tests.owner_stage import OwnerStage

SERVICE_SECONDS = 1.0
TIME_LEFT_SECONDS = 4.5
QUEUED = 6


class DrainingQueueTest(unittest.TestCase):
    """No queued request is begun that the end of the node would break off."""

    def setUp(self) -> None:
        self.stage = OwnerStage.for_test(self)
        upstream = self.stage.announce()
        assert upstream is not None
        upstream.record_service_time(SERVICE_SECONDS)
        self.upstream = upstream
        for number in range(1 + QUEUED):
            self.stage.send(number)
        self.end_at = monotonic() + TIME_LEFT_SECONDS

    def test_queued_requests_that_the_end_would_break_off_are_returned(
        self,
    ) -> None:
        self.assertEqual(self.upstream.queue.size, QUEUED)
        self.stage.owner.on_drain(DrainCommand(self.end_at))
        failures = self.stage.list_failures()
        self.assertEqual([one.request.number for one in failures], [3, 4, 5, 6])
        for failure in failures:
            self.assertEqual(failure.outcome, Outcome.not_run)
            self.assertEqual(failure.reason, Refusal.node_leaving)
        self.assertEqual(self.upstream.queue.size, 2)

    def test_running_request_is_waited_for(self) -> None:
        self.stage.owner.on_drain(DrainCommand(monotonic()))
        failed = [one.request.number for one in self.stage.list_failures()]
        self.assertEqual(failed, [1, 2, 3, 4, 5, 6])
        self.assertEqual(self.stage.owner.in_flight, 1)

    def test_request_whose_turn_comes_too_late_is_not_begun(self) -> None:
        self.stage.owner.on_drain(DrainCommand(self.end_at))
        self.stage.owner.admission.drain_end_at = monotonic() + SERVICE_SECONDS
        self.stage.owner.on_tick()
        self.assertEqual(self.upstream.queue.size, 0)
        self.assertEqual(len(self.stage.started), 1)


if __name__ == '__main__':
    unittest.main()
