"""Benchmark of the fleet under load and faults, beside a naive baseline.

Writes a report as Markdown, CSV and a plot. Compare the ratios to the baseline
of the same run; absolute times depend on the machine.
"""

from __future__ import annotations

import csv
import statistics
import subprocess  # noqa: S404
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click
import matplotlib as mpl
import msgspec
import psutil

from kumquathold_core.rules import digest_key
from kumquathold_standins import conditions, fleet_spec, loopback, processes
from kumquathold_standins import fleet as fleets
from kumquathold_standins.conditions import CONDITIONS, Condition
from kumquathold_standins.fleet import Fleet
from kumquathold_standins.fleet_spec import Spec
from kumquathold_standins.load import Stream, StreamResult, run_load

mpl.use('Agg')
from matplotlib import pyplot as plt  # noqa: E402

QUICK_LOAD_SECONDS = 6.0
FULL_LOAD_SECONDS = 8.0
PAUSE_SECONDS = 1.5
WARM_UP_SECONDS = 3.0
SETTLE_TIMEOUT_SECONDS = 20.0
"""Longest wait for reinstatement of ejected upstreams between conditions."""

POLL_INTERVAL_SECONDS = 0.1
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
MIB = 1024 * 1024


class Row(msgspec.Struct, frozen=True):
    """Result of one proxy under one condition, for one seed."""

    condition: str
    """Name of the condition."""

    proxy: str
    """`kumquathold` or `naive`."""

    seed: int
    """Number of the repetition, from 1."""

    sent: int
    """Requests of the workspaces that stay within their rate."""

    failed: int
    """Of these, requests not refused that got status 500 or above, or none."""

    refused: int
    """Of these, requests refused although they were within the rate."""

    added_p50: float
    """Median latency above that of direct calls to the upstreams, in ms."""

    added_p99: float
    """The same for the 99th percentile."""

    worst_p99: float
    """Highest p99 latency of a workspace, divided by the median workspace's."""

    detection: float
    """Seconds until the gray upstream got under half an even share of requests.

    -1 if it was not detected or the condition has no gray upstream.
    """

    gray_runs: int
    """Requests that the gray upstream ran until then, per node."""

    false_ejections: int
    """Most upstreams, apart from the gray one, ejected at the same time."""

    retries: float
    """Retries per request sent."""

    platform_calls: float
    """Platform calls per second of all nodes together."""

    processor: float
    """Processor cores that the busiest node used."""

    memory: float
    """Resident memory of the largest node, in MiB."""


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


class Detection(msgspec.Struct, frozen=True):
    """When the gray upstream was detected."""

    seconds: float
    """Seconds since the fault began; -1 if it was not detected."""

    runs: int
    """Requests that it ran until then, per node."""


class Usage(msgspec.Struct, frozen=True):
    """Resources used up to one moment, or the difference between two.

    Processor time is in seconds, memory in MiB.
    """

    retries: float
    naive_retries: float
    platform_calls: float
    processor: float
    memory: float
    processor_by_pid: dict[int, float]

    @classmethod
    def read(cls, bench: Bench) -> Usage:
        """Read the counters of all nodes and naive proxies."""
        fleet = bench.fleet
        retries = 0.0
        processor_by_pid = {}
        memory = 0.0
        for node in fleet.nodes:
            process = psutil.Process(node.process.pid)
            cpu_times = process.cpu_times()
            processor_by_pid[node.process.pid] = (
                cpu_times.user + cpu_times.system
            )
            memory = max(memory, process.memory_info().rss / MIB)
            retries += sum(
                count
                for name, count in node.metrics().items()
                if name.startswith('ingress.retries.')
            )
        naive = [
            fetch_naive_state(address).retries
            for address in bench.naive_addresses
        ]
        return cls(
            retries=retries,
            naive_retries=sum(naive),
            platform_calls=sum(fleet.platform_calls().values()),
            processor=0.0,
            memory=memory,
            processor_by_pid=processor_by_pid,
        )

    def retries_of(self, proxy: str) -> float:
        """Return the retries of the fleet or of the naive proxies."""
        return self.naive_retries if proxy == 'naive' else self.retries

    def since(self, before: Usage) -> Usage:
        """Return the difference from an earlier reading."""
        busiest = max(
            cpu_seconds - before.processor_by_pid.get(pid, 0.0)
            for pid, cpu_seconds in self.processor_by_pid.items()
        )
        return Usage(
            retries=max(self.retries - before.retries, 0),
            naive_retries=self.naive_retries - before.naive_retries,
            platform_calls=self.platform_calls - before.platform_calls,
            processor=busiest,
            memory=self.memory,
            processor_by_pid={},
        )


class NaiveState(msgspec.Struct, frozen=True):
    """State that a naive proxy reports."""

    ejected: list[str]
    retries: int


