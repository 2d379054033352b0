"""Leaves the fleet without cutting off a request.

The order: tell the fleet and refuse new work for the upstreams here; go on
taking callers' requests, each answered with `Connection: close`, until none
came for a while; wait for what is in hand; hand the rate groups back.
"""

from __future__ import annotations

import math
import threading
from time import monotonic, sleep

from loguru import logger

from kumquathold_node.caller_server import RequestGate
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import LeaveCommand, Membership
from kumquathold_node.owner import DrainCommand, Owner
from kumquathold_node.rate_election import RateElection
from kumquathold_node.settings import Settings

WORK_LIMIT_SECONDS = 70.0
CLOSE_SHARE = 0.5
GIVE_UP_SHARE = 0.85
END_SHARE = 0.9
CHECK_SECONDS = 0.05
ANSWER_FLUSH_SECONDS = 0.15


class GracefulShutdown:
    """Begins the leaving once, on a signal or an operator's call."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.door: RequestGate = kernel.find('request-gate')
        self.owner: Owner = kernel.find('owner')
        self.membership: Membership = kernel.find('membership')
        self.election: RateElection = kernel.find('rate-election')
        self.quiet = settings.quiet
        self.grace = settings.grace
        self.begun = threading.Event()
        self.begun_at = math.inf
        kernel.register('shutdown', self)

    def begin(self) -> None:
        """Ask for the leaving; returns at once."""
        self.begun_at = min(self.begun_at, monotonic())
        self.begun.set()

    def wait_and_leave(self) -> None:
        """Wait until somebody asks, then see the leaving through."""
        self.begun.wait()
        begun_at = self.begun_at
        logger.info('leaving begun', grace=self.grace)
        self.owner.task.post(DrainCommand())
        self.membership.task.post(LeaveCommand())
        self.door.drain(
            close_at=begun_at + self.grace * CLOSE_SHARE,
            give_up_at=begun_at + self.grace * GIVE_UP_SHARE,
        )
        threading.Thread(
            target=self.election.hand_back,
            name='rate-hand-back',
            daemon=True,
        ).start()
        end_at = begun_at + min(WORK_LIMIT_SECONDS, self.grace * END_SHARE)
        self._wait_for_quiet(begun_at, end_at)
        is_done = self._wait_for_work(end_at)
        self.door.close()
        sleep(ANSWER_FLUSH_SECONDS)
        self._wait_for_work(monotonic() + ANSWER_FLUSH_SECONDS)
        logger.info('leaving done', all_finished=is_done)

    def _wait_for_quiet(self, begun_at: float, end_at: float) -> None:
        while monotonic() < end_at:
            latest = max(self.door.last_arrival, begun_at)
            if monotonic() - latest >= self.quiet:
                return
            sleep(CHECK_SECONDS)

    def _wait_for_work(self, end_at: float) -> bool:
        while monotonic() < end_at:
            if not self.door.in_flight and not self.owner.in_hand:
                return True
            sleep(CHECK_SECONDS)
        return False
