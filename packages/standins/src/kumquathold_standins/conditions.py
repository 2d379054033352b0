"""The conditions under which product and baseline are measured."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec

from kumquathold_standins.fleet import Fleet, Upstream

SLOW_SECONDS = 0.1
FAIL_SHARE = 0.4
FLAP_SECONDS = 2.0
SETTLE_SECONDS = 1.0

Fault = Callable[[Fleet], Iterator[None]]


class Condition(msgspec.Struct, frozen=True):
    """One condition."""

    name: str
    """Short name for the report."""

    fault: Fault
    """Brings it about, and ends it."""

    has_gray: bool = False
    """Whether one upstream, the first, is gray."""

    hot: bool = False
    """Whether one workspace sends five times its rate."""

    needs_links: bool = False
    """Whether nodes must reach each other through relays."""

    quick: bool = False
    """Whether the quick form has it."""


def gray_upstream(fleet: Fleet) -> Upstream:
    """The upstream that turns gray."""
    return fleet.upstreams[0]


def calm(_: Fleet) -> Iterator[None]:
    """Nothing happens."""
    yield


def one_slow(fleet: Fleet) -> Iterator[None]:
    """One upstream takes twenty times as long."""
    gray = gray_upstream(fleet)
    gray.behave(latency=SLOW_SECONDS)
    yield
    gray.behave()


def half_alive(fleet: Fleet) -> Iterator[None]:
    """One upstream fails a part of its requests."""
    gray = gray_upstream(fleet)
    gray.behave(fail_share=FAIL_SHARE)
    yield
    gray.behave()


def flapping(fleet: Fleet) -> Iterator[None]:
    """One upstream fails and heals in turns."""
    gray = gray_upstream(fleet)
    is_over = threading.Event()

    def flap() -> None:
        while not is_over.is_set():
            gray.behave(fail_share=FAIL_SHARE)
            is_over.wait(FLAP_SECONDS)
            gray.behave()
            is_over.wait(FLAP_SECONDS)

    thread = threading.Thread(target=flap)
    thread.start()
    yield
    is_over.set()
    thread.join()
    gray.behave()


def all_slow(fleet: Fleet) -> Iterator[None]:
    """The whole service slows down together."""
    for upstream in fleet.upstreams:
        upstream.behave(latency=SLOW_SECONDS / 2)
    yield
    for upstream in fleet.upstreams:
        upstream.behave()


def cold_start(fleet: Fleet) -> Iterator[None]:
    """One upstream restarts, and is slow for its first seconds."""
    cold = gray_upstream(fleet)
    cold.process.terminate()
    cold.process.wait()
    cold.process.restart()
    time.sleep(SETTLE_SECONDS)
    cold.behave(latency=SLOW_SECONDS / 2)
    warming = threading.Timer(3, cold.behave)
    warming.start()
    yield
    warming.join()


def zone_lost(fleet: Fleet) -> Iterator[None]:
    """A node and its upstreams are killed, and come back."""
    node = fleet.nodes[-1]
    lost = [node.process, *(one.process for one in node.upstreams)]

    def kill_all() -> None:
        for process in lost:
            process.kill()

    timer = threading.Timer(1, kill_all)
    timer.start()
    yield
    timer.join()
    for process in lost:
        process.restart()
    time.sleep(4 * SETTLE_SECONDS)


def platform_down(fleet: Fleet) -> Iterator[None]:
    """The platform does not answer."""
    fleet.set_platform(down=True)
    yield
    fleet.set_platform()


def region_cut(fleet: Fleet) -> Iterator[None]:
    """One region is cut from the others both ways."""
    far = fleet.in_region('east')
    rest = [node for node in fleet.nodes if node not in far]
    fleet.cut(far, rest)
    fleet.cut(rest, far)
    fleet.cut_store(far)
    yield
    fleet.heal()
    time.sleep(4 * SETTLE_SECONDS)


def one_side_only(fleet: Fleet) -> Iterator[None]:
    """One node's upstreams are reachable from its own region only."""
    owner = fleet.nodes[0]
    others = [node for node in fleet.nodes if node.vm.region != owner.vm.region]
    fleet.cut(others, [owner])
    yield
    fleet.heal()
    time.sleep(4 * SETTLE_SECONDS)


def down_and_half_alive(fleet: Fleet) -> Iterator[None]:
    """The platform is down while one upstream is half alive."""
    with happening(platform_down, fleet), happening(half_alive, fleet):
        yield


CONDITIONS = (
    Condition('calm', calm, quick=True),
    Condition('one slow', one_slow, has_gray=True, quick=True),
    Condition('half alive', half_alive, has_gray=True, quick=True),
    Condition('flapping', flapping, has_gray=True),
    Condition('all slow', all_slow, quick=True),
    Condition('cold start', cold_start),
    Condition('hot workspace', calm, hot=True, quick=True),
    Condition('zone lost', zone_lost),
    Condition('platform down', platform_down, quick=True),
    Condition('down, half alive', down_and_half_alive, has_gray=True),
    Condition('hot, half alive', half_alive, has_gray=True, hot=True),
    Condition('one side only', one_side_only, needs_links=True),
    Condition('region cut', region_cut, needs_links=True),
)


@contextmanager
def happening(fault: Fault, fleet: Fleet) -> Iterator[None]:
    """Have a condition while the block runs."""
    steps = fault(fleet)
    next(steps)
    try:
        yield
    finally:
        next(steps, None)
