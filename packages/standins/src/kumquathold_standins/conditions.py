"""Fault conditions under which the fleet and the naive baseline are measured.

A fault is a generator function: the part before its `yield` injects the fault
into a running fleet, the part after it restores the fleet.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from kumquathold_standins.fleet import Fleet
from kumquathold_standins.processes import Upstream

SLOW_LATENCY_SECONDS = 0.1
"""Latency of a slow upstream; the default latency is 5 ms."""

FAIL_SHARE = 0.4
FLAP_PHASE_SECONDS = 2.0
"""How long a flapping upstream fails, and then how long it is healthy."""

SETTLE_SECONDS = 1.0

Fault = Callable[[Fleet], Iterator[None]]


class Condition(msgspec.Struct, frozen=True):
    """A fault, and what the load and the fleet need for it."""

    name: str
    """Name in the report."""

    fault: Fault
    """Injects the fault, yields once, and removes it."""

    has_gray: bool = False
    """Whether the first upstream of the fleet turns gray."""

    has_hot_workspace: bool = False
    """Whether one workspace sends a multiple of its usual load."""

    needs_links: bool = False
    """Whether nodes must be connected through relays, which can cut links."""

    is_quick: bool = False
    """Whether the quick run includes the condition."""


def gray_upstream(fleet: Fleet) -> Upstream:
    """Return the upstream that turns gray."""
    return fleet.upstreams[0]


def run_without_fault(_: Fleet) -> Iterator[None]:
    """Inject no fault."""
    yield


def slow_upstream(fleet: Fleet) -> Iterator[None]:
    """Raise the latency of one upstream to twenty times the default."""
    gray = gray_upstream(fleet)
    gray.behave(latency=SLOW_LATENCY_SECONDS)
    yield
    gray.behave()


def fail_upstream(fleet: Fleet) -> Iterator[None]:
    """Make one upstream fail a share of its requests."""
    gray = gray_upstream(fleet)
    gray.behave(fail_share=FAIL_SHARE)
    yield
    gray.behave()


def flap_upstream(fleet: Fleet) -> Iterator[None]:
    """Make one upstream alternate between failing and healthy phases."""
    gray = gray_upstream(fleet)
    stopped = threading.Event()

    def flap() -> None:
        while not stopped.is_set():
            gray.behave(fail_share=FAIL_SHARE)
            stopped.wait(FLAP_PHASE_SECONDS)
            gray.behave()
            stopped.wait(FLAP_PHASE_SECONDS)

    thread = threading.Thread(target=flap)
    thread.start()
    yield
    stopped.set()
    thread.join()
    gray.behave()


def slow_all_upstreams(fleet: Fleet) -> Iterator[None]:
    """Raise the latency of all upstreams alike."""
    for upstream in fleet.upstreams:
        upstream.behave(latency=SLOW_LATENCY_SECONDS / 2)
    yield
    for upstream in fleet.upstreams:
        upstream.behave()


def restart_upstream(fleet: Fleet) -> Iterator[None]:
    """Restart one upstream, and keep it slow for its first seconds."""
    restarted = gray_upstream(fleet)
    restarted.process.terminate()
    restarted.process.wait()
    restarted.process.restart()
    time.sleep(SETTLE_SECONDS)
    restarted.behave(latency=SLOW_LATENCY_SECONDS / 2)
    warm_up_timer = threading.Timer(3, restarted.behave)
    warm_up_timer.start()
    yield
    warm_up_timer.join()


def lose_zone(fleet: Fleet) -> Iterator[None]:
    """Kill a node and its upstreams during the load, and restart them after."""
    node = fleet.nodes[-1]
    processes = [node.process, *(one.process for one in node.upstreams)]

    def kill_all() -> None:
        for process in processes:
            process.kill()

    kill_timer = threading.Timer(1, kill_all)
    kill_timer.start()
    yield
    kill_timer.join()
    for process in processes:
        process.restart()
    time.sleep(4 * SETTLE_SECONDS)


def disable_platform(fleet: Fleet) -> Iterator[None]:
    """Make the platform stop responding."""
    fleet.set_platform(down=True)
    yield
    fleet.set_platform()


def isolate_region(fleet: Fleet) -> Iterator[None]:
    """Cut the links between one region and the others in both directions.

    The region is cut off from the store as well.
    """
    isolated = fleet.in_region('east')
    others = [node for node in fleet.nodes if node not in isolated]
    fleet.cut(isolated, others)
    fleet.cut(others, isolated)
    fleet.cut_store(isolated)
    yield
    fleet.heal()
    time.sleep(4 * SETTLE_SECONDS)


def isolate_owner(fleet: Fleet) -> Iterator[None]:
    """Drop what nodes of other regions send to one node.

    Its upstreams stay reachable from its own region only.
    """
    owner = fleet.nodes[0]
    others = [node for node in fleet.nodes if node.vm.region != owner.vm.region]
    fleet.cut(others, [owner])
    yield
    fleet.heal()
    time.sleep(4 * SETTLE_SECONDS)


def disable_platform_and_fail_upstream(fleet: Fleet) -> Iterator[None]:
    """Disable the platform and make one upstream fail a share of requests."""
    with (
        inject_fault(disable_platform, fleet),
        inject_fault(fail_upstream, fleet),
    ):
        yield


CONDITIONS = (
    Condition('calm', run_without_fault, is_quick=True),
    Condition('one slow', slow_upstream, has_gray=True, is_quick=True),
    Condition('half alive', fail_upstream, has_gray=True, is_quick=True),
    Condition('flapping', flap_upstream, has_gray=True),
    Condition('all slow', slow_all_upstreams, is_quick=True),
    Condition('cold start', restart_upstream),
    Condition(
        'hot workspace',
        run_without_fault,
        has_hot_workspace=True,
        is_quick=True,
    ),
    Condition('zone lost', lose_zone),
    Condition('platform down', disable_platform, is_quick=True),
    Condition(
        'down, half alive', disable_platform_and_fail_upstream, has_gray=True
    ),
    Condition(
        'hot, half alive', fail_upstream, has_gray=True, has_hot_workspace=True
    ),
    Condition('one side only', isolate_owner, needs_links=True),
    Condition('region cut', isolate_region, needs_links=True),
)


@contextmanager
def inject_fault(fault: Fault, fleet: Fleet) -> Iterator[None]:
    """Inject a fault while the block runs, and remove it afterwards."""
    steps = fault(fleet)
    next(steps)
    try:
        yield
    finally:
        next(steps, None)
