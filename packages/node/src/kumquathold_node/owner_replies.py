"""Messages from an owner to the ingresses: responses, failures and states."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from time import monotonic
from typing import TypeVar

import msgspec
from loguru import logger

from kumquathold_core import forwarding, wire
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.identity import RequestId
from kumquathold_core.request_registry import RequestEntry, RequestState
from kumquathold_node.body_memory import SMALL_BODY_BYTES, Reservation
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.pending_requests import ReservedBodyEvent
from kumquathold_node.transport import NotSent, Transport
from kumquathold_node.upstream_responses import UpstreamResponse

Reply = TypeVar('Reply', forwarding.ForwardResponse, forwarding.FailureResponse)

OVERLOAD_REFUSALS = frozenset((Refusal.overloaded, Refusal.upstream_shed))
"""Refusals after which a caller is told when it may return."""


class OwnerReplies:
    """Sends responses and failures to ingresses; keeps no state.

    Large responses are sent by worker threads, so that the owner's task does
    not block.
    """

    __slots__ = ('hand_over', 'metrics', 'transport', 'workers')

    def __init__(
        self,
        transport: Transport,
        workers: ThreadPoolExecutor,
        metrics: Metrics,
        hand_over: Callable[[ReservedBodyEvent], None],
    ) -> None:
        """Set what is used to send.

        `hand_over` tells the ingress of this process of the memory for a body
        that is sent to it.
        """
        self.hand_over = hand_over
        self.transport = transport
        self.workers = workers
        self.metrics = metrics

    def send_failure(
        self,
        request: OwnerRequest,
        outcome: Outcome,
        reason: Refusal,
    ) -> None:
        """Send a failure without entering it in the registry."""
        failure = make_failure(request.request_id, outcome, reason)
        self.transport.try_send(request.reply_to, failure)

    def send_known_state(
        self,
        receiver: str,
        request_id: RequestId,
        entry: RequestEntry,
    ) -> None:
        """Send the response, failure or state of a registered request."""
        if entry.response is None:
            message = _describe_entry(request_id, entry)
            self.transport.try_send(receiver, message)
        else:
            self.send_response(receiver, entry.response, entry.body)

    def send_response(
        self,
        receiver: str,
        response: forwarding.ForwardResponse,
        body: bytes,
        reservation: Reservation | None = None,
    ) -> None:
        """Send a response; if large, from a worker thread."""
        is_local = receiver == self.transport.address
        is_large = len(body) > SMALL_BODY_BYTES
        if reservation is not None and is_local and is_large:
            self.hand_over(ReservedBodyEvent(response.request, reservation))
        if len(body) <= forwarding.BODY_CHUNK_BYTES:
            whole = msgspec.structs.replace(response, body=body)
            self.transport.try_send(receiver, whole)
            return
        self.workers.submit(
            self._send_large, receiver, response, body, reservation
        )

    def _send_large(
        self,
        receiver: str,
        response: forwarding.ForwardResponse,
        body: bytes,
        _: Reservation | None,
    ) -> None:
        # The worker holds the reservation until the body is sent.
        try:
            self.transport.send_with_body(
                receiver,
                response,
                body,
                forwarding.ResponseChunk,
            )
        except NotSent:
            self.metrics.count('owner.answers_not_sent')
        except Exception:
            # The executor would keep the error to itself.
            logger.exception('answer not sent', request=str(response.request))


def _describe_entry(
    request_id: RequestId,
    entry: RequestEntry,
) -> forwarding.PendingResponse | forwarding.FailureResponse:
    if entry.state in {RequestState.queued, RequestState.running}:
        return forwarding.PendingResponse(request=request_id)
    if entry.failure is not None:
        return entry.failure
    if entry.state == RequestState.refused_forever:
        reason = Refusal.owner_unreachable
        return make_failure(request_id, Outcome.not_run, reason)
    return make_failure(request_id, Outcome.ran, Refusal.answer_not_kept)


def make_response(
    request: OwnerRequest,
    result: UpstreamResponse,
    upstream: Upstream | None,
    *,
    replayed: bool,
) -> forwarding.ForwardResponse:
    """Build the message with a response, and the load of its upstream."""
    response = forwarding.ForwardResponse(
        request=request.request_id,
        status=result.status,
        headers=result.headers,
        service_seconds=result.seconds,
        queued_seconds=request.started_at - request.queued_at,
        backlog=0,
        risk=0.0,
        replayed=replayed,
        body_bytes=len(result.body),
        body_digest=wire.digest_body(result.body),
        body=b'',
    )
    return _add_load(response, upstream)


def make_failure(
    request_id: RequestId,
    outcome: Outcome,
    reason: Refusal,
    upstream: Upstream | None = None,
    *,
    crashed: bool = False,
    retry_after: float = 0.0,
) -> forwarding.FailureResponse:
    """Build the message that a request got no response.

    It tells the load of `upstream`, and in `retry_after` the seconds after
    which the caller may return, 0 if unknown.
    """
    failure = forwarding.FailureResponse(
        request=request_id,
        outcome=outcome,
        reason=reason,
        retry_after=retry_after,
        crashed=crashed,
    )
    return _add_load(failure, upstream)


def _add_load(reply: Reply, upstream: Upstream | None) -> Reply:
    if upstream is None:
        return reply
    now = monotonic()
    known = upstream.known_statement
    return msgspec.structs.replace(
        reply,
        backlog=upstream.in_use + upstream.queue.size,
        risk=upstream.failure_risk.estimate_risk(now),
        wait=upstream.estimate_wait(upstream.queue.size, now),
        statement=known.statement if known else None,
        limit=upstream.find_limit(),
    )
