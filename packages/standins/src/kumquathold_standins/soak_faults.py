"""Brings the faults of a soak about, from outside the programs."""

from __future__ import annotations

from contextlib import suppress
from http.client import HTTPException

import msgspec

from kumquathold_standins import soak_link_faults as links
from kumquathold_standins import soak_process_faults as processes
from kumquathold_standins.soak_link_faults import Happening, Parts
from kumquathold_standins.soak_plan import Fault, Step
from kumquathold_standins.soak_stage import Stage


class Kind(msgspec.Struct, frozen=True):
    """One kind of fault."""

    parts: Parts
    """What it strikes, and nothing else may strike meanwhile."""

    happen: Happening
    """Brings it about, yields the seconds to wait, and undoes it."""


KINDS: dict[Fault, Kind] = {
    Fault.cut_one_way: Kind(links.links, links.cut_one_way),
    Fault.cut_both_ways: Kind(links.links_both_ways, links.cut_both_ways),
    Fault.delay: Kind(links.links, links.delay),
    Fault.reset: Kind(links.nothing, links.reset),
    Fault.silence: Kind(links.nothing, links.silence),
    Fault.stall: Kind(links.links, links.stall),
    Fault.cut_from_store: Kind(links.store_link, links.cut_from_store),
    Fault.store_down: Kind(links.store, links.have_store(down=True)),
    Fault.store_slow: Kind(links.store, links.slow_store),
    Fault.store_loses_replies: Kind(links.store, links.lose_replies),
    Fault.store_reads_older: Kind(links.store, links.have_store(older=True)),
    Fault.node_paused: Kind(processes.node, processes.pause_node),
    Fault.node_killed: Kind(processes.node, processes.kill_node),
    Fault.node_terminated: Kind(processes.node, processes.terminate_node),
    Fault.clock_jumps: Kind(processes.node, processes.jump_clock),
    Fault.upstream_paused: Kind(processes.upstream, processes.pause_upstream),
    Fault.upstream_killed: Kind(processes.upstream, processes.kill_upstream),
    Fault.upstream_terminated: Kind(
        processes.upstream_and_node, processes.terminate_upstream
    ),
    Fault.upstream_fails: Kind(processes.upstream, processes.fail_requests),
    Fault.upstream_cuts_answers: Kind(
        processes.upstream, processes.cut_answers
    ),
    Fault.upstream_sheds: Kind(
        processes.upstream, processes.have_upstream(shed=True)
    ),
    Fault.upstream_slow: Kind(processes.upstream, processes.slow_upstream),
}


def strike(stage: Stage, step: Step) -> None:
    """Bring a fault about, wait, and undo it."""
    kind = KINDS[step.fault]
    with (
        suppress(OSError, HTTPException),
        stage.striking(*kind.parts(stage, step)) as is_free,
    ):
        for seconds in kind.happen(stage, step) if is_free else ():
            stage.is_over.wait(seconds)
