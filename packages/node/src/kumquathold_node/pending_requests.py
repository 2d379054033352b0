"""Matches the responses of owners to the attempts that wait for them.

One task owns the mailboxes of all pending attempts. A response that is late, a
duplicate or meant for another process finds no mailbox and is dropped.
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
from kumquathold_node.body_memory import (
    BodyMemory,
    BodyMemoryFull,
    Reservation,
)
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.metrics import Metrics
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.identity import RequestId
    from kumquathold_core.wire import Envelope


class ResponseEvent(msgspec.Struct, frozen=True):
    """A complete response has arrived."""

    response: forwarding.ForwardResponse
    """First message of the response, with status and headers."""

    body: bytes
    """The whole body, whose digest matches."""

    reservation: Reservation | None = None
    """Memory for the body."""


Event = ResponseEvent | forwarding.FailureResponse | forwarding.PendingResponse
Mailbox = queue.SimpleQueue[Event]


class ReservedBodyEvent(msgspec.Struct, frozen=True):
    """An owner in this process sends a response whose body is counted."""

    request_id: RequestId
    """Identifies the attempt."""

    reservation: Reservation
    """Memory for the body."""


class OpenCommand(msgspec.Struct, frozen=True):
    """Opens a mailbox for an attempt that is about to be sent."""

    request_id: RequestId
    """Identifies the attempt."""

    mailbox: Mailbox
    """Receives the messages of the owner about the attempt."""


class CloseCommand(msgspec.Struct, frozen=True):
    """Closes the mailbox of an attempt that has ended."""

    request_id: RequestId
    """Identifies the attempt."""


class PendingRequests:
    """Owns the mailboxes of the pending attempts of this node's ingress."""

    def __init__(self, kernel: Kernel) -> None:
        """Look up the services that it uses, and register itself."""
        self.transport: Transport = kernel.find('transport')
        self.metrics: Metrics = kernel.find('metrics')
        self.mailboxes: dict[RequestId, Mailbox] = {}
        self.responses: dict[RequestId, forwarding.ForwardResponse] = {}
        self.reassembler = reassembly.Reassembler()
        self.memory: BodyMemory = kernel.find('body-memory')
        self.reservations: dict[RequestId, Reservation] = {}
        self.task = Task(
            'exchanges',
            {
                OpenCommand: self.on_open,
                CloseCommand: self.on_close,
                ReservedBodyEvent: self.on_reserved_body,
                forwarding.ForwardResponse: self.on_forward_response,
                forwarding.ResponseChunk: self.on_response_chunk,
                forwarding.FailureResponse: self.on_status,
                forwarding.PendingResponse: self.on_status,
            },
            tick=self.on_tick,
        )
        self.transport.deliver_to(self.task)
        kernel.register('pending-requests', self)
        kernel.add_task(self.task)

    @contextmanager
    def open_mailbox(self, request_id: RequestId) -> Iterator[Mailbox]:
        """Receive the messages about an attempt while the block runs."""
        mailbox: Mailbox = queue.SimpleQueue()
        self.task.post(OpenCommand(request_id, mailbox))
        try:
            yield mailbox
        finally:
            self.task.post(CloseCommand(request_id))

    def on_open(self, command: OpenCommand) -> None:
        """Add the mailbox of an attempt."""
        self.mailboxes[command.request_id] = command.mailbox

    def on_close(self, command: CloseCommand) -> None:
        """Remove the mailbox of an attempt, and an incomplete response."""
        self.mailboxes.pop(command.request_id, None)
        self._forget_response(command.request_id)

    def on_reserved_body(self, event: ReservedBodyEvent) -> None:
        """Take over the memory for a body that an owner here sends."""
        if event.request_id in self.mailboxes:
            self.reservations[event.request_id] = event.reservation

    def on_forward_response(
        self, envelope: Envelope[forwarding.ForwardResponse]
    ) -> None:
        """Deliver a response once its body is complete."""
        response = envelope.message
        if response.request not in self.mailboxes:
            self.metrics.count('ingress.late_answers')
            return
        if not self._reserve(envelope):
            return
        self.responses[response.request] = response
        self._assemble(
            response.request,
            lambda: self.reassembler.announce(
                response.request,
                response.body_bytes,
                response.body_digest,
                response.body,
                monotonic(),
            ),
        )

    def on_response_chunk(
        self, envelope: Envelope[forwarding.ResponseChunk]
    ) -> None:
        """Add a chunk of a response; report progress to the attempt."""
        chunk = envelope.message
        if chunk.request not in self.reservations:
            return
        self._assemble(
            chunk.request,
            lambda: self.reassembler.add_chunk(
                chunk.request,
                chunk.offset,
                chunk.chunk,
                monotonic(),
            ),
        )
        mailbox = self.mailboxes.get(chunk.request)
        if mailbox is not None:
            mailbox.put(forwarding.PendingResponse(request=chunk.request))

    def on_status(self, envelope: Envelope[forwarding.FailureResponse]) -> None:
        """Deliver a failure, or the report that a request is pending."""
        mailbox = self.mailboxes.get(envelope.message.request)
        if mailbox is not None:
            mailbox.put(envelope.message)

    def on_tick(self) -> None:
        """Drop incomplete responses that timed out.

        The owner sends them again on a status request.
        """
        for request_id in self.reassembler.expire(monotonic()):
            self._forget_response(request_id)  # type: ignore[arg-type]

    def _reserve(self, envelope: Envelope[forwarding.ForwardResponse]) -> bool:
        """Reserve memory for the body of a response; return false for none.

        The attempt then asks for the state again, and the owner sends the
        response once more. An owner in this process has reserved it already.
        """
        response = envelope.message
        if response.request in self.reservations:
            return True
        reservation = Reservation(self.memory)
        try:
            reservation.grow(response.body_bytes)
        except BodyMemoryFull as error:
            self.metrics.count('ingress.answers_without_memory')
            logger.warning(
                'response not taken yet',
                request=str(response.request),
                cause=str(error),
            )
            return False
        self.reservations[response.request] = reservation
        return True

    def _forget_response(self, request_id: RequestId) -> None:
        self.responses.pop(request_id, None)
        self.reassembler.forget(request_id)
        self.reservations.pop(request_id, None)

    def _assemble(
        self, request_id: RequestId, receive: reassembly.BodyReceiver
    ) -> None:
        try:
            body = receive()
        except reassembly.ReassemblyError as error:
            self.metrics.count('ingress.answers_refused')
            logger.warning(
                'response rejected',
                request=str(request_id),
                cause=str(error),
            )
            return
        response = self.responses.get(request_id)
        if body is not None and response is not None:
            reservation = self.reservations.get(request_id)
            self.mailboxes[request_id].put(
                ResponseEvent(response, body, reservation)
            )
