"""Keeps the platform's small record of addresses to join by.

Only a few addresses are kept, and a node writes only where the record has
fewer living ones than that, so that restarts cost the platform little.
"""

from __future__ import annotations

import random

import msgspec
from loguru import logger

from kumquathold_core import platform_keys
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership, PeersGiven
from kumquathold_node.platform import Platform, PlatformError, Stored, Write
from kumquathold_node.settings import Settings

MAX_SEEDS = 12
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
        self.platform: Platform = kernel.find('platform')
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
        is_due = is_alone or not self.is_written
        if not is_due and self.rng.random() > CHANCE_WHEN_FULL:
            return
        try:
            self._read_and_write()
        except PlatformError as error:
            logger.debug('seeds not read', cause=str(error))

    def join(self) -> None:
        """Try the settings' peers and the record, once at the start."""
        if self.settings.join:
            self.membership.task.post(PeersGiven(self.settings.join))
        self.check()

    def _read_and_write(self) -> None:
        reading = self.platform.read(platform_keys.SEEDS)
        stored = reading.found[0] if reading.found else None
        known = _decode_addresses(stored)
        self.membership.task.post(PeersGiven((*self.settings.join, *known)))
        own = self.settings.peer
        living = self.membership.view.by_address
        kept = [one for one in known if one in living and one != own]
        self.is_written = own in known or len(kept) >= MAX_SEEDS
        if self.is_written:
            return
        addresses = (*known, own)[-MAX_SEEDS:]
        value = msgspec.json.encode(SeedRecord(addresses))
        write = Write(
            platform_keys.SEEDS,
            value,
            stored.mod_revision if stored else 0,
        )
        self.is_written = self.platform.swap([write]).succeeded


def _decode_addresses(stored: Stored | None) -> tuple[str, ...]:
    if stored is None:
        return ()
    return msgspec.json.decode(stored.value, type=SeedRecord).addresses
