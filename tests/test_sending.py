"""An attempt that is cancelled while its response is on the way."""

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


class CancellationTest(unittest.TestCase):
    """A response that has arrived is delivered, also after the deadline."""

    def setUp(self) -> None:
        context = mock.MagicMock()
        context.transport.address = '10.0.0.1:7400'
        context.transport.incarnation = 5
        context.attempt_numbers = iter(range(1, 9))
        admitted = mock.MagicMock()
        admitted.request.body = b''
        self.attempt = Attempt(
            context, admitted, mock.MagicMock(), 0, is_retry=False
        )
        self.mailbox: Mailbox = queue.SimpleQueue()

    def cancel(self) -> CallerResponse | AttemptFailure:
        """Cancel the attempt as its deadline passes."""
        return self.attempt._cancel(self.mailbox, Refusal.deadline_passed)

    def test_response_that_is_ready_is_delivered(self) -> None:
        response = forwarding.ForwardResponse(
            request=self.attempt.request_id,
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
        self.mailbox.put(ResponseEvent(response, b'ready'))
        result = self.cancel()
        assert isinstance(result, CallerResponse)  # noqa: S101
        self.assertEqual((result.status, result.body), (200, b'ready'))

    def test_without_a_response_the_outcome_is_unknown(self) -> None:
        result = self.cancel()
        assert isinstance(result, AttemptFailure)  # noqa: S101
        self.assertEqual(result.outcome, Outcome.unknown)
