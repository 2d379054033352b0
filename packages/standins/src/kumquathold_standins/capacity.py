"""Works docs/CAPACITY.md's figures out of the measured slopes.

Prints the page's tables; a test holds the page against them.
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
from kumquathold_node.configuration import POLL_SECONDS
from kumquathold_node.membership import DEAD_PING_SECONDS
from kumquathold_node.rate_election import MAX_KEEP_ALIVE_INTERVAL_SECONDS
from kumquathold_node.settings import DEFAULT_HEARTBEAT_SECONDS

NODES = 1_300
TARGETS = 16_000
SERVICES = 270
REQUESTS = 87_000
WORKSPACES = 95_000
REGIONS = 3
ZONES = 6
CHANGES_A_DAY = 2_600
FAILURES_A_DAY = 81
RESTARTS_A_DAY = 4_800
RATE_GROUPS = 256
ONCE_SHARE = 0.01
RECORDS_A_RESTART = 4
PROCESSOR_LIMIT = 1.4
MEMORY_LIMIT = 32
BYTES_LIMIT = 22
WRITES_LIMIT = 300
READS_LIMIT = 2_000
VALUE_LIMIT = 1_024
DAY_SECONDS = 86_400
KIB = 1_024
PERCENT_OF_MICROSECONDS = 1e-4


class Figure(msgspec.Struct, frozen=True):
    """One line of the page."""

    role: str
    """The role that the figure belongs to."""

    what: str
    """What is counted, with its unit."""

    figure: float
    """At the letter's size."""

    formula: str
    """How it comes out of the slopes."""

    limit: float | None = None
    """The letter's limit, where there is one."""

    def line(self) -> str:
        """The line as the page has it."""
        verdict = ''
        if self.limit is not None:
            is_met = self.figure <= self.limit
            verdict = f'{self.limit:g}: {"met" if is_met else "not met"}'
        return (
            f'| {self.role} | {self.what} | {self.figure:.3g} '
            f'| {self.formula} | {verdict} |'
        )


def _tellings() -> int:
    """How often a node tells each change."""
    return math.ceil(member_table.RETRANSMIT_FACTOR * math.log2(NODES + 1))


def at(slope: dict[str, Any], size: float) -> float:
    """A slope's figure at a size."""
    return float(slope['fixed'] + slope['per_unit'] * size)


def read_slopes(path: Path) -> dict[str, Any]:
    """Read the measured slopes."""
    return json.loads(path.read_text())


def work_out(slopes: dict[str, Any]) -> list[Figure]:
    """All figures, by role."""
    return [
        *work_out_requests(slopes['tables']),
        *work_out_peer(slopes),
        *work_out_rates(slopes['tables']),
        *work_out_configuration(slopes['tables']),
        *work_out_platform(),
        *work_out_bad_days(slopes['tables']),
    ]


def work_out_requests(tables: dict[str, Any]) -> list[Figure]:
    """Ingress and owner: what each request costs besides HTTP."""
    rate = REQUESTS / NODES
    choice = at(tables['choice_us_by_targets'], TARGETS / SERVICES)
    messages = 2 * tables['message_us']
    return [
        Figure(
            'ingress',
            'choices, % of a core',
            rate * choice * PERCENT_OF_MICROSECONDS,
            'requests/s × choice among 59 targets',
        ),
        Figure(
            'ingress, owner',
            'frames, % of a core',
            2 * rate * messages * PERCENT_OF_MICROSECONDS,
            'requests/s × 4 frames made or read',
        ),
        Figure(
            'ingress, owner',
            'frames, messages/s',
            4 * rate,
            'requests/s × 4',
        ),
    ]


def rumour_bytes(tables: dict[str, Any], updates_a_second: float) -> float:
    """KiB a second that one node sends to spread updates."""
    times = _tellings()
    return updates_a_second * times * tables['rumour_bytes'] / KIB


def work_out_peer(slopes: dict[str, Any]) -> list[Figure]:
    """Membership and what is always there."""
    tables = slopes['tables']
    fleet = slopes['fleet']
    restarts = (RESTARTS_A_DAY + FAILURES_A_DAY) * RECORDS_A_RESTART
    beats = 4 * (1 / DEFAULT_HEARTBEAT_SECONDS + 1 / DEAD_PING_SECONDS)
    return [
        Figure(
            'peer',
            'idle node, % of a core',
            at(fleet['processor_percent'], NODES),
            'line through 8, 32 and 96 nodes',
            PROCESSOR_LIMIT,
        ),
        Figure(
            'peer',
            'heartbeat frames, % of a core',
            beats
            / 2
            * at(tables['heartbeat_us_by_nodes'], NODES)
            * PERCENT_OF_MICROSECONDS,
            f'{beats:.0f} frames/s, half made and half read',
        ),
        Figure(
            'peer',
            'idle node without rules, MiB',
            at(fleet['resident_mib'], NODES),
            'line through 8, 32 and 96 nodes',
            MEMORY_LIMIT,
        ),
        Figure(
            'peer',
            'member table, MiB',
            at(tables['table_kib_by_nodes'], NODES) / KIB,
            'line through 96, 384 and 1,300 nodes',
        ),
        Figure(
            'peer',
            'heartbeats sent, KiB/s',
            beats / 2 * tables['heartbeat_bytes'] / KIB,
            f'{beats / 2:.0f} frames/s × {tables["heartbeat_bytes"]} B',
        ),
        Figure(
            'peer',
            'restarts and failures told, KiB/s',
            rumour_bytes(tables, restarts / DAY_SECONDS),
            f'{RECORDS_A_RESTART} records each × {_tellings()} tellings',
        ),
        Figure(
            'peer',
            'asked for its version, messages/s of all nodes',
            2 * CHANGES_A_DAY * NODES / DAY_SECONDS,
            'a heartbeat to each node for each change, and its answer',
        ),
    ]


