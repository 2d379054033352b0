"""Soak test: inject random faults into a fleet and check its guarantees.

    python -m kumquathold_standins.soak --seeds 10 --first 1 --nodes 3

Each seed determines a fault plan, which runs against a fleet of its own. The
command exits with status 1 if a guarantee was violated or a run failed, and
saves the history and the logs of seeds with violations.
"""

from __future__ import annotations

import contextlib
import shutil
import signal
import sys
import threading
import time
import traceback
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
import msgspec

from kumquathold_standins import soak_context, soak_faults, soak_load
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.fleet_spec import ZONES, Spec, Vm
from kumquathold_standins.soak_checks import (
    GRACE_SECONDS,
    MAX_ACTIVATION_SECONDS,
    MAX_RECOVERY_SECONDS,
    OK,
    RECOVERED_SHARE,
    Violation,
    find_violations,
)
from kumquathold_standins.soak_context import FaultContext
from kumquathold_standins.soak_history import History, Recorder
from kumquathold_standins.soak_plan import Plan, draw_plan

FAILED_SEEDS_DIRECTORY = Path('out') / 'soak'
"""Directory for the history and logs of seeds with violations."""

FAULT_SECONDS = 15.0
CHECK_INTERVAL_SECONDS = 2.0
RECENT_WINDOW_SECONDS = 1.5
MAX_RECOVERY_WAIT_SECONDS = MAX_RECOVERY_SECONDS + 2 * RECENT_WINDOW_SECONDS
THREAD_JOIN_TIMEOUT_SECONDS = 60.0
RATE_TERM_SECONDS = 3.0
ZONES_PER_REGION = 2
ERROR_LEVEL = 'ERROR'
EXIT_TERMINATED = 143


class Result(msgspec.Struct, frozen=True):
    """Outcome of the run of one seed."""

    seed: int
    """Seed of the fault plan."""

    requests: int
    """Number of requests that completed, successfully or not."""

    served: int
    """Number of these that were answered with status 200."""

    versions: int
    """Number of configuration versions accepted."""

    faults: int
    """Number of faults in the plan."""

    skipped: int
    """Number of faults skipped because another held one of their targets."""

    violations: tuple[Violation, ...]
    """Guarantees that were violated."""


def make_fleet_spec(nodes: int) -> Spec:
    """Describe a fleet whose nodes are spread over regions, then over zones.

    The first node of every region precedes the second of any, so that a small
    fleet spans several regions.
    """
    placements = (*ZONES[::ZONES_PER_REGION], *ZONES[1::ZONES_PER_REGION])
    vms = tuple(
        Vm(*placements[number % len(placements)], ('listings', 'holds'))
        for number in range(nodes)
    )
    return Spec(
        vms=vms,
        relayed=True,
        skewable=True,
        rate_term=RATE_TERM_SECONDS,
        grace=GRACE_SECONDS,
    )


def run_seed(
    seed: int,
    *,
    nodes: int = 3,
    seconds: float = FAULT_SECONDS,
    has_restores: bool = False,
) -> Result:
    """Run one seed; exceptions of the test itself propagate."""
    plan = draw_plan(seed, seconds, has_restores=has_restores)
    with running_fleet(make_fleet_spec(nodes)) as fleet:
        return Soak(fleet, plan).run()


