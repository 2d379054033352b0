"""A caller's request as the ingress takes it in, and its answer."""

from __future__ import annotations

import json
import uuid
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic
from typing import Any
from urllib.parse import unquote, urlsplit

import msgspec

from kumquathold_core.forwarding import Headers, Outcome, Refusal
from kumquathold_core.rules import KEY_PREFIX, Route, parse_key_id
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.upstream_calls import (
    OUTCOME_HEADER,
    strip_hop_by_hop_headers,
)

AUTHORIZATION = 'authorization'
BEARER = 'Bearer '
IDEMPOTENCY_HEADER = 'idempotency-key'
REPLAYED_HEADER = 'Kumquathold-Replayed'
MAX_REQUEST_ID = 128
MAX_HEAD_BYTES = 32_768
MIN_DEADLINE_SECONDS = 0.001
MIN_RETRY_SECONDS = 0.05
OWN_HEADER_PREFIX = 'kumquathold-'

DETAILS = {
    Refusal.no_route: 'No rule routes this path.',
    Refusal.method_not_allowed: 'The path does not take this method.',
    Refusal.key_missing: 'Present a key, as Authorization: Bearer KEY.',
    Refusal.key_unknown: 'The key is not known or was withdrawn.',
    Refusal.key_exposed: 'The key may only stand in its own header.',
    Refusal.body_too_large: 'The body is larger than the route takes.',
    Refusal.malformed: 'The request could not be read.',
    Refusal.head_too_large: 'Target and headers are over 32 KB.',
    Refusal.idempotency_key_missing: 'This route needs an Idempotency-Key.',
    Refusal.idempotency_key_reused: (
        'This Idempotency-Key came with a different request before.'
    ),
    Refusal.in_progress: 'The first request with this key has not ended.',
    Refusal.outcome_unknown: (
        'It is not known whether the first request ran; operators can look.'
    ),
    Refusal.settled: 'Operators found that the first request ran.',
    Refusal.answer_not_kept: 'It ran; its answer is not kept any more.',
    Refusal.rate_exceeded: 'The workspace is over its rate.',
    Refusal.rate_unavailable: 'No holder of the rate answers.',
    Refusal.stale_configuration: (
        'This node cannot prove that its configuration is the latest.'
    ),
    Refusal.no_configuration: 'No configuration is in force yet.',
    Refusal.no_upstream: 'No upstream of the service is there.',
    Refusal.overloaded: 'The upstreams have no free slot in time.',
    Refusal.upstream_shed: 'The upstream sheds load.',
    Refusal.upstream_unreachable: 'The upstream takes no connection.',
    Refusal.upstream_failed: 'The upstream gave no whole answer.',
    Refusal.owner_unreachable: 'The node beside the upstream is not heard.',
    Refusal.deadline_passed: 'The deadline has passed.',
    Refusal.crashes_upstreams: 'This request crashed two upstreams.',
    Refusal.store_unavailable: 'The store does not answer.',
    Refusal.internal_error: 'A fault of the fleet itself; see its log.',
}


class CallerRequest(msgspec.Struct, frozen=True):
    """What a caller sent."""

    id: str
    """The caller's request id, or one made here."""

    method: str
    """HTTP method."""

    target: str
    """Path and query, as sent."""

    path: str
    """Path for routing, percent-decoded where the dialect says so."""

    host: str
    """Host that the caller named, in lower case."""

    headers: Headers
    """End-to-end headers, credentials removed."""

    key: str
    """The key that was presented, or empty."""

    idempotency_key: str
    """From the caller, or empty."""

    patience: float | None
    """Seconds that the caller waits, where it says so."""

    arrived_at: float
    """Own monotonic clock, in seconds."""

    body: bytes
    """The whole body."""

    has_gone: Callable[[], bool]
    """Whether the caller has closed its connection."""


class CallerResponse(msgspec.Struct, frozen=True):
    """What a caller gets."""

    status: int
    """HTTP status."""

    headers: Headers
    """Without those for one hop only."""

    body: bytes
    """The whole body."""


