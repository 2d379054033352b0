"""Upstreams that state a limit or their leaving in their responses."""

from __future__ import annotations

import threading
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import is_open, wait_until
from kumquathold_standins.processes import Node, Upstream
from tests.support import make_rules, small_spec

LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
CONTACT_SECONDS = 3.0
"""Time from the first statement until the limit holds."""

WITHDRAWAL_SECONDS = 2.0
"""Time from a passed-on statement until a leaving upstream gets no more."""

LOAD_SECONDS = 12.0
CALLERS_PER_NODE = 8
SLOTS = 16
WORK_SECONDS = 0.3
PAUSE_SECONDS = 0.1
HOLDS = 'holds'


class CallerLoad:
    """Callers that send one request after another to some nodes."""

    def __init__(self, nodes: list[Node]) -> None:
        self.is_over = threading.Event()
        self.responses: list[Response] = []
        self.threads = [
            threading.Thread(target=self._send_to, args=(node,))
            for node in nodes
            for _ in range(CALLERS_PER_NODE)
        ]

    def _send_to(self, node: Node) -> None:
        while not self.is_over.is_set():
            self.responses.append(send_note(node))
            time.sleep(PAUSE_SECONDS)


def send_note(node: Node) -> Response:
    """Send a request that may run once only."""
    work = {'X-Work': str(WORK_SECONDS)}
    return Caller().send(node.callers, 'POST', '/open-notes', headers=work)


@contextmanager
def sending(nodes: list[Node]) -> Iterator[CallerLoad]:
    """Send requests to nodes while the block runs."""
    load = CallerLoad(nodes)
    for thread in load.threads:
        thread.start()
    try:
        yield load
    finally:
        load.is_over.set()
        for thread in load.threads:
            thread.join()


@contextmanager
def fleet_with_one_upstream() -> Iterator[tuple[Fleet, Node, Upstream]]:
    """Run a fleet of three nodes, the second of which owns the only upstream.

    Yields the fleet, that node and the upstream.
    """
    with running_fleet(small_spec(slots=SLOTS, quiet=0.3)) as fleet:
        fleet.accept(make_rules())
        owner = fleet.nodes[1]
        for node in fleet.nodes:
            for upstream in node.upstreams:
                if node is not owner and upstream.service == HOLDS:
                    upstream.process.kill()
        for node in fleet.nodes:
            wait_for_path(node)
        (only,) = [one for one in owner.upstreams if one.service == HOLDS]
        yield fleet, owner, only


def wait_for_path(node: Node) -> None:
    """Wait until a node sends requests to a running upstream."""
    wait_until(
        lambda: send_note(node).status == 200, 'path to the only upstream'
    )


def restart(node: Node) -> None:
    """Kill a node's process and start it again."""
    node.process.kill()
    node.process.restart()
    wait_until(lambda: is_open(node.callers), 'port for callers of the node')


def arrivals_at(fleet: Fleet, upstream: Upstream) -> list[float]:
    """Return the times of an upstream's runs, in seconds since the epoch."""
    return sorted(
        run.at for run in fleet.ledger() if run.upstream == upstream.address
    )


def count_most_in_window(times: list[float]) -> int:
    """Return the most of these times within `WINDOW_SECONDS`."""
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in times)
            for start in times
        ),
        default=0,
    )


class StatedLimitTest(unittest.TestCase):
    """An upstream gets no more than the limit in its responses."""

    def check_limit(self, fleet: Fleet, upstream: Upstream, at: float) -> None:
        """Check the arrivals after a limit was first stated."""
        times = [
            time_of_run
            for time_of_run in arrivals_at(fleet, upstream)
            if time_of_run >= at + CONTACT_SECONDS
        ]
        allowed = (
            LIMIT_FACTOR * LIMIT_PER_SECOND * WINDOW_SECONDS + EXTRA_REQUESTS
        )
        self.assertGreater(len(times), 0)
        self.assertLessEqual(count_most_in_window(times), allowed)

    def test_requests_of_all_nodes_stay_within_the_stated_limit(self) -> None:
        with fleet_with_one_upstream() as (fleet, _, upstream):
            upstream.behave(limit=LIMIT_PER_SECOND)
            stated_at = time.time()
            with sending(fleet.nodes):
                time.sleep(LOAD_SECONDS)
            self.check_limit(fleet, upstream, stated_at)

    def test_stated_limit_outlives_a_restart_of_the_owner(self) -> None:
        with fleet_with_one_upstream() as (fleet, owner, upstream):
            upstream.behave(limit=LIMIT_PER_SECOND)
            stated_at = time.time()
            others = [node for node in fleet.nodes if node is not owner]
            with sending(others):
                time.sleep(LOAD_SECONDS / 2)
                restart(owner)
                time.sleep(LOAD_SECONDS / 2)
            self.check_limit(fleet, upstream, stated_at)

    def test_limit_ends_once_it_is_no_longer_stated(self) -> None:
        with fleet_with_one_upstream() as (fleet, _, upstream):
            upstream.behave(limit=LIMIT_PER_SECOND)
            with sending(fleet.nodes):
                time.sleep(CONTACT_SECONDS)
                upstream.behave()
                ended_at = time.time()
                time.sleep(2 * WINDOW_SECONDS)
            after = [at for at in arrivals_at(fleet, upstream) if at > ended_at]
            self.assertGreater(
                count_most_in_window(after),
                2 * LIMIT_PER_SECOND * WINDOW_SECONDS,
            )


class StatedLeavingTest(unittest.TestCase):
    """An upstream that states its leaving gets no request any more."""

    def test_upstream_that_still_announces_ready(self) -> None:
        with fleet_with_one_upstream() as (fleet, _, upstream):
            self.state_leaving(fleet, upstream)
            time.sleep(WITHDRAWAL_SECONDS)
            checked_from = time.time()
            with sending(fleet.nodes):
                time.sleep(WITHDRAWAL_SECONDS)
            self.check_none_since(fleet, upstream, checked_from)

    def test_restarted_owner_that_has_lifetime_ready(self) -> None:
        with fleet_with_one_upstream() as (fleet, owner, upstream):
            self.state_leaving(fleet, upstream)
            restart(owner)
            time.sleep(WITHDRAWAL_SECONDS)
            checked_from = time.time()
            others = [node for node in fleet.nodes if node is not owner]
            with sending(others):
                time.sleep(WITHDRAWAL_SECONDS)
            self.check_none_since(fleet, upstream, checked_from)

    def state_leaving(self, fleet: Fleet, upstream: Upstream) -> None:
        """Let the upstream state its leaving in a response to each node."""
        with sending(fleet.nodes):
            time.sleep(PAUSE_SECONDS)
            upstream.behave(states_leaving=True)

    def check_none_since(
        self, fleet: Fleet, upstream: Upstream, at: float
    ) -> None:
        """Check that the upstream got no request from then on."""
        late = [run for run in arrivals_at(fleet, upstream) if run > at]
        self.assertEqual(late, [])


if __name__ == '__main__':
    unittest.main()
