"""Faults of the links between nodes, and of the store."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from kumquathold_standins.relay import Link
from kumquathold_standins.soak_plan import Step
from kumquathold_standins.soak_stage import STORE, Stage

MAX_DELAY_SECONDS = 0.4
MAX_STORE_DELAY_SECONDS = 2.0
MAX_LOST_REPLIES = 5

Parts = Callable[[Stage, Step], tuple[object, ...]]
"""What a fault strikes, and nothing else may strike meanwhile."""

Happening = Callable[[Stage, Step], Iterator[float]]
"""Brings a fault about, yields the seconds to wait, and undoes it."""


def nothing(*_: object) -> tuple[object, ...]:
    """Strikes no part for itself."""
    return ()


def links(stage: Stage, step: Step) -> tuple[object, ...]:
    """One way between two nodes."""
    return tuple(stage.links(step))


def links_both_ways(stage: Stage, step: Step) -> tuple[object, ...]:
    """Both ways between two nodes."""
    return tuple(stage.links(step, both_ways=True))


def store_link(stage: Stage, step: Step) -> tuple[object, ...]:
    """The way from a node to the store."""
    return tuple(stage.store_link(step))


def store(*_: object) -> tuple[object, ...]:
    """The store."""
    return (STORE,)


def _cut_links(links: list[Link], step: Step) -> Iterator[float]:
    for link in links:
        link.cut()
    yield step.seconds
    for link in links:
        link.heal()


def cut_one_way(stage: Stage, step: Step) -> Iterator[float]:
    """Lose what one node sends to another."""
    yield from _cut_links(stage.links(step), step)


def cut_both_ways(stage: Stage, step: Step) -> Iterator[float]:
    """Lose what two nodes send to each other."""
    yield from _cut_links(stage.links(step, both_ways=True), step)


def cut_from_store(stage: Stage, step: Step) -> Iterator[float]:
    """Keep a node from the store."""
    yield from _cut_links(stage.store_link(step), step)


def delay(stage: Stage, step: Step) -> Iterator[float]:
    """Hold up what one node sends to another."""
    links = stage.links(step)
    for link in links:
        link.delay = MAX_DELAY_SECONDS * step.strength
    yield step.seconds
    for link in links:
        link.delay = 0


def reset(stage: Stage, step: Step) -> Iterator[float]:
    """Reset the connections between two nodes."""
    for link in stage.links(step, both_ways=True):
        stage.fleet.relay.reset(link)
    yield 0


def silence(stage: Stage, step: Step) -> Iterator[float]:
    """Have the connections open now lose what is sent on them."""
    for link in stage.links(step):
        link.silence()
    yield 0


def stall(stage: Stage, step: Step) -> Iterator[float]:
    """Hold back what is sent on the connections open now."""
    links = stage.links(step)
    for link in links:
        link.stall()
    yield step.seconds
    for link in links:
        link.release()


def have_store(**faults: object) -> Happening:
    """Have the store misbehave."""

    def happen(stage: Stage, step: Step) -> Iterator[float]:
        stage.fleet.set_platform(**faults)
        yield step.seconds
        stage.fleet.set_platform()

    return happen


def slow_store(stage: Stage, step: Step) -> Iterator[float]:
    """Have the store answer late."""
    delay = MAX_STORE_DELAY_SECONDS * step.strength
    yield from have_store(delay=delay)(stage, step)


def lose_replies(stage: Stage, step: Step) -> Iterator[float]:
    """Have writes take effect without a reply."""
    count = 1 + int(step.strength * MAX_LOST_REPLIES)
    yield from have_store(lose_replies=count)(stage, step)
