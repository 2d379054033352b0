"""HTTP servers of a node, by waitress, and the application for callers."""

from __future__ import annotations

import logging
import math
import threading
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from time import monotonic
from typing import Any

import waitress.channel
import waitress.parser
import waitress.server
import waitress.task
from loguru import logger

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node import caller_connections, caller_requests
from kumquathold_node.caller_requests import (
    CallerRequest,
    CallerResponse,
    RequestRefused,
)
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.ingress import Ingress
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics

MAX_BODY_BYTES = 67_108_864
MAX_HEADER_BYTES = 262_144
MAX_BUFFERED_BYTES = MAX_BODY_BYTES * 2
"""Buffers above this size go to disk, which no allowed body reaches."""

CONNECTION_LIMIT = 4000
IDLE_CONNECTION_SECONDS = 60
LISTEN_BACKLOG = 1024
RETRY_AFTER_SECONDS = 0.1
"""Seconds after which callers that a draining node refuses may retry."""

BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


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
        """Accept requests until `close_at`, and end all by `give_up_at`.

        Both are times of the own monotonic clock, in seconds.
        """
        self.close_at = close_at
        self.give_up_at = give_up_at
        self.is_draining = True

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
                response = _handle_request(
                    ingress, metrics, request, dialect, request_gate
                )
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
            start_response(_status_line(response.status), headers)
            return [body]

    return app


def _handle_request(
    ingress: Ingress,
    metrics: Metrics,
    request: CallerRequest,
    dialect: CallerDialect,
    request_gate: RequestGate,
) -> CallerResponse:
    try:
        if monotonic() >= request_gate.close_at:
            raise RequestRefused(
                Refusal.node_leaving, retry_after=RETRY_AFTER_SECONDS
            )
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


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unassigned'


class _ProblemTask(waitress.task.ErrorTask):
    """Returns problem details for requests that waitress itself refuses."""

    def execute(self) -> None:
        """Write the problem details and close the connection."""
        error = self.request.error
        refused = RequestRefused(Refusal.malformed)
        if error.code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            refused = RequestRefused(Refusal.body_too_large)
        elif error.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            refused = RequestRefused(Refusal.internal_error, Outcome.unknown)
        response = caller_requests.make_problem(refused, '', CallerDialect())
        self.status = _status_line(response.status)
        self.response_headers.extend(response.headers)
        self.set_close_on_finish()
        self.content_length = len(response.body)
        self.write(response.body)


class _ClosingTask(waitress.task.WSGITask):
    """Closes connections of a draining node, so that callers use another."""

    def execute(self) -> None:
        """Handle the request; close the connection if the node drains."""
        if self.channel.server.is_draining():
            self.set_close_on_finish()
        super().execute()

    def get_environment(self) -> dict[str, Any]:
        """Return the WSGI environment, with the time of arrival."""
        environ: dict[str, Any] = super().get_environment()
        environ[caller_requests.ARRIVED_AT] = self.request.arrived_at
        return environ


class _TimedParser(waitress.parser.HTTPRequestParser):
    """Notes when the first bytes of a request arrive.

    All worker threads may be busy when it is complete. The time that it waits
    for one counts against its deadline.
    """

    def __init__(self, adjustments: Any) -> None:
        """Note the time."""
        super().__init__(adjustments)
        self.arrived_at = monotonic()


class _Channel(waitress.channel.HTTPChannel):
    error_task_class = _ProblemTask
    parser_class = _TimedParser
    task_class = _ClosingTask


class _LogBridge(logging.Handler):
    """Forwards the log records of waitress to the log of the node."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        logger.warning(record.getMessage(), source=record.name)


def bridge_library_logs() -> None:
    """Forward the errors that waitress logs to the log of the node."""
    library = logging.getLogger('waitress')
    library.handlers = [_LogBridge()]
    library.setLevel(logging.ERROR)
    library.propagate = False


@contextmanager
def serving(
    app: WsgiApp,
    address: str,
    threads: int,
    is_draining: Callable[[], bool] = bool,
) -> Iterator[waitress.server.BaseWSGIServer]:
    """Serve HTTP on `address` while the block runs.

    While `is_draining` returns true, connections are closed after a response.
    """
    server = waitress.server.create_server(
        app,
        listen=address,
        threads=threads,
        ident='',
        backlog=LISTEN_BACKLOG,
        connection_limit=CONNECTION_LIMIT,
        channel_timeout=IDLE_CONNECTION_SECONDS,
        channel_request_lookahead=1,
        max_request_body_size=MAX_BODY_BYTES,
        max_request_header_size=MAX_HEADER_BYTES,
        inbuf_overflow=MAX_BUFFERED_BYTES,
        outbuf_overflow=MAX_BUFFERED_BYTES,
        asyncore_use_poll=True,
        clear_untrusted_proxy_headers=False,
    )
    server.channel_class = _Channel
    server.is_draining = is_draining
    thread = threading.Thread(
        target=server.run,
        name=f'http {address}',
        daemon=True,
    )
    thread.start()
    try:
        yield server
    finally:
        caller_connections.stop_listening(server)
        server.task_dispatcher.shutdown(cancel_pending=False, timeout=0)
