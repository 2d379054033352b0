"""HTTP servers of a node, by waitress.

Requests run on threads that are started as they are needed.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial
from http import HTTPStatus
from time import monotonic
from typing import Any

import waitress.channel
import waitress.parser
import waitress.server
import waitress.task
import waitress.utilities
from loguru import logger

from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node import caller_connections, caller_requests
from kumquathold_node.body_memory import (
    BodyMemory,
    BodyMemoryFull,
    Reservation,
)
from kumquathold_node.caller_requests import RequestRefused
from kumquathold_node.dialect import CallerDialect
from kumquathold_node.supervision import Supervisor

MAX_BODY_BYTES = 67_108_864
MAX_HEADER_BYTES = 262_144
MAX_BUFFERED_BYTES = MAX_BODY_BYTES * 2
"""Buffers above this size go to disk, which no allowed body reaches."""

CONNECTION_LIMIT = 4000
IDLE_CONNECTION_SECONDS = 60
LISTEN_BACKLOG = 1024
NO_MEMORY_RETRY_SECONDS = 0.5
"""Time after which clients may send a body again that was not kept."""

END_TIMEOUT_SECONDS = 0.1
"""The end of a process takes this long at most for each of its servers."""


StartResponse = Callable[..., Any]
WsgiApp = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]


DROP_BODY = 'kumquathold.drop_body'
"""Key of the WSGI environment for the function that drops the body."""


def format_status(status: int) -> str:
    """Return a status with its phrase, for a status line."""
    try:
        return f'{status} {HTTPStatus(status).phrase}'
    except ValueError:
        return f'{status} Unassigned'


class ThreadDispatcher:
    """Runs requests on a pool of threads, in the place of waitress's own.

    A thread is started only if none is idle, up to a limit, so that a node
    without load has few of them.
    """

    def __init__(self, name: str, max_threads: int) -> None:
        """Start without threads."""
        self.executor = ThreadPoolExecutor(max_threads, name)

    def add_task(self, channel: waitress.channel.HTTPChannel) -> None:
        """Run the requests of a channel on a thread."""
        self.executor.submit(self._serve, channel)

    def shutdown(
        self,
        cancel_pending: bool = True,  # noqa: FBT001, FBT002
        timeout: float = 0,
    ) -> None:
        """Start no further requests; running ones continue."""
        self.executor.shutdown(wait=False, cancel_futures=cancel_pending)

    def _serve(self, channel: waitress.channel.HTTPChannel) -> None:
        try:
            channel.service()
        except Exception:
            logger.exception('request failed in the server')


class _ProblemTask(waitress.task.ErrorTask):
    """Returns problem details for requests that waitress itself refuses."""

    def execute(self) -> None:
        """Write the problem details and close the connection."""
        error = self.request.error
        refused = RequestRefused(Refusal.malformed)
        if error.code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            refused = RequestRefused(Refusal.body_too_large)
        elif isinstance(error, _NoMemory):
            refused = RequestRefused(
                Refusal.overloaded, retry_after=NO_MEMORY_RETRY_SECONDS
            )
        elif error.code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            refused = RequestRefused(Refusal.internal_error, Outcome.unknown)
        response = caller_requests.make_problem(
            refused, '', self.channel.server.caller_dialect
        )
        self.status = format_status(response.status)
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
        environ[DROP_BODY] = self.request.close
        return environ


class _NoMemory(waitress.utilities.Error):
    """A body was not kept, since the process holds too many."""

    code = HTTPStatus.SERVICE_UNAVAILABLE
    reason = HTTPStatus.SERVICE_UNAVAILABLE.phrase


class _DiscardedBody:
    """Takes the place of a body's buffer, and keeps nothing."""

    def append(self, _: bytes) -> None:
        """Drop bytes."""

    def __len__(self) -> int:
        """Return 0, as nothing is kept."""
        return 0

    def close(self) -> None:
        """Do nothing."""


