"""Benchmark of the fleet under load and faults, beside a naive baseline.

Writes a report as Markdown, CSV and a plot. Compare the ratios to the baseline
of the same run; absolute times depend on the machine.
"""

from __future__ import annotations

import statistics
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from kumquathold_core.rules import digest_key
from kumquathold_standins import conditions, fleet_spec, loopback
from kumquathold_standins import fleet as fleets
from kumquathold_standins.conditions import CONDITIONS, Condition
from kumquathold_standins.fleet import Fleet
from kumquathold_standins.fleet_spec import Spec
from kumquathold_standins.load import Stream, StreamResult, run_load
from kumquathold_standins.measure_observers import (
    Detection,
    EjectionMonitor,
    Usage,
)
from kumquathold_standins.measure_report import (
    Row,
    describe_row,
    write_report,
)
from kumquathold_standins.ports import free_port

QUICK_LOAD_SECONDS = 6.0
FULL_LOAD_SECONDS = 8.0
PAUSE_SECONDS = 1.5
WARM_UP_SECONDS = 3.0
SETTLE_TIMEOUT_SECONDS = 20.0
"""Longest wait for reinstatement of ejected upstreams between conditions."""

WORKSPACE_RATES = {'large': 60.0, 'middle': 24.0, 'small': 12.0}
"""Requests a second that each workspace sends."""

RATE_LIMIT_FACTOR = 1.5
"""Rate limit of a workspace as a multiple of the load that it sends."""

HOT_LOAD_FACTOR = 5
"""Load of the hot workspace as a multiple of its usual load."""

HOT_WORKSPACE = 'small'
SERVICE = 'diffs'
DETECTION_SHARE = 0.5
"""Share of an even load below which the gray upstream counts as detected."""

DETECTION_WINDOW_SECONDS = 0.5