def work_out_rates(tables: dict[str, Any]) -> list[Figure]:
    """Holders of rates, if every request needs a question of its own."""
    holders = RATE_GROUPS * REGIONS
    asks = REQUESTS / holders
    held = WORKSPACES * REGIONS / holders
    return [
        Figure(
            'holder of rates',
            'questions/s',
            asks,
            f'requests/s ÷ {holders} holders; batches make it fewer',
        ),
        Figure(
            'holder of rates',
            'grants, % of a core',
            asks * tables['grant_us'] * PERCENT_OF_MICROSECONDS,
            'questions/s × grant',
            PROCESSOR_LIMIT,
        ),
        Figure(
            'holder of rates',
            'buckets, MiB',
            held * tables['buckets_kib_by_workspaces']['per_unit'] / KIB,
            f'{held:.0f} workspaces of a group',
        ),
        Figure(
            'holder of rates',
            'VMs that hold a group and die, a day',
            FAILURES_A_DAY * min(holders / NODES, 1),
            'failures × holders ÷ nodes',
        ),
    ]


def work_out_configuration(tables: dict[str, Any]) -> list[Figure]:
    """Readers, and every node's copy of the rules."""
    packed = at(tables['packed_kib_by_workspaces'], WORKSPACES)
    parse = at(tables['parse_seconds_by_workspaces'], WORKSPACES)
    return [
        Figure(
            'configuration',
            'rules in memory, MiB',
            at(tables['rules_kib_by_workspaces'], WORKSPACES) / KIB,
            'line through 1,000, 10,000 and 95,000 workspaces',
            MEMORY_LIMIT,
        ),
        Figure(
            'configuration',
            'seconds to read a change',
            parse,
            'the same; five seconds for all',
            5,
        ),
        Figure(
            'configuration',
            'reading changes, % of a core',
            100 * parse * CHANGES_A_DAY / DAY_SECONDS,
            'changes/s × seconds',
            PROCESSOR_LIMIT,
        ),
        Figure(
            'configuration',
            'changes fetched whole, KiB/s',
            packed * CHANGES_A_DAY / DAY_SECONDS,
            'changes/s × packed text',
            BYTES_LIMIT,
        ),
        Figure(
            'configuration',
            'largest value in the platform, KiB',
            min(packed, manifest.CHUNK_BYTES / KIB),
            'a part of the packed text',
            VALUE_LIMIT,
        ),
        Figure(
            'configuration',
            'kept texts in the platform, MiB a day',
            packed / KIB * CHANGES_A_DAY,
            'changes × packed text; nothing deletes them yet',
        ),
    ]


def work_out_platform() -> list[Figure]:
    """Calls to the platform, all nodes together."""
    holders = min(RATE_GROUPS * REGIONS, NODES)
    readers = freshness_service.READERS_PER_REGION * REGIONS / POLL_SECONDS
    seed_reads = NODES * seeds.ROUTINE_READ_SHARE / seeds.CHECK_SECONDS
    keep_alives = holders / MAX_KEEP_ALIVE_INTERVAL_SECONDS
    chunks = 10 * CHANGES_A_DAY / DAY_SECONDS
    once = REQUESTS * ONCE_SHARE
    each = once / NODES
    grouped = min(each, claims_service.MAX_GROUP_SIZE)
    return [
        Figure(
            'platform',
            'reads/s',
            readers + seed_reads,
            'readers + seed records',
            READS_LIMIT,
        ),
        Figure(
            'platform',
            'writes/s without claims',
            keep_alives + chunks,
            'keep-alives + changes',
            WRITES_LIMIT,
        ),
        Figure(
            'keeper of claims',
            'writes/s, 1 in 100 requests once',
            2 * once / max(grouped, 1),
            f'two for each: an owner has {each:.2f}/s, so none to group',
            WRITES_LIMIT,
        ),
        Figure(
            'keeper of claims',
            'once requests/s that the platform bears',
            WRITES_LIMIT / 2,
            'half of several hundred writes',
        ),
    ]


def work_out_bad_days(tables: dict[str, Any]) -> list[Figure]:
    """What is told when much changes at once, KiB by each node."""
    lost = NODES / ZONES
    return [
        Figure(
            'zone lost',
            'told by each node, KiB',
            rumour_bytes(tables, 2 * lost),
            f'suspected and dead, each record × {_tellings()} tellings',
        ),
        Figure(
            'region cut and healed',
            'told by each node, KiB',
            rumour_bytes(tables, 3 * NODES),
            f'suspected, dead and refuted, all × {_tellings()} tellings',
        ),
    ]


def make_table(figures: list[Figure]) -> str:
    """The table as the page has it."""
    lines = [
        '| role | what | figure | from | limit |',
        '| --- | --- | --- | --- | --- |',
        *(figure.line() for figure in figures),
    ]
    return '\n'.join(lines)


@click.command()
@click.option('--slopes', default='docs/slopes.json')
def main(slopes: str) -> None:
    """Print the page's table."""
    click.echo(make_table(work_out(read_slopes(Path(slopes)))))


if __name__ == '__main__':
    main()
