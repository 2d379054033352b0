"""Accepting a configuration: the only way that one comes into force."""

from __future__ import annotations

import datetime
import uuid
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
    KeyValueStore,
    StoredValue,
    StoreError,
    StoreUnavailable,
    Write,
)

LOOK_UP_SECONDS = 8.0
LOOK_UP_PAUSE_SECONDS = 0.2


class AcceptanceError(Exception):
    """A configuration that was not accepted, or may not have been."""


class Conflict(AcceptanceError):
    """Another configuration was accepted since the one it is based on."""

    def __init__(self, base: int, manifest: Manifest | None) -> None:
        """Say what is in force instead of `base`."""
        version = manifest.version if manifest else 0
        super().__init__(f'based on version {base}, in force is {version}')
        self.base = base
        self.manifest = manifest


class NotAccepted(AcceptanceError):
    """The platform does not answer, and nothing was written."""


class OutcomeUnknown(AcceptanceError):
    """The platform stopped answering; it may be accepted or not."""


class Proposal(msgspec.Struct, frozen=True):
    """What an operator wants in force."""

    text: str
    """The whole rules file."""

    base: int
    """The version that the operator saw last."""

    author: str
    """Name of the operator."""

    note: str
    """Why."""


def accept(kernel: Kernel, proposal: Proposal) -> Manifest:
    """Put a configuration in force everywhere.

    Raises `RulesErrors` for a text with mistakes, else an `AcceptanceError`.
    """
    rules = rules_file.parse_rules(proposal.text)
    platform: KeyValueStore = kernel.find('store')
    packed = manifests.compress_text(proposal.text)
    manifest = Manifest(
        version=proposal.base + 1,
        digest=manifests.digest_compressed(packed),
        chunks=len(manifests.split_chunks(packed)),
        author=proposal.author,
        note=proposal.note,
        accepted_at=datetime.datetime.now(datetime.UTC).isoformat(),
        acceptance=uuid.uuid4().hex,
    )
    try:
        revision = _check_base(platform, proposal.base)
        _write_text(platform, manifest, packed)
    except StoreError as error:
        raise NotAccepted(str(error)) from error
    _switch(platform, manifest, revision)
    _announce(
        kernel,
        Configuration(
            version=manifest.version,
            rules=rules,
            routes=RouteTable.from_rules(rules),
            packed=packed,
            digest=manifest.digest,
        ),
    )
    return manifest


def read_history(platform: KeyValueStore, limit: int) -> list[Manifest]:
    """The latest manifests, newest first; raises `StoreError`."""
    prefix = store_keys.HISTORY_PREFIX
    reading = platform.read_prefix(prefix)
    stored = reversed(reading.found[-limit:])
    return [configuration.decode_manifest(one) for one in stored]


def read_version(reader: ConfigurationReader, version: int) -> str | None:
    """The text of an accepted version; raises `StoreError`."""
    key = store_keys.history_key(version)
    reading = reader.platform.read(key)
    if not reading.found:
        return None
    manifest = configuration.decode_manifest(reading.found[0])
    return reader.read_configuration(manifest).text


def _read_manifest(platform: KeyValueStore) -> StoredValue | None:
    reading = platform.read(store_keys.MANIFEST_KEY)
    return reading.found[0] if reading.found else None


def _check_base(platform: KeyValueStore, base: int) -> int:
    """Give the revision to swap against; raises `Conflict`."""
    stored = _read_manifest(platform)
    manifest = configuration.decode_manifest(stored) if stored else None
    version = manifest.version if manifest else 0
    if version != base:
        raise Conflict(base, manifest)
    return stored.mod_revision if stored else 0


def _write_text(
    platform: KeyValueStore, manifest: Manifest, packed: bytes
) -> None:
    for number, chunk in enumerate(manifests.split_chunks(packed)):
        key = store_keys.chunk_key(manifest.digest, number)
        platform.swap([Write(key, chunk, expected_revision=None)])


def _switch(platform: KeyValueStore, manifest: Manifest, revision: int) -> None:
    """Swap the manifest; raises unless this acceptance is in force.

    A swap whose reply is lost is looked up, and made again where it left no
    trace: the history key lets it take effect once at most.
    """
    give_up_at = monotonic() + LOOK_UP_SECONDS
    is_first = True
    while is_first or monotonic() < give_up_at:
        is_first = False
        try:
            if _try_switch(platform, manifest, revision):
                return
        except StoreUnavailable:
            sleep(LOOK_UP_PAUSE_SECONDS)
        except StoreError as error:
            raise NotAccepted(str(error)) from error
    raise OutcomeUnknown(f'version {manifest.version}')


def _try_switch(
    platform: KeyValueStore,
    manifest: Manifest,
    revision: int,
) -> bool:
    value = msgspec.json.encode(manifest)
    history_key = store_keys.history_key(manifest.version)
    swap = platform.swap(
        [
            Write(store_keys.MANIFEST_KEY, value, expected_revision=revision),
            Write(history_key, value, expected_revision=0),
        ]
    )
    if swap.succeeded:
        return True
    for stored in swap.found:
        if stored.key == history_key:
            other = configuration.decode_manifest(stored)
            if other.acceptance == manifest.acceptance:
                return True
            raise Conflict(manifest.version - 1, other)
    return False


def _announce(kernel: Kernel, accepted: Configuration) -> None:
    service: ConfigurationService = kernel.find('configuration')
    service.task.post(ConfigurationFoundEvent(accepted))
    service.announce(accepted.version)
