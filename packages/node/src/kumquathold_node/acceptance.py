"""Acceptance of a configuration by the fleet.

Writes the text, then switches the manifest by a compare-and-swap against the
revision it is based on.
"""

from __future__ import annotations

from collections.abc import Sequence
from time import monotonic, sleep

import msgspec

from kumquathold_core import manifest as manifests
from kumquathold_core import rules_file, store_keys
from kumquathold_core.manifest import Manifest, ManifestStep
from kumquathold_core.routing import RouteTable
from kumquathold_node import manifest_store
from kumquathold_node.configuration import (
    Configuration,
    ConfigurationFoundEvent,
    ConfigurationService,
)
from kumquathold_node.configuration_reader import ConfigurationReader
from kumquathold_node.kernel import Kernel
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    Revision,
    StoredValue,
    StoreError,
    StoreRestored,
    StoreUnavailable,
)

SWITCH_TIMEOUT_SECONDS = 8.0
"""Time in which the switch of the manifest is retried."""

SWITCH_RETRY_SECONDS = 0.2
"""Pause before a retry."""


class AcceptanceError(Exception):
    """A configuration was not accepted, or may not have been."""


class Conflict(AcceptanceError):
    """Another configuration was accepted since the one it is based on."""

    def __init__(self, base: int, manifest: Manifest | None) -> None:
        """Take the manifest that is in force instead of `base`, if any."""
        version = manifest.version if manifest else 0
        super().__init__(
            f'based on version {base}, but version {version} is in force'
        )
        self.base = base
        self.manifest = manifest


class VersionMissing(AcceptanceError):
    """The store was restored, and lacks the version in force."""


class NotAccepted(AcceptanceError):
    """The store failed or refused a call, and nothing was accepted."""


class OutcomeUnknown(AcceptanceError):
    """The store stopped responding, so the switch may have been applied."""


class Proposal(msgspec.Struct, frozen=True):
    """A configuration that an operator wants to put in force."""

    text: str
    """The text of the rules file."""

    base: int
    """Version that the text is based on, 0 for none."""

    author: str
    """Name of the operator."""

    note: str
    """The operator's note on the change."""


def accept(kernel: Kernel, proposal: Proposal) -> Manifest:
    """Accept a configuration, so that all nodes put it in force.

    Raises `RulesErrors` for a text with errors, else an `AcceptanceError`.
    """
    rules = rules_file.parse_rules(proposal.text)
    store: KeyValueStore = kernel.find('store')
    compressed = manifests.compress_text(proposal.text)
    manifest = manifest_store.make_manifest(
        proposal.base + 1,
        compressed,
        author=proposal.author,
        note=proposal.note,
    )
    revision = _prepare_switch(kernel, proposal.base, compressed)
    _switch_manifest(store, manifest, compressed, revision)
    _publish(
        kernel,
        Configuration(
            version=manifest.version,
            rules=rules,
            routes=RouteTable.from_rules(rules),
            compressed=compressed,
            digest=manifest.digest,
        ),
    )
    return manifest


def read_history(store: KeyValueStore, limit: int) -> list[Manifest]:
    """Read the latest manifests, newest first; raises `StoreError`."""
    prefix = store_keys.HISTORY_PREFIX
    reading = store.read_prefix(prefix)
    latest = reversed(reading.found[-limit:])
    return [manifest_store.decode_manifest(stored) for stored in latest]


def read_version_text(reader: ConfigurationReader, version: int) -> str | None:
    """Read the text of an accepted version, `None` if there is none.

    Raises `StoreError` or `CorruptConfiguration`.
    """
    key = store_keys.history_key(version)
    reading = reader.store.read(key)
    if not reading.found:
        return None
    manifest = manifest_store.decode_manifest(reading.found[0])
    return reader.read_configuration(manifest).text


def _prepare_switch(kernel: Kernel, base: int, compressed: bytes) -> Revision:
    """Check the base and write the text; return the revision to swap against.

    Waits while a store that was restored has not got back what is in force.
    Raises `Conflict` or `NotAccepted`.
    """
    store: KeyValueStore = kernel.find('store')
    service: ConfigurationService = kernel.find('configuration')
    deadline = monotonic() + SWITCH_TIMEOUT_SECONDS
    cause = ''
    while monotonic() < deadline:
        try:
            return _try_prepare(store, base, service.current, compressed)
        except (StoreRestored, VersionMissing) as error:
            cause = str(error)
        except StoreError as error:
            raise NotAccepted(str(error)) from error
        sleep(SWITCH_RETRY_SECONDS)
    raise NotAccepted(cause)


