"""Calls to upstreams over HTTP, by http.client.

A kept connection is used again only while the upstream has said that it keeps
it and nothing has arrived on it since its last answer. Whether requests that
must not run twice may use one is the dialect's choice: a connection may have
gone silent, and a failed call leaves the outcome open.
"""

from __future__ import annotations

import http.client
import re
import select
import socket
import threading
from collections import deque
from time import monotonic

import msgspec

from kumquathold_core.forwarding import (
    ForwardRequest,
    Headers,
    Outcome,
    Refusal,
)
from kumquathold_node.dialect import UpstreamDialect

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 5.0
IDLE_MARGIN_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 8
READ_BYTES = 262_144
MAX_ANSWER_BYTES = 67_108_864
CRASH_PROBE_SECONDS = 0.2
STALE_SECONDS = 0.03
OUTCOME_HEADER = 'Kumquathold-Outcome'
PUBLIC = '-'
PROMISES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses by which callers take a request for not run."""

KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
    )
)


class UpstreamResponse(msgspec.Struct, frozen=True):
    """A whole answer of an upstream."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    body: bytes
    """All of the body."""

    seconds: float
    """From the start of the call to its end."""

    kept_for: str = ''
    """What its `Keep-Alive` header says."""


class CallFailed(Exception):
    """A call that gave no whole answer."""

    def __init__(
        self,
        outcome: Outcome,
        reason: Refusal,
        *,
        crashed: bool = False,
        at_once: bool = False,
    ) -> None:
        """Say whether the request ran, and whether the upstream crashed.

        `at_once` tells that the connection failed as soon as it was used, so
        that it had been closed before.
        """
        super().__init__(f'{reason.value}: {outcome.value}')
        self.outcome = outcome
        self.reason = reason
        self.crashed = crashed
        self.at_once = at_once


class IdleConnection(msgspec.Struct, frozen=True):
    """A connection that may serve again."""

    connection: http.client.HTTPConnection
    """Open, with its last answer read to the end."""

    until: float
    """Own monotonic clock, in seconds, up to when it may be used again."""


