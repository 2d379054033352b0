"""An owner's memory of requests: each runs at most once.

Pure: the time is passed in. The memory outlives every message that could
still ask for a run, since a message names its latest start by the owner's own
clock.
"""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core.forwarding import FailureResponse, ForwardResponse
from kumquathold_core.identity import RequestId

MEMORY_SECONDS = 150.0
MAX_KEPT_ANSWER_BYTES = 33_554_432


class RequestState(enum.Enum):
    """Where a request stands."""

    queued = enum.auto()
    running = enum.auto()
    answered = enum.auto()
    failed = enum.auto()
    refused_forever = enum.auto()


class RequestEntry(msgspec.Struct):
    """What the owner remembers of one request."""

    state: RequestState
    """Where it stands."""

    forget_at: float
    """Owner's monotonic clock, in seconds."""

    answer: ForwardResponse | None = None
    """The answer, while it is kept."""

    body: bytes = b''
    """The answer's whole body, while it is kept."""

    failure: FailureResponse | None = None
    """How it failed."""


class RequestRegistry:
    """All requests that came to this owner lately."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[RequestId, RequestEntry] = {}
        self.kept_bytes = 0

    def admit(self, request: RequestId, now: float) -> RequestEntry | None:
        """Start a request, or give the entry that it already has."""
        known = self.entries.get(request)
        if known is not None:
            return known
        self.entries[request] = RequestEntry(
            RequestState.queued, now + MEMORY_SECONDS
        )
        return None

    def refuse_forever(self, request: RequestId, now: float) -> RequestEntry:
        """Make sure that an unseen request never runs; give its entry."""
        entry = self.entries.get(request)
        if entry is None:
            entry = RequestEntry(
                RequestState.refused_forever, now + MEMORY_SECONDS
            )
            self.entries[request] = entry
        return entry

    def start(self, request: RequestId) -> None:
        """Note that the upstream was called."""
        self.entries[request].state = RequestState.running

    def keep_answer(self, answer: ForwardResponse, body: bytes) -> None:
        """Keep an answer for those who ask again."""
        entry = self.entries.get(answer.request)
        if entry is None:
            return
        entry.state = RequestState.answered
        entry.answer = answer
        entry.body = body
        self.kept_bytes += len(body)
        self._shrink()

    def keep_failure(self, failure: FailureResponse) -> None:
        """Keep a failure for those who ask again."""
        entry = self.entries.get(failure.request)
        if entry is not None:
            entry.state = RequestState.failed
            entry.failure = failure

    def expire(self, now: float) -> None:
        """Forget what no message can ask for any more."""
        for request, entry in list(self.entries.items()):
            if entry.forget_at > now:
                return
            if entry.state in {RequestState.queued, RequestState.running}:
                continue
            self.kept_bytes -= len(entry.body)
            self.entries.pop(request)

    def _shrink(self) -> None:
        for entry in self.entries.values():
            if self.kept_bytes <= MAX_KEPT_ANSWER_BYTES:
                return
            self.kept_bytes -= len(entry.body)
            entry.body = b''
            entry.answer = None if entry.answer else entry.answer
