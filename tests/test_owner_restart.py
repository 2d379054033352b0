"""Messages to an owner about requests of its earlier process."""

from __future__ import annotations

import unittest

from kumquathold_core import forwarding
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.wire import Envelope
from tests.owner_stage import INCARNATION, INGRESS, OwnerStage
from tests.test_jobs import WORK

EARLIER_INCARNATION = 1


class EarlierProcessTest(unittest.TestCase):
    """What an earlier process did is never reported as not run."""

    def setUp(self) -> None:
        stage = OwnerStage.for_test(self)
        self.transport = stage.transport
        self.owner = stage.owner

    def check_reply_is_unknown(self) -> None:
        """Check the only reply that was sent."""
        self.transport.try_send.assert_called_once()
        receiver, reply = self.transport.try_send.call_args.args
        self.assertEqual(receiver, INGRESS)
        self.assertEqual(reply.outcome, Outcome.unknown)
        self.assertEqual(reply.reason, Refusal.owner_restarted)

    def test_cancelled_request_of_an_earlier_process(self) -> None:
        message = forwarding.CancelRequest(
            request=WORK.request, owner_incarnation=EARLIER_INCARNATION
        )
        self.owner.on_cancel_request(
            Envelope(INGRESS, EARLIER_INCARNATION, message)
        )
        self.check_reply_is_unknown()

    def test_status_of_a_request_of_an_earlier_process(self) -> None:
        message = forwarding.StatusRequest(
            request=WORK.request,
            owner_incarnation=EARLIER_INCARNATION,
            repeated=False,
        )
        self.owner.on_status_request(
            Envelope(INGRESS, EARLIER_INCARNATION, message)
        )
        self.check_reply_is_unknown()

    def test_cancelled_request_that_never_came_is_not_run(self) -> None:
        message = forwarding.CancelRequest(
            request=WORK.request, owner_incarnation=INCARNATION
        )
        self.owner.on_cancel_request(
            Envelope(INGRESS, EARLIER_INCARNATION, message)
        )
        _, reply = self.transport.try_send.call_args.args
        self.assertEqual(reply.outcome, Outcome.not_run)


if __name__ == '__main__':
    unittest.main()
