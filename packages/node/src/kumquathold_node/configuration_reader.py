"""Polls the store for the configuration that the fleet has accepted.

The task may block on the store. If the store was restored from an older copy,
it writes the configuration in force back: what was confirmed stays in force.
"""

from __future__ import annotations

from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import manifest as manifests
from kumquathold_core import store_keys
from kumquathold_core.manifest import Manifest, ManifestStep
from kumquathold_node import freshness_service, manifest_store
from kumquathold_node.configuration import (
    Configuration,
    ConfigurationFoundEvent,
    ConfigurationService,
)
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import PingCommand
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    StoredValue,
    StoreError,
    StoreRestored,
    Write,
)

POLL_SECONDS = 1.0
"""Shortest interval between polls of the store, and between pings."""

CHECK_SECONDS = 0.25
"""Interval at which the reader checks whether to poll or ping."""

PING_PROOF_AGE_SECONDS = 1.5
"""Age of the proof of freshness from which the readers are pinged."""

POLL_PROOF_AGE_SECONDS = 2.2
"""Age of the proof from which a node that is no reader polls the store."""


class ConfigurationReader:
    """Polls the store, for this node's region or for itself."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.store: KeyValueStore = kernel.find('store')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.membership: Membership = kernel.find('membership')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.metrics: Metrics = kernel.find('metrics')
        self.region = settings.region
        self.own = settings.peer
        self.last_poll_at = -POLL_SECONDS
        self.last_ping_at = -POLL_SECONDS
        self.revision = ABSENT
        self.task = Task(
            'configuration-reader',
            {},
            tick=self.check,
            tick_seconds=CHECK_SECONDS,
        )
        kernel.register('reader', self)
        kernel.add_task(self.task)

    def check(self) -> None:
        """Poll the store or ping the readers, if either is due.

        A node that is no reader of its region gets proofs of freshness by
        heartbeat, and polls the store itself only if these grow old.
        """
        now = monotonic()
        age = self.freshness.get_proof_age()
        nodes = self.membership.view.nodes
        readers = freshness_service.select_region_readers(nodes, self.region)
        is_reader = self.own in readers
        is_due = now - self.last_poll_at >= POLL_SECONDS
        if is_due and (is_reader or age >= POLL_PROOF_AGE_SECONDS):
            self.last_poll_at = now
            self.poll()
            age = self.freshness.get_proof_age()
        if (
            age >= PING_PROOF_AGE_SECONDS
            and now - self.last_ping_at >= POLL_SECONDS
        ):
            self.last_ping_at = now
            near_store = self.freshness.list_store_region_readers()
            for peer in (readers | near_store) - {self.own}:
                self.membership.task.post(PingCommand(peer))

    def poll(self) -> None:
        """Read the manifest, and the text if the version is new."""
        requested_at = monotonic()
        try:
            self._read_manifest(requested_at)
        except StoreRestored:
            # The next poll reads from the restored store.
            self.last_poll_at = -POLL_SECONDS
        except StoreError as error:
            self.freshness.record_store_failure(requested_at)
            self.metrics.count('configuration.poll_failed')
            logger.debug('store poll failed', cause=str(error))
        except manifests.ManifestError as error:
            self.metrics.count('configuration.unreadable')
            logger.warning('configuration unreadable', cause=str(error))

    def read_configuration(self, manifest: Manifest) -> Configuration:
        """Read and parse the text that a manifest identifies.

        Raises `StoreError` or `CorruptConfiguration`.
        """
        return Configuration.from_compressed(
            manifest.version,
            manifest_store.read_text(self.store, manifest.digest),
            manifest.digest,
        )

    def _read_manifest(self, requested_at: float) -> None:
        reading = self.store.read(store_keys.MANIFEST_KEY)
        if reading.revision < self.revision:
            self.metrics.count('configuration.older_revision')
            self._check_for_restore()
            return
        self.revision = reading.revision
        stored = reading.found[0] if reading.found else None
        manifest = manifest_store.decode_manifest(stored) if stored else None
        current = self.configuration.current
        step = manifests.decide_step(manifest, current.version, current.digest)
        if step == ManifestStep.confirm:
            self.freshness.record_proof(current.version, requested_at)
        elif step == ManifestStep.put_back:
            self._put_back(stored, current)
        elif manifest is not None:
            self._take(stored, manifest, step)

    def _check_for_restore(self) -> None:
        """Raise `StoreRestored` if revisions went back for writes as well.

        A read with a lower revision may also have been answered from the past.
        """
        probe = Write(store_keys.PROBE_KEY, b'', expected_revision=None)
        self.store.swap([probe])

    def _put_back(
        self, stored: StoredValue | None, current: Configuration
    ) -> None:
        """Write the configuration in force to a store that has an older one."""
        self.metrics.count('configuration.older_revision')
        self.last_poll_at = -POLL_SECONDS
        note = 'put back, as the store had an older one'
        self._write(stored, current, note)

    def _take(
        self, stored: StoredValue | None, manifest: Manifest, step: ManifestStep
    ) -> None:
        """Put the configuration of a manifest in force.

        One under a version that another text had before gets the next version,
        so that all nodes take it.
        """
        found = self.read_configuration(manifest)
        if step == ManifestStep.renumber:
            found = msgspec.structs.replace(found, version=found.version + 1)
            note = f'version {manifest.version} again, by {manifest.author}'
            if not self._write(stored, found, note):
                return
        self.configuration.task.post(ConfigurationFoundEvent(found))

    def _write(
        self, stored: StoredValue | None, written: Configuration, note: str
    ) -> bool:
        """Replace the manifest that was read; return whether it took effect."""
        manifest = manifest_store.make_manifest(
            written.version, written.compressed, author=self.own, note=note
        )
        manifest_store.write_text(self.store, written.compressed)
        expected = stored.mod_revision if stored else ABSENT
        swap = manifest_store.swap_manifest(self.store, manifest, expected)
        if swap.succeeded:
            self.metrics.count('configuration.put_back')
            logger.warning(
                'configuration written again',
                version=manifest.version,
                note=note,
            )
        return swap.succeeded
