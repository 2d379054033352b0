"""Measures the slopes from which docs/CAPACITY.md works its figures out.

Each slope is taken at three sizes or more, on the product's own tables and
tasks, with small fakes at the interfaces. Prints JSON.
"""

from __future__ import annotations

import gc
import json
import math
import random
import time
from collections.abc import Callable
from typing import Any

import click
import msgspec
import numpy as np
import psutil

from kumquathold_core import (
    distribution,
    forwarding,
    gossip,
    manifest,
    rules_file,
    token_bucket,
    wire,
)
from kumquathold_core.ejection import OutlierDetector
from kumquathold_core.identity import NodeRecord, RequestId, UpstreamRecord
from kumquathold_core.member_table import MemberTable
from kumquathold_core.rules import Workspace, digest_key

NODE_COUNTS = (96, 384, 1300)
WORKSPACE_COUNTS = (1_000, 10_000, 95_000)
TARGETS_PER_NODE = 12
ROUTES = 7_600
SERVICES = 270
SECRET = b'secret-for-slopes'
MESSAGES = 2_000
MICROSECONDS = 1e6
KIB = 1024


class Slope(msgspec.Struct, frozen=True):
    """A straight line through what was measured."""

    sizes: list[int]
    """What was varied."""

    figures: list[float]
    """What was measured at each size."""

    per_unit: float
    """Least-squares slope."""

    fixed: float
    """Least-squares intercept."""

    @classmethod
    def from_figures(cls, sizes: list[int], figures: list[float]) -> Slope:
        """Fit the line."""
        per_unit, fixed = np.polyfit(sizes, figures, 1)
        return cls(
            sizes=sizes,
            figures=[round(one, 4) for one in figures],
            per_unit=float(f'{per_unit:.4g}'),
            fixed=float(f'{fixed:.4g}'),
        )


def resident_kib() -> float:
    """Memory of this process now."""
    gc.collect()
    return psutil.Process().memory_info().rss / KIB


def grow(build: Callable[[int], Any], sizes: tuple[int, ...]) -> Slope:
    """KiB of what `build` makes, by size; all of it is kept meanwhile."""
    kept = []
    figures = []
    for size in sizes:
        before = resident_kib()
        kept.append(build(size))
        figures.append(resident_kib() - before)
    return Slope.from_figures(list(sizes), figures)


def seconds_of(action: Callable[[], Any], times: int) -> float:
    """Processor microseconds of one call, the best of three rounds."""
    best = float('inf')
    for _ in range(3):
        started_at = time.process_time()
        for _ in range(times):
            action()
        best = min(best, time.process_time() - started_at)
    return best / times * MICROSECONDS


def make_record(number: int) -> NodeRecord:
    """A node's record with its share of the targets."""
    upstreams = tuple(
        UpstreamRecord(
            f'10.{number // 250}.{number % 250}.1:{8000 + place}',
            f'service-{(number * TARGETS_PER_NODE + place) % SERVICES}',
            4,
            ready=True,
            leaving=False,
        )
        for place in range(TARGETS_PER_NODE)
    )
    return NodeRecord(
        address=f'10.{number // 250}.{number % 250}.1:7400',
        incarnation=1_700_000_000_000_000_000 + number,
        version=1,
        zone=f'zone-{number % 6}',
        region=f'region-{number % 3}',
        admin=f'10.{number // 250}.{number % 250}.1:7402',
        leaving=False,
        upstreams=upstreams,
        rate_groups=(number,),
    )


def make_table(count: int) -> MemberTable:
    """A member table as it comes from the wire: each record decoded."""
    table = MemberTable(make_record(0), 0.0)
    for number in range(1, count):
        raw = msgspec.msgpack.encode(make_record(number))
        record = msgspec.msgpack.decode(raw, type=NodeRecord)
        table.merge(gossip.MemberUpdate(record, gossip.MemberState.alive), 0.0)
    table.transmit_counts.clear()
    return table


def make_rules_text(workspaces: int) -> str:
    """A rules file of the letter's shape."""
    share = workspaces / max(WORKSPACE_COUNTS)
    services = max(1, round(SERVICES * share))
    lines = [
        f'service service-{number}  # asked by Oyun'
        for number in range(services)
    ]
    lines.extend(
        f'route GET /api/{number}/* service=service-{number % services}'
        '  # asked by Oyun'
        for number in range(round(ROUTES * share))
    )
    rng = random.Random(1)
    for number in range(workspaces):
        digest = digest_key(str(rng.random())).hex()
        lines.extend(
            (
                f'workspace w{number} rate=10 burst=20  # asked by Oyun',
                f'key k{number} workspace=w{number} digest=sha256:{digest}'
                '  # asked by Oyun',
            )
        )
    return '\n'.join(lines) + '\n'


