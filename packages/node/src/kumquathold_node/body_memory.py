"""One budget for the bytes of all bodies that a process holds.

Bodies of requests and responses count while they are received, kept and sent,
wherever that is. A large body that doesn't fit is refused before it is read, so
that the process stays within the memory of its VM. Small ones always fit:
large ones must not keep them out.
"""

from __future__ import annotations

import threading

SMALL_BODY_BYTES = 16_384
"""Size up to which a body is counted but never refused."""


class BodyMemoryFull(Exception):
    """A large body does not fit beside those that the process holds."""


class BodyMemory:
    """Counts the bytes of bodies up to a limit; thread-safe."""

    def __init__(self, limit: int) -> None:
        """Start empty, with a limit in bytes."""
        self.limit = limit
        self.used = 0
        self.changed = threading.Condition()

    def add(self, size: int) -> None:
        """Count bytes that are held already, or give back a negative size."""
        with self.changed:
            self.used += size
            if size < 0:
                self.changed.notify_all()

    def reserve(self, size: int, timeout: float = 0.0) -> None:
        """Count bytes that will be held.

        Waits until they fit, for `timeout` seconds at most, and then raises
        `BodyMemoryFull`. Only a body of which nothing is held yet may wait:
        bodies that wait for each other would never fit.
        """

        def fits() -> bool:
            return self.used + size <= self.limit

        with self.changed:
            has_room = fits()
            if not has_room and size <= self.limit:
                has_room = self.changed.wait_for(fits, max(0.0, timeout))
            if not has_room:
                raise BodyMemoryFull(
                    f'{size} bytes do not fit, {self.used} of '
                    f'{self.limit} are used'
                )
            self.used += size


class Reservation:
    """The part of a `BodyMemory` that one body takes up.

    It goes with the body from one holder to the next, and is given back as the
    last of them drops it.

    Example:
        reservation = Reservation(memory)
        reservation.grow(len(chunk))
        reservation.release()

    """

    __slots__ = ('memory', 'size')

    def __init__(self, memory: BodyMemory) -> None:
        """Start empty."""
        self.memory = memory
        self.size = 0

    def grow(self, size: int, timeout: float = 0.0) -> None:
        """Reserve further bytes; raises `BodyMemoryFull` after `timeout`."""
        if self.size + size <= SMALL_BODY_BYTES:
            self.memory.add(size)
        else:
            self.memory.reserve(size, timeout)
        self.size += size

    def __del__(self) -> None:  # noqa: WPS603
        """Give back all bytes, as nobody holds the body any more."""
        if self.size:
            self.release()

    def resize(self, size: int) -> None:
        """Count another number of bytes, which are held already.

        The threads that fill and empty one buffer may call it at once.
        """
        with self.memory.changed:
            self.memory.add(size - self.size)
            self.size = size

    def release(self) -> None:
        """Give back all bytes; may be called again."""
        self.resize(0)
