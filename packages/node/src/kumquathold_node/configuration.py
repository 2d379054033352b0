"""The configuration service: puts the newest accepted rules in force.

Two tasks: one reads the platform and may wait for it; the other keeps the
rules in force and exchanges them with peers, and never waits.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from kumquathold_core import distribution, rules_file, store_keys
from kumquathold_core import manifest as manifests
from kumquathold_core.forwarding import BODY_CHUNK_BYTES
from kumquathold_core.manifest import Manifest
from kumquathold_core.routing import RouteTable
from kumquathold_core.rules import EMPTY_RULES, Rules
from kumquathold_node import freshness_service
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import (
    Membership,
    PingCommand,
)
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.store import KeyValueStore, StoredValue, StoreError
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.wire import Envelope

RulesReader = Callable[[str], Rules]

POLL_SECONDS = 1.0
CHECK_SECONDS = 0.25
ASK_READER_SECONDS = 1.5
ASK_PLATFORM_SECONDS = 2.2
FETCH_AGAIN_SECONDS = 0.5


class Configuration(msgspec.Struct, frozen=True):
    """The rules in force, with what is derived from them."""

    version: int
    """Version of the accepted configuration, 0 for none."""

    rules: Rules
    """What they say."""

    routes: RouteTable
    """The routes, indexed."""

    packed: bytes
    """The compressed text, for peers."""

    digest: str
    """Names the packed text."""

    @classmethod
    def from_packed(
        cls,
        version: int,
        packed: bytes,
        digest: str,
        read_rules: RulesReader = rules_file.parse_rules,
    ) -> Configuration:
        """Read a packed text; raises `CorruptConfiguration`."""
        text = manifests.decompress_text(packed, digest)
        rules = read_rules(text)
        return cls(
            version=version,
            rules=rules,
            routes=RouteTable.from_rules(rules),
            packed=packed,
            digest=digest,
        )

    @property
    def text(self) -> str:
        """The text of the rules file."""
        return manifests.decompress_text(self.packed, self.digest)


def _empty_configuration() -> Configuration:
    packed = manifests.compress_text('')
    return Configuration(
        version=0,
        rules=EMPTY_RULES,
        routes=RouteTable.from_rules(EMPTY_RULES),
        packed=packed,
        digest=manifests.digest_compressed(packed),
    )


class ConfigurationFoundEvent(msgspec.Struct, frozen=True):
    """A configuration was read or accepted by this node."""

    configuration: Configuration
    """Checked and ready."""


class VersionReportedEvent(msgspec.Struct, frozen=True):
    """A peer has a higher version."""

    peer: str
    """Address of the peer."""

    version: int
    """What it has in force."""


class _PartialSnapshot(msgspec.Struct):
    version: int
    digest: str
    total: int
    pieces: dict[int, bytes]


class ConfigurationService:
    """Owns the configuration in force; others read `current`."""

    def __init__(
        self,
        kernel: Kernel,
        read_rules: RulesReader = rules_file.parse_rules,
    ) -> None:
        """Find the services that are needed, and register."""
        self.read_rules = read_rules
        self.transport: Transport = kernel.find('transport')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.current = _empty_configuration()
        self.is_in_force = threading.Event()
        self.listeners: list[Callable[[Configuration], None]] = []
        self.partial: _PartialSnapshot | None = None
        self.fetched_at = -FETCH_AGAIN_SECONDS
        self.task = Task(
            'configuration',
            {
                distribution.VersionNotice: self.on_version_notice,
                distribution.SnapshotRequest: self.on_snapshot_request,
                distribution.SnapshotChunk: self.on_snapshot_chunk,
                ConfigurationFoundEvent: self.on_configuration_found,
                VersionReportedEvent: self.on_version_reported,
            },
        )
        self.transport.deliver_to(self.task)
        self.freshness.on_version_reported = self._hear_version
        kernel.register('configuration', self)
        kernel.add_task(self.task)

    def on_version_notice(
        self, envelope: Envelope[distribution.VersionNotice]
    ) -> None:
        """Fetch what a peer has accepted."""
        version = envelope.message.version
        self.on_version_reported(VersionReportedEvent(envelope.sender, version))

    def on_version_reported(self, heard: VersionReportedEvent) -> None:
        """Fetch a higher version from the peer that has it."""
        now = monotonic()
        is_known = heard.version <= self.current.version
        if is_known or now - self.fetched_at < FETCH_AGAIN_SECONDS:
            return
        self.fetched_at = now
        asked = distribution.SnapshotRequest(known_version=self.current.version)
        self.transport.try_send(heard.peer, asked)

    def on_snapshot_request(
        self, envelope: Envelope[distribution.SnapshotRequest]
    ) -> None:
        """Send the configuration in force, in pieces."""
        current = self.current
        if envelope.message.known_version >= current.version:
            return
        for offset in range(0, len(current.packed), BODY_CHUNK_BYTES):
            piece = distribution.SnapshotChunk(
                version=current.version,
                digest=bytes.fromhex(current.digest),
                total=len(current.packed),
                offset=offset,
                chunk=current.packed[offset : offset + BODY_CHUNK_BYTES],
            )
            self.transport.try_send(envelope.sender, piece)

    def on_snapshot_chunk(
        self, envelope: Envelope[distribution.SnapshotChunk]
    ) -> None:
        """Collect the pieces of a configuration; adopt it when whole."""
        piece = envelope.message
        if piece.version <= self.current.version:
            return
        digest = piece.digest.hex()
        partial = self.partial
        if partial is None or partial.digest != digest:
            partial = _PartialSnapshot(piece.version, digest, piece.total, {})
            self.partial = partial
        partial.pieces[piece.offset] = piece.chunk
        packed = b''.join(chunk for _, chunk in sorted(partial.pieces.items()))
        if len(packed) < partial.total:
            return
        self.partial = None
        self._adopt(
            Configuration.from_packed(
                partial.version,
                packed,
                digest,
                self.read_rules,
            ),
        )

    def on_configuration_found(self, found: ConfigurationFoundEvent) -> None:
        """Adopt what this node read from the platform or accepted."""
        self._adopt(found.configuration)

    def announce(self, version: int) -> None:
        """Tell all peers that this node accepted a version."""
        news = distribution.VersionNotice(version=version)
        for peer in self.membership.table.list_peers():
            self.transport.try_send(peer, news)

    def spread(self, version: int) -> None:
        """Tell a few peers that this node has a version in force.

        Each that did not know it tells others, so that nodes whose own watch
        is silent or cut hear of it within a few hops.
        """
        news = distribution.VersionNotice(version=version)
        for peer in self.membership.select_notice_peers():
            self.transport.try_send(peer, news)

    def _adopt(self, configuration: Configuration) -> None:
        if configuration.version <= self.current.version:
            self.metrics.count('configuration.older_ignored')
            return
        self.current = configuration
        self.is_in_force.set()
        self.freshness.adopt_version(configuration.version)
        self.fetched_at = -FETCH_AGAIN_SECONDS
        for listener in self.listeners:
            listener(configuration)
        self.spread(configuration.version)
        logger.info('configuration in force', version=configuration.version)

    def _hear_version(self, peer: str, version: int) -> None:
        self.task.post(VersionReportedEvent(peer, version))


class ConfigurationReader:
    """Reads the platform, for this node's region or for itself."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.platform: KeyValueStore = kernel.find('store')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.membership: Membership = kernel.find('membership')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.metrics: Metrics = kernel.find('metrics')
        self.region = settings.region
        self.own = settings.peer
        self.polled_at = -POLL_SECONDS
        self.asked_at = -POLL_SECONDS
        self.revision = 0
        self.rng = random.Random(settings.peer)
        self.task = Task(
            'configuration-reader',
            {},
            tick=self.check,
            tick_seconds=CHECK_SECONDS,
        )
        kernel.register('reader', self)
        kernel.add_task(self.task)

    def check(self) -> None:
        """Ask the platform or a reader where it is this node's turn."""
        now = monotonic()
        age = self.freshness.get_proof_age()
        nodes = self.membership.view.nodes
        readers = freshness_service.select_region_readers(nodes, self.region)
        is_reader = self.own in readers
        is_due = now - self.polled_at >= POLL_SECONDS
        if is_due and (is_reader or age >= ASK_PLATFORM_SECONDS):
            self.polled_at = now
            self.poll()
            age = self.freshness.get_proof_age()
        if age >= ASK_READER_SECONDS and now - self.asked_at >= POLL_SECONDS:
            self.asked_at = now
            near_store = self.freshness.list_store_region_readers()
            for peer in (readers | near_store) - {self.own}:
                self.membership.task.post(PingCommand(peer))

    def poll(self) -> None:
        """Read the manifest, and the text where it is new."""
        asked_at = monotonic()
        try:
            self._read_manifest(asked_at)
        except StoreError as error:
            self.freshness.record_store_failure(asked_at)
            self.metrics.count('configuration.poll_failed')
            logger.debug('platform does not answer', cause=str(error))

    def read_configuration(self, manifest: Manifest) -> Configuration:
        """Read the text that a manifest names."""
        prefix = store_keys.chunk_prefix(manifest.digest)
        reading = self.platform.read_prefix(prefix)
        packed = b''.join(stored.value for stored in reading.found)
        return Configuration.from_packed(
            manifest.version,
            packed,
            manifest.digest,
        )

    def _read_manifest(self, asked_at: float) -> None:
        reading = self.platform.read(store_keys.MANIFEST_KEY)
        if reading.revision < self.revision:
            self.metrics.count('configuration.older_revision')
            return
        self.revision = reading.revision
        manifest = decode_manifest(reading.found[0]) if reading.found else None
        version = manifest.version if manifest else 0
        known = self.configuration.current.version
        if version < known:
            self.metrics.count('configuration.older_revision')
            return
        if manifest is not None and version > known:
            found = ConfigurationFoundEvent(self.read_configuration(manifest))
            self.configuration.task.post(found)
            return
        self.freshness.record_proof(version, asked_at)


def decode_manifest(stored: StoredValue) -> Manifest:
    """Read a manifest as the platform keeps it."""
    return msgspec.json.decode(stored.value, type=Manifest)
