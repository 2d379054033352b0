"""Calls and waits on the loopback interface."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from http.client import HTTPConnection

from kumquathold_cli.client import ClientError

START_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.05


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


def is_open(address: str) -> bool:
    """Check whether a connection to an address succeeds."""
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True
