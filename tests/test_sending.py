"""A sending that is stopped while its answer is on the way."""

from __future__ import annotations

import queue
import unittest
from unittest import mock

from kumquathold_core import forwarding
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.retries import AttemptFailure
from kumquathold_node.attempts import Attempt
from kumquathold_node.caller_requests import CallerResponse
from kumquathold_node.pending_requests import Mailbox, ResponseEvent


class StoppingTest(unittest.TestCase):
    """Ready answers are delivered, also late."""

    def setUp(self) -> None:
        context = mock.MagicMock()
        context.transport.address = '10.0.0.1:7400'
        context.transport.incarnation = 5
        context.attempt_numbers = iter(range(1, 9))
        admitted = mock.MagicMock()
        admitted.request.body = b''
        self.sending = Attempt(context, admitted, mock.MagicMock(), 0)
        self.mailbox: Mailbox = queue.SimpleQueue()

    def stop(self) -> CallerResponse | AttemptFailure:
        """Stop the sending at its deadline."""
        return self.sending._cancel(self.mailbox, Refusal.deadline_passed)

    def test_answer_that_is_ready_is_delivered(self) -> None:
        answer = forwarding.ForwardResponse(
            request=self.sending.request_id,
            status=200,
            headers=(),
            service_seconds=0.4,
            queued_seconds=0.0,
            backlog=0,
            risk=0.0,
            replayed=False,
            body_bytes=5,
            body_digest=b'',
            body=b'ready',
        )
        self.mailbox.put(ResponseEvent(answer, b'ready'))
        ended = self.stop()
        assert isinstance(ended, CallerResponse)  # noqa: S101
        self.assertEqual((ended.status, ended.body), (200, b'ready'))

    def test_without_an_answer_the_outcome_is_as_known(self) -> None:
        ended = self.stop()
        assert isinstance(ended, AttemptFailure)  # noqa: S101
        self.assertEqual(ended.outcome, Outcome.unknown)
