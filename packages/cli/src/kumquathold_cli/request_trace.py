"""The story of one request, from the logs of the nodes that handled it.

Reads log lines (JSON objects, as nodes write them) and keeps those that name
the request, and those that explain them: what was known of its upstreams, and
which configuration its ingress had in force. Clocks of nodes differ; a node's
lines are moved as far as needed for each answer to come after the request that
it belongs to.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterable
from typing import Any

import msgspec

CONTEXT_SECONDS = 10.0
"""How long before and after a request the lines that explain it may lie."""

PLACED = 'request placed'
RAN = 'upstream answered'
REFUSED = 'request refused'
TOKEN_REFUSED = 'token refused'
IN_FORCE = 'configuration in force'
ENDS = frozenset((REFUSED, 'request answered'))
UPSTREAM_EVENTS = frozenset(
    (
        'upstream suspected',
        'upstream trusted',
        'upstream stated',
        'upstream call failed',
        'upstream down',
    )
)
NODE_EVENTS = frozenset(
    (
        IN_FORCE,
        TOKEN_REFUSED,
        'store unreachable',
        'store reachable again',
        'store restored',
        'older configuration ignored',
    )
)
CONFIGURATION_REASONS = frozenset(('no-route', 'key-unknown', 'key-missing'))


class TraceError(Exception):
    """The logs cannot be used."""


class RequestNotFound(TraceError):
    """No line names the request."""


class LogLine(msgspec.Struct, frozen=True):
    """One line of a node's log."""

    at: float
    """Unix time in seconds, by the clock of the node."""

    node: str
    """Peer address of the node."""

    event: str
    """What happened."""

    fields: dict[str, Any]
    """What the event is about."""

    @property
    def request(self) -> str:
        """Id of the request that the line is about, or an empty text."""
        return str(self.fields.get('request', ''))

    @property
    def upstream(self) -> str:
        """Name of the upstream that the line is about, or an empty text."""
        return str(self.fields.get('upstream', ''))


