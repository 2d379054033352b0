"""The configuration service: puts the latest accepted rules in force.

Its task owns the rules in force, exchanges them with peers, and never blocks.
What reads the store is a service of its own, see `configuration_reader`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from kumquathold_core import distribution, rules_file
from kumquathold_core import manifest as manifests
from kumquathold_core.forwarding import BODY_CHUNK_BYTES
from kumquathold_core.routing import RouteTable
from kumquathold_core.rules import EMPTY_RULES, Rules
from kumquathold_node.freshness_service import FreshnessService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.wire import Envelope

RulesReader = Callable[[str], Rules]
"""Parses the text of a configuration."""

FETCH_RETRY_SECONDS = 0.5
"""Shortest interval between requests until a configuration is adopted."""


class Configuration(msgspec.Struct, frozen=True):
    """A version of the rules, with the data derived from them."""

    version: int
    """Version of the accepted configuration, 0 for none."""

    rules: Rules
    """The parsed rules."""

    routes: RouteTable
    """The routes, indexed for matching."""

    compressed: bytes
    """The compressed text, as it is sent to peers."""

    digest: str
    """Hexadecimal BLAKE2b digest of the compressed text."""

    @classmethod
    def from_compressed(
        cls,
        version: int,
        compressed: bytes,
        digest: str,
        read_rules: RulesReader = rules_file.parse_rules,
    ) -> Configuration:
        """Parse a compressed text.

        Raises `CorruptConfiguration` if the digest differs, and what
        `read_rules` raises.
        """
        text = manifests.decompress_text(compressed, digest)
        rules = read_rules(text)
        return cls(
            version=version,
            rules=rules,
            routes=RouteTable.from_rules(rules),
            compressed=compressed,
            digest=digest,
        )

    @property
    def text(self) -> str:
        """The text of the rules file."""
        return manifests.decompress_text(self.compressed, self.digest)


def empty_configuration() -> Configuration:
    """Return the configuration of a node that has none yet."""
    compressed = manifests.compress_text('')
    return Configuration(
        version=0,
        rules=EMPTY_RULES,
        routes=RouteTable.from_rules(EMPTY_RULES),
        compressed=compressed,
        digest=manifests.digest_compressed(compressed),
    )


class ConfigurationFoundEvent(msgspec.Struct, frozen=True):
    """A configuration was read or accepted by this node."""

    configuration: Configuration
    """The configuration, parsed without errors."""


class VersionReportedEvent(msgspec.Struct, frozen=True):
    """A peer reported a higher version."""

    peer: str
    """Address of the peer."""

    version: int
    """Version that it has in force."""


class _PartialSnapshot(msgspec.Struct):
    version: int
    digest: str
    total: int
    chunks: dict[int, bytes]


class ConfigurationService:
    """Owns the configuration in force; other threads read `current`."""

    def __init__(
        self,
        kernel: Kernel,
        read_rules: RulesReader = rules_file.parse_rules,
    ) -> None:
        """Look up the services that it uses, and register itself."""
        self.read_rules = read_rules
        self.transport: Transport = kernel.find('transport')
        self.freshness: FreshnessService = kernel.find('freshness')
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.current = empty_configuration()
        self.is_in_force = threading.Event()
        self.listeners: list[Callable[[Configuration], None]] = []
        self.partial: _PartialSnapshot | None = None
        self.last_fetch_at = -FETCH_RETRY_SECONDS
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
        self.freshness.on_version_reported = self._post_version
        kernel.register('configuration', self)
        kernel.add_task(self.task)

    def on_version_notice(
        self, envelope: Envelope[distribution.VersionNotice]
    ) -> None:
        """Request the configuration that a peer announced."""
        version = envelope.message.version
        self.on_version_reported(VersionReportedEvent(envelope.sender, version))

    def on_version_reported(self, event: VersionReportedEvent) -> None:
        """Request a higher version from the peer that has it."""
        now = monotonic()
        is_known = event.version <= self.current.version
        if is_known or now - self.last_fetch_at < FETCH_RETRY_SECONDS:
            return
        self.last_fetch_at = now
        request = distribution.SnapshotRequest(
            known_version=self.current.version
        )
        self.transport.try_send(event.peer, request)

    def on_snapshot_request(
        self, envelope: Envelope[distribution.SnapshotRequest]
    ) -> None:
        """Send the configuration in force, in chunks."""
        current = self.current
        if envelope.message.known_version >= current.version:
            return
        for offset in range(0, len(current.compressed), BODY_CHUNK_BYTES):
            message = distribution.SnapshotChunk(
                version=current.version,
                digest=bytes.fromhex(current.digest),
                total=len(current.compressed),
                offset=offset,
                chunk=current.compressed[offset : offset + BODY_CHUNK_BYTES],
            )
            self.transport.try_send(envelope.sender, message)

    def on_snapshot_chunk(
        self, envelope: Envelope[distribution.SnapshotChunk]
    ) -> None:
        """Reassemble a configuration; adopt it when complete."""
        message = envelope.message
        if message.version <= self.current.version:
            return
        digest = message.digest.hex()
        partial = self.partial
        if partial is None or partial.digest != digest:
            partial = _PartialSnapshot(
                message.version, digest, message.total, {}
            )
            self.partial = partial
        partial.chunks[message.offset] = message.chunk
        compressed = b''.join(
            chunk for _, chunk in sorted(partial.chunks.items())
        )
        if len(compressed) < partial.total:
            return
        self.partial = None
        self._adopt(
            Configuration.from_compressed(
                partial.version,
                compressed,
                digest,
                self.read_rules,
            ),
            source=envelope.sender,
        )

    def on_configuration_found(self, event: ConfigurationFoundEvent) -> None:
        """Adopt a configuration that this node read or accepted."""
        self._adopt(event.configuration, source='store')

    def notify_all_peers(self, version: int) -> None:
        """Notify all peers of a version that this node accepted."""
        notice = distribution.VersionNotice(version=version)
        for peer in self.membership.table.list_peers():
            self.transport.try_send(peer, notice)

    def notify_some_peers(self, version: int) -> None:
        """Notify a few peers of the version that this node has in force.

        Each peer that adopts it notifies others, so that it reaches nodes
        whose own watch stalls or is disconnected within a few hops.
        """
        notice = distribution.VersionNotice(version=version)
        for peer in self.membership.select_notice_peers():
            self.transport.try_send(peer, notice)

    def _adopt(self, configuration: Configuration, source: str) -> None:
        """Put a configuration in force, unless it is an older one.

        `source` is `store`, or the address of the peer that sent it.
        """
        if configuration.version <= self.current.version:
            self._ignore(configuration.version, source)
            return
        self.current = configuration
        self.is_in_force.set()
        self.freshness.adopt_version(configuration.version)
        self.last_fetch_at = -FETCH_RETRY_SECONDS
        for listener in self.listeners:
            listener(configuration)
        self.notify_some_peers(configuration.version)
        logger.info(
            'configuration in force',
            version=configuration.version,
            source=source,
        )

    def _ignore(self, version: int, source: str) -> None:
        """Count a version that is not newer; log one that is older."""
        self.metrics.count('configuration.older_ignored')
        if version < self.current.version:
            logger.info(
                'older configuration ignored',
                version=version,
                in_force=self.current.version,
                source=source,
            )

    def _post_version(self, peer: str, version: int) -> None:
        self.task.post(VersionReportedEvent(peer, version))
