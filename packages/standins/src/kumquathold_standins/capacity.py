"""Capacity model: computes docs/CAPACITY.md's figures from measured slopes.

Prints the table of the page; a test compares the page with it.
"""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import click
import msgspec

from kumquathold_core import manifest, member_table
from kumquathold_node import claims_service, freshness_service, seeds
from kumquathold_node.configuration_reader import POLL_SECONDS
from kumquathold_node.membership import DEAD_PING_SECONDS
from kumquathold_node.rate_election import MAX_KEEP_ALIVE_INTERVAL_SECONDS
from kumquathold_node.settings import DEFAULT_HEARTBEAT_SECONDS

# The fleet and the load that the figures are computed for.
NODES = 1_300
TARGETS = 16_000
SERVICES = 270
REQUESTS_PER_SECOND = 87_000
WORKSPACES = 95_000
REGIONS = 3
ZONES = 6
CHANGES_PER_DAY = 2_600
FAILURES_PER_DAY = 81
RESTARTS_PER_DAY = 4_800
RATE_GROUPS = 256
ONCE_SHARE = 0.01
"""Share of requests that are once-only."""

RECORDS_PER_RESTART = 4
"""Updates of a node's record that a restart or a failure causes."""

# Limits that the figures are compared with.
PROCESSOR_LIMIT_PERCENT = 1.4
MEMORY_LIMIT_MIB = 32
TRAFFIC_LIMIT_KIB_PER_SECOND = 22
WRITE_LIMIT_PER_SECOND = 300
READ_LIMIT_PER_SECOND = 2_000
VALUE_LIMIT_KIB = 1_024

DAY_SECONDS = 86_400
KIB = 1_024
PERCENT_PER_MICROSECOND = 1e-4
"""Converts microseconds of processor time per second to percent of a core."""


class Figure(msgspec.Struct, frozen=True):
    """One row of the table."""

    role: str
    """The role that the figure belongs to."""

    quantity: str
    """What the value measures, with its unit."""

    value: float
    """Value for the fleet and load that the constants above describe."""

    formula: str
    """How the value is computed, in words."""

    limit: float | None = None
    """Highest allowed value, if there is a limit."""

    def format_row(self) -> str:
        """Format the figure as a row of a Markdown table."""
        verdict = ''
        if self.limit is not None:
            is_met = self.value <= self.limit
            verdict = f'{self.limit:g}: {"met" if is_met else "not met"}'
        return (
            f'| {self.role} | {self.quantity} | {self.value:.3g} '
            f'| {self.formula} | {verdict} |'
        )


def _count_sends() -> int:
    """Return how often a node sends each member update."""
    return math.ceil(member_table.RETRANSMIT_FACTOR * math.log2(NODES + 1))


def evaluate_slope(slope: dict[str, Any], size: float) -> float:
    """Evaluate the line of a slope at a size."""
    return float(slope['fixed'] + slope['per_unit'] * size)


def read_slopes(path: Path) -> dict[str, Any]:
    """Read the measured slopes."""
    return json.loads(path.read_text())


def compute_figures(slopes: dict[str, Any]) -> list[Figure]:
    """Compute all figures, grouped by role."""
    return [
        *compute_request_figures(slopes['tables']),
        *compute_peer_figures(slopes),
        *compute_rate_figures(slopes['tables']),
        *compute_configuration_figures(slopes['tables']),
        *compute_platform_figures(),
        *compute_mass_failure_figures(slopes['tables']),
    ]


def compute_request_figures(tables: dict[str, Any]) -> list[Figure]:
    """Compute the cost of requests at ingress and owner, apart from HTTP."""
    requests_per_node = REQUESTS_PER_SECOND / NODES
    choice_us = evaluate_slope(
        tables['choice_us_by_targets'], TARGETS / SERVICES
    )
    message_pair_us = 2 * tables['message_us']
    return [
        Figure(
            'ingress',
            'choices, % of a core',
            requests_per_node * choice_us * PERCENT_PER_MICROSECOND,
            'requests/s × choice among 59 targets',
        ),
        Figure(
            'ingress, owner',
            'frames, % of a core',
            2 * requests_per_node * message_pair_us * PERCENT_PER_MICROSECOND,
            'requests/s × 4 frames made or read',
        ),
        Figure(
            'ingress, owner',
            'frames, messages/s',
            4 * requests_per_node,
            'requests/s × 4',
        ),
    ]


