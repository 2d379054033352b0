"""Calls to upstreams over HTTP, by http.client.

Requests that must not run twice never go over a connection that has idled:
it may have gone silent, and a failed call would leave the outcome open.
"""

from __future__ import annotations

import http.client
import socket
import threading
from collections import deque
from time import monotonic

import msgspec

from kumquathold_core.work import Headers, Outcome, Refusal, WorkRequested

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTION_SECONDS = 5.0
MAX_IDLE_CONNECTIONS = 8
READ_BYTES = 262_144
MAX_ANSWER_BYTES = 67_108_864
CRASH_PROBE_SECONDS = 0.2
OUTCOME_HEADER = 'Kumquathold-Outcome'
REQUEST_HEADER = 'Kumquathold-Request'
WORKSPACE_HEADER = 'Kumquathold-Workspace'
DEADLINE_HEADER = 'Kumquathold-Deadline-Ms'
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


class UpstreamAnswer(msgspec.Struct, frozen=True):
    """A whole answer of an upstream."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    body: bytes
    """All of the body."""

    seconds: float
    """From the start of the call to its end."""


class CallFailed(Exception):
    """A call that gave no whole answer."""

    def __init__(
        self,
        outcome: Outcome,
        reason: Refusal,
        *,
        crashed: bool = False,
    ) -> None:
        """Say whether the request ran, and whether the upstream crashed."""
        super().__init__(f'{reason.value}: {outcome.value}')
        self.outcome = outcome
        self.reason = reason
        self.crashed = crashed


class IdleConnection(msgspec.Struct, frozen=True):
    """A connection that may serve again."""

    connection: http.client.HTTPConnection
    """Open, with its last answer read to the end."""

    since: float
    """Own monotonic clock, in seconds, of that moment."""


class UpstreamCalls:
    """The connections to one upstream; any worker thread may use them."""

    def __init__(self, address: str) -> None:
        """Connect to nothing yet."""
        self.address = address
        self.idle: deque[IdleConnection] = deque()
        self.running: dict[object, http.client.HTTPConnection] = {}
        self.lock = threading.Lock()

    def run(self, work: WorkRequested, body: bytes) -> UpstreamAnswer:
        """Run a request; raises `CallFailed`."""
        spare = self._take_idle() if work.idempotent else None
        if spare is None:
            return self._run_on(self._connect(), work, body)
        try:
            return self._run_on(spare, work, body)
        except CallFailed as failure:
            if failure.crashed or failure.outcome != Outcome.unknown:
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
        work: WorkRequested,
        body: bytes,
        first: CallFailed,
    ) -> UpstreamAnswer:
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
        limit = monotonic() - IDLE_CONNECTION_SECONDS
        with self.lock:
            while self.idle:
                spare = self.idle.pop()
                if spare.since >= limit:
                    return spare.connection
                spare.connection.close()
        return None

    def _give_back(self, connection: http.client.HTTPConnection) -> None:
        with self.lock:
            if len(self.idle) < MAX_IDLE_CONNECTIONS:
                self.idle.append(IdleConnection(connection, monotonic()))
                return
        connection.close()

    def _run_on(
        self,
        connection: http.client.HTTPConnection,
        work: WorkRequested,
        body: bytes,
    ) -> UpstreamAnswer:
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
            raise self._explain(error, work) from error
        finally:
            with self.lock:
                self.running.pop(work.request, None)
        if connection.sock is not None:
            self._give_back(connection)
        _refuse_if_shed(answer)
        return answer

    def _exchange(
        self,
        connection: http.client.HTTPConnection,
        work: WorkRequested,
        body: bytes,
        started: float,
    ) -> UpstreamAnswer:
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
        headers = end_to_end(response.getheaders())
        stated = response.getheader('Content-Length')
        if work.method == 'HEAD' and stated is not None:
            headers = (*headers, ('Content-Length', stated))
        return UpstreamAnswer(
            status=response.status,
            headers=headers,
            body=b''.join(chunks),
            seconds=monotonic() - started,
        )

    def _send(
        self,
        connection: http.client.HTTPConnection,
        work: WorkRequested,
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
        connection.putheader(REQUEST_HEADER, str(work.request))
        connection.putheader(DEADLINE_HEADER, str(int(left * 1000)))
        if work.workspace:
            connection.putheader(WORKSPACE_HEADER, work.workspace)
        if body or work.method in {'POST', 'PUT', 'PATCH'}:
            connection.putheader('Content-Length', str(len(body)))
        connection.endheaders(body or None)

    def _explain(self, error: Exception, work: WorkRequested) -> CallFailed:
        if isinstance(error, TimeoutError) or monotonic() >= work.deadline:
            return CallFailed(Outcome.unknown, Refusal.deadline_passed)
        return CallFailed(
            Outcome.unknown,
            Refusal.upstream_failed,
            crashed=self._is_gone(),
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


def _refuse_if_shed(answer: UpstreamAnswer) -> None:
    headers = {name.lower(): text for name, text in answer.headers}
    says_not_run = headers.get(OUTCOME_HEADER.lower()) == Outcome.not_run
    if answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE and says_not_run:
        raise CallFailed(Outcome.not_run, Refusal.upstream_shed)