class Soak:
    """Run of one fault plan against one fleet."""

    def __init__(self, fleet: Fleet, plan: Plan) -> None:
        """Prepare the run; threads start with `run`."""
        self.fleet = fleet
        self.plan = plan
        self.recorder = Recorder()
        self.recorder.regions = {
            upstream.address: node.vm.region
            for node in fleet.nodes
            for upstream in node.upstreams
        }
        self.restarts = soak_load.RestartCounter(len(fleet.nodes))
        self.context = FaultContext(fleet, self.recorder, self.restarts)
        self.operator = soak_load.Operator(fleet, self.recorder, plan.seed)
        self.stopped = threading.Event()
        self.changes_stopped = threading.Event()

    def run(self) -> Result:
        """Inject the faults, wait for recovery and return the result."""
        self.operator.accept_next_version(self.stopped)
        self.fleet.wait_for_rate_holders()
        with self._running_callers():
            self._run_faults()
            self._wait_for_recovery()
        return self._make_result()

    @contextlib.contextmanager
    def _running_callers(self) -> Iterator[None]:
        threads = [
            threading.Thread(target=run, args=arguments)
            for run, arguments in self._plan_threads()
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self.changes_stopped.set()
            self.stopped.set()
            for thread in threads:
                thread.join(THREAD_JOIN_TIMEOUT_SECONDS)

    def _plan_threads(self) -> list[tuple[Any, ...]]:
        callers = [
            (f'c{number}', soak_load.REQUEST_KINDS)
            for number in range(soak_load.CALLER_COUNT)
        ]
        limited = [
            (f'l{number}', (soak_load.LIMITED_KIND,))
            for number in range(soak_load.LIMITED_CALLER_COUNT)
        ]
        planned: list[tuple[Any, ...]] = [
            (self._make_caller(name).run, (kinds, self.stopped))
            for name, kinds in (*callers, *limited)
        ]
        planned.append((self.operator.run, (self.changes_stopped,)))
        return planned

    def _make_caller(self, name: str) -> soak_load.SoakCaller:
        return soak_load.SoakCaller(
            name,
            self.fleet,
            self.restarts,
            self.operator,
            self.recorder,
            self.plan.seed,
        )

    def _run_faults(self) -> None:
        ends_at = time.monotonic() + self.plan.seconds
        with ThreadPoolExecutor(len(self.plan.tracks)) as executor:
            tracks = [
                executor.submit(self._run_track, number)
                for number in range(len(self.plan.tracks))
            ]
            try:
                while time.monotonic() < ends_at and not self._find_violations(
                    self._history()
                ):
                    time.sleep(CHECK_INTERVAL_SECONDS)
            finally:
                self.context.stopped.set()
            for track in tracks:
                track.result()

    def _run_track(self, number: int) -> None:
        for step in self.plan.tracks[number]:
            if self.context.stopped.wait(step.pause):
                return
            soak_faults.inject_fault(self.context, step)

    def _wait_for_recovery(self) -> None:
        """Undo all faults, accept a new version and wait for recovery."""
        self.changes_stopped.set()
        soak_context.heal_all(self.context)
        self.recorder.healed_at = time.time()
        self.operator.accept_next_version(self.stopped)
        while time.time() < self.recorder.healed_at + MAX_RECOVERY_WAIT_SECONDS:
            time.sleep(RECENT_WINDOW_SECONDS)
            if self._is_recovered():
                return

    def _is_recovered(self) -> bool:
        """Whether the last version must be in force and reads succeed again."""
        now = time.time()
        latest = self.recorder.accepted[-1].accepted_at
        if now < latest + MAX_ACTIVATION_SECONDS + RECENT_WINDOW_SECONDS:
            return False
        recent = [
            sent
            for sent in self._history().sent
            if sent.sent_at > now - RECENT_WINDOW_SECONDS
            and sent.kind == 'read'
        ]
        served = sum(sent.status == OK for sent in recent)
        return bool(recent) and served >= RECOVERED_SHARE * len(recent)

    def _history(self) -> History:
        return self.recorder.make_history(self.fleet.ledger)

    def _find_violations(self, history: History) -> list[Violation]:
        return [*find_violations(history), *self._find_unexpected_exits()]

    def _find_unexpected_exits(self) -> list[Violation]:
        """Find node processes that exited without a fault that stops them."""
        with self.context.lock:
            return [
                Violation('nodes_live_on', f'{node.process.name} ended')
                for node in self.fleet.nodes
                if node not in self.context.reserved
                and node.process.popen.poll() is not None
            ]

    def _find_logged_errors(self) -> list[Violation]:
        """Find log lines of level ERROR, which report a bug in the node."""
        return [
            Violation('nodes_log_no_errors', str(line)[:400])
            for node in self.fleet.nodes
            for line in node.log_lines()
            if line.get('level') == ERROR_LEVEL
        ]

    def _make_result(self) -> Result:
        history = self._history()
        violations = (
            *self._find_violations(history),
            *self._find_logged_errors(),
        )
        if violations:
            self._save_artifacts(history)
        return Result(
            seed=self.plan.seed,
            requests=len(history.sent),
            served=sum(sent.status == OK for sent in history.sent),
            versions=len(history.accepted),
            faults=sum(len(track) for track in self.plan.tracks),
            skipped=self.context.skipped,
            violations=violations,
        )

    def _save_artifacts(self, history: History) -> None:
        """Save the history and the logs for analysis."""
        directory = FAILED_SEEDS_DIRECTORY / f'seed-{self.plan.seed}'
        directory.mkdir(parents=True, exist_ok=True)
        (directory / 'history.json').write_bytes(msgspec.json.encode(history))
        for log in self.fleet.directory.glob('*.log'):
            shutil.copy(log, directory)


def _run_and_report(
    seed: int, nodes: int, seconds: float, *, has_restores: bool
) -> bool:
    """Run a seed, print its result and return whether all checks passed."""
    try:
        result = run_seed(
            seed, nodes=nodes, seconds=seconds, has_restores=has_restores
        )
    except Exception:
        click.echo(f'seed {seed}: the run failed with an error')
        click.echo(traceback.format_exc())
        return False
    click.echo(msgspec.json.encode(result).decode())
    return not result.violations


@click.command()
@click.option('--seeds', default=1, help='Number of seeds.')
@click.option('--first', default=1, help='First seed.')
@click.option('--nodes', default=3, help='Number of nodes in each fleet.')
@click.option(
    '--seconds',
    default=FAULT_SECONDS,
    help='Seconds of fault injection per seed.',
)
@click.option(
    '--restores',
    is_flag=True,
    help='Also restore the store from older copies.',
)
def main(
    *, seeds: int, first: int, nodes: int, seconds: float, restores: bool
) -> None:
    """Run seeds one after the other; exit with status 1 on any failure."""
    # Exit by exception, so that the processes of the running fleet are stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    passed = [
        _run_and_report(seed, nodes, seconds, has_restores=restores)
        for seed in range(first, first + seeds)
    ]
    click.echo(f'{sum(passed)} of {len(passed)} seeds passed every check')
    sys.exit(0 if all(passed) else 1)


if __name__ == '__main__':
    main()