class EjectionMonitor:
    """Samples which upstreams are ejected while a condition is measured."""

    def __init__(self, bench: Bench, *, is_naive: bool) -> None:
        """Sample the naive proxies or the fleet."""
        self.bench = bench
        self.is_naive = is_naive
        self.stopped = threading.Event()
        self.samples: list[set[str]] = []

    @contextmanager
    def running(self) -> Iterator[None]:
        """Take samples periodically while the block runs."""
        thread = threading.Thread(target=self._poll)
        thread.start()
        try:
            yield
        finally:
            self.stopped.set()
            thread.join()

    def max_false_ejections(self, gray: set[str]) -> int:
        """Return the most upstreams, apart from gray ones, ejected at once."""
        return max((len(out - gray) for out in self.samples), default=0)

    def _poll(self) -> None:
        while not self.stopped.wait(POLL_INTERVAL_SECONDS):
            if self.is_naive:
                lists = [
                    fetch_naive_state(address).ejected
                    for address in self.bench.naive_addresses
                ]
            else:
                lists = [
                    self._list_ejected(node) for node in self.bench.fleet.nodes
                ]
            self.samples.append({name for names in lists for name in names})

    def _list_ejected(self, node: processes.Node) -> list[str]:
        try:
            by_service = node.client.get_json('/status')['ejected']
        except Exception:  # noqa: BLE001
            return []
        return [name for names in by_service.values() for name in names]


def fetch_naive_state(address: str) -> NaiveState:
    """Request the state of a naive proxy."""
    body = loopback.call_http(address, 'GET', '/_state')
    return msgspec.json.decode(body, type=NaiveState)


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
            address = loopback.loopback_address(loopback.free_port())
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


def describe_row(row: Row) -> str:
    """Format a row as a line for the terminal."""
    return (
        f'{row.condition:<18}{row.proxy:<12}failed {row.failed:>4} '
        f'refused {row.refused:>4} of {row.sent:<5} '
        f'+p50 {row.added_p50:6.1f} +p99 {row.added_p99:7.1f} ms '
        f'detect {row.detection:5.1f} s false {row.false_ejections} '
        f'retries {row.retries:.3f}'
    )


HEADINGS = {
    'failed': 'failed',
    'refused': 'wrongly refused',
    'added_p50': 'added p50 ms',
    'added_p99': 'added p99 ms',
    'worst_p99': 'worst / median p99',
    'detection': 'detection s',
    'gray_runs': 'runs on gray per node',
    'false_ejections': 'false ejections',
    'retries': 'retries per request',
    'platform_calls': 'platform calls/s',
    'processor': 'busiest node, cores',
    'memory': 'largest node, MiB',
}


def write_report(rows: list[Row], directory: Path, command: str) -> None:
    """Write the report as Markdown, CSV and a plot to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    with (directory / 'measurements.csv').open('w', newline='') as file:
        writer = csv.writer(file)
        writer.writerow(Row.__struct_fields__)
        writer.writerows(msgspec.structs.astuple(row) for row in rows)
    (directory / 'report.md').write_text(make_markdown(rows, command))
    plot_rows(rows, directory / 'report.svg')


def make_markdown(rows: list[Row], command: str) -> str:
    """Make a Markdown table with the median and range over the seeds."""
    seeds = sorted({row.seed for row in rows})
    lines = [
        f'Command `{command}`, seeds {seeds}, commit {describe_commit()}.',
        '',
        f'| condition | proxy | sent | {" | ".join(HEADINGS.values())} |',
        f'| --- | --- |{" --- |" * (len(HEADINGS) + 1)}',
    ]
    groups: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        groups.setdefault((row.condition, row.proxy), []).append(row)
    for (condition, proxy), group in groups.items():
        cells = [
            describe_spread([float(getattr(row, name)) for row in group])
            for name in HEADINGS
        ]
        sent = sum(row.sent for row in group)
        lines.append(
            f'| {condition} | {proxy} | {sent} | {" | ".join(cells)} |',
        )
    return '\n'.join(lines) + '\n'


def describe_spread(figures: list[float]) -> str:
    """Format the median, and the range if there are several values."""
    median = statistics.median(figures)
    if len(figures) == 1:
        return f'{median:.3g}'
    return f'{median:.3g} ({min(figures):.3g}–{max(figures):.3g})'


def plot_rows(rows: list[Row], path: Path) -> None:
    """Plot failures and added latency of both proxies by condition."""
    names = list(dict.fromkeys(row.condition for row in rows))
    figure, axes = plt.subplots(1, 2, figsize=(12, 0.5 * len(names) + 2))
    panels = (
        ('failed or wrongly refused, in 100', lost_percent),
        ('added ms for 99 in 100', lambda row: max(row.added_p99, 0.1)),
    )
    for axis, (title, read) in zip(axes, panels, strict=True):
        for shift, proxy in ((0.2, 'kumquathold'), (-0.2, 'naive')):
            proxy_rows = [row for row in rows if row.proxy == proxy]
            axis.barh(
                [names.index(row.condition) + shift for row in proxy_rows],
                [read(row) for row in proxy_rows],
                height=0.35,
                label=proxy,
            )
        axis.set_yticks(range(len(names)), names)
        axis.set_title(title)
        axis.legend()
    axes[1].set_xscale('log')
    figure.tight_layout()
    figure.savefig(path)


def lost_percent(row: Row) -> float:
    """Return the percentage of requests that failed or were wrongly refused."""
    return 100 * (row.failed + row.refused) / max(row.sent, 1)


def describe_commit() -> str:
    """Return the Git description of the measured commit, or `unknown`."""
    completed = subprocess.run(  # noqa: S603
        ['git', 'describe', '--always', '--dirty'],  # noqa: S607
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or 'unknown'


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
