"""Measures the policy under load and faults, beside a naive baseline.

Writes a report as Markdown, CSV and a plot. Ratios to the baseline of the
same run count; absolute times depend on the machine.
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
from kumquathold_standins import conditions
from kumquathold_standins import fleet as fleets
from kumquathold_standins.conditions import CONDITIONS, Condition
from kumquathold_standins.fleet import Fleet, Spec
from kumquathold_standins.load import Stream, StreamResult, run_load

mpl.use('Agg')
from matplotlib import pyplot as plt  # noqa: E402

QUICK_SECONDS = 6.0
FULL_SECONDS = 8.0
PAUSE_SECONDS = 1.5
WARM_UP_SECONDS = 3.0
SETTLE_LIMIT_SECONDS = 20.0
POLL_SECONDS = 0.1
RATES = {'large': 60.0, 'middle': 24.0, 'small': 12.0}
LIMIT_FACTOR = 1.5
HOT_FACTOR = 5
HOT = 'small'
SERVICE = 'diffs'
GRAY_SHARE = 0.5
WINDOW_SECONDS = 0.5
MIB = 1024 * 1024


class Row(msgspec.Struct, frozen=True):
    """One condition, seed and proxy."""

    condition: str
    """Name of the condition."""

    proxy: str
    """`kumquathold` or `naive`."""

    seed: int
    """Seed of the upstreams."""

    sent: int
    """Requests of workspaces within their rate."""

    failed: int
    """Of these, those that got no good answer and were not refused."""

    refused: int
    """Of these, those refused although within the rate."""

    added_p50: float
    """Milliseconds over calling upstreams directly, median."""

    added_p99: float
    """The same for 99 in 100."""

    worst_p99: float
    """The worst-served workspace's 99th percentile over the median one's."""

    detection: float
    """Seconds until the gray upstream got under half its share; -1: none."""

    gray_runs: int
    """Most requests of one node that the gray upstream ran until then."""

    false_ejections: int
    """Upstreams out that were not gray, most at any moment."""

    retries: float
    """Retries for each request."""

    platform_calls: float
    """Calls to the platform a second, all nodes together."""

    processor: float
    """Share of a core that the busiest node used."""

    memory: float
    """Resident MiB of the largest node."""


class Bench:
    """A fleet and a set of naive proxies before the same upstreams."""

    def __init__(self, fleet: Fleet, seed: int, seconds: float) -> None:
        """Take a running fleet."""
        self.fleet = fleet
        self.seed = seed
        self.seconds = seconds
        self.naive: list[str] = []
        self.direct: StreamResult | None = None

    def streams(
        self,
        addresses: tuple[str, ...],
        *,
        hot: bool,
        mark: str,
    ) -> list[Stream]:
        """The load of all workspaces."""
        factors = {HOT: HOT_FACTOR} if hot else {}
        return [
            Stream(
                name=name,
                key=key_of(name),
                addresses=addresses,
                rate=rate * factors.get(name, 1),
                path='/diffs/{n}',
                headers={'X-Operation': f'{mark}-{name}-{{n}}'},
                workers=48,
            )
            for name, rate in RATES.items()
        ]

    def measure_direct(self) -> None:
        """Call the upstreams without any proxy, for comparison."""
        addresses = tuple(one.address for one in self.fleet.upstreams)
        stream = Stream('direct', '', addresses, 60, path='/diffs/{n}')
        self.direct = run_load([stream], self.seconds)[0]

    def warm_up(self) -> None:
        """Let both proxies open their connections."""
        fleet = tuple(node.callers for node in self.fleet.nodes)
        for addresses in (fleet, tuple(self.naive)):
            streams = self.streams(addresses, hot=False, mark='warm')
            run_load(streams, WARM_UP_SECONDS)

    def settle(self) -> None:
        """Send a little until no upstream is out from the condition before."""
        give_up_at = time.monotonic() + SETTLE_LIMIT_SECONDS
        while time.monotonic() < give_up_at and self._someone_out():
            streams = self.streams(
                self._addresses('kumquathold'),
                hot=False,
                mark='settle',
            )
            run_load(streams, PAUSE_SECONDS)

    def _someone_out(self) -> bool:
        return any(
            node.client.get_json('/status')['ejected']
            for node in self.fleet.nodes
        )

    def measure(self, condition: Condition, proxy: str) -> Row:
        """Run one condition against one of the two."""
        mark = f'{condition.name}-{proxy}'.replace(' ', '-')
        streams = self.streams(
            self._addresses(proxy),
            hot=condition.hot,
            mark=mark,
        )
        self.settle()
        before = Usage.take(self)
        watch = EjectionWatch(self, is_naive=proxy == 'naive')
        started_at = time.time()
        fault = conditions.happening(condition.fault, self.fleet)
        with fault, watch.watching():
            results = run_load(streams, self.seconds)
        return self._describe(
            condition,
            proxy,
            results,
            watch,
            Usage.take(self).since(before),
            self._detect(condition, mark, started_at),
        )

    def _addresses(self, proxy: str) -> tuple[str, ...]:
        if proxy == 'naive':
            return tuple(self.naive)
        return tuple(node.callers for node in self.fleet.nodes)

    def _describe(
        self,
        condition: Condition,
        proxy: str,
        results: list[StreamResult],
        watch: EjectionWatch,
        usage: Usage,
        detected: Detection,
    ) -> Row:
        within = [
            one for one in results if not (condition.hot and one.name == HOT)
        ]
        percentiles = [one.percentile(99) for one in within]
        merged = merge(within)
        gray = {conditions.gray_upstream(self.fleet).address}
        direct = self.direct or merged
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
            added_p50=merged.percentile(50) - direct.percentile(50),
            added_p99=merged.percentile(99) - direct.percentile(99),
            worst_p99=max(percentiles) / statistics.median(percentiles),
            detection=detected.seconds,
            gray_runs=detected.runs,
            false_ejections=watch.most_out(
                gray if condition.has_gray else set(),
            ),
            retries=usage.retries_of(proxy) / max(sent, 1),
            platform_calls=usage.platform_calls / self.seconds,
            processor=usage.processor / self.seconds,
            memory=usage.memory,
        )

    def _detect(
        self,
        condition: Condition,
        mark: str,
        started_at: float,
    ) -> Detection:
        if not condition.has_gray:
            return Detection(-1, 0)
        gray = conditions.gray_upstream(self.fleet).address
        runs = [
            run for run in self.fleet.ledger() if run.operation.startswith(mark)
        ]
        return detect(
            [run.at - started_at for run in runs],
            [run.at - started_at for run in runs if run.upstream == gray],
            len(self.fleet.nodes),
        )


class Detection(msgspec.Struct, frozen=True):
    """When a gray upstream was found."""

    seconds: float
    """From the fault on; -1 where it was not found."""

    runs: int
    """Requests that it ran until then, for each node."""


class Usage(msgspec.Struct, frozen=True):
    """Counters at one moment, or between two."""

    retries: float
    naive_retries: float
    platform_calls: float
    processor: float
    memory: float
    by_node: dict[int, float]

    @classmethod
    def take(cls, bench: Bench) -> Usage:
        """Read all counters."""
        fleet = bench.fleet
        retries = 0.0
        by_node = {}
        memory = 0.0
        for node in fleet.nodes:
            process = psutil.Process(node.process.pid)
            spent = process.cpu_times()
            by_node[node.process.pid] = spent.user + spent.system
            memory = max(memory, process.memory_info().rss / MIB)
            retries += sum(
                count
                for name, count in node.metrics().items()
                if name.startswith('ingress.retries.')
            )
        naive = [naive_state(address).retries for address in bench.naive]
        return cls(
            retries=retries,
            naive_retries=sum(naive),
            platform_calls=sum(fleet.platform_calls().values()),
            processor=0.0,
            memory=memory,
            by_node=by_node,
        )

    def retries_of(self, proxy: str) -> float:
        """Retries of one of the two."""
        return self.naive_retries if proxy == 'naive' else self.retries

    def since(self, before: Usage) -> Usage:
        """The difference to an earlier moment."""
        busiest = max(
            spent - before.by_node.get(pid, 0.0)
            for pid, spent in self.by_node.items()
        )
        return Usage(
            retries=max(self.retries - before.retries, 0),
            naive_retries=self.naive_retries - before.naive_retries,
            platform_calls=self.platform_calls - before.platform_calls,
            processor=busiest,
            memory=self.memory,
            by_node={},
        )


class NaiveState(msgspec.Struct, frozen=True):
    """What a naive proxy says of itself."""

    ejected: list[str]
    retries: int


class EjectionWatch:
    """Notes which upstreams are out, while a condition lasts."""

    def __init__(self, bench: Bench, *, is_naive: bool) -> None:
        """Watch one of the two."""
        self.bench = bench
        self.is_naive = is_naive
        self.is_over = threading.Event()
        self.seen: list[set[str]] = []

    @contextmanager
    def watching(self) -> Iterator[None]:
        """Look again and again while the block runs."""
        thread = threading.Thread(target=self._watch)
        thread.start()
        try:
            yield
        finally:
            self.is_over.set()
            thread.join()

    def most_out(self, gray: set[str]) -> int:
        """Most upstreams out at any moment that are not gray."""
        return max((len(out - gray) for out in self.seen), default=0)

    def _watch(self) -> None:
        while not self.is_over.wait(POLL_SECONDS):
            if self.is_naive:
                lists = [
                    naive_state(address).ejected for address in self.bench.naive
                ]
            else:
                lists = [self._ejected(node) for node in self.bench.fleet.nodes]
            self.seen.append({name for names in lists for name in names})

    def _ejected(self, node: fleets.Node) -> list[str]:
        try:
            by_service = node.client.get_json('/status')['ejected']
        except Exception:  # noqa: BLE001
            return []
        return [name for names in by_service.values() for name in names]


def naive_state(address: str) -> NaiveState:
    """Ask a naive proxy for its state."""
    body = fleets.call_http(address, 'GET', '/_state')
    return msgspec.json.decode(body, type=NaiveState)


def detect(all_runs: list[float], gray: list[float], nodes: int) -> Detection:
    """When the gray upstream's share fell under half, for good."""
    windows = int(max(all_runs, default=0.0) / WINDOW_SECONDS)
    total = Counter(int(at / WINDOW_SECONDS) for at in all_runs)
    own = Counter(int(at / WINDOW_SECONDS) for at in gray)
    first_quiet = 0
    for window, count in total.items():
        if window < windows and own[window] >= count / nodes * GRAY_SHARE:
            first_quiet = max(first_quiet, window + 1)
    limit = first_quiet * WINDOW_SECONDS
    runs = round(sum(at < limit for at in gray) / nodes)
    return Detection(-1 if first_quiet >= windows else limit, runs)


