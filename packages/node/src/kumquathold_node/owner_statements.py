"""Keeps what the upstreams beside this node state about themselves."""

from __future__ import annotations

from loguru import logger

from kumquathold_core.upstream_statements import (
    KnownStatement,
    UpstreamStatement,
)
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.response_statements import ResponseStatement


def record_statement(
    upstream: Upstream,
    request: OwnerRequest,
    stated: ResponseStatement,
    metrics: Metrics,
) -> None:
    """Record what a response of an upstream's present process states.

    Responses are processed in another order than they came, so an older one
    than the latest is ignored.
    """
    known = upstream.known_statement
    if known is not None and stated.received_at < known.received_at:
        return
    before = known.statement if known else UpstreamStatement()
    statement = UpstreamStatement(
        lifetime=upstream.record.lifetime,
        limit=before.limit if stated.limit_error else stated.limit,
        is_leaving=before.is_leaving or stated.is_leaving,
    )
    upstream.known_statement = KnownStatement(statement, stated.received_at)
    if stated.limit_error:
        metrics.count('owner.statements_unreadable')
    is_same = (statement.limit, statement.is_leaving) == (
        before.limit,
        before.is_leaving,
    )
    if is_same and not stated.limit_error:
        return
    metrics.count('owner.statements_changed')
    logger.info(
        'upstream stated',
        upstream=upstream.record.name,
        request=request.message.caller_id,
        limit=statement.limit,
        limit_before=before.limit,
        leaving=statement.is_leaving,
        age=round(stated.received_at - known.received_at, 3) if known else None,
        error=stated.limit_error,
    )
