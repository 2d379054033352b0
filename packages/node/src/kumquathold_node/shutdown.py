"""Graceful shutdown: drains the node without cutting off a request.

The node announces to the fleet that it leaves and refuses new requests for its
upstreams. Queued ones that would still run as it ends are returned unrun. It
goes on taking callers' requests, with `Connection: close` in each response,
until none arrived for the idle period, and then stops listening. A request may
still arrive on an open connection, so the node ends only once it has closed
each connection while nothing was in flight there. Its rate groups are released
meanwhile, for other nodes to take.

In fields and refusals, `leaving` is the outer name for draining.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from time import monotonic, sleep

from loguru import logger

from kumquathold_node.caller_server import RequestGate
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import LeaveCommand
from kumquathold_node.owner import DrainCommand, Owner
from kumquathold_node.rate_election import RateElection
from kumquathold_node.settings import Settings

MAX_DRAIN_SECONDS = 70.0
"""Longest time from the request to shut down to the end of draining."""

ACCEPT_UNTIL_SHARE = 0.5
MAX_ACCEPT_SECONDS = 3.0
"""End of the time in which all callers' requests are taken.

It is this share of the grace period, but no more than these seconds. A request
that is taken later is broken off if its upstream still runs it at the end.
"""

RESPOND_BY_SHARE = 0.85
"""Share of the grace period after which every caller has a response."""

DRAIN_END_SHARE = 0.9
"""Share of the grace period after which draining ends in any case."""

END_BY_SHARE = 0.95
"""Share of the grace period after which the process ends in any case."""

POLL_INTERVAL_SECONDS = 0.05


class GracefulShutdown:
    """Drains the node once, on a signal or an operator's call."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.request_gate: RequestGate = kernel.find('request-gate')
        self.owner: Owner = kernel.find('owner')
        self.membership: Membership = kernel.find('membership')
        self.election: RateElection = kernel.find('rate-election')
        self.idle_period = settings.quiet
        self.grace = settings.grace
        self.requested = threading.Event()
        self.requested_at = math.inf
        kernel.register('shutdown', self)

    def begin(self) -> None:
        """Request the shutdown; returns at once, and may be called again."""
        self.requested_at = min(self.requested_at, monotonic())
        self.requested.set()

    def limit_end(self, end_process: Callable[[], None]) -> None:
        """End the process near the end of its grace period at the latest.

        After draining, what the node has started is stopped. These steps wait
        for threads that may be slow, and are not worth a kill.
        """
        end_by = self.requested_at + self.grace * END_BY_SHARE
        timer = threading.Timer(max(0, end_by - monotonic()), end_process)
        timer.daemon = True
        timer.start()

    def wait_and_drain(self) -> None:
        """Wait until the shutdown is requested, then drain the node.

        Returns when the requests are finished or their time is over; the
        process may then end.
        """
        self.requested.wait()
        requested_at = self.requested_at
        logger.info('graceful shutdown started', grace=self.grace)
        end_at = requested_at + min(
            MAX_DRAIN_SECONDS, self.grace * DRAIN_END_SHARE
        )
        self.owner.task.post(DrainCommand(end_at))
        self.membership.task.post(LeaveCommand())
        self.request_gate.drain(
            close_at=requested_at
            + min(self.grace * ACCEPT_UNTIL_SHARE, MAX_ACCEPT_SECONDS),
            give_up_at=requested_at + self.grace * RESPOND_BY_SHARE,
        )
        threading.Thread(
            target=self.election.release_lease,
            name='rate-hand-back',
            daemon=True,
        ).start()
        self._wait_for_idle_period(requested_at, end_at)
        self._wait_for_running(end_at)
        self.request_gate.close()
        is_drained = self._wait_for_connections(end_at)
        logger.info('graceful shutdown finished', all_finished=is_drained)

    def _wait_for_idle_period(self, requested_at: float, end_at: float) -> None:
        while monotonic() < end_at:
            latest = max(self.request_gate.last_arrival, requested_at)
            if monotonic() - latest >= self.idle_period:
                return
            sleep(POLL_INTERVAL_SECONDS)

    def _wait_for_running(self, end_at: float) -> None:
        while self._count_running() and monotonic() < end_at:
            sleep(POLL_INTERVAL_SECONDS)

    def _wait_for_connections(self, end_at: float) -> bool:
        """Close the callers' connections; return whether all requests ended."""
        while monotonic() < end_at:
            if not self._count_open_connections() and not self._count_running():
                return True
            sleep(POLL_INTERVAL_SECONDS)
        return False

    def _count_open_connections(self) -> int:
        """Close idle connections, and return the number of the others."""
        try:
            return self.request_gate.close_idle_connections()
        except TimeoutError:
            logger.warning("callers' connections not closed in time")
            return 1

    def _count_running(self) -> int:
        return self.request_gate.in_flight + self.owner.in_flight
