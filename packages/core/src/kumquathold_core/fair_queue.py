"""Queues an upstream's requests so that workspaces take turns.

Each workspace has its own line; a turn serves as many of its requests as its
weight says. Requests that waited too long are shed from the front.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

Item = TypeVar('Item')

MAX_WAITING = 256


class SchedulingKey(msgspec.Struct, frozen=True):
    """Where a request stands among those that wait."""

    rank: int
    """Lower goes first."""

    workspace: str
    """Workspaces of one rank take turns."""

    weight: int
    """Requests that the workspace gets in one turn."""

    due_at: float
    """When its answer becomes late, on the owner's clock in seconds."""


class FairQueue(Generic[Item]):
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


class PriorityQueue(Generic[Item]):
    """Waiting requests by rank; those of one rank take turns."""

    __slots__ = ('ranks',)

    def __init__(self) -> None:
        """Start empty."""
        self.ranks: dict[int, FairQueue[Item]] = {}

    @property
    def size(self) -> int:
        """All waiting requests."""
        return sum(queue.size for queue in self.ranks.values())

    def ahead_of(self, rank: int) -> int:
        """Requests that a new one of this rank would wait behind."""
        return sum(
            queue.size for other, queue in self.ranks.items() if other <= rank
        )

    def push(self, place: SchedulingKey, waiting: Item) -> bool:
        """Add a request; false where the queue of its rank is full."""
        queue = self.ranks.setdefault(place.rank, FairQueue())
        return queue.push(place.workspace, place.weight, waiting)

    def pop(self) -> Item | None:
        """Take the request whose turn it is, of the first rank that waits."""
        for rank in sorted(self.ranks):
            waiting = self.ranks[rank].pop()
            if waiting is not None:
                return waiting
        return None

    def remove(self, place: SchedulingKey, waiting: Item) -> bool:
        """Take a request out, wherever it stands."""
        queue = self.ranks.get(place.rank)
        return queue is not None and queue.remove(place.workspace, waiting)

    def items(self) -> list[Item]:
        """All waiting requests."""
        lines = [
            line
            for queue in self.ranks.values()
            for line in queue.lines.values()
        ]
        return list(itertools.chain.from_iterable(lines))


class ObjectiveQueue(Generic[Item]):
    """Waiting requests, those first that can still be answered in time.

    The load that this answers: more requests than slots. In the order of
    arrival each would wait until its answer is late, and late answers are
    worth little. A request that can no longer meet its objective gives way to
    those that can, and is served when none of them waits. At most `late_limit`
    wait so; who finds no place there is dropped, to be refused at once.
    """

    __slots__ = ('dropped', 'late', 'late_limit', 'place_of', 'punctual')

    def __init__(
        self,
        place_of: Callable[[Item], SchedulingKey],
        late_limit: int,
    ) -> None:
        """Take the function that tells where a request belongs."""
        self.place_of = place_of
        self.late_limit = late_limit
        self.dropped: list[Item] = []
        self.punctual: PriorityQueue[Item] = PriorityQueue()
        self.late: PriorityQueue[Item] = PriorityQueue()

    @property
    def size(self) -> int:
        """All waiting requests."""
        return self.punctual.size + self.late.size

    def ahead_of(self, rank: int) -> int:
        """Requests that a new one of this rank would wait behind."""
        return self.punctual.ahead_of(rank)

    def push(self, waiting: Item) -> bool:
        """Add a request; false where the queue of its rank is full."""
        return self.punctual.push(self.place_of(waiting), waiting)

    def pop(self, end_at: float) -> Item | None:
        """Take the next request, which would be answered at `end_at`."""
        while True:
            waiting = self.punctual.pop()
            if waiting is None:
                return self.late.pop()
            place = self.place_of(waiting)
            if place.due_at >= end_at:
                return waiting
            has_room = self.late.size < self.late_limit
            if not has_room or not self.late.push(place, waiting):
                self.dropped.append(waiting)

    def take_dropped(self) -> list[Item]:
        """The requests that found no place since the last time."""
        dropped = self.dropped
        self.dropped = []
        return dropped

    def remove(self, waiting: Item) -> bool:
        """Take a request out, wherever it stands."""
        place = self.place_of(waiting)
        return self.punctual.remove(place, waiting) or self.late.remove(
            place,
            waiting,
        )

    def items(self) -> list[Item]:
        """All waiting requests."""
        return [*self.punctual.items(), *self.late.items()]
