"""What a soak saw: requests, changes of configuration, and what was ended."""

from __future__ import annotations

import threading

import msgspec

from kumquathold_standins.upstream import Run

NO_LIFE = (-1, 0)
"""Stands for the life of what is no node."""


class Sent(msgspec.Struct, frozen=True):
    """One request of a caller, and its end."""

    operation: str
    """Names the wish; a repeat has the same."""

    kind: str
    """Name of its `soak_load.Kind`."""

    workspace: str
    """Whose key it carried, empty for none."""

    life: tuple[int, int]
    """The node that took it, and which of its processes that was."""

    sent_at: float
    """Seconds since the epoch."""

    ended_at: float
    """Likewise."""

    status: int
    """HTTP status; 0 where the connection failed."""

    outcome: str
    """What the fleet says of whether it ran."""

    reason: str
    """Why it was refused, empty for an answer."""

    version: int = 0
    """The version whose route or key it used, where it uses one."""

    is_own_answer: bool = True
    """Whether an answer of an upstream names this operation and body."""


class Accepted(msgspec.Struct, frozen=True):
    """A version that the fleet accepted."""

    version: int
    """Its number in the soak's own counting."""

    sent_at: float
    """When the operator asked."""

    accepted_at: float
    """When the operator was told."""


class Ended(msgspec.Struct, frozen=True):
    """A process that was asked to leave by SIGTERM, and had the time to."""

    name: str
    """The process's name."""

    life: tuple[int, int]
    """The node's process; `NO_LIFE` where it was an upstream."""

    asked_at: float
    """When the signal was sent."""

    gone_at: float
    """When the process was gone."""


class History(msgspec.Struct, frozen=True):
    """All that was seen up to a moment."""

    sent: tuple[Sent, ...] = ()
    """Requests that ended."""

    accepted: tuple[Accepted, ...] = ()
    """Versions in the order in which they were accepted."""

    ended: tuple[Ended, ...] = ()
    """Graceful ends."""

    runs: tuple[Run, ...] = ()
    """The upstreams' ledger."""

    calm_since: float = float('inf')
    """When all faults had been healed, once they have."""


class Recorder:
    """Takes in what callers, operators and faults report, on any thread."""

    def __init__(self) -> None:
        """Start empty."""
        self.lock = threading.Lock()
        self.sent: list[Sent] = []
        self.accepted: list[Accepted] = []
        self.ended: list[Ended] = []
        self.calm_since = float('inf')

    def note(self, seen: Sent | Accepted | Ended) -> None:
        """Keep one thing."""
        with self.lock:
            if isinstance(seen, Sent):
                self.sent.append(seen)
            elif isinstance(seen, Accepted):
                self.accepted.append(seen)
            else:
                self.ended.append(seen)

    def history(self, runs: list[Run]) -> History:
        """What was seen so far, with a ledger read before or now."""
        with self.lock:
            return History(
                sent=tuple(self.sent),
                accepted=tuple(self.accepted),
                ended=tuple(self.ended),
                runs=tuple(runs),
                calm_since=self.calm_since,
            )
