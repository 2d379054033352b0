"""Keeps in the store which upstreams beside this node have left.

Memory alone does not keep it if all nodes end at once. Each departure has a key
of its own, so that writes need no condition and may be repeated, and expires
with a lease: late announcements come within seconds or minutes.
"""

from __future__ import annotations

import threading
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import store_keys
from kumquathold_core.decoding import InvalidContent, decode_json
from kumquathold_core.departures import Departure
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership_messages import DeparturesReadEvent
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.shared_lease import SharedLease
from kumquathold_node.store import (
    KeyValueStore,
    LeaseEnded,
    StoredValue,
    StoreError,
    Write,
)

RETENTION_SECONDS = 600.0
"""Time after which the store deletes a departure; its longest lease."""

LEASE_REUSE_SECONDS = 60.0
"""How long new departures share a lease."""

TICK_SECONDS = 0.5
MAX_GROUP_SIZE = 32
"""Most departures written in one transaction."""

READ_PAUSE_SECONDS = 2.0
"""Pause between two attempts to read the departures."""


class ReadDeparturesCommand(msgspec.Struct, frozen=True):
    """Asks to read what earlier processes of this node recorded."""


class WriteDeparturesCommand(msgspec.Struct, frozen=True):
    """Asks to write the departures that are not in the store yet."""


class DepartureRecords:
    """The departures beside this node; any thread may call the methods."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.kernel = kernel
        self.store: KeyValueStore = kernel.find('store')
        self.metrics: Metrics = kernel.find('metrics')
        self.owner = settings.peer
        self.lease = SharedLease(
            self.store, retention=RETENTION_SECONDS, reuse=LEASE_REUSE_SECONDS
        )
        self.changed = threading.Condition()
        self.unwritten: set[Departure] = set()
        self.written: dict[Departure, float] = {}
        """When each departure was recorded, by the monotonic clock."""
        self.era = self.store.era
        self.is_read = False
        self.next_read_at = 0.0
        self.task = Task(
            'departures',
            {
                ReadDeparturesCommand: self.on_read,
                WriteDeparturesCommand: self.on_write,
            },
            tick=self.on_tick,
            tick_seconds=TICK_SECONDS,
        )
        kernel.register('departure-records', self)
        kernel.add_task(self.task)

    def record(self, name: str, lifetime: int) -> None:
        """Begin to write a departure, unless it is written already.

        Without a `lifetime` (0) the next process could not be told apart.
        """
        if not lifetime:
            return
        departure = Departure(name, lifetime)
        with self.changed:
            if departure in self.written or departure in self.unwritten:
                return
            self.unwritten.add(departure)
        self.task.post(WriteDeparturesCommand())

    def await_written(self, name: str, timeout: float) -> bool:
        """Wait until the departures of an upstream are in the store.

        Returns false if one is not after `timeout` seconds; it is then written
        once the store responds.
        """

        def is_written() -> bool:
            return all(one.name != name for one in self.unwritten)

        with self.changed:
            return self.changed.wait_for(is_written, timeout)

    def read_at_start(self, timeout: float) -> None:
        """Read what earlier processes recorded, for at most `timeout` seconds.

        If the store does not respond in time, the task goes on trying.
        """
        self.task.post(ReadDeparturesCommand())
        with self.changed:
            self.changed.wait_for(lambda: self.is_read, timeout)

    def on_read(self, _: ReadDeparturesCommand) -> None:
        """Read the departures, and tell the owner."""
        self.next_read_at = monotonic() + READ_PAUSE_SECONDS
        prefix = store_keys.departure_prefix(self.owner)
        try:
            found = self.store.read_prefix(prefix).found
        except StoreError as error:
            logger.info('departures not read', cause=str(error))
            return
        departures = tuple(one for one in map(_decode, found) if one)
        logger.info('departures read', count=len(departures))
        self.kernel.find('owner').task.post(DeparturesReadEvent(departures))
        now = monotonic()
        with self.changed:
            for one in departures:
                self.written.setdefault(one, now)
            self.is_read = True
            self.changed.notify_all()

    def on_write(self, _: WriteDeparturesCommand) -> None:
        """Write the departures that are not in the store yet."""
        with self.changed:
            group = sorted(self.unwritten, key=_sort_key)[:MAX_GROUP_SIZE]
        if not group:
            return
        try:
            self._write(group)
        except LeaseEnded:
            self.lease.drop()
            self._report_failure(group, 'the lease has ended')
        except StoreError as error:
            self._report_failure(group, str(error))

    def on_tick(self) -> None:
        """Write what a call has failed to, or a restored store has lost."""
        now = monotonic()
        if not self.is_read and now >= self.next_read_at:
            self.on_read(ReadDeparturesCommand())
        self._forget_old(now)
        if self.store.era != self.era:
            self.era = self.store.era
            with self.changed:
                self.unwritten.update(self.written)
        self.on_write(WriteDeparturesCommand())

    def _write(self, group: list[Departure]) -> None:
        lease = self.lease.get()
        writes = [
            Write(
                store_keys.departure_key(self.owner, one.name, one.lifetime),
                msgspec.json.encode(one),
                expected_revision=None,
                lease=lease,
            )
            for one in group
        ]
        self.store.swap(writes)
        self.metrics.count('departures.written', len(group))
        now = monotonic()
        with self.changed:
            for one in group:
                self.unwritten.discard(one)
                self.written.setdefault(one, now)
            self.changed.notify_all()
        for one in group:
            logger.info(
                'departure recorded', upstream=one.name, lifetime=one.lifetime
            )

    def _report_failure(self, group: list[Departure], cause: str) -> None:
        self.metrics.count('departures.failed')
        names = [one.name for one in group]
        logger.warning('departures not recorded', names=names, cause=cause)

    def _forget_old(self, now: float) -> None:
        with self.changed:
            for departure, recorded_at in list(self.written.items()):
                if now - recorded_at >= RETENTION_SECONDS:
                    self.written.pop(departure)


def _sort_key(departure: Departure) -> tuple[str, int]:
    return departure.name, departure.lifetime


def _decode(stored: StoredValue) -> Departure | None:
    """Return a stored departure; none if it is another writer's."""
    try:
        return decode_json(stored.value, Departure)
    except InvalidContent as error:
        logger.warning('departure unreadable', key=stored.key, cause=str(error))
        return None