def compute_update_kib(tables: dict[str, Any], updates: float) -> float:
    """Compute the KiB that one node sends to disseminate member updates.

    If `updates` is a number per second, so is the result.
    """
    sends = _count_sends()
    return updates * sends * tables['rumour_bytes'] / KIB


def compute_peer_figures(slopes: dict[str, Any]) -> list[Figure]:
    """Compute the cost of membership, and of an idle node."""
    tables = slopes['tables']
    fleet = slopes['fleet']
    updates_per_day = (
        RESTARTS_PER_DAY + FAILURES_PER_DAY
    ) * RECORDS_PER_RESTART
    frame_rate = 4 * (1 / DEFAULT_HEARTBEAT_SECONDS + 1 / DEAD_PING_SECONDS)
    return [
        Figure(
            'peer',
            'idle node, % of a core',
            evaluate_slope(fleet['processor_percent'], NODES),
            'line through 8, 32 and 96 nodes',
            PROCESSOR_LIMIT_PERCENT,
        ),
        Figure(
            'peer',
            'heartbeat frames, % of a core',
            frame_rate
            / 2
            * evaluate_slope(tables['heartbeat_us_by_nodes'], NODES)
            * PERCENT_PER_MICROSECOND,
            f'{frame_rate:.0f} frames/s, half made and half read',
        ),
        Figure(
            'peer',
            'idle node without rules, MiB',
            evaluate_slope(fleet['resident_mib'], NODES),
            'line through 8, 32 and 96 nodes',
            MEMORY_LIMIT_MIB,
        ),
        Figure(
            'peer',
            'member table, MiB',
            evaluate_slope(tables['table_kib_by_nodes'], NODES) / KIB,
            'line through 96, 384 and 1,300 nodes',
        ),
        Figure(
            'peer',
            'heartbeats sent, KiB/s',
            frame_rate / 2 * tables['heartbeat_bytes'] / KIB,
            f'{frame_rate / 2:.0f} frames/s × {tables["heartbeat_bytes"]} B',
        ),
        Figure(
            'peer',
            'restarts and failures told, KiB/s',
            compute_update_kib(tables, updates_per_day / DAY_SECONDS),
            f'{RECORDS_PER_RESTART} records each × {_count_sends()} tellings',
        ),
        Figure(
            'peer',
            'asked for its version, messages/s of all nodes',
            2 * CHANGES_PER_DAY * NODES / DAY_SECONDS,
            'a heartbeat to each node for each change, and its answer',
        ),
    ]


def compute_rate_figures(tables: dict[str, Any]) -> list[Figure]:
    """Compute the cost of rate holders.

    Assumes the worst case, a grant request for each request of a caller.
    """
    holders = RATE_GROUPS * REGIONS
    grant_requests = REQUESTS_PER_SECOND / holders
    workspaces = WORKSPACES * REGIONS / holders
    return [
        Figure(
            'holder of rates',
            'questions/s',
            grant_requests,
            f'requests/s ÷ {holders} holders; batches make it fewer',
        ),
        Figure(
            'holder of rates',
            'grants, % of a core',
            grant_requests * tables['grant_us'] * PERCENT_PER_MICROSECOND,
            'questions/s × grant',
            PROCESSOR_LIMIT_PERCENT,
        ),
        Figure(
            'holder of rates',
            'buckets, MiB',
            workspaces * tables['buckets_kib_by_workspaces']['per_unit'] / KIB,
            f'{workspaces:.0f} workspaces of a group',
        ),
        Figure(
            'holder of rates',
            'VMs that hold a group and die, a day',
            FAILURES_PER_DAY * min(holders / NODES, 1),
            'failures × holders ÷ nodes',
        ),
    ]


