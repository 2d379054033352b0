"""How many of an ingress's threads the requests for one service may hold.

Each request holds a thread until it is answered. If a service is short of
slots, its requests would hold all threads, and those for idle services would
wait for one. So a service may hold a multiple of the threads that are free:
the more services are short, the less each of them gets, and some stay free.
"""

from __future__ import annotations

import threading
from collections import Counter

FREE_FACTOR = 2
"""Threads that a service may hold, as a multiple of those that are free."""

NESTED_FREE_FACTOR = 6
"""The same for a nested call; it is refused last.

If it is refused, the request fails that an upstream already runs.
"""


class ThreadShares:
    """Counts the requests in progress by service; thread-safe.

    Example:
        shares = ThreadShares(threads=48)
        shares.enter('holds')  # true; false once it holds 32, alone
        shares.leave('holds')

    """

    def __init__(self, threads: int) -> None:
        """Start with all `threads` free."""
        self.threads = threads
        self.held: Counter[str] = Counter()
        self.lock = threading.Lock()

    def enter(self, service: str, *, is_nested: bool = False) -> bool:
        """Count a request, or return false if its service holds too many."""
        factor = NESTED_FREE_FACTOR if is_nested else FREE_FACTOR
        with self.lock:
            free = self.threads - self.held.total()
            may_enter = self.held[service] < free * factor
            if may_enter:
                self.held[service] += 1
            return may_enter

    def leave(self, service: str) -> None:
        """Count a request as ended that has entered."""
        with self.lock:
            self.held[service] -= 1
            if not self.held[service]:
                self.held.pop(service)
