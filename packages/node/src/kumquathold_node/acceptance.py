"""Acceptance of a configuration by the fleet.

Writes the text in chunks, then switches the manifest by a compare-and-swap
against the revision it is based on. No other code changes the manifest.
"""

from __future__ import annotations

import datetime
import uuid
from collections.abc import Sequence
from time import monotonic, sleep

import msgspec

from kumquathold_core import manifest as manifests
from kumquathold_core import rules_file, store_keys
from kumquathold_core.manifest import Manifest
from kumquathold_core.routing import RouteTable
from kumquathold_node import configuration
from kumquathold_node.configuration import (
    Configuration,
    ConfigurationFoundEvent,
    ConfigurationReader,
    ConfigurationService,
)
from kumquathold_node.kernel import Kernel
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    Revision,
    StoredValue,
    StoreError,
    StoreUnavailable,
    Write,
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
    manifest = Manifest(
        version=proposal.base + 1,
        digest=manifests.digest_compressed(compressed),
        chunks=len(manifests.split_chunks(compressed)),
        author=proposal.author,
        note=proposal.note,
        accepted_at=datetime.datetime.now(datetime.UTC).isoformat(),
        acceptance=uuid.uuid4().hex,
    )
    try:
        revision = _check_base(store, proposal.base)
        _write_chunks(store, manifest, compressed)
    except StoreError as error:
        raise NotAccepted(str(error)) from error
    _switch_manifest(store, manifest, revision)
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
    return [configuration.decode_manifest(stored) for stored in latest]


def read_version_text(reader: ConfigurationReader, version: int) -> str | None:
    """Read the text of an accepted version, `None` if there is none.

    Raises `StoreError` or `CorruptConfiguration`.
    """
    key = store_keys.history_key(version)
    reading = reader.store.read(key)
    if not reading.found:
        return None
    manifest = configuration.decode_manifest(reading.found[0])
    return reader.read_configuration(manifest).text


def _read_manifest(store: KeyValueStore) -> StoredValue | None:
    reading = store.read(store_keys.MANIFEST_KEY)
    return reading.found[0] if reading.found else None


def _check_base(store: KeyValueStore, base: int) -> Revision:
    """Return the revision to swap against, `ABSENT` for a missing key.

    Raises `Conflict` if the version in force is not `base`.
    """
    stored = _read_manifest(store)
    manifest = configuration.decode_manifest(stored) if stored else None
    version = manifest.version if manifest else 0
    if version != base:
        raise Conflict(base, manifest)
    return stored.mod_revision if stored else ABSENT


def _write_chunks(
    store: KeyValueStore, manifest: Manifest, compressed: bytes
) -> None:
    for number, chunk in enumerate(manifests.split_chunks(compressed)):
        key = store_keys.chunk_key(manifest.digest, number)
        store.swap([Write(key, chunk, expected_revision=None)])


def _switch_manifest(
    store: KeyValueStore, manifest: Manifest, revision: Revision
) -> None:
    """Swap the manifest; raise unless this acceptance took effect.

    A swap whose response was lost is retried. It also creates the history
    key, so it takes effect at most once, and a retry that fails reads there
    whether an earlier attempt took effect.
    """
    deadline = monotonic() + SWITCH_TIMEOUT_SECONDS
    cause = ''
    try:
        if _try_switch(store, manifest, revision):
            return
    except StoreUnavailable as error:
        cause = str(error)
    except StoreError as error:
        raise NotAccepted(str(error)) from error
    while monotonic() < deadline:
        sleep(SWITCH_RETRY_SECONDS)
        try:
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
    value = msgspec.json.encode(manifest)
    history_key = store_keys.history_key(manifest.version)
    swap = store.swap(
        [
            Write(store_keys.MANIFEST_KEY, value, expected_revision=revision),
            Write(history_key, value, expected_revision=ABSENT),
        ]
    )
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
            other = configuration.decode_manifest(stored)
            if other.acceptance == manifest.acceptance:
                return True
            raise Conflict(manifest.version - 1, other)
    return False


def _publish(kernel: Kernel, accepted: Configuration) -> None:
    service: ConfigurationService = kernel.find('configuration')
    service.task.post(ConfigurationFoundEvent(accepted))
    service.notify_all_peers(accepted.version)
