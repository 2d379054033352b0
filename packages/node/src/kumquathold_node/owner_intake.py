"""Requests of which an owner has received a part of the body so far."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from loguru import logger

from kumquathold_core import forwarding, reassembly
from kumquathold_core.forwarding import Refusal
from kumquathold_core.identity import RequestId
from kumquathold_node.body_memory import (
    BodyMemory,
    BodyMemoryFull,
    Reservation,
)
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest


class RequestIntake:
    """Puts requests together from their messages.

    Not thread-safe: only the owner's task may call it.
    """

    def __init__(
        self,
        metrics: Metrics,
        memory: BodyMemory,
        admit: Callable[[OwnerRequest], None],
        refuse: Callable[[OwnerRequest, Refusal], None],
    ) -> None:
        """Start empty.

        `admit` gets each request whose body is complete, and `refuse` each one
        whose body does not fit into `memory`, does not match its announcement
        or does not arrive in time.
        """
        self.metrics = metrics
        self.memory = memory
        self.admit = admit
        self.refuse = refuse
        self.reassembler = reassembly.Reassembler()
        self.incomplete: dict[RequestId, OwnerRequest] = {}

    def begin(self, request: OwnerRequest, *, is_local: bool) -> None:
        """Add a request with the first chunk of its body.

        The body of one that `is_local` is counted by the ingress already.
        """
        message = request.message
        if not is_local and not self._reserve(request):
            return
        self.incomplete[message.request] = request
        self._reassemble(
            message.request,
            lambda: self.reassembler.announce(
                message.request,
                message.body_bytes,
                message.body_digest,
                message.body,
                monotonic(),
            ),
        )

    def add_chunk(self, chunk: forwarding.RequestChunk) -> None:
        """Add a further chunk; it may come before the request itself."""
        self._reassemble(
            chunk.request,
            lambda: self.reassembler.add_chunk(
                chunk.request,
                chunk.offset,
                chunk.chunk,
                monotonic(),
            ),
        )

    def cancel(self, request_id: RequestId) -> OwnerRequest | None:
        """Forget a request; return it if it was incomplete."""
        request = self.incomplete.pop(request_id, None)
        if request is not None:
            self.reassembler.forget(request_id)
        return request

    def expire(self, now: float) -> None:
        """Refuse the requests whose next chunk did not arrive in time."""
        for request_id in self.reassembler.expire(now):
            self._refuse(request_id)  # type: ignore[arg-type]

    def _reserve(self, request: OwnerRequest) -> bool:
        """Reserve memory for the body; refuse the request if there is none."""
        request.reservation = Reservation(self.memory)
        try:
            request.reservation.grow(request.message.body_bytes)
        except BodyMemoryFull as error:
            self.metrics.count('owner.bodies_without_memory')
            logger.warning(
                'body refused',
                request=str(request.request_id),
                cause=str(error),
            )
            self.reassembler.forget(request.request_id)
            self.refuse(request, Refusal.overloaded)
            return False
        return True

    def _reassemble(
        self,
        request_id: RequestId,
        receive: reassembly.BodyReceiver,
    ) -> None:
        try:
            body = receive()
        except reassembly.ReassemblyError as error:
            logger.warning(
                'body refused', request=str(request_id), cause=str(error)
            )
            self.metrics.count('owner.bodies_refused')
            self._refuse(request_id)
            return
        if body is None:
            return
        request = self.incomplete.pop(request_id, None)
        if request is not None:
            request.body = body
            self.admit(request)

    def _refuse(self, request_id: RequestId) -> None:
        request = self.incomplete.pop(request_id, None)
        if request is not None:
            self.refuse(request, Refusal.malformed)
