"""TCP keep-alive probes, by which a connection that has gone silent is noticed.

A path may drop all packets of an open connection, without a reset, while new
connections work. A call that waits for its response can't tell that from a slow
one; the kernel can, since the other end no longer acknowledges its probes.
"""

from __future__ import annotations

import socket

PROBE_IDLE_SECONDS = 1
"""Time without a packet after which the kernel probes the other end."""

PROBE_INTERVAL_SECONDS = 1
"""Time in which a probe must be acknowledged."""

MAX_UNANSWERED_PROBES = 1
"""Probes without an acknowledgement after which the connection has failed."""

UNACKNOWLEDGED_MILLISECONDS = 2000
"""Longest time that sent data or a probe may stay unacknowledged."""


def enable_probes(sock: socket.socket) -> None:
    """Let the operations on a socket fail soon after it has gone silent.

    A read then raises `OSError` about `PROBE_IDLE_SECONDS` and
    `PROBE_INTERVAL_SECONDS` after the last packet, whatever its timeout.
    """
    options = (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
    )
    for option, setting in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, setting)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