class UpstreamCalls:
    """The connections to one upstream; any worker thread may use them."""

    def __init__(
        self,
        address: str,
        name: str = '',
        dialect: UpstreamDialect | None = None,
    ) -> None:
        """Connect to nothing yet."""
        self.address = address
        self.name = name or address
        self.dialect = dialect or UpstreamDialect()
        self.idle: deque[IdleConnection] = deque()
        self.running: dict[object, http.client.HTTPConnection] = {}
        self.lock = threading.Lock()

    def run(self, work: ForwardRequest, body: bytes) -> UpstreamResponse:
        """Run a request; raises `CallFailed`."""
        may_reuse = work.idempotent or self.dialect.reuses_for_non_idempotent
        spare = self._take_idle() if may_reuse else None
        if spare is None:
            return self._run_on(self._connect(), work, body)
        try:
            return self._run_on(spare, work, body)
        except CallFailed as failure:
            is_final = failure.crashed or failure.outcome != Outcome.unknown
            if is_final or not work.idempotent or not failure.at_once:
                raise
            return self._run_again(work, body, failure)

    def cancel(self, request: object) -> bool:
        """Close the connection of a running request; the upstream sees it."""
        with self.lock:
            connection = self.running.get(request)
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
        with self.lock:
            spares = list(self.idle)
            self.idle.clear()
        for spare in spares:
            spare.connection.close()

    def _run_again(
        self,
        work: ForwardRequest,
        body: bytes,
        first: CallFailed,
    ) -> UpstreamResponse:
        """Try a new connection after an idle one failed.

        What failed first may have run, whatever becomes of the second.
        """
        try:
            return self._run_on(self._connect(), work, body)
        except CallFailed as second:
            raise CallFailed(
                first.outcome,
                second.reason,
                crashed=second.crashed,
            ) from first

    def _connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            self.address,
            timeout=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            connection.connect()
        except OSError as error:
            raise CallFailed(
                Outcome.not_run,
                Refusal.upstream_unreachable,
            ) from error
        return connection

    def _take_idle(self) -> http.client.HTTPConnection | None:
        now = monotonic()
        with self.lock:
            while self.idle:
                spare = self.idle.pop()
                if spare.until >= now and _is_quiet(spare.connection):
                    return spare.connection
                spare.connection.close()
        return None

    def _give_back(
        self,
        connection: http.client.HTTPConnection,
        seconds: float,
    ) -> None:
        spare = IdleConnection(connection, monotonic() + seconds)
        with self.lock:
            if len(self.idle) < MAX_IDLE_CONNECTIONS:
                self.idle.append(spare)
                return
        connection.close()

    def _run_on(
        self,
        connection: http.client.HTTPConnection,
        work: ForwardRequest,
        body: bytes,
    ) -> UpstreamResponse:
        started = monotonic()
        if started >= work.deadline:
            connection.close()
            raise CallFailed(Outcome.not_run, Refusal.deadline_passed)
        with self.lock:
            self.running[work.request] = connection
        try:
            answer = self._exchange(connection, work, body, started)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise self._explain(error, work, started) from error
        finally:
            with self.lock:
                self.running.pop(work.request, None)
        if connection.sock is not None:
            seconds = _kept_seconds(answer.kept_for)
            self._give_back(connection, seconds)
        self._check(answer, work)
        return answer

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        work: ForwardRequest,
        body: bytes,
        started: float,
    ) -> UpstreamResponse:
        _set_timeout(connection, work.deadline)
        self._send(connection, work, body)
        response = connection.getresponse()
        chunks = []
        size = 0
        while True:
            _set_timeout(connection, work.deadline)
            chunk = response.read(READ_BYTES)
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise http.client.HTTPException('answer too large')
        _check_length(response, work.method, size)
        self._check_echo(response, work)
        headers = end_to_end(response.getheaders())
        stated = response.getheader('Content-Length')
        if work.method == 'HEAD' and stated is not None:
            headers = (*headers, ('Content-Length', stated))
        return UpstreamResponse(
            status=response.status,
            headers=headers,
            body=b''.join(chunks),
            seconds=monotonic() - started,
            kept_for=response.getheader('Keep-Alive', ''),
        )

    def _check_echo(
        self,
        response: http.client.HTTPResponse,
        work: ForwardRequest,
    ) -> None:
        """Refuse an answer that belongs to another request."""
        if not self.dialect.passes_request_id:
            return
        name = self.dialect.request_id.lower()
        sent = [text for key, text in work.headers if key.lower() == name]
        echoed = response.getheader(name)
        if echoed is not None and [echoed] != sent[:1]:
            raise http.client.HTTPException('answer to another request')

    def _check(self, answer: UpstreamResponse, work: ForwardRequest) -> None:
        """Raise `CallFailed` for an answer that must not be passed on."""
        by_name = {name.lower(): text for name, text in answer.headers}
        said = by_name.get(self.dialect.not_run.lower())
        expected = self.dialect.not_run_value
        says_not_run = said is not None and (not expected or said == expected)
        if answer.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            raise CallFailed(Outcome.not_run, Refusal.upstream_replaced)
        if answer.status in PROMISES and says_not_run:
            raise CallFailed(Outcome.not_run, Refusal.upstream_shed)
        if not self.dialect.seal:
            return
        is_success = answer.status < http.HTTPStatus.MULTIPLE_CHOICES
        is_sealed = self.dialect.seal.lower() in by_name
        if answer.status in PROMISES or (is_success and not is_sealed):
            raise CallFailed(Outcome.unknown, Refusal.upstream_failed)

    def _send(
        self,
        connection: http.client.HTTPConnection,
        work: ForwardRequest,
        body: bytes,
    ) -> None:
        left = max(0, work.deadline - monotonic())
        connection.putrequest(
            work.method,
            work.target,
            skip_host=any(name.lower() == 'host' for name, _ in work.headers),
            skip_accept_encoding=True,
        )
        for name, text in work.headers:
            connection.putheader(name, text.encode('latin-1'))
        for name, text in self._own_headers(work, left):
            connection.putheader(name, text)
        if body or work.method in {'POST', 'PUT', 'PATCH'}:
            connection.putheader('Content-Length', str(len(body)))
        connection.endheaders(body or None)

    def _own_headers(
        self,
        work: ForwardRequest,
        left: float,
    ) -> list[tuple[str, str]]:
        dialect = self.dialect
        headers = [(dialect.deadline, str(int(left * 1000)))]
        if not dialect.passes_request_id:
            headers.append((dialect.request_id, str(work.request)))
        is_named = work.workspace and work.workspace != PUBLIC
        if is_named or dialect.sends_public_workspace:
            headers.append((dialect.workspace, work.workspace))
        if dialect.expected_instance:
            headers.append((dialect.expected_instance, self.name))
        return headers

    def _explain(
        self,
        error: Exception,
        work: ForwardRequest,
        started: float,
    ) -> CallFailed:
        failed_after = monotonic() - started
        if isinstance(error, TimeoutError) or monotonic() >= work.deadline:
            return CallFailed(Outcome.unknown, Refusal.deadline_passed)
        return CallFailed(
            Outcome.unknown,
            Refusal.upstream_failed,
            crashed=self._is_gone(),
            at_once=isinstance(error, ConnectionError)
            and failed_after < STALE_SECONDS,
        )

    def _is_gone(self) -> bool:
        host, _, port = self.address.rpartition(':')
        try:
            probe = socket.create_connection(
                (host, int(port)),
                timeout=CRASH_PROBE_SECONDS,
            )
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        probe.close()
        return False


def end_to_end(headers: list[tuple[str, str]]) -> Headers:
    """Leave out the headers that are for one hop only.

    That goes too for those that the Connection header names, and for the
    length, which each hop states itself.
    """
    dropped = set(HOP_BY_HOP)
    for name, text in headers:
        if name.lower() == 'connection':
            dropped.update(part.strip().lower() for part in text.split(','))
    return tuple(
        (name, text)
        for name, text in headers
        if name.lower() not in dropped and name.lower() != 'content-length'
    )


def _set_timeout(
    connection: http.client.HTTPConnection,
    deadline: float,
) -> None:
    left = deadline - monotonic()
    if left <= 0:
        raise TimeoutError('deadline passed')
    if connection.sock is not None:
        connection.sock.settimeout(left)


def _check_length(
    response: http.client.HTTPResponse,
    method: str,
    size: int,
) -> None:
    stated = response.getheader('Content-Length')
    has_body = method != 'HEAD' and response.status not in {204, 304}
    if has_body and stated is not None and int(stated) != size:
        raise http.client.IncompleteRead(b'', int(stated) - size)


def _is_quiet(connection: http.client.HTTPConnection) -> bool:
    """Whether nothing came on a kept connection, not even its end."""
    if connection.sock is None:
        return False
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return not poller.poll(0)


def _kept_seconds(kept_for: str) -> float:
    """How long a connection may idle, by its `Keep-Alive` header."""
    match = KEEP_ALIVE_TIMEOUT.search(kept_for)
    if match is None:
        return IDLE_CONNECTION_SECONDS
    promised = int(match[1]) - IDLE_MARGIN_SECONDS
    return min(max(promised, 0.0), IDLE_CONNECTION_SECONDS)
