"""Faults of node and upstream processes."""

from __future__ import annotations

from collections.abc import Iterator

from kumquathold_standins.soak_context import FaultContext, is_up
from kumquathold_standins.soak_history import NO_NODE_PROCESS
from kumquathold_standins.soak_link_faults import FaultInjector
from kumquathold_standins.soak_plan import Step

MAX_LATENCY_SECONDS = 1.0
CLOCK_JUMPS_SECONDS = (-2400.0, 2400.0, -3.0, 3.0)


def select_node(context: FaultContext, step: Step) -> tuple[object, ...]:
    """Select a node."""
    return (context.select_node(step)[1],)


def select_upstream(context: FaultContext, step: Step) -> tuple[object, ...]:
    """Select an upstream."""
    return (context.select_upstream(step),)


def select_upstream_and_owner(
    context: FaultContext, step: Step
) -> tuple[object, ...]:
    """Select an upstream and its owner."""
    upstream = context.select_upstream(step)
    return (upstream, context.owner_of(upstream))


def pause_node(context: FaultContext, step: Step) -> Iterator[float]:
    """Suspend a node's process and resume it."""
    _, node = context.select_node(step)
    node.process.freeze()
    yield step.seconds
    node.process.resume()


def kill_node(context: FaultContext, step: Step) -> Iterator[float]:
    """Kill a node and restart it."""
    number, node = context.select_node(step)
    node.process.kill()
    yield step.seconds * step.strength
    context.restart_node(number)


def terminate_node(context: FaultContext, step: Step) -> Iterator[float]:
    """Shut a node down gracefully and restart it."""
    number, node = context.select_node(step)
    context.terminate_gracefully(
        node.process, context.restarts.current_process(number)
    )
    context.restart_node(number)
    yield 0


def jump_clock(context: FaultContext, step: Step) -> Iterator[float]:
    """Shift a node's wall clock.

    In half of the cases the node also restarts, so that it starts with the
    shifted clock.
    """
    number, node = context.select_node(step)
    jump = CLOCK_JUMPS_SECONDS[step.targets[1] % len(CLOCK_JUMPS_SECONDS)]
    context.fleet.skew(number, jump)
    if step.strength > 1 / 2:
        node.process.kill()
        context.restart_node(number)
    yield step.seconds
    context.fleet.skew(number, 0)


def pause_upstream(context: FaultContext, step: Step) -> Iterator[float]:
    """Suspend an upstream's process and resume it."""
    upstream = context.select_upstream(step)
    upstream.process.freeze()
    yield step.seconds
    upstream.process.resume()


def kill_upstream(context: FaultContext, step: Step) -> Iterator[float]:
    """Kill an upstream and restart it."""
    upstream = context.select_upstream(step)
    upstream.process.kill()
    yield step.seconds * step.strength
    upstream.process.restart()


def terminate_upstream(context: FaultContext, step: Step) -> Iterator[float]:
    """Shut an upstream down gracefully and restart it.

    Do nothing while the owner does not respond, as the upstream could not
    announce its shutdown then.
    """
    upstream = context.select_upstream(step)
    if not is_up(context.owner_of(upstream)):
        return
    context.terminate_gracefully(upstream.process, NO_NODE_PROCESS)
    upstream.process.restart()
    yield 0


def make_upstream_fault(**fields: object) -> FaultInjector:
    """Make a fault that sets fault options of an upstream for a time."""

    def inject(context: FaultContext, step: Step) -> Iterator[float]:
        upstream = context.select_upstream(step)
        upstream.behave(**fields)
        yield step.seconds
        upstream.behave()

    return inject


def fail_requests(context: FaultContext, step: Step) -> Iterator[float]:
    """Make an upstream fail a share of its requests."""
    yield from make_upstream_fault(fail_share=step.strength)(context, step)


def cut_answers(context: FaultContext, step: Step) -> Iterator[float]:
    """Make an upstream cut off a share of its responses."""
    yield from make_upstream_fault(cut_share=step.strength)(context, step)


def slow_upstream(context: FaultContext, step: Step) -> Iterator[float]:
    """Delay the responses of an upstream."""
    latency = MAX_LATENCY_SECONDS * step.strength
    yield from make_upstream_fault(latency=latency)(context, step)
