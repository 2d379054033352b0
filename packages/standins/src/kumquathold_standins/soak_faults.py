"""Brings the faults of a soak about, from outside the programs."""

from __future__ import annotations

import subprocess  # noqa: S404
import threading
import time
from collections.abc import Callable, Iterator
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
from kumquathold_standins.soak_history import NO_LIFE, Ended, Recorder
from kumquathold_standins.soak_load import Lives
from kumquathold_standins.soak_plan import Fault, Step

STORE = 'store'
LEAVING_SECONDS = 30.0
MAX_DELAY_SECONDS = 0.4
MAX_STORE_DELAY_SECONDS = 2.0
MAX_LOST_REPLIES = 5
SLOW_SECONDS = 1.0
CLOCK_STEPS_SECONDS = (-2400.0, 2400.0, -3.0, 3.0)


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


Strike = Callable[[Stage, Step], None]


def strike(stage: Stage, step: Step) -> None:
    """Bring a fault about, wait, and undo it."""
    with suppress(OSError, HTTPException):
        STRIKES[step.fault](stage, step)


def _cut(stage: Stage, step: Step, links: list[Link]) -> None:
    with stage.striking(*links) as is_free:
        if not is_free:
            return
        for link in links:
            link.cut()
        stage.is_over.wait(step.seconds)
        for link in links:
            link.heal()


def _delay(stage: Stage, step: Step) -> None:
    links = stage.links(step)
    with stage.striking(*links) as is_free:
        if not is_free:
            return
        for link in links:
            link.delay = MAX_DELAY_SECONDS * step.strength
        stage.is_over.wait(step.seconds)
        for link in links:
            link.delay = 0


def _reset(stage: Stage, step: Step) -> None:
    for link in stage.links(step, both_ways=True):
        stage.fleet.relay.reset(link)


def _silence(stage: Stage, step: Step) -> None:
    for link in stage.links(step):
        link.silence()


def _stall(stage: Stage, step: Step) -> None:
    links = stage.links(step)
    with stage.striking(*links) as is_free:
        if not is_free:
            return
        for link in links:
            link.stall()
        stage.is_over.wait(step.seconds)
        for link in links:
            link.release()


def _store_fault(stage: Stage, step: Step, **faults: object) -> None:
    with stage.striking(STORE) as is_free:
        if not is_free:
            return
        stage.fleet.set_platform(**faults)
        stage.is_over.wait(step.seconds)
        stage.fleet.set_platform()


def _slow_store(stage: Stage, step: Step) -> None:
    _store_fault(stage, step, delay=MAX_STORE_DELAY_SECONDS * step.strength)


def _lose_replies(stage: Stage, step: Step) -> None:
    count = 1 + int(step.strength * MAX_LOST_REPLIES)
    _store_fault(stage, step, lose_replies=count)


def _pause_node(stage: Stage, step: Step) -> None:
    _, node = stage.node(step)
    with stage.striking(node) as is_free:
        if not is_free:
            return
        node.process.freeze()
        stage.is_over.wait(step.seconds)
        node.process.resume()


def _restart_node(stage: Stage, number: int) -> None:
    stage.lives.begin(number)
    stage.fleet.nodes[number].process.restart()


def _kill_node(stage: Stage, step: Step) -> None:
    number, node = stage.node(step)
    with stage.striking(node) as is_free:
        if not is_free:
            return
        node.process.kill()
        stage.is_over.wait(step.seconds * step.strength)
        _restart_node(stage, number)


def _terminate_node(stage: Stage, step: Step) -> None:
    number, node = stage.node(step)
    with stage.striking(node) as is_free:
        if not is_free:
            return
        _end_gracefully(stage, node.process, stage.lives.of(number))
        _restart_node(stage, number)


