"""The HTTP side towards callers, by waitress."""

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
import waitress.server
import waitress.task
import waitress.wasyncore
from loguru import logger

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node import caller_requests
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
IN_MEMORY_BYTES = MAX_BODY_BYTES * 2
CONNECTION_LIMIT = 4000
IDLE_SECONDS = 60
BACKLOG = 1024
RETRY_SECONDS = 0.1
BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))

StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


class RequestGate:
    """Counts callers' requests in hand, and says when the node leaves."""

    def __init__(self, kernel: Kernel) -> None:
        """Start open."""
        self.lock = threading.Lock()
        self.in_hand = 0
        self.last_arrival = monotonic()
        self.is_leaving = False
        self.server: waitress.server.BaseWSGIServer | None = None
        self.close_at = math.inf
        self.give_up_at = math.inf
        kernel.register('request-gate', self)

    def leave(self, close_at: float, give_up_at: float) -> None:
        """Take requests until `close_at`, and answer all by `give_up_at`.

        Both are moments of the own monotonic clock, in seconds.
        """
        self.close_at = close_at
        self.give_up_at = give_up_at
        self.is_leaving = True

    def shut(self) -> None:
        """Take no further connections."""
        if self.server is not None:
            stop_listening(self.server)

    @contextmanager
    def passing(self) -> Iterator[None]:
        """Count a request while the block runs."""
        with self.lock:
            self.in_hand += 1
            self.last_arrival = monotonic()
        try:
            yield
        finally:
            with self.lock:
                self.in_hand -= 1


def make_caller_app(kernel: Kernel, dialect: CallerDialect) -> WsgiApp:
    """The WSGI application that callers talk to."""
    ingress: Ingress = kernel.find('ingress')
    metrics: Metrics = kernel.find('metrics')
    door: RequestGate = kernel.find('request-gate')

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        with door.passing():
            started_at = monotonic()
            request_id = ''
            try:
                request = caller_requests.read_request(environ, dialect)
                request_id = request.id
                answer = _answer(ingress, metrics, request, dialect, door)
                body = caller_requests.strip_body(request, answer)
            except RequestRefused as refused:
                metrics.count(f'ingress.refused.{refused.reason.value}')
                answer = caller_requests.make_problem(
                    refused,
                    request_id,
                    dialect,
                )
                body = answer.body
            metrics.time('ingress.request', monotonic() - started_at)
            headers = _response_headers(answer, request_id, dialect)
            start_response(_status_line(answer.status), headers)
            return [body]

    return app


def _answer(
    ingress: Ingress,
    metrics: Metrics,
    request: CallerRequest,
    dialect: CallerDialect,
    door: RequestGate,
) -> CallerResponse:
    try:
        if monotonic() >= door.close_at:
            raise RequestRefused(
                Refusal.node_leaving, retry_after=RETRY_SECONDS
            )
        answer = ingress.handle(request)
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
        unknown = RequestRefused(Refusal.internal_error, Outcome.unknown)
        metrics.count(f'ingress.refused.{unknown.reason.value}')
        return caller_requests.make_problem(unknown, request.id, dialect)
    metrics.count('ingress.answered')
    logger.info(
        'request answered',
        request=request.id,
        status=answer.status,
        seconds=round(monotonic() - request.arrived_at, 3),
    )
    return answer


def _response_headers(
    answer: CallerResponse,
    request_id: str,
    dialect: CallerDialect,
) -> list[tuple[str, str]]:
    headers = list(answer.headers)
    names = {name.lower() for name, _ in headers}
    states_length = 'content-length' in names
    if not states_length and answer.status not in BODILESS:
        headers.append(('Content-Length', str(len(answer.body))))
    if request_id and dialect.request_id not in names:
        headers.append((dialect.request_id.title(), request_id))
    return headers


def _status_line(status: int) -> str:
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unassigned'


class _ProblemTask(waitress.task.ErrorTask):
    """Answers what waitress itself refuses in the same form."""

    def execute(self) -> None:
        """Write a problem answer and close the connection."""
        error = self.request.error
        refused = RequestRefused(Refusal.malformed)
        if error.code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            refused = RequestRefused(Refusal.body_too_large)
        elif error.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            refused = RequestRefused(Refusal.internal_error, Outcome.unknown)
        answer = caller_requests.make_problem(refused, '', CallerDialect())
        self.status = _status_line(answer.status)
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)


class _ClosingTask(waitress.task.WSGITask):
    """Tells callers of a leaving node to use another."""

    def execute(self) -> None:
        """Close the connection after the answer where the node leaves."""
        if self.channel.server.is_leaving():
            self.set_close_on_finish()
        super().execute()


class _Channel(waitress.channel.HTTPChannel):
    error_task_class = _ProblemTask
    task_class = _ClosingTask


class _LogBridge(logging.Handler):
    """Sends the library's log records to this node's log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        logger.warning(record.getMessage(), source=record.name)


def bridge_library_logs() -> None:
    """Have waitress log as JSON lines, warnings and worse only."""
    library = logging.getLogger('waitress')
    library.handlers = [_LogBridge()]
    library.setLevel(logging.ERROR)
    library.propagate = False


@contextmanager
def serving(
    app: WsgiApp,
    address: str,
    threads: int,
    is_leaving: Callable[[], bool] = bool,
) -> Iterator[waitress.server.BaseWSGIServer]:
    """Serve HTTP while the block runs."""
    server = waitress.server.create_server(
        app,
        listen=address,
        threads=threads,
        ident='',
        backlog=BACKLOG,
        connection_limit=CONNECTION_LIMIT,
        channel_timeout=IDLE_SECONDS,
        channel_request_lookahead=1,
        max_request_body_size=MAX_BODY_BYTES,
        max_request_header_size=MAX_HEADER_BYTES,
        inbuf_overflow=IN_MEMORY_BYTES,
        outbuf_overflow=IN_MEMORY_BYTES,
        asyncore_use_poll=True,
        clear_untrusted_proxy_headers=False,
    )
    server.channel_class = _Channel
    server.is_leaving = is_leaving
    thread = threading.Thread(
        target=server.run,
        name=f'http {address}',
        daemon=True,
    )
    thread.start()
    try:
        yield server
    finally:
        stop_listening(server)
        server.task_dispatcher.shutdown(cancel_pending=False, timeout=0)


def stop_listening(server: waitress.server.BaseWSGIServer) -> None:
    """Take no further connections; those that are open go on.

    The server's own thread does it, as it owns the socket.
    """
    server.trigger.pull_trigger(
        lambda: waitress.wasyncore.dispatcher.close(server),
    )
