"""Free ports on the loopback interface.

Each process takes its ports from a block that it claims as long as it runs, so
that test runs beside each other do not take the same ones between the look for
a free port and its use.
"""

from __future__ import annotations

import itertools
import random
import socket
import threading
from collections.abc import Iterator

HOST = '127.0.0.1'
FIRST_PORT = 20_000
BLOCK_PORTS = 1_000
BLOCKS = 12


class NoPort(Exception):
    """No block, or no port of the own block, is free."""


class PortBlock:
    """A block of ports that this process has claimed."""

    def __init__(self) -> None:
        """Claim a block, by holding its first port; raises `NoPort`."""
        self.claim = socket.socket()
        first = self._claim_any()
        self.ports = range(first + 1, first + BLOCK_PORTS)
        self.order = itertools.cycle(self.ports)

    def _claim_any(self) -> int:
        numbers = list(range(BLOCKS))
        random.SystemRandom().shuffle(numbers)
        for number in numbers:
            port = FIRST_PORT + number * BLOCK_PORTS
            if try_bind(self.claim, port):
                return port
        raise NoPort(f'all {BLOCKS} blocks of ports are claimed')

    def find_free(self) -> int:
        """Return the next port of the block that is free; raises `NoPort`."""
        for port in itertools.islice(self.order, len(self.ports)):
            with socket.socket() as probe:
                if try_bind(probe, port):
                    return port
        raise NoPort(f'no free port from {self.ports[0]} to {self.ports[-1]}')


def try_bind(sock: socket.socket, port: int) -> bool:
    """Bind a socket to a port; return whether it was free."""
    try:
        sock.bind((HOST, port))
    except OSError:
        return False
    return True


def _claim_once() -> Iterator[PortBlock]:
    block = PortBlock()
    while True:
        yield block


_blocks = _claim_once()
_lock = threading.Lock()


def free_port() -> int:
    """Return a free port that no other process of this project takes."""
    with _lock:
        return next(_blocks).find_free()