def merge(results: list[StreamResult]) -> StreamResult:
    """Add results up."""
    total = StreamResult('all')
    for one in results:
        total.sent += one.sent
        total.good += one.good
        total.answered += one.answered
        total.refused.update(one.refused)
        total.histogram.add(one.histogram)
    return total


def key_of(workspace: str) -> str:
    """The key of a workspace."""
    return f'kq_{workspace}_0123456789'


def make_rules() -> str:
    """Rules for the load."""
    asked = '  # asked by the measurement'
    lines = [
        f'service {SERVICE} floor=50%{asked}',
        f'route GET /diffs/* service={SERVICE} deadline=5s{asked}',
    ]
    for name, rate in RATES.items():
        limit = rate * LIMIT_FACTOR
        digest = digest_key(key_of(name)).hex()
        lines.extend(
            (
                f'workspace {name} rate={limit} burst={round(limit)}{asked}',
                f'key {name} workspace={name} digest=sha256:{digest}{asked}',
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
    """Run a fleet and the naive proxies before the same upstreams."""
    spec = Spec(vms=fleets.six_zones(SERVICE), relayed=relayed)
    with fleets.running_fleet(spec) as fleet:
        fleet.accept(make_rules())
        fleet.wait_rates()
        bench = Bench(fleet, seed, seconds)
        rules = fleet.directory / 'naive.rules'
        rules.write_text(make_rules())
        upstreams = ','.join(one.address for one in fleet.upstreams)
        for number, _ in enumerate(fleet.nodes):
            address = fleets.local(fleets.free_port())
            fleet.spawn(
                f'naive-{number}',
                'kumquathold_standins.naive',
                listen=address,
                upstreams=upstreams,
                rules=rules,
                nodes=len(fleet.nodes),
            )
            bench.naive.append(address)
        fleets.wait_until(
            lambda: all(fleets.is_open(one) for one in bench.naive),
            'naive proxies',
        )
        bench.warm_up()
        bench.measure_direct()
        time.sleep(PAUSE_SECONDS)
        yield bench


def measure_all(seeds: range, seconds: float, *, quick: bool) -> list[Row]:
    """All conditions, with and without links, for all seeds."""
    wanted = [one for one in CONDITIONS if one.quick or not quick]
    rows: list[Row] = []
    for seed in seeds:
        for relayed in (False, True):
            chosen = [one for one in wanted if one.needs_links == relayed]
            if chosen:
                rows.extend(measure_some(chosen, seed, seconds))
    return rows


def measure_some(
    chosen: list[Condition],
    seed: int,
    seconds: float,
) -> list[Row]:
    """Conditions that one fleet can go through."""
    relayed = chosen[0].needs_links
    rows: list[Row] = []
    with running_bench(seed, seconds, relayed=relayed) as bench:
        for condition in chosen:
            rows.extend(measure_both(bench, condition))
    return rows


def measure_both(bench: Bench, condition: Condition) -> list[Row]:
    """The product, and the baseline where links play no part."""
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
    """One line for the terminal."""
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
    """Write Markdown, CSV and a plot."""
    directory.mkdir(parents=True, exist_ok=True)
    with (directory / 'measurements.csv').open('w', newline='') as file:
        writer = csv.writer(file)
        writer.writerow(Row.__struct_fields__)
        writer.writerows(msgspec.structs.astuple(row) for row in rows)
    (directory / 'report.md').write_text(make_markdown(rows, command))
    plot_rows(rows, directory / 'report.svg')


def make_markdown(rows: list[Row], command: str) -> str:
    """A table with the median over the seeds, and the spread."""
    seeds = sorted({row.seed for row in rows})
    lines = [
        f'Command `{command}`, seeds {seeds}, commit {read_commit()}.',
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
    """The median, and least and most where there are several."""
    median = statistics.median(figures)
    if len(figures) == 1:
        return f'{median:.3g}'
    return f'{median:.3g} ({min(figures):.3g}–{max(figures):.3g})'


def plot_rows(rows: list[Row], path: Path) -> None:
    """Plot failures and added latency of both proxies by condition."""
    names = list(dict.fromkeys(row.condition for row in rows))
    figure, axes = plt.subplots(1, 2, figsize=(12, 0.5 * len(names) + 2))
    kinds = (
        ('failed or wrongly refused, in 100', lost_share),
        ('added ms for 99 in 100', lambda row: max(row.added_p99, 0.1)),
    )
    for axis, (title, read) in zip(axes, kinds, strict=True):
        for shift, proxy in ((0.2, 'kumquathold'), (-0.2, 'naive')):
            own = [row for row in rows if row.proxy == proxy]
            axis.barh(
                [names.index(row.condition) + shift for row in own],
                [read(row) for row in own],
                height=0.35,
                label=proxy,
            )
        axis.set_yticks(range(len(names)), names)
        axis.set_title(title)
        axis.legend()
    axes[1].set_xscale('log')
    figure.tight_layout()
    figure.savefig(path)


def lost_share(row: Row) -> float:
    """Requests in 100 that got no good answer."""
    return 100 * (row.failed + row.refused) / max(row.sent, 1)


def read_commit() -> str:
    """The commit that was measured."""
    done = subprocess.run(  # noqa: S603
        ['git', 'describe', '--always', '--dirty'],  # noqa: S607
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip() or 'unknown'


@click.command()
@click.option('--full', is_flag=True, help='All conditions.')
@click.option('--seeds', default=3, help='Repeats of the full form.')
@click.option('--out', default='out', help='Directory for the report.')
def main(*, full: bool, seeds: int, out: str) -> None:
    """Measure the product beside the naive baseline."""
    drawn = range(1, seeds + 1) if full else range(1, 2)
    seconds = FULL_SECONDS if full else QUICK_SECONDS
    rows = measure_all(drawn, seconds, quick=not full)
    command = 'make measure-full' if full else 'make measure'
    write_report(rows, Path(out), command)
    click.echo(f'report in {out}/report.md')


if __name__ == '__main__':
    main()
