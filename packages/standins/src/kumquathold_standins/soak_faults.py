"""Injects the faults of a soak test from outside the tested programs.

Maps each kind of fault to the selection of its targets and to the generator
that injects and undoes it.
"""

from __future__ import annotations

from contextlib import suppress
from http.client import HTTPException

import msgspec

from kumquathold_standins import soak_link_faults as links
from kumquathold_standins import soak_process_faults as processes
from kumquathold_standins.soak_context import FaultContext
from kumquathold_standins.soak_link_faults import FaultInjector, TargetSelector
from kumquathold_standins.soak_plan import Fault, Step


class FaultKind(msgspec.Struct, frozen=True):
    """Implementation of one kind of fault."""

    select_targets: TargetSelector
    """Selects the targets that the fault reserves while it lasts."""

    inject: FaultInjector
    """Injects the fault, yields the seconds to wait, then undoes it."""


FAULT_KINDS: dict[Fault, FaultKind] = {
    Fault.cut_one_way: FaultKind(links.select_links, links.cut_one_way),
    Fault.cut_both_ways: FaultKind(
        links.select_links_both_ways, links.cut_both_ways
    ),
    Fault.delay: FaultKind(links.select_links, links.delay_links),
    Fault.reset: FaultKind(links.select_nothing, links.reset_connections),
    Fault.silence: FaultKind(links.select_nothing, links.silence_connections),
    Fault.stall: FaultKind(links.select_links, links.stall_connections),
    Fault.cut_from_store: FaultKind(
        links.select_store_link, links.cut_from_store
    ),
    Fault.store_down: FaultKind(
        links.select_store, links.make_store_fault(down=True)
    ),
    Fault.store_slow: FaultKind(links.select_store, links.slow_store),
    Fault.store_loses_replies: FaultKind(
        links.select_store, links.lose_replies
    ),
    Fault.store_reads_older: FaultKind(
        links.select_store, links.make_store_fault(older=True)
    ),
    Fault.store_restored: FaultKind(
        links.select_store_and_nodes, links.restore_store
    ),
    Fault.node_paused: FaultKind(processes.select_node, processes.pause_node),
    Fault.node_killed: FaultKind(processes.select_node, processes.kill_node),
    Fault.node_terminated: FaultKind(
        processes.select_node, processes.terminate_node
    ),
    Fault.clock_jumps: FaultKind(processes.select_node, processes.jump_clock),
    Fault.upstream_paused: FaultKind(
        processes.select_upstream, processes.pause_upstream
    ),
    Fault.upstream_killed: FaultKind(
        processes.select_upstream, processes.kill_upstream
    ),
    Fault.upstream_terminated: FaultKind(
        processes.select_upstream_and_owner, processes.terminate_upstream
    ),
    Fault.upstream_fails: FaultKind(
        processes.select_upstream, processes.fail_requests
    ),
    Fault.upstream_cuts_answers: FaultKind(
        processes.select_upstream, processes.cut_answers
    ),
    Fault.upstream_sheds: FaultKind(
        processes.select_upstream, processes.make_upstream_fault(shed=True)
    ),
    Fault.upstream_slow: FaultKind(
        processes.select_upstream, processes.slow_upstream
    ),
}


def inject_fault(context: FaultContext, step: Step) -> None:
    """Inject a fault, wait for its duration and undo it.

    Skip the fault if another one has reserved one of its targets.
    """
    kind = FAULT_KINDS[step.fault]
    with (
        suppress(OSError, HTTPException),
        context.reserve_targets(*kind.select_targets(context, step)) as is_free,
    ):
        for seconds in kind.inject(context, step) if is_free else ():
            context.stopped.wait(seconds)
