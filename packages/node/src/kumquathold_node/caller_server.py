"""The application for callers, and the gate that a drain closes to them."""

from __future__ import annotations

import math
import threading
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from time import monotonic
from typing import TYPE_CHECKING, Any

from loguru import logger

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node import caller_connections, caller_requests, http_server
from kumquathold_node.body_memory import Reservation
from kumquathold_node.caller_requests import (
    CallerRequest,
    CallerResponse,
    RequestRefused,
)
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.http_server import StartResponse, WsgiApp
from kumquathold_node.ingress import Ingress
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics

if TYPE_CHECKING:
    import waitress.server

WRITE_PIECE_BYTES = 262_144
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class RequestGate:
    """Counts callers' requests in flight, and ends admission in a drain."""

    def __init__(self, kernel: Kernel) -> None:
        """Start open."""
        self.lock = threading.Lock()
        self.in_flight = 0
        self.last_arrival = monotonic()
        self.is_draining = False
        self.server: waitress.server.BaseWSGIServer | None = None
        self.close_at = math.inf
        self.give_up_at = math.inf
        kernel.register('request-gate', self)

    def drain(self, close_at: float, give_up_at: float) -> None:
        """Accept all requests until `close_at`, and end them by `give_up_at`.

        Both are times of the own monotonic clock, in seconds.
        """
        self.close_at = close_at
        self.give_up_at = give_up_at
        self.is_draining = True

    def may_accept(self, deadline: float) -> bool:
        """Whether to take a request, given its deadline on the own clock.

        Late in a drain only those are taken that end before the node does, as
        the others would be broken off.
        """
        return monotonic() < self.close_at or deadline <= self.give_up_at

    def close(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            caller_connections.stop_listening(self.server)

    def close_idle_connections(self) -> int:
        """Close the connections without a request; return how many are left.

        Raises `TimeoutError` if the server is too busy to do so.
        """
        if self.server is None:
            return 0
        return caller_connections.close_idle(self.server)

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        with self.lock:
            self.in_flight += 1
            self.last_arrival = monotonic()
        try:
            yield
        finally:
            with self.lock:
                self.in_flight -= 1


def make_caller_app(kernel: Kernel, dialect: CallerDialect) -> WsgiApp:
    """Return the WSGI application for callers."""
    ingress: Ingress = kernel.find('ingress')
    metrics: Metrics = kernel.find('metrics')
    request_gate: RequestGate = kernel.find('request-gate')

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        with request_gate.track_request():
            arrived_at = environ.get(caller_requests.ARRIVED_AT, monotonic())
            request_id = ''
            try:
                request = caller_requests.read_request(environ, dialect)
                request_id = request.id
                response = _handle_request(ingress, metrics, request, dialect)
                body = caller_requests.strip_body(request, response)
            except RequestRefused as refused:
                metrics.count(f'ingress.refused.{refused.reason.value}')
                response = caller_requests.make_problem(
                    refused,
                    request_id,
                    dialect,
                )
                body = response.body
            metrics.time('ingress.request', monotonic() - arrived_at)
            headers = _response_headers(response, request_id, dialect)
            start_response(http_server.format_status(response.status), headers)
            if len(body) <= WRITE_PIECE_BYTES:
                return [body]
            return _write_in_pieces(body, response.reservation)

    return app


def _write_in_pieces(body: bytes, _: Reservation | None) -> Iterator[bytes]:
    """Yield a body piece by piece: the server copies what it has not sent.

    The reservation is held until all is written.
    """
    for start in range(0, len(body), WRITE_PIECE_BYTES):
        yield body[start : start + WRITE_PIECE_BYTES]


def _handle_request(
    ingress: Ingress,
    metrics: Metrics,
    request: CallerRequest,
    dialect: CallerDialect,
) -> CallerResponse:
    try:
        response = ingress.handle(request)
    except RequestRefused as refused:
        logger.info(
            'request refused',
            request=request.id,
            reason=refused.reason.value,
            outcome=refused.outcome.value,
            seconds=round(monotonic() - request.arrived_at, 3),
            retry_after=refused.retry_after,
        )
        metrics.count(f'ingress.refused.{refused.reason.value}')
        return caller_requests.make_problem(refused, request.id, dialect)
    except Exception:
        logger.exception('request failed', request=request.id)
        failure = RequestRefused(Refusal.internal_error, Outcome.unknown)
        metrics.count(f'ingress.refused.{failure.reason.value}')
        return caller_requests.make_problem(failure, request.id, dialect)
    metrics.count('ingress.answered')
    logger.info(
        'request answered',
        request=request.id,
        status=response.status,
        seconds=round(monotonic() - request.arrived_at, 3),
    )
    return response


def _response_headers(
    response: CallerResponse,
    request_id: str,
    dialect: CallerDialect,
) -> list[tuple[str, str]]:
    headers = list(response.headers)
    names = {name.lower() for name, _ in headers}
    has_length = 'content-length' in names
    if not has_length and response.status not in BODILESS_STATUSES:
        headers.append(('Content-Length', str(len(response.body))))
    if request_id and dialect.request_id not in names:
        headers.append((dialect.request_id.title(), request_id))
    return headers
