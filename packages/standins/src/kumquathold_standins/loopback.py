"""Ports, calls and waits on the loopback interface."""

from __future__ import annotations

import itertools
import random
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from http.client import HTTPConnection

from kumquathold_cli.client import ClientError

FIRST_PORT = 20_000
PORT_LIMIT = 32_000
"""Exclusive."""

START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05

_first_offset = random.SystemRandom().randrange(PORT_LIMIT - FIRST_PORT)
_ports = itertools.cycle(
    FIRST_PORT + (_first_offset + step) % (PORT_LIMIT - FIRST_PORT)
    for step in range(PORT_LIMIT - FIRST_PORT)
)


class FleetError(Exception):
    """The fleet cannot be started or does not reach a state."""


class WaitTimeout(FleetError):
    """The fleet did not reach a state within the timeout."""


def wait_until(
    is_reached: Callable[[], bool],
    state_name: str,
    seconds: float = START_TIMEOUT_SECONDS,
) -> float:
    """Poll until a state is reached and return the seconds it took.

    Failed calls count as not reached. Raises `WaitTimeout` after `seconds`.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        with suppress(ClientError, OSError):
            if is_reached():
                return time.monotonic() - started_at
        time.sleep(POLL_INTERVAL_SECONDS)
    raise WaitTimeout(f'{state_name} was not reached within {seconds:.0f} s')


def call_http(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
) -> bytes:
    """Send an HTTP request and return the response body of any status."""
    connection = HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body)
        return connection.getresponse().read()
    finally:
        connection.close()


def loopback_address(port: int) -> str:
    """Return the loopback address with a port."""
    return f'127.0.0.1:{port}'


def free_port() -> int:
    """Find a port on loopback that no process has bound."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise FleetError(
        f'no free port on loopback from {FIRST_PORT} to {PORT_LIMIT - 1}',
    )


def is_open(address: str) -> bool:
    """Check whether a connection to an address succeeds."""
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True
