"""Benchmark of the control-plane cost of an idle node, by number of nodes.

Runs fleets of several sizes without load, and prints a fitted line for each
figure as JSON.
"""

from __future__ import annotations

import json
import statistics
import time

import click
import msgspec
import psutil

from kumquathold_standins import fleet as fleets
from kumquathold_standins import processes
from kumquathold_standins.fleet import Fleet
from kumquathold_standins.fleet_spec import Spec, Vm
from kumquathold_standins.slopes import KIB, Slope

NODE_COUNTS = (8, 32, 96)
SETTLE_SECONDS = 12.0
MEASUREMENT_SECONDS = 15.0
RULES = (
    'service s  # asked by Oyun\n'
    'route GET /x service=s  # asked by Oyun\n'
    'workspace w rate=10 burst=20  # asked by Oyun\n'
)


class NodeUsage(msgspec.Struct, frozen=True):
    """Resources that one node has used since its start."""

    processor_seconds: float
    """Seconds of processor time."""

    sent_bytes: float
    """Bytes sent to peers."""

    messages: float
    """Messages sent to peers."""


def read_usage(node: processes.Node) -> NodeUsage:
    """Read the usage of a node."""
    times = psutil.Process(node.process.pid).cpu_times()
    metrics = node.metrics()
    return NodeUsage(
        processor_seconds=times.user + times.system,
        sent_bytes=metrics.get('peers.sent_bytes', 0),
        messages=metrics.get('peers.sent', 0),
    )


def measure_size(size: int) -> dict[str, float]:
    """Run a fleet of one size, and return the figures of its median node."""
    vms = tuple(
        Vm(f'zone-{number % 6}', ('north', 'east', 'south')[number % 3], ())
        for number in range(size)
    )
    with fleets.running_fleet(Spec(vms=vms, rate_groups=32)) as fleet:
        fleet.accept(RULES)
        fleet.wait_for_rate_holders()
        time.sleep(SETTLE_SECONDS)
        return measure_idle_fleet(fleet)


def measure_idle_fleet(fleet: Fleet) -> dict[str, float]:
    """Measure an idle fleet for a while.

    Return the medians over the nodes, and the platform calls of all nodes.
    """
    calls = sum(fleet.platform_calls().values())
    before = [read_usage(node) for node in fleet.nodes]
    started_at = time.monotonic()
    time.sleep(MEASUREMENT_SECONDS)
    after = [read_usage(node) for node in fleet.nodes]
    seconds = time.monotonic() - started_at
    pairs = list(zip(before, after, strict=True))
    resident_kib = [
        psutil.Process(node.process.pid).memory_info().rss / KIB
        for node in fleet.nodes
    ]
    calls = sum(fleet.platform_calls().values()) - calls
    return {
        'processor_percent': 100
        * statistics.median(
            (end.processor_seconds - start.processor_seconds) / seconds
            for start, end in pairs
        ),
        'sent_kib_per_second': statistics.median(
            (end.sent_bytes - start.sent_bytes) / seconds / KIB
            for start, end in pairs
        ),
        'messages_per_second': statistics.median(
            (end.messages - start.messages) / seconds for start, end in pairs
        ),
        'resident_mib': statistics.median(resident_kib) / KIB,
        'platform_calls_per_second': calls / seconds,
    }


@click.command()
def main() -> None:
    """Measure fleets of several sizes and print the slopes as JSON."""
    by_size = {size: measure_size(size) for size in NODE_COUNTS}
    names = next(iter(by_size.values()))
    report = {
        name: Slope.from_figures(
            list(by_size),
            [figures[name] for figures in by_size.values()],
        )
        for name in names
    }
    click.echo(json.dumps(msgspec.to_builtins(report), indent=2))


if __name__ == '__main__':
    main()
