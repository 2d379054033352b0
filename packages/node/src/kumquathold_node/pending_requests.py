"""Matches owners' answers to the requests that wait for them.

One task owns all open exchanges. An answer that is late, doubled or meant for
another process finds no open exchange, and is dropped.
"""

from __future__ import annotations

import queue
from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from kumquathold_core import forwarding, reassembly
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.metrics import Metrics
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.identity import RequestId
    from kumquathold_core.wire import Envelope


class ResponseEvent(msgspec.Struct, frozen=True):
    """The whole answer is there."""

    answer: forwarding.ForwardResponse
    """What the owner said."""

    body: bytes
    """The whole body, checked."""


Event = ResponseEvent | forwarding.FailureResponse | forwarding.PendingResponse
Mailbox = queue.SimpleQueue[Event]


class OpenCommand(msgspec.Struct, frozen=True):
    """A request is about to be sent."""

    request: RequestId
    """Names the sending."""

    mailbox: Mailbox
    """Takes what the owner says."""


class CloseCommand(msgspec.Struct, frozen=True):
    """Nobody waits for the request any more."""

    request: RequestId
    """Names the sending."""


class PendingRequests:
    """Owns the open exchanges of this node's ingress."""

    def __init__(self, kernel: Kernel) -> None:
        """Find the services that are needed, and register."""
        self.transport: Transport = kernel.find('transport')
        self.metrics: Metrics = kernel.find('metrics')
        self.open: dict[RequestId, Mailbox] = {}
        self.answers: dict[RequestId, forwarding.ForwardResponse] = {}
        self.assembler = reassembly.Reassembler()
        self.task = Task(
            'exchanges',
            {
                OpenCommand: self.on_open,
                CloseCommand: self.on_close,
                forwarding.ForwardResponse: self.on_forward_response,
                forwarding.ResponseChunk: self.on_response_chunk,
                forwarding.FailureResponse: self.on_word,
                forwarding.PendingResponse: self.on_word,
            },
            tick=self.on_tick,
        )
        self.transport.deliver_to(self.task)
        kernel.register('pending-requests', self)
        kernel.add_task(self.task)

    @contextmanager
    def exchange(self, request: RequestId) -> Iterator[Mailbox]:
        """Take what comes for a request while the block runs."""
        mailbox: Mailbox = queue.SimpleQueue()
        self.task.post(OpenCommand(request, mailbox))
        try:
            yield mailbox
        finally:
            self.task.post(CloseCommand(request))

    def on_open(self, opened: OpenCommand) -> None:
        """Expect words on a request."""
        self.open[opened.request] = opened.mailbox

    def on_close(self, closed: CloseCommand) -> None:
        """Expect no more."""
        self.open.pop(closed.request, None)
        self.answers.pop(closed.request, None)
        self.assembler.forget(closed.request)

    def on_forward_response(
        self, envelope: Envelope[forwarding.ForwardResponse]
    ) -> None:
        """Take an answer; pass it on when its body is whole."""
        answer = envelope.message
        if answer.request not in self.open:
            self.metrics.count('ingress.late_answers')
            return
        self.answers[answer.request] = answer
        self._assemble(
            answer.request,
            lambda: self.assembler.announce(
                answer.request,
                answer.body_bytes,
                answer.body_digest,
                answer.body,
                monotonic(),
            ),
        )

    def on_response_chunk(
        self, envelope: Envelope[forwarding.ResponseChunk]
    ) -> None:
        """Take a further piece of an answer."""
        piece = envelope.message
        if piece.request not in self.open:
            return
        self._assemble(
            piece.request,
            lambda: self.assembler.add_chunk(
                piece.request,
                piece.offset,
                piece.chunk,
                monotonic(),
            ),
        )
        mailbox = self.open.get(piece.request)
        if mailbox is not None:
            mailbox.put(forwarding.PendingResponse(request=piece.request))

    def on_word(self, envelope: Envelope[forwarding.FailureResponse]) -> None:
        """Pass on what an owner says of a request."""
        mailbox = self.open.get(envelope.message.request)
        if mailbox is not None:
            mailbox.put(envelope.message)

    def on_tick(self) -> None:
        """Drop answers whose rest never came; an inquiry brings them anew."""
        self.assembler.expire(monotonic())

    def _assemble(
        self, request: RequestId, take: reassembly.BodyReceiver
    ) -> None:
        try:
            body = take()
        except reassembly.ReassemblyError as error:
            self.metrics.count('ingress.answers_refused')
            logger.warning(
                'answer refused',
                request=str(request),
                cause=str(error),
            )
            return
        answer = self.answers.get(request)
        if body is not None and answer is not None:
            self.open[request].put(ResponseEvent(answer, body))
