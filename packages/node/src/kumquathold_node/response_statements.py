"""Reads what upstreams state about themselves in the headers of a response."""

from __future__ import annotations

import http.client
from time import monotonic

import msgspec

from kumquathold_core.upstream_statements import InvalidLimit, parse_limit
from kumquathold_node.dialect import UpstreamDialect


class ResponseStatement(msgspec.Struct, frozen=True):
    """What one response states about its upstream."""

    received_at: float
    """When its head was complete, in seconds of the monotonic clock."""

    limit: float | None = None
    """Requests a second that the upstream takes, `None` if not limited."""

    is_leaving: bool = False
    """Whether the upstream drains."""

    limit_error: str = ''
    """Why the limit is not a number; the one known before then still holds."""


def read_statement(
    response: http.client.HTTPResponse,
    dialect: UpstreamDialect,
) -> ResponseStatement:
    """Return what a response states, right after its head was read."""
    text = response.getheader(dialect.limit, '').strip()
    leaving = response.getheader(dialect.leaving, '').strip()
    limit = None
    limit_error = ''
    try:
        limit = parse_limit(text) if text else None
    except InvalidLimit as error:
        limit_error = str(error)
    return ResponseStatement(
        received_at=monotonic(),
        limit=limit,
        is_leaving=leaving == dialect.leaving_value,
        limit_error=limit_error,
    )
