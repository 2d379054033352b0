"""The names that callers and upstreams use in HTTP, as one deployment has them.

The node's own names are the defaults. An adapter for a platform with other
names passes its own dialects to the node's entry point.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from kumquathold_core.forwarding import Outcome, Refusal

MILLISECOND = 0.001

RefusalStatus = Callable[[Refusal, Outcome], HTTPStatus]

OWN_STATUSES = {
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
"""All other refusals are `503 Service Unavailable`."""


def own_status(reason: Refusal, _: Outcome) -> HTTPStatus:
    """The status of a refusal where the outcome has a header of its own."""
    return OWN_STATUSES.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)


class CallerDialect(msgspec.Struct, frozen=True):
    """How callers speak to the node."""

    request_id: str = 'x-request-id'
    """Header with the caller's own id of the request, in lower case."""

    key: str = 'x-api-key'
    """Header with the caller's key, in lower case."""

    deadline: str = 'request-timeout'
    """Header that says how long the caller waits, in lower case."""

    deadline_unit: float = 1.0
    """Seconds of one unit in that header."""

    reserved: frozenset[str] = frozenset()
    """Headers that only the node sets, in lower case; callers' are dropped."""

    health_path: str = '/health'
    """Where the health address tells whether the node takes requests."""

    status_of: RefusalStatus = own_status
    """The HTTP status of a refusal."""

    fractional_retry: bool = False
    """Whether `Retry-After` may hold a fraction of a second."""

    decodes_path: bool = True
    """Whether routes match the percent-decoded path."""


class UpstreamDialect(msgspec.Struct, frozen=True):
    """How the node speaks to upstreams."""

    request_id: str = 'Kumquathold-Request'
    """Header with the request's id."""

    passes_request_id: bool = False
    """Whether that header comes from the caller and is echoed in answers."""

    deadline: str = 'Kumquathold-Deadline-Ms'
    """Header with the milliseconds that are left."""

    workspace: str = 'Kumquathold-Workspace'
    """Header with the name of the workspace."""

    tells_public: bool = True
    """Whether requests of no workspace carry that header too."""

    caller_service: str = ''
    """Header with the service of the VM where the request began, or empty."""

    expected_instance: str = ''
    """Header with the name of the upstream that is meant, or empty."""

    not_run: str = 'Kumquathold-Outcome'
    """Header of an answer by which an upstream says that it did not run."""

    not_run_value: str = 'not-run'
    """What that header says; empty for any text."""

    seal: str = ''
    """Header that each successful answer bears, or empty."""

    reuses_for_unsafe: bool = False
    """Whether requests that may run once only go over kept connections."""