def _end_gracefully(
    stage: Stage,
    process: Process,
    life: tuple[int, int],
) -> None:
    """Ask a process to leave; one that does not is killed, and noted so."""
    asked_at = time.time()
    process.terminate()
    try:
        process.wait(LEAVING_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
    ended = Ended(process.name, life, asked_at, gone_at=time.time())
    stage.recorder.note(ended)


def _jump_clock(stage: Stage, step: Step) -> None:
    """Set a node's time of day; half of the times it starts with it."""
    number, node = stage.node(step)
    with stage.striking(node) as is_free:
        if not is_free:
            return
        jump = CLOCK_STEPS_SECONDS[step.targets[1] % len(CLOCK_STEPS_SECONDS)]
        stage.fleet.skew(number, jump)
        if step.strength > 1 / 2:
            node.process.kill()
            _restart_node(stage, number)
        stage.is_over.wait(step.seconds)
        stage.fleet.skew(number, 0)


def _pause_upstream(stage: Stage, step: Step) -> None:
    upstream = stage.upstream(step)
    with stage.striking(upstream) as is_free:
        if not is_free:
            return
        upstream.process.freeze()
        stage.is_over.wait(step.seconds)
        upstream.process.resume()


def _kill_upstream(stage: Stage, step: Step) -> None:
    upstream = stage.upstream(step)
    with stage.striking(upstream) as is_free:
        if not is_free:
            return
        upstream.process.kill()
        stage.is_over.wait(step.seconds * step.strength)
        upstream.process.restart()


def _terminate_upstream(stage: Stage, step: Step) -> None:
    """Have an upstream leave; the node beside it stays in order."""
    upstream = stage.upstream(step)
    node = next(one for one in stage.fleet.nodes if upstream in one.upstreams)
    with stage.striking(upstream, node) as is_free:
        if not is_free:
            return
        if not _is_up(node):
            return
        _end_gracefully(stage, upstream.process, NO_LIFE)
        upstream.process.restart()


def _is_up(node: Node) -> bool:
    with suppress(OSError, HTTPException):
        return bool(node.metrics())
    return False


def _behave(stage: Stage, step: Step, **fields: object) -> None:
    upstream = stage.upstream(step)
    with stage.striking(upstream) as is_free:
        if not is_free:
            return
        upstream.behave(**fields)
        stage.is_over.wait(step.seconds)
        upstream.behave()


STRIKES: dict[Fault, Strike] = {
    Fault.cut_one_way: lambda stage, step: _cut(stage, step, stage.links(step)),
    Fault.cut_both_ways: lambda stage, step: _cut(
        stage, step, stage.links(step, both_ways=True)
    ),
    Fault.delay: _delay,
    Fault.reset: _reset,
    Fault.silence: _silence,
    Fault.stall: _stall,
    Fault.cut_from_store: lambda stage, step: _cut(
        stage, step, stage.store_link(step)
    ),
    Fault.store_down: lambda stage, step: _store_fault(stage, step, down=True),
    Fault.store_slow: _slow_store,
    Fault.store_loses_replies: _lose_replies,
    Fault.store_reads_older: lambda stage, step: _store_fault(
        stage, step, older=True
    ),
    Fault.node_paused: _pause_node,
    Fault.node_killed: _kill_node,
    Fault.node_terminated: _terminate_node,
    Fault.clock_jumps: _jump_clock,
    Fault.upstream_paused: _pause_upstream,
    Fault.upstream_killed: _kill_upstream,
    Fault.upstream_terminated: _terminate_upstream,
    Fault.upstream_fails: lambda stage, step: _behave(
        stage, step, fail_share=step.strength
    ),
    Fault.upstream_cuts_answers: lambda stage, step: _behave(
        stage, step, cut_share=step.strength
    ),
    Fault.upstream_sheds: lambda stage, step: _behave(stage, step, shed=True),
    Fault.upstream_slow: lambda stage, step: _behave(
        stage, step, latency=SLOW_SECONDS * step.strength
    ),
}


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
        wait_until(partial(_is_up, node), node.admin)
