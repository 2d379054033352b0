"""Report of the benchmark, as Markdown, CSV and a plot."""

from __future__ import annotations

import csv
import statistics
import subprocess  # noqa: S404
from pathlib import Path

import matplotlib as mpl
import msgspec

mpl.use('Agg')
from matplotlib import pyplot as plt  # noqa: E402


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