def _try_prepare(
    store: KeyValueStore, base: int, in_force: Configuration, compressed: bytes
) -> Revision:
    revision = _check_base(store, base, in_force)
    manifest_store.write_text(store, compressed)
    return revision


def _check_base(
    store: KeyValueStore, base: int, in_force: Configuration
) -> Revision:
    """Return the revision to swap against, `ABSENT` for a key that is missing.

    Raises `Conflict` if the version in force is not `base`, and
    `VersionMissing` if the store does not have what this node has in force.
    """
    stored = manifest_store.read_manifest(store)
    manifest = manifest_store.decode_manifest(stored) if stored else None
    version = manifest.version if manifest else 0
    step = manifests.decide_step(manifest, in_force.version, in_force.digest)
    if step == ManifestStep.put_back:
        raise VersionMissing(
            f'the store has version {version}, but version {in_force.version}'
            ' is in force, and is written again by the nodes that poll'
        )
    if version != base or step == ManifestStep.renumber:
        raise Conflict(base, manifest)
    return stored.mod_revision if stored else ABSENT


def _switch_manifest(
    store: KeyValueStore,
    manifest: Manifest,
    compressed: bytes,
    revision: Revision,
) -> None:
    """Swap the manifest; raise unless this acceptance took effect.

    A swap whose response was lost is retried.
    """
    try:
        is_done = _try_switch(store, manifest, revision)
    except StoreUnavailable as error:
        is_done = False
        cause = str(error)
    except StoreError as error:
        raise NotAccepted(str(error)) from error
    else:
        cause = ''
    if not is_done:
        _retry_switch(store, manifest, compressed, revision, cause)


def _retry_switch(
    store: KeyValueStore,
    manifest: Manifest,
    compressed: bytes,
    revision: Revision,
    cause: str,
) -> None:
    """Swap the manifest until it is known that it took effect.

    The swap also creates the history key, so it takes effect at most once, and
    a retry that fails reads there whether an earlier attempt did. The text is
    written again before, as the store may have been restored in between.
    """
    deadline = monotonic() + SWITCH_TIMEOUT_SECONDS
    while monotonic() < deadline:
        sleep(SWITCH_RETRY_SECONDS)
        try:
            manifest_store.write_text(store, compressed)
            if _try_switch(store, manifest, revision):
                return
        except StoreError as error:
            # A refusal says nothing about the attempt whose reply was lost.
            cause = str(error)
            if _is_accepted(store, manifest):
                return
    raise OutcomeUnknown(
        f'no reply of the store tells whether the switch to version'
        f' {manifest.version} took effect within'
        f' {SWITCH_TIMEOUT_SECONDS:g} s; the last attempt failed: {cause}'
    )


def _try_switch(
    store: KeyValueStore,
    manifest: Manifest,
    revision: Revision,
) -> bool:
    """Swap the manifest once; return whether this acceptance took effect.

    Raises `Conflict` if another acceptance of the version did.
    """
    swap = manifest_store.swap_manifest(store, manifest, revision)
    if swap.succeeded:
        return True
    return _find_acceptance(swap.found, manifest)


def _is_accepted(store: KeyValueStore, manifest: Manifest) -> bool:
    """Read whether an earlier attempt took effect; false if the read fails.

    Raises `Conflict` if another acceptance of the version did.
    """
    try:
        reading = store.read(store_keys.history_key(manifest.version))
    except StoreError:
        return False
    return _find_acceptance(reading.found, manifest)


def _find_acceptance(
    found: Sequence[StoredValue],
    manifest: Manifest,
) -> bool:
    """Return whether the history names this acceptance of the version.

    Raises `Conflict` if it names another one.
    """
    history_key = store_keys.history_key(manifest.version)
    for stored in found:
        if stored.key == history_key:
            other = manifest_store.decode_manifest(stored)
            if other.acceptance == manifest.acceptance:
                return True
            raise Conflict(manifest.version - 1, other)
    return False


def _publish(kernel: Kernel, accepted: Configuration) -> None:
    service: ConfigurationService = kernel.find('configuration')
    service.task.post(ConfigurationFoundEvent(accepted))
    service.notify_all_peers(accepted.version)