class Trace(msgspec.Struct, frozen=True):
    """The lines about a request, in order, and what they say of its end."""

    lines: tuple[LogLine, ...]
    """The lines, by corrected time."""

    shifts: dict[str, float]
    """Seconds by which lines of a node were moved, for those that were."""

    cause: str
    """Why the request ended as it did, in a sentence."""


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines; others, such as those of other programs, are skipped."""
    parsed = (_parse_line(text) for text in texts)
    return [line for line in parsed if line is not None]


def trace_request(lines: Iterable[LogLine], request: str) -> Trace:
    """Return the story of a request; raises `RequestNotFound`."""
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if _is_about(line, request)]
    if not own:
        raise RequestNotFound(f'no line names the request {request}')
    shifts = _find_shifts(own, request)
    related = [line for line in known if _explains(line, own)]
    moved = [_move(line, shifts) for line in (*own, *related)]
    ordered = tuple(
        sorted(moved, key=lambda line: (line.at, line.event in ENDS))
    )
    return Trace(ordered, shifts, find_cause(ordered, request))


def find_cause(lines: tuple[LogLine, ...], request: str) -> str:
    """Say in a sentence why a request ended as it did."""
    own = [line for line in lines if line.request == request]
    ends = [line for line in own if line.event in ENDS]
    if not ends:
        return 'its end is not in these logs: the ingress may have ended'
    end = ends[-1]
    if end.event != REFUSED:
        return f'answered with status {end.fields.get("status")}'
    reason = str(end.fields.get('reason'))
    if reason.startswith('rate-'):
        return _explain_token(lines, end, reason)
    if reason in CONFIGURATION_REASONS:
        return _explain_configuration(lines, end, reason)
    return _explain_attempts(own, reason)


def format_trace(trace: Trace) -> list[str]:
    """Format a trace as lines of text, with times since the first line."""
    first = trace.lines[0].at
    listed = [_format_line(line, first) for line in trace.lines]
    moved = [
        f'clock of {node} moved by {shift:+.3f} s'
        for node, shift in sorted(trace.shifts.items())
    ]
    return [*listed, *moved, f'cause: {trace.cause}']


def _parse_line(text: str) -> LogLine | None:
    try:
        fields = msgspec.json.decode(text, type=dict[str, Any])
        moment = datetime.datetime.fromisoformat(str(fields.pop('time')))
    except (msgspec.MsgspecError, KeyError, ValueError):
        return None
    return LogLine(
        at=moment.timestamp(),
        node=str(fields.pop('node', '')),
        event=str(fields.pop('event', '')),
        fields=fields,
    )


def _is_about(line: LogLine, request: str) -> bool:
    """Whether a line names a request, or a nested one of it."""
    return line.request == request or line.request.startswith(f'{request}.')


def _explains(line: LogLine, own: list[LogLine]) -> bool:
    """Whether a line that is not about the request explains it."""
    if line in own:
        return False
    is_near = (
        own[0].at - CONTEXT_SECONDS <= line.at <= own[-1].at + CONTEXT_SECONDS
    )
    upstreams = {one.upstream for one in own if one.upstream}
    if line.event in UPSTREAM_EVENTS:
        return is_near and line.upstream in upstreams
    ingresses = {one.node for one in own if one.event in ENDS}
    return is_near and line.event in NODE_EVENTS and line.node in ingresses


def _find_shifts(own: list[LogLine], request: str) -> dict[str, float]:
    """Return by how much to move the lines of each owner, where needed.

    An owner's answer lies after the ingress placed the request with it, and
    before the ingress's next line about it.
    """
    shifts: dict[str, float] = {}
    ingress = [
        line
        for line in own
        if line.request == request and line.event in {PLACED, *ENDS}
    ]
    for placed, following in zip(ingress, ingress[1:], strict=False):
        for ran in own:
            is_answer = ran.event == RAN and ran.upstream == placed.upstream
            if is_answer and ran.node != placed.node and placed.upstream:
                needed = _find_shift(ran.at, placed.at, following.at)
                shifts[ran.node] = needed
    return {node: shift for node, shift in shifts.items() if shift}


def _find_shift(at: float, earliest: float, latest: float) -> float:
    return min(max(at, earliest), latest) - at


def _move(line: LogLine, shifts: dict[str, float]) -> LogLine:
    return msgspec.structs.replace(
        line, at=line.at + shifts.get(line.node, 0.0)
    )


def _explain_token(
    lines: tuple[LogLine, ...], end: LogLine, reason: str
) -> str:
    refusals = [
        line
        for line in lines
        if line.event == TOKEN_REFUSED
        and line.node == end.node
        and line.at <= end.at
    ]
    if not refusals:
        return f'refused ({reason})'
    token = refusals[-1].fields
    return (
        f'refused ({reason}): workspace {token.get("workspace")} is limited to'
        f' {token.get("rate")} requests a second; back in'
        f' {token.get("retry_after")} s'
    )


def _explain_configuration(
    lines: tuple[LogLine, ...], end: LogLine, reason: str
) -> str:
    versions = [
        line
        for line in lines
        if line.event == IN_FORCE and line.node == end.node
    ]
    before = [line for line in versions if line.at <= end.at]
    after = [line for line in versions if line.at > end.at]
    had = 'a version that these logs do not name'
    if before:
        had = f'version {before[-1].fields.get("version")}'
    text = f'refused ({reason}): {end.node} had {had} in force'
    if after:
        late = after[0].at - end.at
        text = (
            f'{text}; version {after[0].fields.get("version")} came'
            f' {late:.3f} s later'
        )
    return text


def _explain_attempts(own: list[LogLine], reason: str) -> str:
    placed = [line for line in own if line.event == PLACED]
    failed = [
        line.upstream
        for line in own
        if line.event == RAN and line.fields.get('failed')
    ]
    if not placed:
        return f'refused ({reason}) before it was sent to an upstream'
    beliefs = ', '.join(
        f'{line.upstream} (risk {line.fields.get("risk")},'
        f' {line.fields.get("age")} s old)'
        for line in placed
    )
    return (
        f'refused ({reason}) after {len(placed)} attempts: {beliefs};'
        f' failed at {", ".join(failed) or "none of them"}'
    )


def _format_line(line: LogLine, first: float) -> str:
    told = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name != 'level'
    )
    return f'{line.at - first:+9.3f} s  {line.node}  {line.event}  {told}'
