"""Measures what an idle node spends on control, by the size of the fleet."""

from __future__ import annotations

import json
import statistics
import time

import click
import msgspec
import psutil

from kumquathold_standins import fleet as fleets
from kumquathold_standins.fleet import Fleet, Spec, Vm
from kumquathold_standins.slopes import KIB, Slope

SIZES = (8, 32, 96)
SETTLE_SECONDS = 12.0
WATCH_SECONDS = 15.0
RULES = (
    'service s  # asked by Oyun\n'
    'route GET /x service=s  # asked by Oyun\n'
    'workspace w rate=10 burst=20  # asked by Oyun\n'
)


class Spent(msgspec.Struct, frozen=True):
    """What one node has spent so far."""

    processor: float
    """Seconds."""

    sent: float
    """Bytes to peers."""

    messages: float
    """Messages to peers."""


def spent_of(node: fleets.Node) -> Spent:
    """Read a node's counters."""
    times = psutil.Process(node.process.pid).cpu_times()
    metrics = node.metrics()
    return Spent(
        processor=times.user + times.system,
        sent=metrics.get('peers.sent_bytes', 0),
        messages=metrics.get('peers.sent', 0),
    )


def measure_size(size: int) -> dict[str, float]:
    """Run a fleet of one size, and give the median node's figures."""
    vms = tuple(
        Vm(f'zone-{number % 6}', ('north', 'east', 'south')[number % 3], ())
        for number in range(size)
    )
    with fleets.running_fleet(Spec(vms=vms, rate_groups=32)) as fleet:
        fleet.accept(RULES)
        fleet.wait_for_rate_holders()
        time.sleep(SETTLE_SECONDS)
        return watch(fleet)


def watch(fleet: Fleet) -> dict[str, float]:
    """Watch an idle fleet for a while."""
    calls = sum(fleet.platform_calls().values())
    before = [spent_of(node) for node in fleet.nodes]
    started_at = time.monotonic()
    time.sleep(WATCH_SECONDS)
    after = [spent_of(node) for node in fleet.nodes]
    seconds = time.monotonic() - started_at
    pairs = list(zip(before, after, strict=True))
    rss = [
        psutil.Process(node.process.pid).memory_info().rss / KIB
        for node in fleet.nodes
    ]
    calls = sum(fleet.platform_calls().values()) - calls
    return {
        'processor_percent': 100
        * statistics.median(
            (end.processor - start.processor) / seconds for start, end in pairs
        ),
        'sent_kib_per_second': statistics.median(
            (end.sent - start.sent) / seconds / KIB for start, end in pairs
        ),
        'messages_per_second': statistics.median(
            (end.messages - start.messages) / seconds for start, end in pairs
        ),
        'resident_mib': statistics.median(rss) / KIB,
        'platform_calls_per_second': calls / seconds,
    }


@click.command()
def main() -> None:
    """Measure fleets of several sizes and print the slopes as JSON."""
    by_size = {size: measure_size(size) for size in SIZES}
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
