"""Calls to upstreams on worker threads; results go to the owner's task."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec
from loguru import logger

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.upstream_calls import CallFailed, UpstreamCalls
from kumquathold_node.upstream_responses import UpstreamResponse


class CallSucceededEvent(msgspec.Struct, frozen=True):
    """An upstream responded to a request."""

    request: OwnerRequest
    """The request."""

    response: UpstreamResponse
    """Its response, which may be an error."""


class CallBrokenEvent(msgspec.Struct, frozen=True):
    """An upstream closed the connection of a call, and is probed now.

    A `CallFailedEvent` follows.
    """

    request: OwnerRequest
    """The request."""


class CallFailedEvent(msgspec.Struct, frozen=True):
    """A call to an upstream got no response to pass on."""

    request: OwnerRequest
    """The request."""

    failure: CallFailed
    """Why, and whether the request ran."""


CallEvent = CallSucceededEvent | CallBrokenEvent | CallFailedEvent


class OwnerCalls:
    """Runs calls to upstreams, and posts an event as each one ends."""

    def __init__(
        self,
        workers: ThreadPoolExecutor,
        post: Callable[[CallEvent], None],
    ) -> None:
        """Run calls on `workers`, and pass events to `post`."""
        self.workers = workers
        self.post = post

    def start(self, calls: UpstreamCalls, request: OwnerRequest) -> None:
        """Start to call an upstream; returns at once."""
        self.workers.submit(self._run, calls, request)

    def _run(self, calls: UpstreamCalls, request: OwnerRequest) -> None:
        self.post(self._call(calls, request))

    def _call(self, calls: UpstreamCalls, request: OwnerRequest) -> CallEvent:
        def report_broken() -> None:
            self.post(CallBrokenEvent(request))

        try:
            response = calls.run(request.message, request.body, report_broken)
        except CallFailed as failure:
            return CallFailedEvent(request, failure)
        except Exception:
            logger.exception('call failed', request=str(request.request_id))
            failed = CallFailed(Outcome.unknown, Refusal.upstream_failed)
            return CallFailedEvent(request, failed)
        return CallSucceededEvent(request, response)
