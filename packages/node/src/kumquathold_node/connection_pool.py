"""Pool of the idle keep-alive connections to one upstream.

A connection is reused only within the upstream's `Keep-Alive` timeout and while
nothing has arrived on it since its last response. A second copy of an earlier
response may still arrive afterwards. Only the id of the request tells it apart:
a connection is kept only if the last response carried one, the next response
must carry one too, and a request that is repeated takes a connection that has
not carried it.
"""

from __future__ import annotations

import re
import select
import threading
from collections import deque
from time import monotonic

import msgspec

from kumquathold_node.upstream_responses import UpstreamConnection

IDLE_TIMEOUT_SECONDS = 5.0
KEEP_ALIVE_MARGIN_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 8
MAX_REQUESTS_PER_CONNECTION = 1000
"""Bounds the ids that are kept for a connection."""

# Further digits would make no difference to a number of this size.
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r'timeout=(\d{1,9})')


class IdleConnection(msgspec.Struct, frozen=True):
    """A keep-alive connection in the pool."""

    connection: UpstreamConnection
    """Open connection whose last response has been read completely."""

    expires_at: float
    """Own monotonic clock, in seconds, after which it is not reused."""


class ConnectionPool:
    """Idle connections, the last used first; safe to use from many threads."""

    __slots__ = ('idle', 'lock')

    def __init__(self) -> None:
        """Start empty."""
        self.idle: deque[IdleConnection] = deque()
        self.lock = threading.Lock()

    def take(self, sent_id: str) -> UpstreamConnection | None:
        """Remove and return a connection that has not carried this id."""
        now = monotonic()
        with self.lock:
            unfit: list[IdleConnection] = []
            found = None
            while self.idle and found is None:
                idle = self.idle.pop()
                if idle.expires_at < now or not _is_reusable(idle.connection):
                    idle.connection.close()
                elif sent_id in idle.connection.carried_ids:
                    unfit.append(idle)
                else:
                    found = idle.connection
            self.idle.extend(reversed(unfit))
            return found

    def release(self, connection: UpstreamConnection, keep_alive: str) -> None:
        """Keep a connection for the next request, or close it.

        `keep_alive` is the `Keep-Alive` header of its last response.
        """
        expires_at = monotonic() + _parse_keep_alive(keep_alive)
        has_room = len(connection.carried_ids) < MAX_REQUESTS_PER_CONNECTION
        with self.lock:
            if has_room and len(self.idle) < MAX_IDLE_CONNECTIONS:
                self.idle.append(IdleConnection(connection, expires_at))
                return
        connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        with self.lock:
            idle_connections = list(self.idle)
            self.idle.clear()
        for idle in idle_connections:
            idle.connection.close()


def _is_reusable(connection: UpstreamConnection) -> bool:
    """Return whether a connection is open and has nothing to read.

    Pending input is either the upstream's close or stray data after the last
    response.
    """
    if connection.sock is None:
        return False
    poller = select.poll()
    poller.register(connection.sock, select.POLLIN)
    return not poller.poll(0)


def _parse_keep_alive(keep_alive: str) -> float:
    """Return the seconds that a connection with this header may idle."""
    match = KEEP_ALIVE_TIMEOUT_PATTERN.search(keep_alive)
    if match is None:
        return IDLE_TIMEOUT_SECONDS
    keep_alive_seconds = int(match[1]) - KEEP_ALIVE_MARGIN_SECONDS
    return min(max(keep_alive_seconds, 0.0), IDLE_TIMEOUT_SECONDS)
