"""Keeps what the upstreams beside this node state about themselves."""

from __future__ import annotations

import math

import msgspec
from loguru import logger

from kumquathold_core.forwarding import ForwardRequest
from kumquathold_core.upstream_statements import (
    KnownStatement,
    UpstreamStatement,
    merge_statements,
)
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.response_statements import ResponseStatement

LIMIT_VALID_SECONDS = 2.0
"""Time for which a published limit is believed without a further response."""


def record_statement(
    upstream: Upstream,
    request: OwnerRequest,
    stated: ResponseStatement,
    metrics: Metrics,
) -> bool:
    """Record what a response of an upstream's present process states.

    Responses are processed in another order than they came, so an older one
    than the latest is ignored. Returns whether the limit has become lower.
    """
    known = upstream.known_statement
    if known is not None and stated.received_at < known.received_at:
        return False
    before = known.statement if known else UpstreamStatement()
    statement = merge_statements(
        before,
        UpstreamStatement(
            lifetime=upstream.record.lifetime,
            limit=before.limit if stated.limit_error else stated.limit,
            is_leaving=stated.is_leaving,
        ),
    )
    _apply_statement(
        upstream,
        KnownStatement(statement, stated.received_at),
        stated.received_at,
    )
    is_limit_changed = statement.limit != before.limit
    is_leaving_changed = statement.is_leaving != before.is_leaving
    if stated.limit_error:
        metrics.count('owner.statements_unreadable')
    if is_limit_changed or is_leaving_changed or stated.limit_error:
        metrics.count('owner.statements_changed')
        age = stated.received_at - known.received_at if known else math.inf
        logger.info(
            'upstream stated',
            upstream=upstream.record.name,
            request=request.message.caller_id,
            limit=statement.limit,
            limit_before=before.limit,
            leaving=statement.is_leaving,
            age=round(age, 3) if math.isfinite(age) else None,
            error=stated.limit_error,
        )
    return is_limit_changed and statement.limit is not None


def adopt_statement(
    upstream: Upstream, message: ForwardRequest, now: float
) -> bool:
    """Take over what an ingress knows, if this process knows nothing yet.

    Any response that this process gets takes precedence. A leaving is not taken
    over: the ingress that knows of it does not send. Returns whether it was.
    """
    stated = message.statement
    if stated is None or upstream.known_statement is not None:
        return False
    if stated.lifetime != upstream.record.lifetime:
        return False
    adopted = msgspec.structs.replace(stated, is_leaving=False)
    _apply_statement(upstream, KnownStatement(adopted, -math.inf), now)
    logger.info(
        'statement adopted',
        upstream=upstream.record.name,
        request=message.caller_id,
        limit=adopted.limit,
    )
    return True


def is_limit_unconfirmed(upstream: Upstream, now: float) -> bool:
    """Whether no response has confirmed a limit for a while.

    Only a response tells that a limit has ended. Nodes that believe in it send
    elsewhere, so that none would come.
    """
    known = upstream.known_statement
    if known is None or upstream.limiter.rate is None:
        return False
    if upstream.in_use or upstream.queue.size:
        return False
    valid_for = LIMIT_VALID_SECONDS + 1 / upstream.limiter.rate
    return now - known.received_at >= valid_for


def _apply_statement(
    upstream: Upstream, known: KnownStatement, now: float
) -> None:
    upstream.known_statement = known
    upstream.limiter.set_limit(known.statement.limit, now)
