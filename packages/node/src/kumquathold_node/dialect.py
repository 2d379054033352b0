"""HTTP dialects: header names and statuses of one deployment.

The defaults are the node's own names. A deployment adapter for a platform with
other names brings its own dialects.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from kumquathold_core.forwarding import Outcome, Refusal

SECONDS_PER_MILLISECOND = 0.001

RefusalStatus = Callable[[Refusal, Outcome], HTTPStatus]

DEFAULT_STATUSES = {
    Refusal.no_route: HTTPStatus.NOT_FOUND,
    Refusal.method_not_allowed: HTTPStatus.METHOD_NOT_ALLOWED,
    Refusal.key_missing: HTTPStatus.UNAUTHORIZED,
    Refusal.key_unknown: HTTPStatus.UNAUTHORIZED,
    Refusal.key_exposed: HTTPStatus.BAD_REQUEST,
    Refusal.body_too_large: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Refusal.malformed: HTTPStatus.BAD_REQUEST,
    Refusal.head_too_large: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Refusal.idempotency_key_missing: HTTPStatus.BAD_REQUEST,
    Refusal.idempotency_key_reused: HTTPStatus.UNPROCESSABLE_ENTITY,
    Refusal.in_progress: HTTPStatus.CONFLICT,
    Refusal.outcome_unknown: HTTPStatus.CONFLICT,
    Refusal.settled: HTTPStatus.CONFLICT,
    Refusal.answer_not_kept: HTTPStatus.CONFLICT,
    Refusal.rate_exceeded: HTTPStatus.TOO_MANY_REQUESTS,
    Refusal.upstream_failed: HTTPStatus.BAD_GATEWAY,
    Refusal.owner_unreachable: HTTPStatus.BAD_GATEWAY,
    Refusal.owner_restarted: HTTPStatus.BAD_GATEWAY,
    Refusal.deadline_passed: HTTPStatus.GATEWAY_TIMEOUT,
    Refusal.crashes_upstreams: HTTPStatus.UNPROCESSABLE_ENTITY,
    Refusal.internal_error: HTTPStatus.INTERNAL_SERVER_ERROR,
}
"""Statuses of refusals; any other is `503 Service Unavailable`."""


def get_default_status(reason: Refusal, _: Outcome) -> HTTPStatus:
    """Return the status of a refusal, whatever its outcome.

    The outcome goes into a header of its own.
    """
    return DEFAULT_STATUSES.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)


class CallerDialect(msgspec.Struct, frozen=True):
    """HTTP between callers and the node."""

    request_id: str = 'x-request-id'
    """Header with the caller's id of the request, in lower case."""

    key: str = 'x-api-key'
    """Header with the caller's API key, in lower case."""

    deadline: str = 'request-timeout'
    """Header with the time that the caller waits, in lower case."""

    deadline_unit: float = 1.0
    """Seconds per unit of that header."""

    reserved: frozenset[str] = frozenset()
    """Headers that only the node sets, in lower case; dropped from requests."""

    health_path: str = '/health'
    """Path of the readiness check on the health address."""

    status_of: RefusalStatus = get_default_status
    """Maps a refusal and its outcome to the HTTP status."""

    fractional_retry: bool = False
    """Whether `Retry-After` may have a fraction of a second."""

    decodes_path: bool = True
    """Whether routes are matched against the percent-decoded path."""


class UpstreamDialect(msgspec.Struct, frozen=True):
    """HTTP between the node and upstreams."""

    request_id: str = 'Kumquathold-Request'
    """Header with the id of the request."""

    passes_request_id: bool = False
    """Whether that header is the caller's, passed through unchanged.

    If so, a response that echoes another id belongs to another request and
    fails the attempt. Otherwise the node sets the header.
    """

    deadline: str = 'Kumquathold-Deadline-Ms'
    """Header with the milliseconds left until the deadline."""

    workspace: str = 'Kumquathold-Workspace'
    """Header with the name of the workspace."""

    sends_public_workspace: bool = True
    """Whether requests without a workspace carry that header too."""

    caller_service: str = ''
    """Header with the service of the ingress node's VM, empty for none."""

    expected_instance: str = ''
    """Header with the name of the intended upstream, empty for none."""

    not_run: str = 'Kumquathold-Outcome'
    """Response header by which an upstream states that it did not run."""

    not_run_value: str = 'not-run'
    """Value that the header must have; empty for any value."""

    seal: str = ''
    """Header that every successful response must have, empty for no check.

    With this check, a success without the header fails the attempt, its outcome
    unknown; so does a 408, 429 or 503 without the `not_run` header.
    """

    limit: str = 'Kumquathold-Limit'
    """Response header with the requests a second that an upstream takes."""

    leaving: str = 'Kumquathold-Leaving'
    """Response header by which an upstream states that it drains."""

    leaving_value: str = 'true'
    """Value that the header must have."""

    reuses_for_non_idempotent: bool = False
    """Whether non-idempotent requests may use pooled connections.

    Otherwise each opens a connection of its own.
    """