class _RequestParser(waitress.parser.HTTPRequestParser):
    """Notes when a request arrives, and counts the memory of its body.

    All worker threads may be busy when it is complete. The time that it waits
    for one counts against its deadline. A body for which there is no memory is
    read to its end, so that the client gets the refusal, but not kept.
    """

    error: Any

    def __init__(self, memory: BodyMemory, adjustments: Any) -> None:
        """Note the time."""
        super().__init__(adjustments)
        self.arrived_at = monotonic()
        self.reservation = Reservation(memory)
        self.is_discarded = False

    def received(self, data: bytes) -> int:
        """Take bytes of the request; return how many."""
        consumed: int = super().received(data)
        if self.body_rcv is not None and not self.is_discarded:
            self._reserve()
        if self.is_discarded and self.completed and self.error is None:
            self.error = _NoMemory('no memory for the body')
        return consumed

    def close(self) -> None:
        """Drop the body."""
        super().close()
        self.reservation.release()

    def _reserve(self) -> None:
        """Reserve the stated size of the body, or else what has arrived."""
        size = max(self.content_length, self.body_bytes_received)
        try:
            self.reservation.grow(max(0, size - self.reservation.size))
        except BodyMemoryFull as error:
            logger.warning('body not kept', cause=str(error))
            self.is_discarded = True
            self.reservation.release()
            self.body_rcv.buf = _DiscardedBody()


class _Channel(waitress.channel.HTTPChannel):
    """A connection of a client; counts the memory of what it has not read."""

    error_task_class = _ProblemTask
    task_class = _ClosingTask

    def __init__(self, server: Any, *others: Any, **named: Any) -> None:
        """Use the memory of the server."""
        self.parser_class = partial(_RequestParser, server.body_memory)
        self.unread = Reservation(server.body_memory)
        super().__init__(server, *others, **named)

    def write_soon(self, data: Any) -> int:
        """Queue bytes for the client; waits while it reads too slowly."""
        queued: int = super().write_soon(data)
        self.unread.resize(self.total_outbufs_len)
        return queued

    def handle_write(self) -> None:
        """Send queued bytes."""
        super().handle_write()
        self.unread.resize(self.total_outbufs_len)

    def handle_close(self) -> None:
        """Close the connection, and drop a request that is incomplete."""
        super().handle_close()
        self.unread.release()
        if self.request is not None:
            self.request.close()


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
    memory: BodyMemory | None = None,
    dialect: CallerDialect | None = None,
) -> Iterator[waitress.server.BaseWSGIServer]:
    """Serve HTTP on `address` while the block runs, on `threads` at most.

    While `is_draining` returns true, connections are closed after a response.
    `memory` bounds the bodies of requests, and `dialect` is that of refusals.
    As the block ends, requests that have arrived get their responses, for
    `END_TIMEOUT_SECONDS` at most.
    """
    server = waitress.server.create_server(
        _dropping_bodies(app),
        listen=address,
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
        _dispatcher=ThreadDispatcher(f'http {address}', threads),
    )
    server.body_memory = memory or BodyMemory(MAX_BODY_BYTES)
    server.caller_dialect = dialect or CallerDialect()
    server.channel_class = _Channel
    server.is_draining = is_draining
    thread = threading.Thread(
        target=Supervisor(f'http {address}', server.run).run,
        name=f'http {address}',
        daemon=True,
    )
    thread.start()
    try:
        yield server
    finally:
        server.is_draining = _always
        if not caller_connections.close_all(server, END_TIMEOUT_SECONDS):
            logger.warning('connections left at the end', address=address)
        server.task_dispatcher.shutdown(cancel_pending=False)


def _dropping_bodies(app: WsgiApp) -> WsgiApp:
    """Drop each body once it is handled, before its response is sent.

    The client may send the next one as soon as it has the response.
    """

    def handle(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            return app(environ, start_response)
        finally:
            environ[DROP_BODY]()

    return handle


def _always() -> bool:
    return True
