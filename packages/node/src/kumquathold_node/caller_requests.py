"""Requests and responses at the ingress, as callers see them.

Reads requests from the WSGI environment, and makes the problem details
(RFC 9457) by which the ingress refuses them.
"""

from __future__ import annotations

import io
import json
import math
import uuid
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic
from typing import Any
from urllib.parse import unquote, urlsplit

import msgspec

from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.rules import KEY_PREFIX, Route, parse_key_id
from kumquathold_node.body_memory import Reservation
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.upstream_calls import OUTCOME_HEADER
from kumquathold_node.upstream_responses import strip_hop_by_hop_headers

ARRIVED_AT = 'kumquathold.arrived_at'
"""Key of the WSGI environment for the arrival, by the monotonic clock."""

AUTHORIZATION = 'authorization'
BEARER = 'Bearer '
IDEMPOTENCY_HEADER = 'idempotency-key'
REPLAYED_HEADER = 'Kumquathold-Replayed'
MAX_REQUEST_ID_LENGTH = 128
MAX_HEAD_BYTES = 32_768
MIN_TIMEOUT_SECONDS = 0.001
MIN_RETRY_AFTER_SECONDS = 0.05
OWN_HEADER_PREFIX = 'kumquathold-'

PROBLEM_DETAILS = {
    Refusal.no_route: 'No route matches the path.',
    Refusal.method_not_allowed: 'The path does not allow this method.',
    Refusal.key_missing: 'Send a key, as Authorization: Bearer KEY.',
    Refusal.key_unknown: 'The key is unknown or was withdrawn.',
    Refusal.key_exposed: 'The key may only be sent in the header for keys.',
    Refusal.body_too_large: 'The body is larger than the route allows.',
    Refusal.malformed: 'The request could not be parsed.',
    Refusal.head_too_large: 'Target and headers exceed 32 KB.',
    Refusal.idempotency_key_missing: 'This route needs an Idempotency-Key.',
    Refusal.idempotency_key_reused: (
        'This Idempotency-Key was used with a different request before.'
    ),
    Refusal.in_progress: 'The first request with this key has not ended.',
    Refusal.outcome_unknown: (
        'It is unknown whether the first request ran; operators can find out.'
    ),
    Refusal.settled: 'Operators established that the first request ran.',
    Refusal.answer_not_kept: 'It ran; its response is no longer stored.',
    Refusal.rate_exceeded: 'The workspace exceeds its rate.',
    Refusal.rate_unavailable: 'No rate holder responds.',
    Refusal.stale_configuration: (
        'This node cannot prove that its configuration is the latest.'
    ),
    Refusal.no_configuration: 'No configuration is in force yet.',
    Refusal.no_upstream: 'No upstream of the service is available.',
    Refusal.region_unavailable: (
        'No upstream is available in the regions that may serve the request.'
    ),
    Refusal.overloaded: 'The upstreams have no free slot in time.',
    Refusal.upstream_shed: 'The upstream sheds load.',
    Refusal.upstream_unreachable: 'The upstream accepts no connections.',
    Refusal.upstream_failed: 'The upstream returned no complete response.',
    Refusal.owner_unreachable: 'The node beside the upstream does not respond.',
    Refusal.deadline_passed: 'The deadline has passed.',
    Refusal.crashes_upstreams: 'This request crashed two upstreams.',
    Refusal.store_unavailable: 'The store does not respond.',
    Refusal.internal_error: 'Internal error; see the log of the node.',
}


class CallerRequest(msgspec.Struct, frozen=True):
    """A request as the caller sent it."""

    id: str
    """Request id given by the caller, or else generated."""

    method: str
    """HTTP method."""

    target: str
    """Path and query, as sent by the caller."""

    path: str
    """Path for routing, percent-decoded if the dialect says so."""

    host: str
    """Value of the Host header, in lower case."""

    headers: Headers
    """End-to-end headers, without credentials."""

    key: str
    """The caller's key, or empty."""

    idempotency_key: str
    """Value of the Idempotency-Key header, or empty."""

    timeout: float | None
    """Seconds that the caller waits, `None` if not given."""

    arrived_at: float
    """Time of arrival, in seconds of the own monotonic clock."""

    body: bytes
    """The whole body."""

    is_disconnected: Callable[[], bool]
    """Whether the caller has closed its connection."""


class CallerResponse(msgspec.Struct, frozen=True):
    """A response to a caller."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    body: bytes
    """The whole body."""

    reservation: Reservation | None = None
    """Memory for the body, if it is an upstream's."""


class RequestRefused(Exception):
    """The request is refused, and gets problem details as its response."""

    def __init__(
        self,
        reason: Refusal,
        outcome: Outcome = Outcome.not_run,
        retry_after: float = 0,
        headers: Headers = (),
    ) -> None:
        """Set why it is refused, and whether it ran.

        `retry_after` is in seconds; `headers` are added to the response.
        """
        super().__init__(reason.value)
        self.reason = reason
        self.outcome = outcome
        self.retry_after = retry_after
        self.headers = headers


