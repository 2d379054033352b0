"""The fleet that a soak strikes, and what each part of it suffers."""

from __future__ import annotations

import subprocess  # noqa: S404
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from functools import partial
from http.client import HTTPException

from kumquathold_standins.fleet import (
    Fleet,
    Node,
    Process,
    Upstream,
    is_open,
    wait_until,
)
from kumquathold_standins.relay import Link
from kumquathold_standins.soak_history import Ended, Recorder
from kumquathold_standins.soak_load import Lives
from kumquathold_standins.soak_plan import Step

STORE = 'store'
LEAVING_SECONDS = 30.0


class Stage:
    """The fleet, and what each part of it suffers at the moment.

    A part is struck by one fault at a time, so that undoing one does not undo
    another; faults on different parts overlap.
    """

    def __init__(self, fleet: Fleet, recorder: Recorder, lives: Lives) -> None:
        """Start with all in order."""
        self.fleet = fleet
        self.recorder = recorder
        self.lives = lives
        self.lock = threading.Lock()
        self.struck: set[object] = set()
        self.is_over = threading.Event()
        self.skipped = 0

    @contextmanager
    def striking(self, *parts: object) -> Iterator[bool]:
        """Have parts to oneself; false where one is struck already."""
        with self.lock:
            is_free = self.struck.isdisjoint(parts)
            if is_free:
                self.struck.update(parts)
            else:
                self.skipped += 1
        try:
            yield is_free
        finally:
            if is_free:
                with self.lock:
                    self.struck.difference_update(parts)

    def node(self, step: Step) -> tuple[int, Node]:
        """The node that a step strikes."""
        number = step.targets[0] % len(self.fleet.nodes)
        return number, self.fleet.nodes[number]

    def upstream(self, step: Step) -> Upstream:
        """The upstream that a step strikes."""
        upstreams = self.fleet.upstreams
        return upstreams[step.targets[0] % len(upstreams)]

    def links(self, step: Step, *, both_ways: bool = False) -> list[Link]:
        """The links between two nodes that a step strikes."""
        count = len(self.fleet.nodes)
        first = step.targets[0] % count
        second = (first + 1 + step.targets[1] % (count - 1)) % count
        ends = [self.fleet.nodes[first].peer, self.fleet.nodes[second].peer]
        relay = self.fleet.relay
        links = relay.between({ends[0]}, {ends[1]})
        if both_ways:
            links.extend(relay.between({ends[1]}, {ends[0]}))
        return links

    def store_link(self, step: Step) -> list[Link]:
        """The link from a node to the store."""
        _, node = self.node(step)
        return self.fleet.relay.between({node.peer}, {STORE})

    def node_beside(self, upstream: Upstream) -> Node:
        """The node that an upstream announces itself to."""
        nodes = self.fleet.nodes
        return next(node for node in nodes if upstream in node.upstreams)

    def restart_node(self, number: int) -> None:
        """Start a node's next process."""
        self.lives.begin(number)
        self.fleet.nodes[number].process.restart()

    def end_gracefully(self, process: Process, life: tuple[int, int]) -> None:
        """Ask a process to leave; one that does not is killed, and noted so."""
        asked_at = time.time()
        process.terminate()
        try:
            process.wait(LEAVING_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
        ended = Ended(process.name, life, asked_at, gone_at=time.time())
        self.recorder.note(ended)


def is_up(node: Node) -> bool:
    """Whether a node answers."""
    with suppress(OSError, HTTPException):
        return bool(node.metrics())
    return False


def heal_all(stage: Stage) -> None:
    """Undo what is left, and wait until every process is up again."""
    stage.fleet.heal()
    stage.fleet.release()
    for link in stage.fleet.relay.links.values():
        link.delay = 0
    stage.fleet.set_platform()
    for upstream in stage.fleet.upstreams:
        wait_until(partial(is_open, upstream.address), upstream.address)
        upstream.behave()
    for node in stage.fleet.nodes:
        wait_until(partial(is_up, node), node.admin)
