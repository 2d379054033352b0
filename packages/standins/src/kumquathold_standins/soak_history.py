"""History of a soak test: requests, accepted versions and process shutdowns."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from kumquathold_standins.upstream import Run

NO_NODE_PROCESS = (-1, 0)
"""Stands in for the node process in shutdown records of upstreams."""


class RequestRecord(msgspec.Struct, frozen=True):
    """Request of a caller and its outcome."""

    operation: str
    """Name of the operation; repeats of a request share it."""

    kind: str
    """Name of its `soak_load.RequestKind`."""

    workspace: str
    """Workspace whose key was sent; empty for no key."""

    node_process: tuple[int, int] = msgspec.field(name='life')
    """Number of the node that received the request, and its restart count."""

    sent_at: float
    """Time of sending in seconds since the epoch."""

    ended_at: float
    """Time of completion in seconds since the epoch."""

    status: int
    """HTTP status; 0 where the connection failed."""

    outcome: str
    """Whether the request ran, as the fleet reported it (an `Outcome`)."""

    reason: str
    """Reason of a refusal; empty for any other response."""

    version: int = 0
    """Version whose route or key was used; 0 for kinds that use neither."""

    is_own_answer: bool = True
    """Whether a successful response named this operation and body."""


class VersionRecord(msgspec.Struct, frozen=True):
    """Configuration version that the fleet accepted."""

    version: int
    """Version number as counted by the soak test."""

    sent_at: float
    """Time of the operator's request in seconds since the epoch."""

    accepted_at: float
    """Time of the confirmation in seconds since the epoch."""


class ShutdownRecord(msgspec.Struct, frozen=True):
    """Shutdown of a process by SIGTERM, without a fault that interrupts it."""

    name: str
    """Name of the process."""

    node_process: tuple[int, int] = msgspec.field(name='life')
    """Node number and restart count; `NO_NODE_PROCESS` for an upstream."""

    asked_at: float
    """Time of the signal in seconds since the epoch."""

    gone_at: float
    """Time at which the process had exited, in seconds since the epoch."""


class History(msgspec.Struct, frozen=True):
    """Everything recorded up to one point in time."""

    sent: tuple[RequestRecord, ...] = ()
    """Requests that completed, successfully or not."""

    accepted: tuple[VersionRecord, ...] = ()
    """Versions in the order of their acceptance."""

    ended: tuple[ShutdownRecord, ...] = ()
    """Shutdowns by SIGTERM."""

    runs: tuple[Run, ...] = ()
    """Runs that upstreams wrote to their ledger."""

    regions: dict[str, str] = {}
    """Region of each upstream, by its address."""

    healed_at: float = msgspec.field(default=float('inf'), name='calm_since')
    """Time at which all faults had been undone; infinite before that."""


class Recorder:
    """Collects the records of callers, operator and faults; thread-safe."""

    def __init__(self) -> None:
        """Start without records."""
        self.lock = threading.Lock()
        self.sent: list[RequestRecord] = []
        self.accepted: list[VersionRecord] = []
        self.ended: list[ShutdownRecord] = []
        self.healed_at = float('inf')
        self.regions: dict[str, str] = {}

    def record(
        self, record: RequestRecord | VersionRecord | ShutdownRecord
    ) -> None:
        """Add a record."""
        with self.lock:
            if isinstance(record, RequestRecord):
                self.sent.append(record)
            elif isinstance(record, VersionRecord):
                self.accepted.append(record)
            else:
                self.ended.append(record)

    def make_history(self, read_ledger: Callable[[], list[Run]]) -> History:
        """Return the records so far, with the runs of the ledger.

        The ledger is read last, so that it has the run of each request whose
        response is recorded.
        """
        with self.lock:
            history = History(
                sent=tuple(self.sent),
                accepted=tuple(self.accepted),
                ended=tuple(self.ended),
                runs=(),
                regions=dict(self.regions),
                healed_at=self.healed_at,
            )
        return msgspec.structs.replace(history, runs=tuple(read_ledger()))
