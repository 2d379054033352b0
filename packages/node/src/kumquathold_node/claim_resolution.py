"""Looks up and settles once-only requests whose outcome is not known."""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core import claims, store_keys
from kumquathold_core.claims import Claim, ClaimState
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.store import KeyValueStore, Write


class SettlementError(Exception):
    """A claim that was not settled."""


class ClaimUnknown(SettlementError):
    """No claim has this key."""


class ClaimNotOpen(SettlementError):
    """The outcome is known, or its owner is still running it."""


class ClaimChanged(SettlementError):
    """The claim changed meanwhile; look again."""


class Resolution(enum.StrEnum):
    """What an operator found out."""

    ran = 'ran'
    not_run = 'not-run'


def show(platform: KeyValueStore, workspace: str, key: str) -> Claim | None:
    """The claim of a workspace's Idempotency-Key; raises `StoreError`."""
    reading = platform.read(_key(workspace, key))
    if not reading.found:
        return None
    return msgspec.json.decode(reading.found[0].value, type=Claim)


def resolve(
    kernel: Kernel,
    workspace: str,
    key: str,
    ruling: Resolution,
    operator: str,
) -> Claim:
    """Settle a claim; "not run" lets the caller's next sending run.

    Raises a `SettlementError` or `StoreError`.
    """
    platform: KeyValueStore = kernel.find('store')
    reading = platform.read(_key(workspace, key))
    if not reading.found:
        raise ClaimUnknown(f'{workspace}: no claim has this key')
    stored = reading.found[0]
    claim = msgspec.json.decode(stored.value, type=Claim)
    if not _is_open(kernel.find('membership'), claim):
        raise ClaimNotOpen(f'the claim is {claim.state.value}')
    settled = msgspec.structs.replace(
        claim,
        state=ClaimState.settled_ran,
        settled_by=operator,
    )
    value = msgspec.json.encode(settled) if ruling == Resolution.ran else None
    write = Write(stored.key, value, stored.mod_revision)
    if not platform.swap([write]).succeeded:
        raise ClaimChanged('the claim changed meanwhile; look again')
    return settled


def _key(workspace: str, key: str) -> str:
    return store_keys.claim_key(workspace, claims.digest_claim_key(key))


def _is_open(membership: Membership, claim: Claim) -> bool:
    if claim.state == ClaimState.unknown:
        return True
    if claim.state != ClaimState.claimed:
        return False
    owner = membership.view.by_address.get(claim.owner)
    return owner is None or owner.incarnation != claim.incarnation
