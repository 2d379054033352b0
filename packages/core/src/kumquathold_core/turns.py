"""Queues an upstream's requests so that workspaces take turns.

Each workspace has its own line; a turn serves as many of its requests as its
weight says. Requests that waited too long are shed from the front.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

Item = TypeVar('Item')

MAX_WAITING = 256


class TurnQueue(Generic[Item]):
    """Waiting requests, one line for each workspace."""

    def __init__(self) -> None:
        """Start empty."""
        self.lines: dict[str, deque[Item]] = {}
        self.order: deque[str] = deque()
        self.credit: dict[str, int] = {}
        self.weights: dict[str, int] = {}
        self.size = 0

    def push(self, workspace: str, weight: int, waiting: Item) -> bool:
        """Add a request; false where the queue is full.

        A full queue takes a request from a workspace that has less than its
        even part of the places, so that no one workspace can fill it.
        """
        line = self.lines.get(workspace)
        held = len(line) if line else 0
        even_part = MAX_WAITING // (len(self.lines) + 1)
        if self.size >= MAX_WAITING and held >= even_part:
            return False
        if line is None:
            line = deque()
            self.lines[workspace] = line
            self.order.append(workspace)
            self.credit[workspace] = weight
        self.weights[workspace] = weight
        line.append(waiting)
        self.size += 1
        return True

    def pop(self) -> Item | None:
        """Take the request whose turn it is."""
        if not self.order:
            return None
        workspace = self.order[0]
        waiting = self.lines[workspace].popleft()
        self.size -= 1
        self.credit[workspace] -= 1
        if not self.lines[workspace]:
            self._drop_line(workspace)
        elif self.credit[workspace] <= 0:
            self.order.rotate(-1)
            self.credit[workspace] = self.weights[workspace]
        return waiting

    def remove(self, workspace: str, waiting: Item) -> bool:
        """Take a request out, wherever it stands."""
        line = self.lines.get(workspace)
        if line is None or waiting not in line:
            return False
        line.remove(waiting)
        self.size -= 1
        if not line:
            self._drop_line(workspace)
        return True

    def _drop_line(self, workspace: str) -> None:
        self.lines.pop(workspace)
        self.order.remove(workspace)
        self.credit.pop(workspace)
        self.weights.pop(workspace)


class RankedQueue(Generic[Item]):
    """Waiting requests by rank; those of one rank take turns."""

    __slots__ = ('ranks',)

    def __init__(self) -> None:
        """Start empty."""
        self.ranks: dict[int, TurnQueue[Item]] = {}

    @property
    def size(self) -> int:
        """All waiting requests."""
        return sum(queue.size for queue in self.ranks.values())

    def ahead_of(self, rank: int) -> int:
        """Requests that a new one of this rank would wait behind."""
        return sum(
            queue.size for other, queue in self.ranks.items() if other <= rank
        )

    def push(
        self,
        rank: int,
        workspace: str,
        weight: int,
        waiting: Item,
    ) -> bool:
        """Add a request; false where the queue of its rank is full."""
        queue = self.ranks.setdefault(rank, TurnQueue())
        return queue.push(workspace, weight, waiting)

    def pop(self) -> Item | None:
        """Take the request whose turn it is, of the first rank that waits."""
        for rank in sorted(self.ranks):
            waiting = self.ranks[rank].pop()
            if waiting is not None:
                return waiting
        return None

    def remove(self, rank: int, workspace: str, waiting: Item) -> bool:
        """Take a request out, wherever it stands."""
        queue = self.ranks.get(rank)
        return queue is not None and queue.remove(workspace, waiting)

    def drain(self) -> list[Item]:
        """Take all requests out."""
        waiting: list[Item] = []
        while True:
            item = self.pop()
            if item is None:
                return waiting
            waiting.append(item)
