"""Registry of an owner's recent requests, for at-most-once execution.

The module reads no clock; the caller passes the time in. Entries outlive
every message that could still start their request, since a message carries its
latest start by the owner's own clock.
"""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core.forwarding import FailureResponse, ForwardResponse
from kumquathold_core.identity import RequestId

RETENTION_SECONDS = 150.0
MAX_STORED_RESPONSE_BYTES = 33_554_432
"""Total size of the stored bodies; the oldest are evicted above it."""


class RequestState(enum.Enum):
    """Progress of a request at its owner."""

    queued = enum.auto()
    running = enum.auto()
    answered = enum.auto()
    failed = enum.auto()
    refused_forever = enum.auto()


class RequestEntry(msgspec.Struct):
    """What the owner knows of one request."""

    state: RequestState
    """Progress of the request."""

    expires_at: float
    """When the entry may be dropped, by the owner's monotonic clock."""

    response: ForwardResponse | None = None
    """The response, until it is evicted."""

    body: bytes = b''
    """The whole body of the response, until it is evicted."""

    failure: FailureResponse | None = None
    """The failure response, if the request failed."""


class RequestRegistry:
    """The recent requests of one owner, in order of arrival."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[RequestId, RequestEntry] = {}
        self.stored_bytes = 0

    def admit(self, request: RequestId, now: float) -> RequestEntry | None:
        """Register a request; return its entry if it is already known."""
        known = self.entries.get(request)
        if known is not None:
            return known
        self.entries[request] = RequestEntry(
            RequestState.queued, now + RETENTION_SECONDS
        )
        return None

    def refuse_forever(self, request: RequestId, now: float) -> RequestEntry:
        """Prevent an unseen request from ever running; return its entry."""
        entry = self.entries.get(request)
        if entry is None:
            entry = RequestEntry(
                RequestState.refused_forever, now + RETENTION_SECONDS
            )
            self.entries[request] = entry
        return entry

    def start(self, request: RequestId) -> None:
        """Mark a request as running on its upstream."""
        self.entries[request].state = RequestState.running

    def store_response(self, response: ForwardResponse, body: bytes) -> None:
        """Store a response, to resend it when it is requested again."""
        entry = self.entries.get(response.request)
        if entry is None:
            return
        entry.state = RequestState.answered
        entry.response = response
        entry.body = body
        self.stored_bytes += len(body)
        self._evict_responses()

    def store_failure(self, failure: FailureResponse) -> None:
        """Store a failure, to resend it when it is requested again."""
        entry = self.entries.get(failure.request)
        if entry is not None:
            entry.state = RequestState.failed
            entry.failure = failure

    def expire(self, now: float) -> None:
        """Drop expired entries, which no message can refer to any more."""
        for request, entry in list(self.entries.items()):
            if entry.expires_at > now:
                return
            if entry.state in {RequestState.queued, RequestState.running}:
                continue
            self.stored_bytes -= len(entry.body)
            self.entries.pop(request)

    def _evict_responses(self) -> None:
        for entry in self.entries.values():
            if self.stored_bytes <= MAX_STORED_RESPONSE_BYTES:
                return
            self.stored_bytes -= len(entry.body)
            entry.body = b''
            entry.response = None if entry.response else entry.response