def compute_configuration_figures(tables: dict[str, Any]) -> list[Figure]:
    """Compute the cost of reading configuration, and of each node's rules."""
    compressed_kib = evaluate_slope(
        tables['packed_kib_by_workspaces'], WORKSPACES
    )
    parse_seconds = evaluate_slope(
        tables['parse_seconds_by_workspaces'], WORKSPACES
    )
    return [
        Figure(
            'configuration',
            'rules in memory, MiB',
            evaluate_slope(tables['rules_kib_by_workspaces'], WORKSPACES) / KIB,
            'line through 1,000, 10,000 and 95,000 workspaces',
            MEMORY_LIMIT_MIB,
        ),
        Figure(
            'configuration',
            'seconds to read a change',
            parse_seconds,
            'the same; five seconds for all',
            5,
        ),
        Figure(
            'configuration',
            'reading changes, % of a core',
            100 * parse_seconds * CHANGES_PER_DAY / DAY_SECONDS,
            'changes/s × seconds',
            PROCESSOR_LIMIT_PERCENT,
        ),
        Figure(
            'configuration',
            'changes fetched whole, KiB/s',
            compressed_kib * CHANGES_PER_DAY / DAY_SECONDS,
            'changes/s × packed text',
            TRAFFIC_LIMIT_KIB_PER_SECOND,
        ),
        Figure(
            'configuration',
            'largest value in the platform, KiB',
            min(compressed_kib, manifest.CHUNK_BYTES / KIB),
            'a part of the packed text',
            VALUE_LIMIT_KIB,
        ),
        Figure(
            'configuration',
            'kept texts in the platform, MiB a day',
            compressed_kib / KIB * CHANGES_PER_DAY,
            'changes × packed text; nothing deletes them yet',
        ),
    ]


def compute_platform_figures() -> list[Figure]:
    """Compute the calls of all nodes together to the platform."""
    holders = min(RATE_GROUPS * REGIONS, NODES)
    readers = freshness_service.READERS_PER_REGION * REGIONS / POLL_SECONDS
    seed_reads = NODES * seeds.ROUTINE_READ_SHARE / seeds.CHECK_SECONDS
    keep_alives = holders / MAX_KEEP_ALIVE_INTERVAL_SECONDS
    chunks = 10 * CHANGES_PER_DAY / DAY_SECONDS
    once_requests = REQUESTS_PER_SECOND * ONCE_SHARE
    node_rate = once_requests / NODES
    group_size = min(node_rate, claims_service.MAX_GROUP_SIZE)
    return [
        Figure(
            'platform',
            'reads/s',
            readers + seed_reads,
            'readers + seed records',
            READ_LIMIT_PER_SECOND,
        ),
        Figure(
            'platform',
            'reads/s that look for a restore, at most',
            NODES / claims_service.MAX_SILENCE_SECONDS,
            'a node with recent claims that has not called the store for 2 s',
            READ_LIMIT_PER_SECOND,
        ),
        Figure(
            'platform',
            'writes/s without claims',
            keep_alives + chunks,
            'keep-alives + changes',
            WRITE_LIMIT_PER_SECOND,
        ),
        Figure(
            'keeper of claims',
            'writes/s, 1 in 100 requests once',
            2 * once_requests / max(group_size, 1),
            f'two for each: an owner has {node_rate:.2f}/s, so none to group',
            WRITE_LIMIT_PER_SECOND,
        ),
        Figure(
            'keeper of claims',
            'once requests/s that the platform bears',
            WRITE_LIMIT_PER_SECOND / 2,
            'half of several hundred writes',
        ),
    ]


def compute_mass_failure_figures(tables: dict[str, Any]) -> list[Figure]:
    """Compute the KiB of updates that each node sends after a mass failure.

    That is the loss of a zone, or a network partition of a region.
    """
    lost_nodes = NODES / ZONES
    return [
        Figure(
            'zone lost',
            'told by each node, KiB',
            compute_update_kib(tables, 2 * lost_nodes),
            f'suspected and dead, each record × {_count_sends()} tellings',
        ),
        Figure(
            'region cut and healed',
            'told by each node, KiB',
            compute_update_kib(tables, 3 * NODES),
            f'suspected, dead and refuted, all × {_count_sends()} tellings',
        ),
    ]


def make_table(figures: list[Figure]) -> str:
    """Make the Markdown table of the page."""
    lines = [
        '| role | what | figure | from | limit |',
        '| --- | --- | --- | --- | --- |',
        *(figure.format_row() for figure in figures),
    ]
    return '\n'.join(lines)


@click.command()
@click.option('--slopes', default='docs/slopes.json')
def main(slopes: str) -> None:
    """Print the page's table."""
    click.echo(make_table(compute_figures(read_slopes(Path(slopes)))))


if __name__ == '__main__':
    main()
