"""Faults of nodes and upstreams."""

from __future__ import annotations

from collections.abc import Iterator

from kumquathold_standins.soak_history import NO_LIFE
from kumquathold_standins.soak_link_faults import Happening
from kumquathold_standins.soak_plan import Step
from kumquathold_standins.soak_stage import Stage, is_up

SLOW_SECONDS = 1.0
CLOCK_STEPS_SECONDS = (-2400.0, 2400.0, -3.0, 3.0)


def node(stage: Stage, step: Step) -> tuple[object, ...]:
    """A node."""
    return (stage.node(step)[1],)


def upstream(stage: Stage, step: Step) -> tuple[object, ...]:
    """An upstream."""
    return (stage.upstream(step),)


def upstream_and_node(stage: Stage, step: Step) -> tuple[object, ...]:
    """An upstream and the node beside it."""
    upstream = stage.upstream(step)
    return (upstream, stage.node_beside(upstream))


def pause_node(stage: Stage, step: Step) -> Iterator[float]:
    """Stop a node in its tracks, and let it go on."""
    _, node = stage.node(step)
    node.process.freeze()
    yield step.seconds
    node.process.resume()


def kill_node(stage: Stage, step: Step) -> Iterator[float]:
    """Kill a node, and start it again."""
    number, node = stage.node(step)
    node.process.kill()
    yield step.seconds * step.strength
    stage.restart_node(number)


def terminate_node(stage: Stage, step: Step) -> Iterator[float]:
    """Have a node leave, and start it again."""
    number, node = stage.node(step)
    stage.end_gracefully(node.process, stage.lives.of(number))
    stage.restart_node(number)
    yield 0


def jump_clock(stage: Stage, step: Step) -> Iterator[float]:
    """Set a node's time of day; half of the times it starts with it."""
    number, node = stage.node(step)
    jump = CLOCK_STEPS_SECONDS[step.targets[1] % len(CLOCK_STEPS_SECONDS)]
    stage.fleet.skew(number, jump)
    if step.strength > 1 / 2:
        node.process.kill()
        stage.restart_node(number)
    yield step.seconds
    stage.fleet.skew(number, 0)


def pause_upstream(stage: Stage, step: Step) -> Iterator[float]:
    """Stop an upstream in its tracks, and let it go on."""
    upstream = stage.upstream(step)
    upstream.process.freeze()
    yield step.seconds
    upstream.process.resume()


def kill_upstream(stage: Stage, step: Step) -> Iterator[float]:
    """Kill an upstream, and start it again."""
    upstream = stage.upstream(step)
    upstream.process.kill()
    yield step.seconds * step.strength
    upstream.process.restart()


def terminate_upstream(stage: Stage, step: Step) -> Iterator[float]:
    """Have an upstream leave, where the node beside it can hear of it."""
    upstream = stage.upstream(step)
    if not is_up(stage.node_beside(upstream)):
        return
    stage.end_gracefully(upstream.process, NO_LIFE)
    upstream.process.restart()
    yield 0


def have_upstream(**fields: object) -> Happening:
    """Have an upstream misbehave."""

    def happen(stage: Stage, step: Step) -> Iterator[float]:
        upstream = stage.upstream(step)
        upstream.behave(**fields)
        yield step.seconds
        upstream.behave()

    return happen


def fail_requests(stage: Stage, step: Step) -> Iterator[float]:
    """Have an upstream fail a share of its requests."""
    yield from have_upstream(fail_share=step.strength)(stage, step)


def cut_answers(stage: Stage, step: Step) -> Iterator[float]:
    """Have an upstream cut off a share of its answers."""
    yield from have_upstream(cut_share=step.strength)(stage, step)


def slow_upstream(stage: Stage, step: Step) -> Iterator[float]:
    """Have an upstream take long."""
    latency = SLOW_SECONDS * step.strength
    yield from have_upstream(latency=latency)(stage, step)
