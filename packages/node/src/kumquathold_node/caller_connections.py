"""End of the callers' connections of a node that shuts down.

A request may arrive on an open connection until the moment it is closed. So
only a connection on which nothing has arrived is closed, by the thread that
reads from it, and the node may end once none is left.
"""

from __future__ import annotations

import select
from concurrent.futures import Future
from time import monotonic, sleep
from typing import Any

import waitress.server
import waitress.wasyncore

CLOSE_TIMEOUT_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.01


def stop_listening(server: waitress.server.BaseWSGIServer) -> None:
    """Stop accepting connections; open connections stay open.

    The listening socket is closed on the server's own thread, which owns it.
    Connections that callers have opened by then are accepted first.
    """
    server.trigger.pull_trigger(lambda: _close_listener(server))


def close_idle(server: waitress.server.BaseWSGIServer) -> int:
    """Close the connections without a request; return how many are left.

    Raises `TimeoutError` if the server's thread does not get to it in time.
    """
    left: Future[int] = Future()
    server.trigger.pull_trigger(lambda: left.set_result(_close_idle(server)))
    return left.result(CLOSE_TIMEOUT_SECONDS)


def close_all(server: waitress.server.BaseWSGIServer, timeout: float) -> bool:
    """Stop listening, and close each connection once it has its response.

    Returns whether none is left after `timeout` seconds.
    """
    stop_listening(server)
    end_at = monotonic() + timeout
    try:
        while close_idle(server):
            if monotonic() >= end_at:
                return False
            sleep(POLL_INTERVAL_SECONDS)
    except TimeoutError:
        return False
    return True


def _close_listener(server: waitress.server.BaseWSGIServer) -> None:
    if not server.accepting:
        return
    while _is_readable(server.socket):
        server.handle_accept()
    server.accepting = False
    waitress.wasyncore.dispatcher.close(server)


def _close_idle(server: waitress.server.BaseWSGIServer) -> int:
    channels = list(server.active_channels.values())
    for channel in channels:
        if _is_idle(channel):
            channel.handle_close()
    return len(server.active_channels)


def _is_idle(channel: Any) -> bool:
    """Return whether nothing has arrived, runs or waits to be written."""
    return not (
        channel.requests
        or channel.request is not None
        or channel.total_outbufs_len
        or _is_readable(channel.socket)
    )


def _is_readable(sock: Any) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
