"""HTTP/1.1 client for one upstream.

The dialect decides whether requests that must not run twice may reuse a
connection: it may be dead without a sign of it, and a failed call leaves the
outcome unknown.
"""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Callable
from contextlib import closing
from time import monotonic

from loguru import logger

from kumquathold_core.forwarding import ForwardRequest, Outcome, Refusal
from kumquathold_node import upstream_probes
from kumquathold_node.body_memory import BodyMemory, Reservation
from kumquathold_node.connection_pool import ConnectionPool
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.response_statements import (
    ResponseStatement,
    read_statement,
)
from kumquathold_node.upstream_responses import (
    MAX_RESPONSE_BYTES,
    ForeignResponse,
    UpstreamConnection,
    UpstreamResponse,
    read_body,
    strip_hop_by_hop_headers,
)

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_CAUSE_CHARACTERS = 200
STALE_CONNECTION_SECONDS = 0.03
OUTCOME_HEADER = 'Kumquathold-Outcome'
PUBLIC_WORKSPACE = '-'
NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses from which callers conclude that the request did not run."""


class CallFailed(Exception):
    """A call that failed, or whose response must not be passed on."""

    def __init__(
        self,
        outcome: Outcome,
        reason: Refusal,
        *,
        crashed: bool = False,
        statement: ResponseStatement | None = None,
    ) -> None:
        """Create the error.

        `outcome` says whether the request ran, as far as is known, `crashed`
        whether the upstream's process has ended, and `statement` what the
        response stated, if there was one.
        """
        super().__init__(f'{reason.value}: {outcome.value}')
        self.outcome = outcome
        self.reason = reason
        self.crashed = crashed
        self.statement = statement


class _ConnectionBroken(Exception):
    """The upstream closed a connection before its response was complete."""

    def __init__(
        self, *, is_stale: bool = False, is_ended: bool = False
    ) -> None:
        """Create the error.

        `is_stale` says that this came within `STALE_CONNECTION_SECONDS` of the
        start of the call, so that the connection had been closed before, and
        `is_ended` that the upstream refuses connections.
        """
        super().__init__('connection closed by the upstream')
        self.is_stale = is_stale
        self.is_ended = is_ended


class UpstreamCalls:
    """The calls to one upstream; safe to use from several threads."""

    def __init__(
        self,
        address: str,
        name: str = '',
        dialect: UpstreamDialect | None = None,
        memory: BodyMemory | None = None,
    ) -> None:
        """Set up an empty pool without connecting.

        `memory` is shared by all whose bodies it bounds together.
        """
        self.address = address
        self.name = name or address
        self.dialect = dialect or UpstreamDialect()
        self.memory = memory or BodyMemory(MAX_RESPONSE_BYTES)
        self.pool = ConnectionPool()
        self.running: dict[object, UpstreamConnection] = {}
        self.lock = threading.Lock()

    def run(
        self,
        message: ForwardRequest,
        body: bytes,
        on_broken: Callable[[], object] = bool,
    ) -> UpstreamResponse:
        """Send a request to the upstream and return its response.

        An idempotent request whose reused connection turns out to be stale is
        repeated once on a new connection. Raises `CallFailed`. Before the
        upstream is probed, as it closed the connection early, `on_broken` is
        called.
        """
        try:
            return self._run_with_pool(message, body)
        except _ConnectionBroken as broken:
            on_broken()
            raise CallFailed(
                Outcome.unknown,
                Refusal.upstream_failed,
                crashed=broken.is_ended
                or upstream_probes.has_ended(self.address),
            ) from broken

    def _run_with_pool(
        self, message: ForwardRequest, body: bytes
    ) -> UpstreamResponse:
        may_reuse = message.idempotent or self.dialect.reuses_for_non_idempotent
        connection = None
        if may_reuse:
            connection = self.pool.take(self._id_of(message))
        if connection is None:
            return self._run_on_connection(self._connect(), message, body)
        try:
            return self._run_on_connection(connection, message, body)
        except _ConnectionBroken as broken:
            if not message.idempotent or not broken.is_stale:
                raise
            return self._retry(message, body, broken)

    def cancel(self, request_id: object) -> bool:
        """Shut down the connection of a running request.

        The upstream sees the connection close. Returns false where the request
        has no open connection.
        """
        with self.lock:
            connection = self.running.pop(request_id, None)
        sock = connection.sock if connection else None
        if sock is None:
            return False
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()

    def _retry(
        self,
        message: ForwardRequest,
        body: bytes,
        first: _ConnectionBroken,
    ) -> UpstreamResponse:
        """Repeat a request on a new connection after a reused one failed.

        If the upstream then refuses connections, its process ended while the
        first attempt, which may have run, was on its way or running.
        """
        try:
            connection = self._connect()
        except CallFailed as refused:
            raise _ConnectionBroken(is_ended=True) from refused
        try:
            return self._run_on_connection(connection, message, body)
        except CallFailed as second:
            raise CallFailed(Outcome.unknown, second.reason) from first

    def _connect(self) -> UpstreamConnection:
        connection = UpstreamConnection(self.address, CONNECT_TIMEOUT_SECONDS)
        try:
            connection.connect()
        except OSError as error:
            raise CallFailed(
                Outcome.not_run,
                Refusal.upstream_unreachable,
            ) from error
        return connection

    def _run_on_connection(
        self,
        connection: UpstreamConnection,
        message: ForwardRequest,
        body: bytes,
    ) -> UpstreamResponse:
        started = monotonic()
        if started >= message.deadline:
            connection.close()
            raise CallFailed(Outcome.not_run, Refusal.deadline_passed)
        with self.lock:
            self.running[message.request] = connection
        try:
            response = self._exchange(connection, message, body, started)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            logger.info(
                'upstream call failed',
                request=message.caller_id,
                upstream=self.name,
                cause=repr(error)[:MAX_CAUSE_CHARACTERS],
            )
            raise self._classify_error(error, message, started) from error
        finally:
            with self.lock:
                self.running.pop(message.request, None)
        if response.names_request and connection.sock is not None:
            self.pool.release(connection, response.keep_alive)
        else:
            connection.close()
        self._check_response(response, message)
        return response

    def _exchange(
        self,
        connection: UpstreamConnection,
        message: ForwardRequest,
        body: bytes,
        started: float,
    ) -> UpstreamResponse:
        connection.deadline = message.deadline
        _set_timeout(connection, message.deadline)
        is_reused = bool(connection.carried_ids)
        connection.carried_ids.add(self._id_of(message))
        self._send_request(connection, message, body)
        with closing(connection.getresponse()) as response:
            statement = read_statement(response, self.dialect)
            names_request = self._names_request(response, message)
            if is_reused and not names_request:
                raise ForeignResponse('response without an id')
            reservation = Reservation(self.memory)
            content = read_body(
                response, message.method, reservation, message.deadline
            )
            return self._make_response(
                response,
                message,
                content,
                monotonic() - started,
                statement,
                reservation,
                names_request=names_request,
            )

    def _make_response(
        self,
        response: http.client.HTTPResponse,
        message: ForwardRequest,
        content: bytes,
        seconds: float,
        statement: ResponseStatement,
        reservation: Reservation,
        *,
        names_request: bool,
    ) -> UpstreamResponse:
        headers = strip_hop_by_hop_headers(response.getheaders())
        content_length = response.getheader('Content-Length')
        if message.method == 'HEAD' and content_length is not None:
            headers = (*headers, ('Content-Length', content_length))
        return UpstreamResponse(
            status=response.status,
            headers=headers,
            body=content,
            seconds=seconds,
            keep_alive=response.getheader('Keep-Alive', ''),
            names_request=names_request,
            statement=statement,
            reservation=reservation,
        )

    def _names_request(
        self,
        response: http.client.HTTPResponse,
        message: ForwardRequest,
    ) -> bool:
        """Return whether a response carries the id of the request.

        Raises `ForeignResponse` if it carries another id.
        """
        echoed = response.getheader(self.dialect.request_id)
        if echoed is not None and echoed != self._id_of(message):
            raise ForeignResponse('response to another request')
        return echoed is not None

    def _id_of(self, message: ForwardRequest) -> str:
        """Return the id that the upstream gets with a request."""
        if not self.dialect.passes_request_id:
            return str(message.request)
        name = self.dialect.request_id.lower()
        ids = (text for key, text in message.headers if key.lower() == name)
        return next(ids, '')

    def _check_response(
        self, response: UpstreamResponse, message: ForwardRequest
    ) -> None:
        """Raise `CallFailed` for a response that must not be passed on."""
        by_name = {name.lower(): text for name, text in response.headers}
        not_run_header = by_name.get(self.dialect.not_run.lower())
        expected = self.dialect.not_run_value
        is_not_run = not_run_header is not None and (
            not expected or not_run_header == expected
        )
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            raise CallFailed(
                Outcome.not_run,
                Refusal.upstream_replaced,
                statement=response.statement,
            )
        if response.status in NOT_RUN_STATUSES and is_not_run:
            raise CallFailed(
                Outcome.not_run,
                Refusal.upstream_shed,
                statement=response.statement,
            )
        if not self.dialect.seal:
            return
        is_success = response.status < http.HTTPStatus.MULTIPLE_CHOICES
        is_sealed = self.dialect.seal.lower() in by_name
        if response.status in NOT_RUN_STATUSES or (
            is_success and not is_sealed
        ):
            raise CallFailed(
                Outcome.unknown,
                Refusal.upstream_failed,
                statement=response.statement,
            )

    def _send_request(
        self,
        connection: UpstreamConnection,
        message: ForwardRequest,
        body: bytes,
    ) -> None:
        remaining = max(0, message.deadline - monotonic())
        connection.putrequest(
            message.method,
            message.target,
            skip_host=any(
                name.lower() == 'host' for name, _ in message.headers
            ),
            skip_accept_encoding=True,
        )
        for name, text in message.headers:
            connection.putheader(name, text.encode('latin-1'))
        for name, text in self._make_headers(message, remaining):
            connection.putheader(name, text)
        if body or message.method in {'POST', 'PUT', 'PATCH'}:
            connection.putheader('Content-Length', str(len(body)))
        connection.endheaders(body or None)

    def _make_headers(
        self,
        message: ForwardRequest,
        remaining: float,
    ) -> list[tuple[str, str]]:
        dialect = self.dialect
        headers = [(dialect.deadline, str(int(remaining * 1000)))]
        if not dialect.passes_request_id:
            headers.append((dialect.request_id, str(message.request)))
        is_named = message.workspace and message.workspace != PUBLIC_WORKSPACE
        if is_named or dialect.sends_public_workspace:
            headers.append((dialect.workspace, message.workspace))
        if dialect.expected_instance:
            headers.append((dialect.expected_instance, self.name))
        return headers

    def _classify_error(
        self,
        error: Exception,
        message: ForwardRequest,
        started: float,
    ) -> CallFailed | _ConnectionBroken:
        failed_after = monotonic() - started
        with self.lock:
            is_cancelled = message.request not in self.running
        if isinstance(error, TimeoutError) or monotonic() >= message.deadline:
            return CallFailed(Outcome.unknown, Refusal.deadline_passed)
        if is_cancelled or not _is_disconnect(error):
            return CallFailed(Outcome.unknown, Refusal.upstream_failed)
        return _ConnectionBroken(
            is_stale=isinstance(error, ConnectionError)
            and failed_after < STALE_CONNECTION_SECONDS,
        )


def _set_timeout(
    connection: UpstreamConnection,
    deadline: float,
) -> None:
    remaining = deadline - monotonic()
    if remaining <= 0:
        raise TimeoutError('deadline passed')
    if connection.sock is not None:
        connection.sock.settimeout(remaining)


def _is_disconnect(error: Exception) -> bool:
    """Return whether the upstream closed the connection too early."""
    return isinstance(
        error,
        (ConnectionError, http.client.IncompleteRead),
    )
