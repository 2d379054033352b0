"""The soak: a real fleet under drawn faults, its promises checked meanwhile.

    python -m kumquathold_standins.soak --seeds 10 --first 1 --nodes 3

Each seed draws a plan of faults and plays it against processes of its own.
Exits 1 where a promise was broken, and keeps the logs of such a seed.
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

from kumquathold_standins import soak_faults, soak_load, soak_stage
from kumquathold_standins.fleet import ZONES, Fleet, Spec, Vm, running_fleet
from kumquathold_standins.soak_checks import (
    FORCE_SECONDS,
    GRACE_SECONDS,
    OK,
    RECOVERED_SHARE,
    RECOVERY_SECONDS,
    Violation,
    find_violations,
)
from kumquathold_standins.soak_history import History, Recorder
from kumquathold_standins.soak_plan import Plan, draw_plan
from kumquathold_standins.soak_stage import Stage

KEPT = Path('out') / 'soak'
"""Where the history and logs of seeds that failed are kept."""

FAULT_SECONDS = 15.0
CHECK_SECONDS = 2.0
LOOK_BACK_SECONDS = 1.5
LONGEST_CALM_SECONDS = RECOVERY_SECONDS + 2 * LOOK_BACK_SECONDS
JOIN_SECONDS = 60.0
RATE_TERM_SECONDS = 3.0
ZONES_PER_REGION = 2
ERROR = 'ERROR'
EXIT_TERMINATED = 143


class Result(msgspec.Struct, frozen=True):
    """What became of one seed."""

    seed: int
    """The seed."""

    requests: int
    """Requests that ended."""

    served: int
    """Of these, those that an upstream answered well."""

    versions: int
    """Versions accepted."""

    faults: int
    """Faults of the plan."""

    skipped: int
    """Faults whose part was struck already."""

    violations: tuple[Violation, ...]
    """Promises that were broken."""


def soak_spec(nodes: int) -> Spec:
    """A fleet whose nodes are dealt to regions first, then to their zones."""
    dealt = (*ZONES[::ZONES_PER_REGION], *ZONES[1::ZONES_PER_REGION])
    vms = tuple(
        Vm(*dealt[number % len(dealt)], ('listings', 'holds'))
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
) -> Result:
    """Play one seed; raises what goes wrong in the soak itself."""
    plan = draw_plan(seed, seconds)
    with running_fleet(soak_spec(nodes)) as fleet:
        return Soak(fleet, plan).run()


class Soak:
    """One plan against one fleet."""

    def __init__(self, fleet: Fleet, plan: Plan) -> None:
        """Start nothing yet."""
        self.fleet = fleet
        self.plan = plan
        self.recorder = Recorder()
        self.lives = soak_load.Lives(len(fleet.nodes))
        self.stage = Stage(fleet, self.recorder, self.lives)
        self.operator = soak_load.Operator(fleet, self.recorder, plan.seed)
        self.is_over = threading.Event()
        self.changes_over = threading.Event()

    def run(self) -> Result:
        """Play the plan, heal, and give what was seen."""
        self.operator.accept_next(self.is_over)
        self.fleet.wait_for_rate_holders()
        with self._callers_at_work():
            self._play_faults()
            self._watch_recovery()
        return self._conclude()

    @contextlib.contextmanager
    def _callers_at_work(self) -> Iterator[None]:
        threads = [
            threading.Thread(target=run, args=arguments)
            for run, arguments in self._plan_threads()
        ]
        for thread in threads:
            thread.start()
        try:
            yield
        finally:
            self.changes_over.set()
            self.is_over.set()
            for thread in threads:
                thread.join(JOIN_SECONDS)

    def _plan_threads(self) -> list[tuple[Any, ...]]:
        callers = [
            (f'c{number}', soak_load.KINDS)
            for number in range(soak_load.CALLERS)
        ]
        limited = [
            (f'l{number}', (soak_load.LIMITED_KIND,))
            for number in range(soak_load.LIMITED_CALLERS)
        ]
        planned: list[tuple[Any, ...]] = [
            (self._make_caller(name).run, (kinds, self.is_over))
            for name, kinds in (*callers, *limited)
        ]
        planned.append((self.operator.run, (self.changes_over,)))
        return planned

    def _make_caller(self, name: str) -> soak_load.CallerThread:
        return soak_load.CallerThread(
            name,
            self.fleet,
            self.lives,
            self.operator,
            self.recorder,
            self.plan.seed,
        )

    def _play_faults(self) -> None:
        ends_at = time.monotonic() + self.plan.seconds
        with ThreadPoolExecutor(len(self.plan.tracks)) as tracks:
            playing = [
                tracks.submit(self._play_track, number)
                for number in range(len(self.plan.tracks))
            ]
            try:
                while time.monotonic() < ends_at and not self._violations(
                    self._history()
                ):
                    time.sleep(CHECK_SECONDS)
            finally:
                self.stage.is_over.set()
            for track in playing:
                track.result()

    def _play_track(self, number: int) -> None:
        for step in self.plan.tracks[number]:
            if self.stage.is_over.wait(step.pause):
                return
            soak_faults.strike(self.stage, step)

    def _watch_recovery(self) -> None:
        """Heal, change the configuration once more, and wait until served."""
        self.changes_over.set()
        soak_stage.heal_all(self.stage)
        self.recorder.calm_since = time.time()
        self.operator.accept_next(self.is_over)
        while time.time() < self.recorder.calm_since + LONGEST_CALM_SECONDS:
            time.sleep(LOOK_BACK_SECONDS)
            if self._is_recovered():
                return

    def _is_recovered(self) -> bool:
        """Whether the version is due everywhere, and callers are served."""
        now = time.time()
        latest = self.recorder.accepted[-1].accepted_at
        if now < latest + FORCE_SECONDS + LOOK_BACK_SECONDS:
            return False
        recent = [
            sent
            for sent in self._history().sent
            if sent.sent_at > now - LOOK_BACK_SECONDS and sent.kind == 'read'
        ]
        good = sum(sent.status == OK for sent in recent)
        return bool(recent) and good >= RECOVERED_SHARE * len(recent)

    def _history(self) -> History:
        return self.recorder.history(self.fleet.ledger())

    def _violations(self, history: History) -> list[Violation]:
        return [*find_violations(history), *self._own_ends()]

    def _own_ends(self) -> list[Violation]:
        """Processes that ended though nobody ended them."""
        with self.stage.lock:
            return [
                Violation('nodes_live_on', f'{node.process.name} ended')
                for node in self.fleet.nodes
                if node not in self.stage.struck
                and node.process.popen.poll() is not None
            ]

    def _errors(self) -> list[Violation]:
        """What nodes logged as a fault of their own."""
        return [
            Violation('nodes_log_no_errors', str(line)[:400])
            for node in self.fleet.nodes
            for line in node.log_lines()
            if line.get('level') == ERROR
        ]

    def _conclude(self) -> Result:
        history = self._history()
        violations = (*self._violations(history), *self._errors())
        if violations:
            self._keep(history)
        return Result(
            seed=self.plan.seed,
            requests=len(history.sent),
            served=sum(sent.status == OK for sent in history.sent),
            versions=len(history.accepted),
            faults=sum(len(track) for track in self.plan.tracks),
            skipped=self.stage.skipped,
            violations=violations,
        )

    def _keep(self, history: History) -> None:
        """Keep what is needed to find the cause: the history and the logs."""
        kept = KEPT / f'seed-{self.plan.seed}'
        kept.mkdir(parents=True, exist_ok=True)
        (kept / 'history.json').write_bytes(msgspec.json.encode(history))
        for log in self.fleet.directory.glob('*.log'):
            shutil.copy(log, kept)


def _run_and_report(seed: int, nodes: int, seconds: float) -> bool:
    """Play a seed; whether all promises held."""
    try:
        soaked = run_seed(seed, nodes=nodes, seconds=seconds)
    except Exception:
        click.echo(f'seed {seed}: the soak itself failed')
        click.echo(traceback.format_exc())
        return False
    click.echo(msgspec.json.encode(soaked).decode())
    return not soaked.violations


@click.command()
@click.option('--seeds', default=1, help='How many.')
@click.option('--first', default=1, help='The first of them.')
@click.option('--nodes', default=3, help='Nodes of each fleet.')
@click.option('--seconds', default=FAULT_SECONDS, help='Faults last so long.')
def main(*, seeds: int, first: int, nodes: int, seconds: float) -> None:
    """Play seeds one after the other; exit 1 where a promise was broken."""
    # Ends the processes of the running fleet too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    held = [
        _run_and_report(seed, nodes, seconds)
        for seed in range(first, first + seeds)
    ]
    click.echo(f'{sum(held)} of {len(held)} seeds kept every promise')
    sys.exit(0 if all(held) else 1)


if __name__ == '__main__':
    main()
