"""Probe that tells whether the process of an upstream has ended."""

from __future__ import annotations

import select
import socket
from time import monotonic, sleep

PROBE_SECONDS = 0.2
"""Longest duration of the probe."""

MAX_PROBES = 4
PROBE_INTERVAL_SECONDS = 0.01


def has_ended(address: str) -> bool:
    """Return whether an upstream that closed a connection has ended.

    Its port then refuses connections. A process that ends may close its
    connections before the port, which accepts new ones until then and resets
    them as it closes. So a connection that is accepted is watched for a while,
    and another follows if it is closed.
    """
    end_at = monotonic() + PROBE_SECONDS
    for _ in range(MAX_PROBES):
        remaining = end_at - monotonic()
        if remaining <= 0:
            return False
        try:
            is_closed = _is_closed_within(address, remaining)
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        if not is_closed:
            return False
        sleep(PROBE_INTERVAL_SECONDS)
    return False


def _is_closed_within(address: str, seconds: float) -> bool:
    """Connect, and return whether the upstream closes the connection."""
    host, _, port = address.rpartition(':')
    end_at = monotonic() + seconds
    with socket.create_connection((host, int(port)), timeout=seconds) as probe:
        poller = select.poll()
        poller.register(probe, select.POLLIN)
        remaining = max(end_at - monotonic(), 0)
        return bool(poller.poll(remaining * 1000))
