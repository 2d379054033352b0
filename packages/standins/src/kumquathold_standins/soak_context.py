"""Shared state of the faults of a soak test: the fleet and its reservations."""

from __future__ import annotations

import subprocess  # noqa: S404
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from functools import partial
from http.client import HTTPException

from kumquathold_standins.fleet import Fleet
from kumquathold_standins.loopback import is_open, wait_until
from kumquathold_standins.processes import Node, Process, Upstream
from kumquathold_standins.relay import Link
from kumquathold_standins.soak_history import Recorder, ShutdownRecord
from kumquathold_standins.soak_load import RestartCounter
from kumquathold_standins.soak_plan import Step

STORE = 'store'
SHUTDOWN_TIMEOUT_SECONDS = 30.0


class FaultContext:
    """Selects targets in the fleet and reserves them for faults.

    A target is reserved by at most one fault at a time, so that undoing one
    fault does not undo another. Faults on different targets may overlap.
    """

    def __init__(
        self, fleet: Fleet, recorder: Recorder, restarts: RestartCounter
    ) -> None:
        """Start with no target reserved."""
        self.fleet = fleet
        self.recorder = recorder
        self.restarts = restarts
        self.lock = threading.Lock()
        self.reserved: set[object] = set()
        self.stopped = threading.Event()
        self.skipped = 0

    @contextmanager
    def reserve_targets(self, *targets: object) -> Iterator[bool]:
        """Reserve targets for the duration of the block.

        Yields whether they were free; if one was reserved already, none is
        reserved and the fault is counted as skipped.
        """
        with self.lock:
            is_free = self.reserved.isdisjoint(targets)
            if is_free:
                self.reserved.update(targets)
            else:
                self.skipped += 1
        try:
            yield is_free
        finally:
            if is_free:
                with self.lock:
                    self.reserved.difference_update(targets)

    def select_node(self, step: Step) -> tuple[int, Node]:
        """Return the number of a step's target node, and the node."""
        number = step.targets[0] % len(self.fleet.nodes)
        return number, self.fleet.nodes[number]

    def select_upstream(self, step: Step) -> Upstream:
        """Return a step's target upstream."""
        upstreams = self.fleet.upstreams
        return upstreams[step.targets[0] % len(upstreams)]

    def select_links(
        self, step: Step, *, both_ways: bool = False
    ) -> list[Link]:
        """Return the links from one target node to another, or both ways."""
        count = len(self.fleet.nodes)
        first = step.targets[0] % count
        second = (first + 1 + step.targets[1] % (count - 1)) % count
        ends = [self.fleet.nodes[first].peer, self.fleet.nodes[second].peer]
        relay = self.fleet.relay
        links = relay.between({ends[0]}, {ends[1]})
        if both_ways:
            links.extend(relay.between({ends[1]}, {ends[0]}))
        return links

    def select_store_link(self, step: Step) -> list[Link]:
        """Return the link from a step's target node to the store."""
        _, node = self.select_node(step)
        return self.fleet.relay.between({node.peer}, {STORE})

    def owner_of(self, upstream: Upstream) -> Node:
        """Return the node that an upstream announces itself to."""
        nodes = self.fleet.nodes
        return next(node for node in nodes if upstream in node.upstreams)

    def restart_node(self, number: int) -> None:
        """Restart a node and count the restart."""
        self.restarts.increment(number)
        self.fleet.nodes[number].process.restart()

    def terminate_gracefully(
        self, process: Process, node_process: tuple[int, int]
    ) -> None:
        """Terminate a process, wait until it exits and record the shutdown.

        A process that does not exit in time is killed; the recorded times then
        show how long it took.
        """
        asked_at = time.time()
        process.terminate()
        try:
            process.wait(SHUTDOWN_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
        shutdown = ShutdownRecord(
            process.name, node_process, asked_at, gone_at=time.time()
        )
        self.recorder.record(shutdown)


def is_up(node: Node) -> bool:
    """Whether a node responds."""
    with suppress(OSError, HTTPException):
        return bool(node.metrics())
    return False


def heal_all(context: FaultContext) -> None:
    """Undo all faults that remain and wait until every process responds."""
    context.fleet.heal()
    context.fleet.release()
    for link in context.fleet.relay.links.values():
        link.delay = 0
    context.fleet.set_platform()
    for upstream in context.fleet.upstreams:
        wait_until(partial(is_open, upstream.address), upstream.address)
        upstream.behave()
    for node in context.fleet.nodes:
        wait_until(partial(is_up, node), node.admin)
