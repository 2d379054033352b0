"""Keeps the platform's small record of addresses to join by.

Only a few addresses are kept, and a node writes only where the record has
fewer living ones than that, so that restarts cost the platform little.
"""

from __future__ import annotations

import random

import msgspec
from loguru import logger

from kumquathold_core import member_table, store_keys
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import JoinCommand, Membership
from kumquathold_node.settings import Settings
from kumquathold_node.store import KeyValueStore, StoredValue, StoreError, Write

MAX_SEEDS = 8
SWAP_ATTEMPTS = 2
CHECK_SECONDS = 2.0
CHANCE_WHEN_FULL = 0.02


class SeedRecord(msgspec.Struct, frozen=True):
    """The platform's record."""

    addresses: tuple[str, ...]
    """Peer addresses, oldest first."""


class Seeds:
    """Reads the record to join, and keeps it useful."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed."""
        self.platform: KeyValueStore = kernel.find('store')
        self.membership: Membership = kernel.find('membership')
        self.settings = settings
        self.is_written = False
        self.rng = random.Random(settings.peer)
        self.task = Task(
            'seeds',
            {},
            tick=self.check,
            tick_seconds=CHECK_SECONDS,
        )
        kernel.add_task(self.task)

    def check(self) -> None:
        """Read the record where the node is alone or not yet in it."""
        is_alone = len(self.membership.view.nodes) == 1
        is_due = is_alone or self._is_missing()
        if not is_due and self.rng.random() > CHANCE_WHEN_FULL:
            return
        try:
            self._read_and_write()
        except StoreError as error:
            logger.debug('seeds not read', cause=str(error))

    def join(self) -> None:
        """Try the settings' peers and the record, once at the start."""
        if self.settings.join:
            self.membership.task.post(JoinCommand(self.settings.join))
        self.check()

    def _is_missing(self) -> bool:
        """Whether this node should stand in the record and does not.

        Only the first nodes by rank write, so that a fleet that starts at
        once does not race for one key.
        """
        if self.is_written:
            return False
        nodes = list(self.membership.view.nodes)
        first = member_table.rank_by_rendezvous(nodes, 'seed')[:MAX_SEEDS]
        return any(node.address == self.settings.peer for node in first)

    def _read_and_write(self) -> None:
        reading = self.platform.read(store_keys.SEEDS_KEY)
        stored = reading.found[0] if reading.found else None
        for _ in range(SWAP_ATTEMPTS):
            known = _decode_addresses(stored)
            peers = (*self.settings.join, *known)
            self.membership.task.post(JoinCommand(peers))
            stored = self._write(stored, known)
            if stored is None:
                return

    def _write(
        self,
        stored: StoredValue | None,
        known: tuple[str, ...],
    ) -> StoredValue | None:
        """Put the own address into the record; give what another wrote."""
        own = self.settings.peer
        living = self.membership.view.by_address
        kept = [one for one in known if one in living and one != own]
        self.is_written = own in known
        if self.is_written or len(kept) >= MAX_SEEDS:
            return None
        addresses = (*known, own)[-MAX_SEEDS:]
        write = Write(
            store_keys.SEEDS_KEY,
            msgspec.json.encode(SeedRecord(addresses)),
            stored.mod_revision if stored else 0,
        )
        swap = self.platform.swap([write])
        self.is_written = swap.succeeded
        is_lost = not swap.succeeded and swap.found
        # A record with peers in it is enough to join by.
        return swap.found[0] if is_lost and not known else None


def _decode_addresses(stored: StoredValue | None) -> tuple[str, ...]:
    if stored is None:
        return ()
    return msgspec.json.decode(stored.value, type=SeedRecord).addresses
