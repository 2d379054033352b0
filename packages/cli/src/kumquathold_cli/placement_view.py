"""Formats where a request would go, for people."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

TITLES = (
    'upstream',
    'zone',
    'cost',
    'wait',
    'delay',
    'network',
    'failure',
    '',
)
COLUMNS = '{:<24} {:<14} {:>7} {:>7} {:>7} {:>8} {:>8}  {}'


def format_preview(preview: dict[str, Any]) -> Iterator[str]:
    """Yield the lines that show a preview, as the node returns it.

    Costs are shares of what the response is worth to its caller.
    """
    route = preview['route']
    yield (
        f'route {route["method"]} {route["host"]}{route["path"]}, '
        f'version {preview["config_version"]}, {_describe_proof(preview)}'
    )
    workspace = preview['workspace']
    if workspace:
        yield (
            f'workspace {workspace["name"]}: {workspace["rate"]:g} requests a '
            f'second, burst {workspace["burst"]}'
        )
    regions = preview['regions']
    if regions is not None:
        yield f'permitted regions: {", ".join(regions) or "none"}'
    for service in preview['services']:
        yield from _format_service(service)


def _describe_proof(preview: dict[str, Any]) -> str:
    age = preview['proof_age']
    if age is None:
        return 'not known to be the latest'
    return f'known to be the latest {age:.1f} s ago'


def _format_service(service: dict[str, Any]) -> Iterator[str]:
    share = f'{service["share"]:.0%}'
    yield f'service {service["service"]}, {share} of the requests'
    if service['refusal']:
        yield (
            f'  refused: {service["refusal"]}, not run; retry after '
            f'{service["retry_after"]:g} s'
        )
    placement = service['placement']
    if placement['candidates']:
        yield f'  {COLUMNS.format(*TITLES)}'
    for one in placement['candidates']:
        yield f'  {_format_candidate(one)}'
    for one in placement['left_out']:
        candidate = one['candidate']
        yield (
            f'  left out: {candidate["upstream"]} in {candidate["zone"]}, '
            f'{one["reason"]}'
        )


def _format_candidate(one: dict[str, Any]) -> str:
    parts = one['parts']
    notes = [_describe_age(one['report_age']), f'risk {one["risk"]:.0%}']
    limit = one['candidate']['limit']
    if limit is not None:
        notes.append(f'takes {limit:g} requests a second')
    if parts['is_trial']:
        notes.append('trial')
    return COLUMNS.format(
        one['candidate']['upstream'],
        one['candidate']['zone'],
        f'{one["total"]:.3f}',
        f'{parts["wait_seconds"]:.2f}s',
        f'{parts["delay"]:.3f}',
        f'{parts["network"]:.3f}',
        f'{parts["failure"]:.3f}',
        ', '.join(notes),
    )


def _describe_age(age: float | None) -> str:
    return 'no report' if age is None else f'reported {age:.1f} s ago'