class Refused(Exception):
    """A request that gets a problem instead of an upstream's answer."""

    def __init__(
        self,
        reason: Refusal,
        outcome: Outcome = Outcome.not_run,
        retry_after: float = 0,
        headers: Headers = (),
    ) -> None:
        """Say why, and whether the request ran."""
        super().__init__(reason.value)
        self.reason = reason
        self.outcome = outcome
        self.retry_after = retry_after
        self.headers = headers


def read_request(
    environ: dict[str, Any],
    dialect: CallerDialect,
) -> CallerRequest:
    """Read a WSGI environment; raises `Refused`."""
    parts = urlsplit(environ['REQUEST_URI'])
    query = f'?{parts.query}' if parts.query else ''
    target = f'{parts.path or "/"}{query}'
    if not target.startswith('/') or not target.isascii():
        raise Refused(Refusal.malformed)
    headers = _read_headers(environ)
    if _size_of(target, headers) > MAX_HEAD_BYTES:
        raise Refused(Refusal.head_too_large)
    by_name = {name.lower(): text for name, text in headers}
    request_id = by_name.get(dialect.request_id, '')[:MAX_REQUEST_ID]
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
        patience=_read_patience(by_name, dialect),
        arrived_at=monotonic(),
        body=environ['wsgi.input'].read(),
        has_gone=environ.get('waitress.client_disconnected', _stays),
    )


def refuse_exposed_key(request: CallerRequest) -> None:
    """Refuse a request that carries its key where an upstream would see it."""
    key = request.key
    if parse_key_id(key) is None:
        return
    texts = [unquote(request.target), *(text for _, text in request.headers)]
    is_exposed = any(key in text for text in texts)
    if is_exposed or key.encode() in request.body:
        raise Refused(Refusal.key_exposed)


def strip_body(request: CallerRequest, answer: CallerResponse) -> bytes:
    """The body to send: none to HEAD."""
    return b'' if request.method == 'HEAD' else answer.body


def make_problem(
    refused: Refused,
    request_id: str,
    dialect: CallerDialect,
) -> CallerResponse:
    """The RFC 9457 answer for a refusal."""
    status = dialect.status_of(refused.reason, refused.outcome)
    problem = {
        'type': f'urn:kumquathold:reason:{refused.reason.value}',
        'title': status.phrase,
        'status': status.value,
        'detail': DETAILS.get(refused.reason, status.description),
        'reason': refused.reason.value,
        'outcome': refused.outcome.value,
        'request_id': request_id,
    }
    headers = [
        ('Content-Type', 'application/problem+json'),
        (OUTCOME_HEADER, refused.outcome.value),
        *refused.headers,
    ]
    asks_for_patience = status in {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.CONFLICT,
    }
    if asks_for_patience:
        retry_after = _format_seconds(refused.retry_after, dialect)
        headers.append(('Retry-After', retry_after))
    if status == HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return CallerResponse(
        status=status.value,
        headers=tuple(headers),
        body=json.dumps(problem).encode(),
    )


def deadline_of(request: CallerRequest, route: Route) -> float:
    """Seconds that the caller waits: its own wish, at most the route's."""
    if request.patience is None:
        return route.deadline
    return min(max(request.patience, MIN_DEADLINE_SECONDS), route.deadline)


def _read_patience(
    by_name: dict[str, str],
    dialect: CallerDialect,
) -> float | None:
    try:
        return float(by_name[dialect.deadline]) * dialect.deadline_unit
    except (KeyError, ValueError):
        return None


def _format_seconds(seconds: float, dialect: CallerDialect) -> str:
    if dialect.fractional_retry:
        return f'{max(seconds, MIN_RETRY_SECONDS):.2f}'
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


def _size_of(target: str, headers: list[tuple[str, str]]) -> int:
    return len(target) + sum(len(name) + len(text) for name, text in headers)


def _find_key(by_name: dict[str, str], dialect: CallerDialect) -> str:
    authorization = by_name.get(AUTHORIZATION, '')
    bearer = ''
    if authorization.startswith(BEARER):
        bearer = authorization.removeprefix(BEARER).strip()
    named = by_name.get(dialect.key, '').strip()
    if bearer and named and bearer != named:
        raise Refused(Refusal.malformed)
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


def _stays() -> bool:
    return False