def read_request(
    environ: dict[str, Any],
    dialect: CallerDialect,
) -> CallerRequest:
    """Read a request from a WSGI environment; raises `RequestRefused`."""
    parts = urlsplit(environ['REQUEST_URI'])
    target = _read_target(environ['REQUEST_URI'])
    if not target.startswith('/') or not target.isascii():
        raise RequestRefused(Refusal.malformed)
    headers = _read_headers(environ)
    if _head_size_of(target, headers) > MAX_HEAD_BYTES:
        raise RequestRefused(Refusal.head_too_large)
    by_name = {name.lower(): text for name, text in headers}
    request_id = by_name.get(dialect.request_id, '')[:MAX_REQUEST_ID_LENGTH]
    key = _find_key(by_name, dialect)
    path = parts.path or '/'
    return CallerRequest(
        id=request_id or uuid.uuid4().hex,
        method=environ['REQUEST_METHOD'],
        target=target,
        path=unquote(path) if dialect.decodes_path else path,
        host=by_name.get('host', '').lower(),
        headers=_clean_headers(headers, dialect),
        key=key,
        idempotency_key=by_name.get(IDEMPOTENCY_HEADER, '').strip(),
        timeout=_parse_timeout(by_name, dialect),
        arrived_at=environ.get(ARRIVED_AT, monotonic()),
        body=_read_body(environ['wsgi.input']),
        is_disconnected=environ.get(
            'waitress.client_disconnected', _assume_connected
        ),
    )


def _read_target(uri: str) -> str:
    """Return path and query as the caller sent them, without a fragment.

    An empty query stays: upstreams get the target unchanged.
    """
    origin, _, _ = uri.partition('#')
    if '://' in origin.partition('?')[0]:
        rest = origin.partition('://')[2]
        start = min(
            (rest.find(mark) for mark in '/?' if mark in rest),
            default=len(rest),
        )
        origin = rest[start:]
    return origin if origin.startswith('/') else f'/{origin}'


def refuse_exposed_key(request: CallerRequest) -> None:
    """Refuse a request whose key would reach the upstream.

    Raises `RequestRefused` if the target, a header or the body contains it.
    """
    key = request.key
    if parse_key_id(key) is None:
        return
    texts = [unquote(request.target), *(text for _, text in request.headers)]
    is_exposed = any(key in text for text in texts)
    if is_exposed or key.encode() in request.body:
        raise RequestRefused(Refusal.key_exposed)


def strip_body(request: CallerRequest, response: CallerResponse) -> bytes:
    """Return the body to send, which is empty for HEAD."""
    return b'' if request.method == 'HEAD' else response.body


def make_problem(
    refused: RequestRefused,
    request_id: str,
    dialect: CallerDialect,
) -> CallerResponse:
    """Return the response with problem details (RFC 9457) for a refusal."""
    status = dialect.status_of(refused.reason, refused.outcome)
    problem = {
        'type': f'urn:kumquathold:reason:{refused.reason.value}',
        'title': status.phrase,
        'status': status.value,
        'detail': PROBLEM_DETAILS.get(refused.reason, status.description),
        'reason': refused.reason.value,
        'outcome': refused.outcome.value,
        'request_id': request_id,
    }
    headers = [
        ('Content-Type', 'application/problem+json'),
        (OUTCOME_HEADER, refused.outcome.value),
        *refused.headers,
    ]
    has_retry_after = status in {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.CONFLICT,
    }
    if has_retry_after:
        retry_after = _format_seconds(refused.retry_after, dialect)
        headers.append(('Retry-After', retry_after))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return CallerResponse(
        status=status.value,
        headers=tuple(headers),
        body=json.dumps(problem).encode(),
    )


def timeout_of(request: CallerRequest, route: Route) -> float:
    """Return the timeout of a request in seconds.

    The caller's timeout counts, up to the deadline of the route.
    """
    if request.timeout is None:
        return route.deadline
    return min(max(request.timeout, MIN_TIMEOUT_SECONDS), route.deadline)


def _parse_timeout(
    by_name: dict[str, str],
    dialect: CallerDialect,
) -> float | None:
    try:
        timeout = float(by_name[dialect.deadline]) * dialect.deadline_unit
    except (KeyError, ValueError):
        return None
    return timeout if math.isfinite(timeout) else None


def _format_seconds(seconds: float, dialect: CallerDialect) -> str:
    if dialect.fractional_retry:
        return f'{max(seconds, MIN_RETRY_AFTER_SECONDS):.2f}'
    return str(max(1, round(seconds)))


def _read_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    headers = []
    for name, text in environ.items():
        if name.startswith('HTTP_'):
            title = name[len('HTTP_') :].replace('_', '-').title()
            headers.append((title, text))
    if environ.get('CONTENT_TYPE'):
        headers.append(('Content-Type', environ['CONTENT_TYPE']))
    return headers


def _head_size_of(target: str, headers: list[tuple[str, str]]) -> int:
    return len(target) + sum(len(name) + len(text) for name, text in headers)


def _find_key(by_name: dict[str, str], dialect: CallerDialect) -> str:
    authorization = by_name.get(AUTHORIZATION, '')
    bearer = ''
    if authorization.startswith(BEARER):
        bearer = authorization.removeprefix(BEARER).strip()
    named = by_name.get(dialect.key, '').strip()
    is_own = parse_key_id(bearer) is not None
    if named and bearer != named and is_own:
        raise RequestRefused(Refusal.malformed)
    return named or bearer


def _clean_headers(
    headers: list[tuple[str, str]],
    dialect: CallerDialect,
) -> Headers:
    return tuple(
        (name, text)
        for name, text in strip_hop_by_hop_headers(headers)
        if name.lower() != dialect.key
        and name.lower() not in dialect.reserved
        and not name.lower().startswith(OWN_HEADER_PREFIX)
        and not _carries_key(name, text)
    )


def _carries_key(name: str, text: str) -> bool:
    is_credential = name.lower() in {AUTHORIZATION, 'proxy-authorization'}
    return is_credential and f'{KEY_PREFIX}_' in text


def _read_body(stream: io.BytesIO) -> bytes:
    """Return the whole body, without a copy if it is in memory."""
    if isinstance(stream, io.BytesIO):
        return stream.getvalue()
    return stream.read()


def _assume_connected() -> bool:
    return False
