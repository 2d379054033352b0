"""Follows a configuration that operators write into the platform themselves.

One task holds a watch on the configuration's key. A change arrives with its
text, so a configuration costs one call for each node. Where the watch is lost
or its history is gone, the key is read anew.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic, sleep

import msgspec
from loguru import logger

from kumquathold_core import manifest as manifests
from kumquathold_core.routing import RouteTable
from kumquathold_core.rules import Rules
from kumquathold_node.configuration import (
    Configuration,
    ConfigurationFoundEvent,
    ConfigurationService,
)
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    HistoryCompacted,
    StoredValue,
    StoreError,
    WatchableStore,
)

WATCH_SECONDS = 15.0
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.0


class UnreadableConfiguration(Exception):
    """What stands under the configuration's key cannot be read."""


class VersionedRules(msgspec.Struct, frozen=True):
    """A configuration as its decoder reads it."""

    version: int
    """Increases with each configuration."""

    rules: Rules
    """What it says."""


Decoder = Callable[[str], VersionedRules]
"""Raises `UnreadableConfiguration`."""


class ConfigurationWatch:
    """Puts each new configuration in force on this node."""

    def __init__(self, kernel: Kernel, key: str, decode: Decoder) -> None:
        """Find the services that are needed, and register."""
        self.platform: WatchableStore = kernel.find('store')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.metrics: Metrics = kernel.find('metrics')
        self.key = key
        self.decode = decode
        self.is_reachable = True
        kernel.register('reader', self)
        kernel.add_follower('configuration-watch', self.follow)

    def follow(self) -> None:
        """Read the key, then watch it, for ever."""
        pause = MIN_PAUSE_SECONDS
        while True:
            try:
                revision = self._read()
                pause = MIN_PAUSE_SECONDS
                while True:
                    revision = self._watch(revision)
            except HistoryCompacted:
                self.metrics.count('configuration.history_gone')
                sleep(MIN_PAUSE_SECONDS)
            except StoreError as error:
                self._note_loss(error)
                sleep(pause)
                pause = min(pause * 2, MAX_PAUSE_SECONDS)

    def _read(self) -> int:
        asked_at = monotonic()
        reading = self.platform.read_prefix(self.key)
        self._note_return()
        for stored in reading.found:
            self._take(stored, asked_at)
        return reading.revision

    def _watch(self, after: int) -> int:
        asked_at = monotonic()
        told = self.platform.watch(self.key, after, WATCH_SECONDS)
        for change in told.changes:
            if change.stored is not None and change.key == self.key:
                self._take(change.stored, asked_at)
        return max(told.revision, after)

    def _take(self, stored: StoredValue, asked_at: float) -> None:
        text = stored.value.decode(errors='replace')
        try:
            decoded = self.decode(text)
        except UnreadableConfiguration as error:
            self.metrics.count('configuration.unreadable')
            logger.warning(
                'configuration unreadable',
                revision=stored.mod_revision,
                cause=str(error),
            )
            return
        packed = manifests.compress_text(text)
        found = Configuration(
            version=decoded.version,
            rules=decoded.rules,
            routes=RouteTable.from_rules(decoded.rules),
            packed=packed,
            digest=manifests.digest_compressed(packed),
        )
        self.configuration.task.post(ConfigurationFoundEvent(found))
        self.freshness.record_proof(decoded.version, asked_at)

    def _note_loss(self, error: StoreError) -> None:
        self.freshness.record_store_failure(monotonic())
        self.metrics.count('configuration.poll_failed')
        if self.is_reachable:
            self.is_reachable = False
            logger.warning('platform lost', cause=str(error))

    def _note_return(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            logger.info('platform regained')
