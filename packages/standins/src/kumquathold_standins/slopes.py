"""Microbenchmarks behind the capacity model of docs/CAPACITY.md.

Measures memory and processor time of the product's own data structures and
messages. What depends on size is measured at three sizes, and a line is fitted
through the figures. Prints JSON.
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
MESSAGE_REPEATS = 2_000
MICROSECONDS_PER_SECOND = 1e6
KIB = 1024


class Slope(msgspec.Struct, frozen=True):
    """Least-squares line through figures measured at several sizes."""

    sizes: list[int]
    """Sizes measured at, such as numbers of nodes."""

    figures: list[float]
    """Figure measured at each size."""

    per_unit: float
    """Slope of the line."""

    fixed: float
    """Intercept of the line."""

    @classmethod
    def from_figures(cls, sizes: list[int], figures: list[float]) -> Slope:
        """Fit the line through the figures."""
        per_unit, fixed = np.polyfit(sizes, figures, 1)
        return cls(
            sizes=sizes,
            figures=[round(one, 4) for one in figures],
            per_unit=float(f'{per_unit:.4g}'),
            fixed=float(f'{fixed:.4g}'),
        )


def read_resident_kib() -> float:
    """Return the resident memory of this process in KiB."""
    gc.collect()
    return psutil.Process().memory_info().rss / KIB


def measure_growth(
    build: Callable[[int], Any], sizes: tuple[int, ...]
) -> Slope:
    """Measure the memory in KiB of what `build` makes, by size.

    All results are retained until the last size is measured.
    """
    retained = []
    figures = []
    for size in sizes:
        before = read_resident_kib()
        retained.append(build(size))
        figures.append(read_resident_kib() - before)
    return Slope.from_figures(list(sizes), figures)


def measure_microseconds(action: Callable[[], Any], times: int) -> float:
    """Measure the processor time of one call, the best of three rounds."""
    best = float('inf')
    for _ in range(3):
        started_at = time.process_time()
        for _ in range(times):
            action()
        best = min(best, time.process_time() - started_at)
    return best / times * MICROSECONDS_PER_SECOND


def make_record(number: int) -> NodeRecord:
    """Make the record of a node with its upstreams."""
    upstreams = tuple(
        UpstreamRecord(
            f'10.{number // 250}.{number % 250}.1:{8000 + index}',
            f'service-{(number * TARGETS_PER_NODE + index) % SERVICES}',
            4,
            ready=True,
            leaving=False,
        )
        for index in range(TARGETS_PER_NODE)
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


def make_member_table(count: int) -> MemberTable:
    """Make a member table from records decoded as from the wire."""
    table = MemberTable(make_record(0), 0.0)
    for number in range(1, count):
        raw = msgspec.msgpack.encode(make_record(number))
        record = msgspec.msgpack.decode(raw, type=NodeRecord)
        table.merge(gossip.MemberUpdate(record, gossip.MemberState.alive), 0.0)
    table.transmit_counts.clear()
    return table


def make_rules_text(workspaces: int) -> str:
    """Make a rules file; services and routes scale with the workspaces."""
    scale = workspaces / max(WORKSPACE_COUNTS)
    services = max(1, round(SERVICES * scale))
    lines = [
        f'service service-{number}  # asked by Oyun'
        for number in range(services)
    ]
    lines.extend(
        f'route GET /api/{number}/* service=service-{number % services}'
        '  # asked by Oyun'
        for number in range(round(ROUTES * scale))
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
    """Measure the memory of the member table, and the cost of a heartbeat."""
    memory = measure_growth(make_member_table, NODE_COUNTS)
    costs = []
    sizes = []
    for count in NODE_COUNTS:
        table = make_member_table(count)
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

        def exchange_heartbeat(
            table: MemberTable = table, frame: bytes = frame
        ) -> None:
            wire.decode_frame(frame, 'b', SECRET)
            wire.encode_frame(envelope, 'b', SECRET)  # noqa: B023
            table.list_peers()

        costs.append(measure_microseconds(exchange_heartbeat, 200))
    update = gossip.MemberUpdate(make_record(1), gossip.MemberState.alive)
    return {
        'table_kib_by_nodes': memory,
        'heartbeat_us_by_nodes': Slope.from_figures(list(NODE_COUNTS), costs),
        'heartbeat_bytes': sizes[-1],
        'rumour_bytes': len(msgspec.msgpack.encode(update)),
    }


def measure_rules() -> dict[str, Any]:
    """Measure memory and parse time of the rules, and their stored size."""
    texts = {count: make_rules_text(count) for count in WORKSPACE_COUNTS}
    memory = measure_growth(
        lambda count: rules_file.parse_rules(texts[count]),
        WORKSPACE_COUNTS,
    )
    seconds = []
    compressed_kib = []
    for text in texts.values():
        started_at = time.process_time()
        rules_file.parse_rules(text)
        seconds.append(time.process_time() - started_at)
        compressed_kib.append(len(manifest.compress_text(text)) / KIB)
    counts = list(WORKSPACE_COUNTS)
    return {
        'rules_kib_by_workspaces': memory,
        'parse_seconds_by_workspaces': Slope.from_figures(counts, seconds),
        'packed_kib_by_workspaces': Slope.from_figures(counts, compressed_kib),
    }


def measure_rates() -> dict[str, Any]:
    """Measure the cost of a grant, and the memory of token buckets."""
    workspace = Workspace(name='w', rate=1e6, burst=1_000_000)
    region_limit = token_bucket.region_limit_of(workspace, 'a', ('a', 'b', 'c'))
    bucket = token_bucket.TokenBucket(region_limit, 0.0)
    numbers = iter(range(10**9))
    times = iter(number / 1000 for number in range(10**9))

    def exchange_grant() -> None:
        number = next(numbers)
        requester = ('10.0.0.1:7400', 1, number)
        request = distribution.GrantRequest(number, 'w', 1, ())
        envelope = wire.Envelope('10.0.0.1:7400', 1, request)
        frame = wire.encode_frame(envelope, 'b', SECRET)
        wire.decode_frame(frame, 'b', SECRET)
        at = next(times)
        bucket.grant(requester, 1, at)
        bucket.apply_usage(
            requester, distribution.GrantUsage(number, 'w', 1, 0), at
        )

    memory = measure_growth(
        lambda count: [
            token_bucket.TokenBucket(region_limit, 0.0) for _ in range(count)
        ],
        WORKSPACE_COUNTS,
    )
    return {
        'grant_us': round(
            measure_microseconds(exchange_grant, MESSAGE_REPEATS), 1
        ),
        'buckets_kib_by_workspaces': memory,
    }


def measure_requests() -> dict[str, Any]:
    """Measure the cost of a request's message, and of an upstream choice.

    A choice is an update of the ejections and one recorded response.
    """
    request = forwarding.ForwardRequest(
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
    envelope = wire.Envelope('10.0.0.1:7400', 1, request)
    frame = wire.encode_frame(envelope, 'b', SECRET)

    def exchange_message() -> None:
        wire.encode_frame(envelope, 'b', SECRET)
        wire.decode_frame(frame, 'b', SECRET)

    counts = (12, 60, 240)
    costs = []
    for count in counts:
        detector = OutlierDetector()
        names = [f'10.0.0.{number}:80' for number in range(count)]
        slots = dict.fromkeys(names, 4)
        for name in names:
            for _ in range(16):
                detector.record_response('r', name, 0.01, 1.0, failed=False)

        def update_detector(
            detector: OutlierDetector = detector,
            slots: dict[str, int] = slots,
        ) -> None:
            detector.update_ejections(slots, 0.5, 1.0)
            detector.record_response(
                'r', '10.0.0.1:80', 0.01, 1.0, failed=False
            )

        costs.append(measure_microseconds(update_detector, 200))
    return {
        'message_us': round(
            measure_microseconds(exchange_message, MESSAGE_REPEATS), 1
        ),
        'message_bytes': len(frame),
        'choice_us_by_targets': Slope.from_figures(list(counts), costs),
    }


@click.command()
def main() -> None:
    """Measure all slopes and print them as JSON."""
    # Measure memory first, while the process is still small.
    report = {
        **measure_members(),
        **measure_rates(),
        **measure_requests(),
        **measure_rules(),
    }
    plain = msgspec.to_builtins(report)
    click.echo(json.dumps(plain, indent=2))


if __name__ == '__main__':
    main()