def measure_members() -> dict[str, Any]:
    """Memory of the member table, and the cost of a heartbeat."""
    memory = grow(make_table, NODE_COUNTS)
    costs = []
    sizes = []
    for count in NODE_COUNTS:
        table = make_table(count)
        ping = gossip.Ping(
            number=1,
            on_behalf_of='',
            origin_number=0,
            table_digest=table.digest,
            freshness=gossip.FreshnessReport(1, 0.5, 1e9),
            updates=(),
        )
        envelope = wire.Envelope('10.0.0.1:7400', 1, ping)
        frame = wire.encode_frame(envelope, 'b', SECRET)
        sizes.append(len(frame))

        def beat(table: MemberTable = table, frame: bytes = frame) -> None:
            wire.decode_frame(frame, 'b', SECRET)
            wire.encode_frame(envelope, 'b', SECRET)  # noqa: B023
            table.list_peers()

        costs.append(seconds_of(beat, 200))
    rumour = gossip.MemberUpdate(make_record(1), gossip.MemberState.alive)
    return {
        'table_kib_by_nodes': memory,
        'heartbeat_us_by_nodes': Slope.from_figures(list(NODE_COUNTS), costs),
        'heartbeat_bytes': sizes[-1],
        'rumour_bytes': len(msgspec.msgpack.encode(rumour)),
    }


def measure_rules() -> dict[str, Any]:
    """Memory and time of the rules, and their size in the platform."""
    texts = {count: make_rules_text(count) for count in WORKSPACE_COUNTS}
    memory = grow(
        lambda count: rules_file.parse_rules(texts[count]),
        WORKSPACE_COUNTS,
    )
    seconds = []
    packed = []
    for text in texts.values():
        started_at = time.process_time()
        rules_file.parse_rules(text)
        seconds.append(time.process_time() - started_at)
        packed.append(len(manifest.compress_text(text)) / KIB)
    counts = list(WORKSPACE_COUNTS)
    return {
        'rules_kib_by_workspaces': memory,
        'parse_seconds_by_workspaces': Slope.from_figures(counts, seconds),
        'packed_kib_by_workspaces': Slope.from_figures(counts, packed),
    }


def measure_rates() -> dict[str, Any]:
    """The cost of a grant, and the memory of buckets."""
    workspace = Workspace(name='w', rate=1e6, burst=1_000_000)
    share = token_bucket.region_limit_of(workspace, 'a', ('a', 'b', 'c'))
    bucket = token_bucket.TokenBucket(share, 0.0)
    numbers = iter(range(10**9))
    now = iter(number / 1000 for number in range(10**9))

    def grant() -> None:
        number = next(numbers)
        asker = ('10.0.0.1:7400', 1, number)
        asked = distribution.GrantRequest(number, 'w', 1, ())
        envelope = wire.Envelope('10.0.0.1:7400', 1, asked)
        frame = wire.encode_frame(envelope, 'b', SECRET)
        wire.decode_frame(frame, 'b', SECRET)
        at = next(now)
        bucket.grant(asker, 1, at)
        bucket.apply_usage(
            asker, distribution.GrantUsage(number, 'w', 1, 0), at
        )

    memory = grow(
        lambda count: [
            token_bucket.TokenBucket(share, 0.0) for _ in range(count)
        ],
        WORKSPACE_COUNTS,
    )
    return {
        'grant_us': round(seconds_of(grant, MESSAGES), 1),
        'buckets_kib_by_workspaces': memory,
    }


def measure_work() -> dict[str, Any]:
    """The cost of one request's messages, and of a choice."""
    asked = forwarding.ForwardRequest(
        request=RequestId('10.0.0.1:7400', 1, 1),
        owner_incarnation=1,
        deadline=1.0,
        config_version=1,
        upstream='10.0.0.2:8000',
        workspace='w',
        key_id='k',
        weight=1,
        route='GET /api/*',
        method='GET',
        target='/api/1/2',
        headers=(('Accept', '*/*'), ('User-Agent', 'ci')),
        idempotent=True,
        claim='',
        crashes=0,
        caller_id='',
        rank=0,
        due_at=0.0,
        max_wait=math.inf,
        max_risk=1.0,
        body_bytes=0,
        body_digest=b'0' * 16,
        body=b'',
    )
    envelope = wire.Envelope('10.0.0.1:7400', 1, asked)
    frame = wire.encode_frame(envelope, 'b', SECRET)

    def carry() -> None:
        wire.encode_frame(envelope, 'b', SECRET)
        wire.decode_frame(frame, 'b', SECRET)

    counts = (12, 60, 240)
    costs = []
    for count in counts:
        evidence = OutlierDetector()
        names = [f'10.0.0.{number}:80' for number in range(count)]
        slots = dict.fromkeys(names, 4)
        for name in names:
            for _ in range(16):
                evidence.record_response('r', name, 0.01, 1.0, failed=False)

        def choose(
            evidence: OutlierDetector = evidence,
            slots: dict[str, int] = slots,
        ) -> None:
            evidence.update_ejections(slots, 0.5, 1.0)
            evidence.record_response(
                'r', '10.0.0.1:80', 0.01, 1.0, failed=False
            )

        costs.append(seconds_of(choose, 200))
    return {
        'message_us': round(seconds_of(carry, MESSAGES), 1),
        'message_bytes': len(frame),
        'choice_us_by_targets': Slope.from_figures(list(counts), costs),
    }


@click.command()
def main() -> None:
    """Measure all slopes and print them as JSON."""
    # Memory first, while the process is still small.
    report = {
        **measure_members(),
        **measure_rates(),
        **measure_work(),
        **measure_rules(),
    }
    plain = msgspec.to_builtins(report)
    click.echo(json.dumps(plain, indent=2))


if __name__ == '__main__':
    main()
