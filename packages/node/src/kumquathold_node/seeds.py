"""Maintains the seed record in the store: addresses to join the fleet by.

The record holds a few addresses only. A node adds its own only if the record
lists fewer live nodes than that, so restarts cause few writes to the store.
"""

from __future__ import annotations

import random

import msgspec
from loguru import logger

from kumquathold_core import member_table, store_keys
from kumquathold_core.decoding import InvalidContent, decode_json
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import JoinCommand
from kumquathold_node.settings import Settings, is_address
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    StoredValue,
    StoreError,
    Write,
)

MAX_SEEDS = 8
"""Most addresses in the seed record."""

SWAP_ATTEMPTS = 2
"""Attempts at a compare-and-swap of the record in one check."""

CHECK_SECONDS = 2.0
"""Interval of the checks."""

ROUTINE_READ_SHARE = 0.02
"""Share of checks that read the record although the node need not."""


class SeedRecord(msgspec.Struct, frozen=True):
    """The seed record, as the store holds it."""

    addresses: tuple[str, ...]
    """Peer addresses, oldest first."""


class Seeds:
    """Joins the fleet by the seed record, and keeps the record current."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and add the task."""
        self.store: KeyValueStore = kernel.find('store')
        self.membership: Membership = kernel.find('membership')
        self.settings = settings
        self.is_listed = False
        self.era = self.store.era
        self.rng = random.Random(settings.peer)
        self.task = Task(
            'seeds',
            {},
            tick=self.check,
            tick_seconds=CHECK_SECONDS,
        )
        kernel.add_task(self.task)

    def check(self) -> None:
        """Read the record if this node is alone or should add itself.

        Otherwise read it in a small share of checks only. A restored store may
        have lost what this node added.
        """
        if self.store.era != self.era:
            self.era = self.store.era
            self.is_listed = False
        is_alone = len(self.membership.view.nodes) == 1
        is_due = is_alone or self._is_missing()
        if not is_due and self.rng.random() > ROUTINE_READ_SHARE:
            return
        try:
            self._read_and_write()
        except StoreError as error:
            logger.debug('seeds not read', cause=str(error))

    def join(self) -> None:
        """Join by the peers in the settings and the record, at the start."""
        if self.settings.join:
            self.membership.task.post(JoinCommand(self.settings.join))
        self.check()

    def _is_missing(self) -> bool:
        """Whether this node should be in the record and is not.

        Only the highest ranked nodes write, so that the nodes of a fleet that
        start together do not all write to one key.
        """
        if self.is_listed:
            return False
        nodes = list(self.membership.view.nodes)
        writers = member_table.rank_by_rendezvous(nodes, 'seed')[:MAX_SEEDS]
        return any(node.address == self.settings.peer for node in writers)

    def _read_and_write(self) -> None:
        reading = self.store.read(store_keys.SEEDS_KEY)
        stored = reading.found[0] if reading.found else None
        for _ in range(SWAP_ATTEMPTS):
            listed = decode_addresses(stored)
            peers = (*self.settings.join, *listed)
            self.membership.task.post(JoinCommand(peers))
            stored = self._write(stored, listed)
            if stored is None:
                return

    def _write(
        self,
        stored: StoredValue | None,
        listed: tuple[str, ...],
    ) -> StoredValue | None:
        """Add the own address to the record if it lists too few live nodes.

        Returns the value that another node wrote meanwhile, if a retry is
        needed.
        """
        own = self.settings.peer
        live = self.membership.view.by_address
        others = [one for one in listed if one in live and one != own]
        self.is_listed = own in listed
        if self.is_listed or len(others) >= MAX_SEEDS:
            return None
        addresses = (*listed, own)[-MAX_SEEDS:]
        write = Write(
            store_keys.SEEDS_KEY,
            msgspec.json.encode(SeedRecord(addresses)),
            stored.mod_revision if stored else ABSENT,
        )
        swap = self.store.swap([write])
        self.is_listed = swap.succeeded
        has_conflict = not swap.succeeded and swap.found
        # A record that listed peers is enough to join by: no retry then.
        return swap.found[0] if has_conflict and not listed else None


def decode_addresses(stored: StoredValue | None) -> tuple[str, ...]:
    """Return the addresses of a record; none if it is another writer's."""
    if stored is None:
        return ()
    try:
        record = decode_json(stored.value, SeedRecord)
    except InvalidContent as error:
        logger.warning('seed record unreadable', cause=str(error))
        return ()
    return tuple(one for one in record.addresses if is_address(one))
