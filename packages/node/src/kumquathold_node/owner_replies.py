"""What an owner tells the ingresses."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from kumquathold_core import forwarding, reassembly
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.identity import RequestId
from kumquathold_core.request_registry import RequestEntry, RequestState
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.transport import LinkFull, Transport

OVERLOAD_RETRY_SECONDS = 1.0


class OwnerReplies:
    """Sends words and answers; keeps nothing."""

    __slots__ = ('metrics', 'transport', 'workers')

    def __init__(
        self,
        transport: Transport,
        workers: ThreadPoolExecutor,
        metrics: Metrics,
    ) -> None:
        """Take what is needed to send."""
        self.transport = transport
        self.workers = workers
        self.metrics = metrics

    def tell_failure(
        self,
        job: OwnerRequest,
        outcome: Outcome,
        reason: Refusal,
    ) -> None:
        """Tell a failure that needs no remembering."""
        failure = make_failure(job.request, outcome, reason)
        self.transport.try_send(job.reply_to, failure)

    def tell_known(
        self,
        receiver: str,
        request: RequestId,
        entry: RequestEntry,
    ) -> None:
        """Tell where a known request stands."""
        if entry.response is None:
            word = _describe_entry(request, entry)
            self.transport.try_send(receiver, word)
        else:
            self.send_answer(receiver, entry.response, entry.body)

    def send_answer(
        self,
        receiver: str,
        answer: forwarding.ForwardResponse,
        body: bytes,
    ) -> None:
        """Send an answer; a large one on a worker thread."""
        if len(body) <= forwarding.BODY_CHUNK_BYTES:
            self.transport.try_send(receiver, answer)
        else:
            self.workers.submit(self._send_large, receiver, answer, body)

    def _send_large(
        self,
        receiver: str,
        answer: forwarding.ForwardResponse,
        body: bytes,
    ) -> None:
        _, rest = reassembly.split_body(body)
        try:
            self.transport.send_with_body(
                receiver,
                answer,
                rest,
                forwarding.ResponseChunk,
                answer.request,
            )
        except LinkFull:
            self.metrics.count('owner.answers_not_sent')


def _describe_entry(
    request: RequestId,
    entry: RequestEntry,
) -> forwarding.PendingResponse | forwarding.FailureResponse:
    if entry.state in {RequestState.queued, RequestState.running}:
        return forwarding.PendingResponse(request=request)
    if entry.failure is not None:
        return entry.failure
    if entry.state == RequestState.refused_forever:
        reason = Refusal.owner_unreachable
        return make_failure(request, Outcome.not_run, reason)
    return make_failure(request, Outcome.ran, Refusal.answer_not_kept)


def make_failure(
    request: RequestId,
    outcome: Outcome,
    reason: Refusal,
    *,
    crashed: bool = False,
) -> forwarding.FailureResponse:
    """Make the word that a request gave no answer."""
    is_overload = reason in {Refusal.overloaded, Refusal.upstream_shed}
    return forwarding.FailureResponse(
        request=request,
        outcome=outcome,
        reason=reason,
        retry_after=OVERLOAD_RETRY_SECONDS if is_overload else 0,
        crashed=crashed,
    )
