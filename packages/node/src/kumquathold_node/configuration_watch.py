"""Watches a configuration that operators write to the store directly.

One thread holds a watch on the configuration's key. A change arrives with its
text, so each new configuration costs one call per node. The key is read again
if the watch fails, or its revision has been compacted or is from before a
restore.
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
    EarlierEra,
    HistoryCompacted,
    Revision,
    StoredValue,
    StoreError,
    StoreRestored,
    WatchableStore,
)

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


class ConfigurationWatch:
    """Passes each new configuration to the `ConfigurationService`."""

    def __init__(self, kernel: Kernel, key: str, decode: Decoder) -> None:
        """Look up the services that it uses, and register itself."""
        self.store: WatchableStore = kernel.find('store')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.metrics: Metrics = kernel.find('metrics')
        self.key = key
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
        reading = self.store.read_prefix(self.key)
        self._record_store_success()
        for stored in reading.found:
            if stored.key == self.key:
                self._process_value(stored)
        return reading.revision

    def _watch_key(self, after: Revision) -> Revision:
        self.requested_at = monotonic()
        batch = self.store.watch(self.key, after, WATCH_SECONDS)
        if 0 < batch.revision.number < after.number:
            raise HistoryCompacted(f'{batch.revision} follows {after}')
        for change in batch.changes:
            if change.stored is not None and change.key == self.key:
                self._process_value(change.stored)
        return max(batch.revision, after)

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
