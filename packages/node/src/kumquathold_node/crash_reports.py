"""Reports of requests that crashed upstreams, shared by a fleet's owners."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from loguru import logger

from kumquathold_core import crash_tracker, forwarding
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import PeerStartedEvent
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.wire import Envelope


MAX_TOLD_CRASHES = 256
"""Most crashes that a node which has started is told of."""


class CrashReports:
    """The crashes that this owner has seen or heard of.

    Not thread-safe: only the owner's task may call it.
    """

    def __init__(self, kernel: Kernel) -> None:
        """Look up the services that it uses."""
        self.transport: Transport = kernel.find('transport')
        self.membership: Membership = kernel.find('membership')
        self.tracker = crash_tracker.CrashTracker()

    def on_crash_notice(
        self, envelope: Envelope[forwarding.CrashNotice]
    ) -> None:
        """Record a crash that a peer reports."""
        notice = envelope.message
        self.tracker.record_crash(
            notice.fingerprint, notice.upstream, monotonic() - notice.age
        )

    def on_peer_started(self, event: PeerStartedEvent) -> None:
        """Tell a node that has started which requests crash upstreams.

        Its earlier process may have known, and it is asked to run them again.
        """
        crashes = self.tracker.list_crashes(monotonic())
        for crash in crashes[-MAX_TOLD_CRASHES:]:
            notice = forwarding.CrashNotice(
                fingerprint=crash.fingerprint,
                upstream=crash.upstream,
                age=crash.age,
            )
            self.transport.try_send(event.peer, notice)

    def record_success(self, request: OwnerRequest) -> None:
        """Record that a request was answered, so it is no cause of a crash."""
        self.tracker.record_success(request.fingerprint, monotonic())

    def is_refused(self, request: OwnerRequest) -> bool:
        """Whether a request has crashed too many upstreams to run again."""
        is_known = self.tracker.is_refused(request.fingerprint, monotonic())
        return is_known or request.message.crashes >= crash_tracker.MAX_CRASHES

    def report_crash(self, request: OwnerRequest) -> None:
        """Blame a request for a crash, unless it has succeeded lately.

        All peers are told, as the request may come again through any node.
        """
        now = monotonic()
        fingerprint = request.fingerprint
        if self.tracker.has_succeeded_lately(fingerprint, now):
            return
        upstream = request.message.upstream
        count = self.tracker.record_crash(fingerprint, upstream, now)
        logger.warning(
            'request crashed an upstream',
            request=str(request.request_id),
            upstream=upstream,
            workspace=request.message.workspace,
            crashes=count,
        )
        notice = forwarding.CrashNotice(
            fingerprint=fingerprint, upstream=upstream
        )
        for peer in self.membership.table.list_peers():
            self.transport.try_send(peer, notice)
