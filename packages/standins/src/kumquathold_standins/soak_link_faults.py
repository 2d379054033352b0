"""Faults of the links between nodes and of the store."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from kumquathold_standins.relay import Link
from kumquathold_standins.soak_context import STORE, FaultContext
from kumquathold_standins.soak_plan import Step

MAX_DELAY_SECONDS = 0.4
MAX_STORE_DELAY_SECONDS = 2.0
MAX_LOST_REPLIES = 5
SETTLE_SECONDS = 6.0
"""Time after a restore in which owners write again what the store lost."""

TargetSelector = Callable[[FaultContext, Step], tuple[object, ...]]
"""Selects the targets that a fault reserves while it lasts."""

FaultInjector = Callable[[FaultContext, Step], Iterator[float]]
"""Injects a fault, yields the seconds to wait, then undoes it."""


def select_nothing(*_: object) -> tuple[object, ...]:
    """Reserve nothing, so that the fault may coincide with any other."""
    return ()


def select_links(context: FaultContext, step: Step) -> tuple[object, ...]:
    """Select the link from one node to another."""
    return tuple(context.select_links(step))


def select_links_both_ways(
    context: FaultContext, step: Step
) -> tuple[object, ...]:
    """Select the links between two nodes in both directions."""
    return tuple(context.select_links(step, both_ways=True))


def select_store_link(context: FaultContext, step: Step) -> tuple[object, ...]:
    """Select the link from a node to the store."""
    return tuple(context.select_store_link(step))


def select_store(*_: object) -> tuple[object, ...]:
    """Select the store."""
    return (STORE,)


def select_store_and_nodes(
    context: FaultContext, _: Step
) -> tuple[object, ...]:
    """Select all that must be up for a restored store to get back its claims.

    These are the store, the nodes and the links between them.
    """
    peers = {node.peer for node in context.fleet.nodes}
    links = context.fleet.relay.between(peers, {STORE})
    return (STORE, *context.fleet.nodes, *links)


def _cut_links(links: list[Link], step: Step) -> Iterator[float]:
    for link in links:
        link.cut()
    yield step.seconds
    for link in links:
        link.heal()


def cut_one_way(context: FaultContext, step: Step) -> Iterator[float]:
    """Drop what is sent on the connections that one node opens to another."""
    yield from _cut_links(context.select_links(step), step)


def cut_both_ways(context: FaultContext, step: Step) -> Iterator[float]:
    """Drop what is sent on the connections between two nodes."""
    yield from _cut_links(context.select_links(step, both_ways=True), step)


def cut_from_store(context: FaultContext, step: Step) -> Iterator[float]:
    """Partition a node from the store."""
    yield from _cut_links(context.select_store_link(step), step)


def delay_links(context: FaultContext, step: Step) -> Iterator[float]:
    """Delay what is sent on the connections that one node opens to another."""
    links = context.select_links(step)
    for link in links:
        link.delay = MAX_DELAY_SECONDS * step.strength
    yield step.seconds
    for link in links:
        link.delay = 0


def reset_connections(context: FaultContext, step: Step) -> Iterator[float]:
    """Reset the connections between two nodes (TCP RST)."""
    for link in context.select_links(step, both_ways=True):
        context.fleet.relay.reset(link)
    yield 0


def silence_connections(context: FaultContext, step: Step) -> Iterator[float]:
    """Drop all data on connections that are open now; new ones work."""
    for link in context.select_links(step):
        link.silence()
    yield 0


def stall_connections(context: FaultContext, step: Step) -> Iterator[float]:
    """Hold back data on connections that are open now, and deliver it later."""
    links = context.select_links(step)
    for link in links:
        link.stall()
    yield step.seconds
    for link in links:
        link.release()


def make_store_fault(**faults: object) -> FaultInjector:
    """Make a fault that sets fault options of the store for a time."""

    def inject(context: FaultContext, step: Step) -> Iterator[float]:
        context.fleet.set_platform(**faults)
        yield step.seconds
        context.fleet.set_platform()

    return inject


def slow_store(context: FaultContext, step: Step) -> Iterator[float]:
    """Delay the responses of the store."""
    delay = MAX_STORE_DELAY_SECONDS * step.strength
    yield from make_store_fault(delay=delay)(context, step)


def lose_replies(context: FaultContext, step: Step) -> Iterator[float]:
    """Make a few writes to the store take effect without a reply."""
    count = 1 + int(step.strength * MAX_LOST_REPLIES)
    yield from make_store_fault(lose_replies=count)(context, step)


def restore_store(context: FaultContext, step: Step) -> Iterator[float]:
    """Bring the store back from a copy that is some seconds old."""
    context.fleet.post_platform('copy')
    yield step.seconds
    context.fleet.post_platform('restore')
    yield SETTLE_SECONDS
