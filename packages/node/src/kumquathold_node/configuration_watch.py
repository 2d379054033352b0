"""Watches a configuration that operators write to the store directly.

One thread holds a watch on the operators' keys: the configuration and, if the
platform has them, the evacuated zones. A change arrives with its text, so each
new configuration costs one call per node. The keys are read again if the watch
fails, or its revision has been compacted or is from before a restore.
"""

from __future__ import annotations

import os.path
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
    EarlierEra,
    HistoryCompacted,
    KeyChange,
    Revision,
    StoredValue,
    StoreError,
    StoreRestored,
    WatchableStore,
)
from kumquathold_node.zone_evacuations import ZoneEvacuations

WATCH_SECONDS = 5.0
"""Time for which one call waits for changes.

A store that never responds is noticed only after it.
"""

MIN_BACKOFF_SECONDS = 0.1
"""Pause after the first failed call; doubles with each further failure."""

MAX_BACKOFF_SECONDS = 1.0
"""Longest pause after a failed call."""

LOGGED_DIGITS = 3
"""Digits of a second in log lines."""


class UnreadableConfiguration(Exception):
    """The value of the configuration's key cannot be decoded."""


class VersionedRules(msgspec.Struct, frozen=True):
    """A decoded configuration."""

    version: int
    """Increases with each configuration."""

    rules: Rules
    """The decoded rules."""


Decoder = Callable[[str], VersionedRules]
"""Decodes the text of a configuration.

Raises `UnreadableConfiguration`.
"""


class WatchedKeys(msgspec.Struct, frozen=True):
    """The keys that operators write."""

    configuration: str
    """Key of the configuration."""

    evacuations: str = ''
    """Prefix of one key for each evacuated zone; empty for none."""

    @property
    def prefix(self) -> str:
        """The longest prefix of all these keys."""
        if not self.evacuations:
            return self.configuration
        return os.path.commonprefix([self.configuration, self.evacuations])

    def find_zone(self, key: str) -> str | None:
        """Return the zone that a key evacuates, if it does."""
        if not self.evacuations or not key.startswith(self.evacuations):
            return None
        return key.removeprefix(self.evacuations) or None


class ConfigurationWatch:
    """Passes on each new configuration and the evacuated zones."""

    def __init__(
        self, kernel: Kernel, keys: WatchedKeys, decode: Decoder
    ) -> None:
        """Look up the services that it uses, and register itself."""
        self.store: WatchableStore = kernel.find('store')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.metrics: Metrics = kernel.find('metrics')
        self.evacuations: ZoneEvacuations = kernel.find('zone-evacuations')
        self.zones: set[str] = set()
        self.keys = keys
        self.decode = decode
        self.is_reachable = True
        self.requested_at = 0.0
        """When the last call began, in seconds of the monotonic clock."""
        kernel.register('reader', self)
        kernel.add_background_thread('configuration-watch', self.follow)

    def follow(self) -> None:
        """Read the key, then watch it, until the process ends."""
        pause = MIN_BACKOFF_SECONDS
        while True:
            try:
                revision = self._read_key()
                pause = MIN_BACKOFF_SECONDS
                while True:
                    revision = self._watch_key(revision)
            except (HistoryCompacted, StoreRestored, EarlierEra):
                self.metrics.count('configuration.history_gone')
                sleep(MIN_BACKOFF_SECONDS)
            except StoreError as error:
                self._record_store_failure(error)
                sleep(pause)
                pause = min(pause * 2, MAX_BACKOFF_SECONDS)

    def _read_key(self) -> Revision:
        self.requested_at = monotonic()
        reading = self.store.read_prefix(self.keys.prefix)
        self._record_store_success()
        zones = {self.keys.find_zone(stored.key) for stored in reading.found}
        self._set_zones({zone for zone in zones if zone}, reading.revision)
        for stored in reading.found:
            if stored.key == self.keys.configuration:
                self._process_value(stored)
        return reading.revision

    def _watch_key(self, after: Revision) -> Revision:
        self.requested_at = monotonic()
        batch = self.store.watch(self.keys.prefix, after, WATCH_SECONDS)
        if 0 < batch.revision.number < after.number:
            raise HistoryCompacted(f'{batch.revision} follows {after}')
        revision = max(batch.revision, after)
        self._process_zones(batch.changes, revision)
        for change in batch.changes:
            is_configuration = change.key == self.keys.configuration
            if change.stored is not None and is_configuration:
                self._process_value(change.stored)
        return revision

    def _process_zones(
        self, changes: tuple[KeyChange, ...], revision: Revision
    ) -> None:
        zones = set(self.zones)
        for change in changes:
            zone = self.keys.find_zone(change.key)
            if zone and change.stored is not None:
                zones.add(zone)
            elif zone:
                zones.discard(zone)
        self._set_zones(zones, revision)

    def _set_zones(self, zones: set[str], revision: Revision) -> None:
        self.zones = zones
        self.evacuations.record_reading(frozenset(zones), revision.number)

    def _process_value(self, stored: StoredValue) -> None:
        text = stored.value.decode(errors='replace')
        try:
            decoded = self.decode(text)
        except UnreadableConfiguration as error:
            self.metrics.count('configuration.unreadable')
            logger.warning(
                'configuration unreadable',
                revision=stored.mod_revision.number,
                cause=str(error),
            )
            return
        compressed = manifests.compress_text(text)
        found = Configuration(
            version=decoded.version,
            rules=decoded.rules,
            routes=RouteTable.from_rules(decoded.rules),
            compressed=compressed,
            digest=manifests.digest_compressed(compressed),
        )
        self.configuration.task.post(ConfigurationFoundEvent(found))
        self.freshness.record_proof(decoded.version, self.requested_at)

    def _record_store_failure(self, error: StoreError) -> None:
        now = monotonic()
        self.freshness.record_store_failure(now)
        self.metrics.count('configuration.poll_failed')
        if self.is_reachable:
            self.is_reachable = False
            logger.warning(
                'store unreachable',
                cause=str(error),
                waited=round(now - self.requested_at, LOGGED_DIGITS),
            )

    def _record_store_success(self) -> None:
        if not self.is_reachable:
            self.is_reachable = True
            logger.info('store reachable again')