class Bench:
    """A fleet and a set of naive proxies in front of the same upstreams."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        """Use a running fleet; the load of a condition lasts `seconds`."""
        self.fleet = fleet
        self.seed = seed
        self.seconds = seconds
        self.naive_addresses: list[str] = []
        self.direct_result: StreamResult | None = None

    def make_streams(
        self,
        addresses: tuple[str, ...],
        *,
        has_hot_workspace: bool,
        operation_prefix: str,
    ) -> list[Stream]:
        """Make the load of all workspaces.

        `operation_prefix` identifies the requests in the upstreams' ledger.
        """
        factors = {HOT_WORKSPACE: HOT_LOAD_FACTOR} if has_hot_workspace else {}
        return [
            Stream(
                name=name,
                key=make_key(name),
                addresses=addresses,
                rate=rate * factors.get(name, 1),
                path='/diffs/{n}',
                headers={'X-Operation': f'{operation_prefix}-{name}-{{n}}'},
                workers=48,
            )
            for name, rate in WORKSPACE_RATES.items()
        ]

    def measure_direct(self) -> None:
        """Measure the latency of calls to the upstreams without a proxy."""
        addresses = tuple(one.address for one in self.fleet.upstreams)
        stream = Stream('direct', '', addresses, 60, path='/diffs/{n}')
        self.direct_result = run_load([stream], self.seconds)[0]

    def warm_up(self) -> None:
        """Send load through both proxies so that connections are open."""
        fleet = tuple(node.callers for node in self.fleet.nodes)
        for addresses in (fleet, tuple(self.naive_addresses)):
            streams = self.make_streams(
                addresses, has_hot_workspace=False, operation_prefix='warm'
            )
            run_load(streams, WARM_UP_SECONDS)

    def settle(self) -> None:
        """Send light load until no upstream is ejected any more."""
        give_up_at = time.monotonic() + SETTLE_TIMEOUT_SECONDS
        while time.monotonic() < give_up_at and self._has_ejections():
            streams = self.make_streams(
                self._addresses_of('kumquathold'),
                has_hot_workspace=False,
                operation_prefix='settle',
            )
            run_load(streams, PAUSE_SECONDS)

    def _has_ejections(self) -> bool:
        return any(
            node.client.get_json('/status')['ejected']
            for node in self.fleet.nodes
        )

    def measure(self, condition: Condition, proxy: str) -> Row:
        """Measure one condition with the fleet or the naive proxies."""
        operation_prefix = f'{condition.name}-{proxy}'.replace(' ', '-')
        streams = self.make_streams(
            self._addresses_of(proxy),
            has_hot_workspace=condition.has_hot_workspace,
            operation_prefix=operation_prefix,
        )
        self.settle()
        before = Usage.read(self)
        monitor = EjectionMonitor(self, is_naive=proxy == 'naive')
        started_at = time.time()
        fault = conditions.inject_fault(condition.fault, self.fleet)
        with fault, monitor.running():
            results = run_load(streams, self.seconds)
        return self._make_row(
            condition,
            proxy,
            results,
            monitor,
            Usage.read(self).since(before),
            self._detect_gray(condition, operation_prefix, started_at),
        )

    def _addresses_of(self, proxy: str) -> tuple[str, ...]:
        if proxy == 'naive':
            return tuple(self.naive_addresses)
        return tuple(node.callers for node in self.fleet.nodes)

    def _make_row(
        self,
        condition: Condition,
        proxy: str,
        results: list[StreamResult],
        monitor: EjectionMonitor,
        usage: Usage,
        detection: Detection,
    ) -> Row:
        within_rate = [
            one
            for one in results
            if not (condition.has_hot_workspace and one.name == HOT_WORKSPACE)
        ]
        percentiles = [one.percentile(99) for one in within_rate]
        merged = merge_results(within_rate)
        gray = {conditions.gray_upstream(self.fleet).address}
        direct_result = self.direct_result or merged
        sent = sum(one.sent for one in results)
        return Row(
            condition=condition.name,
            proxy=proxy,
            seed=self.seed,
            sent=merged.sent,
            failed=merged.sent - merged.good - sum(merged.refused.values()),
            refused=sum(
                count
                for reason, count in merged.refused.items()
                if reason.startswith(('rate', 'overloaded', 'stale'))
            ),
            added_p50=merged.percentile(50) - direct_result.percentile(50),
            added_p99=merged.percentile(99) - direct_result.percentile(99),
            worst_p99=max(percentiles) / statistics.median(percentiles),
            detection=detection.seconds,
            gray_runs=detection.runs,
            false_ejections=monitor.max_false_ejections(
                gray if condition.has_gray else set(),
            ),
            retries=usage.retries_of(proxy) / max(sent, 1),
            platform_calls=usage.platform_calls / self.seconds,
            processor=usage.processor / self.seconds,
            memory=usage.memory,
        )

    def _detect_gray(
        self,
        condition: Condition,
        operation_prefix: str,
        started_at: float,
    ) -> Detection:
        if not condition.has_gray:
            return Detection(-1, 0)
        gray = conditions.gray_upstream(self.fleet).address
        runs = [
            run
            for run in self.fleet.ledger()
            if run.operation.startswith(operation_prefix)
        ]
        return detect_gray(
            [run.at - started_at for run in runs],
            [run.at - started_at for run in runs if run.upstream == gray],
            len(self.fleet.nodes),
        )


def detect_gray(
    all_run_times: list[float], gray_run_times: list[float], nodes: int
) -> Detection:
    """Find when the gray upstream's share of requests fell under half for good.

    Times are seconds since the fault began. The share is taken in windows;
    detection is the end of the last window in which it was half or more.
    """
    windows = int(max(all_run_times, default=0.0) / DETECTION_WINDOW_SECONDS)
    all_counts = Counter(
        int(at / DETECTION_WINDOW_SECONDS) for at in all_run_times
    )
    gray_counts = Counter(
        int(at / DETECTION_WINDOW_SECONDS) for at in gray_run_times
    )
    detected_window = 0
    for window, count in all_counts.items():
        if (
            window < windows
            and gray_counts[window] >= count / nodes * DETECTION_SHARE
        ):
            detected_window = max(detected_window, window + 1)
    detected_at = detected_window * DETECTION_WINDOW_SECONDS
    runs = round(sum(at < detected_at for at in gray_run_times) / nodes)
    return Detection(-1 if detected_window >= windows else detected_at, runs)


def merge_results(results: list[StreamResult]) -> StreamResult:
    """Add up the results of several streams."""
    total = StreamResult('all')
    for one in results:
        total.sent += one.sent
        total.good += one.good
        total.answered += one.answered
        total.refused.update(one.refused)
        total.histogram.add(one.histogram)
    return total


def make_key(workspace: str) -> str:
    """Make the API key of a workspace."""
    return f'kq_{workspace}_0123456789'


def make_rules() -> str:
    """Make the rules file for the load."""
    comment = '  # asked by the measurement'
    lines = [
        f'service {SERVICE} floor=50%{comment}',
        f'route GET /diffs/* service={SERVICE} deadline=5s{comment}',
    ]
    for name, rate in WORKSPACE_RATES.items():
        limit = rate * RATE_LIMIT_FACTOR
        digest = digest_key(make_key(name)).hex()
        lines.extend(
            (
                f'workspace {name} rate={limit} burst={round(limit)}{comment}',
                f'key {name} workspace={name} digest=sha256:{digest}{comment}',
            )
        )
    return '\n'.join(lines) + '\n'


@contextmanager
def running_bench(
    seed: int,
    seconds: float,
    *,
    relayed: bool,
) -> Iterator[Bench]:
    """Run a fleet and the naive proxies in front of the same upstreams."""
    spec = Spec(vms=fleet_spec.six_zones(SERVICE), relayed=relayed)
    with fleets.running_fleet(spec) as fleet:
        fleet.accept(make_rules())
        fleet.wait_for_rate_holders()
        bench = Bench(fleet, seed, seconds)
        rules = fleet.directory / 'naive.rules'
        rules.write_text(make_rules())
        upstreams = ','.join(one.address for one in fleet.upstreams)
        for number, _ in enumerate(fleet.nodes):
            address = loopback.loopback_address(free_port())
            fleet.spawn(
                f'naive-{number}',
                'kumquathold_standins.naive',
                listen=address,
                upstreams=upstreams,
                rules=rules,
                nodes=len(fleet.nodes),
            )
            bench.naive_addresses.append(address)
        loopback.wait_until(
            lambda: all(loopback.is_open(one) for one in bench.naive_addresses),
            'naive proxies',
        )
        bench.warm_up()
        bench.measure_direct()
        time.sleep(PAUSE_SECONDS)
        yield bench


def measure_all(seeds: range, seconds: float, *, quick: bool) -> list[Row]:
    """Measure the conditions for all seeds.

    Conditions that need links run on a fleet of their own.
    """
    selected = [one for one in CONDITIONS if one.is_quick or not quick]
    rows: list[Row] = []
    for seed in seeds:
        for relayed in (False, True):
            group = [one for one in selected if one.needs_links == relayed]
            if group:
                rows.extend(measure_group(group, seed, seconds))
    return rows


def measure_group(
    group: list[Condition],
    seed: int,
    seconds: float,
) -> list[Row]:
    """Measure a group of conditions one after another on one fleet."""
    relayed = group[0].needs_links
    rows: list[Row] = []
    with running_bench(seed, seconds, relayed=relayed) as bench:
        for condition in group:
            rows.extend(measure_proxies(bench, condition))
    return rows


def measure_proxies(bench: Bench, condition: Condition) -> list[Row]:
    """Measure the fleet, and the baseline unless the condition needs links."""
    proxies = (
        ['kumquathold']
        if condition.needs_links
        else [
            'kumquathold',
            'naive',
        ]
    )
    rows = []
    for proxy in proxies:
        row = bench.measure(condition, proxy)
        click.echo(describe_row(row))
        rows.append(row)
        time.sleep(PAUSE_SECONDS)
    return rows


@click.command()
@click.option('--full', is_flag=True, help='All conditions.')
@click.option('--seeds', default=3, help='Repeats of the full form.')
@click.option('--out', default='out', help='Directory for the report.')
def main(*, full: bool, seeds: int, out: str) -> None:
    """Measure the product beside the naive baseline."""
    seed_range = range(1, seeds + 1) if full else range(1, 2)
    seconds = FULL_LOAD_SECONDS if full else QUICK_LOAD_SECONDS
    rows = measure_all(seed_range, seconds, quick=not full)
    command = 'make measure-full' if full else 'make measure'
    write_report(rows, Path(out), command)
    click.echo(f'report in {out}/report.md')


if __name__ == '__main__':
    main()
