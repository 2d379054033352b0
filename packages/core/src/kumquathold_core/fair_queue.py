"""Weighted fair queue of the requests that wait for one upstream.

Strict priority by rank; within a rank, weighted round robin over workspaces:
in one round a workspace gets as many requests served as its weight. Requests
that waited past their latency objective are moved behind the others or shed,
oldest first.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

Item = TypeVar('Item')

MAX_QUEUED_REQUESTS = 256
"""Size from which a queue only accepts workspaces below their fair share."""


class SchedulingKey(msgspec.Struct, frozen=True):
    """What decides when a queued request is served."""

    rank: int
    """Priority; lower values are served first."""

    workspace: str
    """Workspaces of one rank share the upstream by round robin."""

    weight: int
    """Requests of the workspace that are served in one round."""

    due_at: float
    """End of the latency objective, in seconds of the owner's clock."""


class FairQueue(Generic[Item]):
    """Weighted round robin over one FIFO queue per workspace."""

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[str, deque[Item]] = {}
        self.round: deque[str] = deque()
        self.credits: dict[str, int] = {}
        self.weights: dict[str, int] = {}
        self.size = 0

    def push(self, workspace: str, weight: int, item: Item) -> bool:
        """Add a request; return false if the queue is full.

        A full queue still accepts requests from a workspace that holds less
        than its fair share of it, so that no single workspace can block the
        others.
        """
        queue = self.queues.get(workspace)
        queued = len(queue) if queue else 0
        fair_share = MAX_QUEUED_REQUESTS // (len(self.queues) + 1)
        if self.size >= MAX_QUEUED_REQUESTS and queued >= fair_share:
            return False
        if queue is None:
            queue = deque()
            self.queues[workspace] = queue
            self.round.append(workspace)
            self.credits[workspace] = weight
        self.weights[workspace] = weight
        queue.append(item)
        self.size += 1
        return True

    def pop(self) -> Item | None:
        """Remove and return the next request, or None if there is none."""
        if not self.round:
            return None
        workspace = self.round[0]
        item = self.queues[workspace].popleft()
        self.size -= 1
        self.credits[workspace] -= 1
        if not self.queues[workspace]:
            self._remove_workspace(workspace)
        elif self.credits[workspace] <= 0:
            self.round.rotate(-1)
            self.credits[workspace] = self.weights[workspace]
        return item

    def remove(self, workspace: str, item: Item) -> bool:
        """Remove a request; return false if it is not queued."""
        queue = self.queues.get(workspace)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self.size -= 1
        if not queue:
            self._remove_workspace(workspace)
        return True

    def _remove_workspace(self, workspace: str) -> None:
        self.queues.pop(workspace)
        self.round.remove(workspace)
        self.credits.pop(workspace)
        self.weights.pop(workspace)


class PriorityQueue(Generic[Item]):
    """Strict priority queue with one fair queue per rank."""

    __slots__ = ('queues',)

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[int, FairQueue[Item]] = {}

    @property
    def size(self) -> int:
        """Number of queued requests."""
        return sum(queue.size for queue in self.queues.values())

    def count_ahead_of(self, rank: int) -> int:
        """Count the requests ahead of a new request of this rank."""
        return sum(
            queue.size for other, queue in self.queues.items() if other <= rank
        )

    def push(self, key: SchedulingKey, item: Item) -> bool:
        """Add a request; return false if the queue of its rank is full."""
        queue = self.queues.setdefault(key.rank, FairQueue())
        return queue.push(key.workspace, key.weight, item)

    def pop(self) -> Item | None:
        """Remove and return the next request of the lowest non-empty rank."""
        for rank in sorted(self.queues):
            item = self.queues[rank].pop()
            if item is not None:
                return item
        return None

    def remove(self, key: SchedulingKey, item: Item) -> bool:
        """Remove a request; return false if it is not queued."""
        queue = self.queues.get(key.rank)
        return queue is not None and queue.remove(key.workspace, item)

    def items(self) -> list[Item]:
        """Return all queued requests, by rank."""
        queues = [
            queue
            for rank in sorted(self.queues)
            for queue in self.queues[rank].queues.values()
        ]
        return list(itertools.chain.from_iterable(queues))


class ObjectiveQueue(Generic[Item]):
    """Queue that serves requests within their latency objective first.

    Under overload, first-in-first-out order makes every response miss its
    objective, and late responses are worth little to callers. A request that
    can no longer meet its objective therefore yields to those that can, and is
    served when none of them is queued. At most `late_limit` late requests are
    kept; further ones are dropped, so that they can be refused at once.
    """

    __slots__ = ('dropped', 'key_of', 'late', 'late_limit', 'on_time')

    def __init__(
        self,
        key_of: Callable[[Item], SchedulingKey],
        late_limit: int,
    ) -> None:
        """Start empty.

        `key_of` returns the scheduling key of a request.
        """
        self.key_of = key_of
        self.late_limit = late_limit
        self.dropped: list[Item] = []
        self.on_time: PriorityQueue[Item] = PriorityQueue()
        self.late: PriorityQueue[Item] = PriorityQueue()

    @property
    def size(self) -> int:
        """Number of queued requests."""
        return self.on_time.size + self.late.size

    def count_ahead_of(self, rank: int) -> int:
        """Count the requests ahead of a new request of this rank."""
        return self.on_time.count_ahead_of(rank)

    def push(self, item: Item) -> bool:
        """Add a request; return false if the queue of its rank is full."""
        return self.on_time.push(self.key_of(item), item)

    def pop(self, end_at: float) -> Item | None:
        """Remove and return the next request, or None if there is none.

        `end_at` is when the request would be complete if it started now, on
        the clock of `SchedulingKey.due_at`.
        """
        while True:
            item = self.on_time.pop()
            if item is None:
                return self.late.pop()
            key = self.key_of(item)
            if key.due_at >= end_at:
                return item
            has_room = self.late.size < self.late_limit
            if not has_room or not self.late.push(key, item):
                self.dropped.append(item)

    def take_dropped(self) -> list[Item]:
        """Return the requests dropped since the last call, and forget them."""
        dropped = self.dropped
        self.dropped = []
        return dropped

    def remove(self, item: Item) -> bool:
        """Remove a request; return false if it is not queued."""
        key = self.key_of(item)
        return self.on_time.remove(key, item) or self.late.remove(
            key,
            item,
        )

    def items(self) -> list[Item]:
        """Return all queued requests; those served first come first."""
        return [*self.on_time.items(), *self.late.items()]
