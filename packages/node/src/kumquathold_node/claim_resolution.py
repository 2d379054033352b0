"""Look-up and resolution of once-only claims by operators.

A claim whose outcome is unknown rejects all repeats until an operator states
whether its request ran. The change is a compare-and-swap on the claim.
"""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core import claims, store_keys
from kumquathold_core.claims import Claim, ClaimState
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import Membership
from kumquathold_node.store import KeyValueStore, StoredValue, Write


class ResolutionError(Exception):
    """A claim could not be resolved."""


class ClaimUnknown(ResolutionError):
    """The workspace has no claim with this key."""


class ClaimUnreadable(ResolutionError):
    """The stored claim is not one of this fleet."""


class ClaimNotOpen(ResolutionError):
    """The outcome is known, or the owner is still running the request."""


class ClaimChanged(ResolutionError):
    """The claim changed between the read and the write."""


class Resolution(enum.StrEnum):
    """Whether a request ran, as stated by an operator."""

    ran = 'ran'
    not_run = 'not-run'


def find_claim(store: KeyValueStore, workspace: str, key: str) -> Claim | None:
    """Return the claim of a workspace's Idempotency-Key, or `None`.

    Raises `StoreError` if the store cannot be read, and `ClaimUnreadable`.
    """
    read = store.read(_claim_key_of(workspace, key))
    if not read.found:
        return None
    return _decode(read.found[0])


def resolve_claim(
    kernel: Kernel,
    workspace: str,
    key: str,
    resolution: Resolution,
    operator: str,
) -> Claim:
    """Record an operator's resolution of a claim, and return the claim.

    `Resolution.ran` is stored in the claim, so that repeats are rejected.
    `Resolution.not_run` deletes it, so that the caller's next repeat runs.
    Raises a `ResolutionError` if the claim cannot be resolved, and a
    `StoreError` if the store cannot be read or written.
    """
    store: KeyValueStore = kernel.find('store')
    read = store.read(_claim_key_of(workspace, key))
    if not read.found:
        raise ClaimUnknown(f'workspace {workspace} has no claim with this key')
    stored = read.found[0]
    claim = _decode(stored)
    if not _is_unresolved(kernel.find('membership'), claim):
        raise ClaimNotOpen(
            f'the claim is {claim.state.value}; it can be resolved only if its '
            'outcome is unknown or its owner has ended'
        )
    resolved = msgspec.structs.replace(
        claim,
        state=ClaimState.settled_ran,
        settled_by=operator,
    )
    value = (
        msgspec.json.encode(resolved) if resolution == Resolution.ran else None
    )
    write = Write(stored.key, value, stored.mod_revision)
    if not store.swap([write]).succeeded:
        raise ClaimChanged('the claim changed meanwhile; read it again')
    return resolved


def _decode(stored: StoredValue) -> Claim:
    claim = claims.decode_claim(stored.value)
    if claim is None:
        raise ClaimUnreadable(f'the value at {stored.key} is no claim')
    return claim


def _claim_key_of(workspace: str, key: str) -> str:
    return store_keys.claim_key(workspace, claims.digest_claim_key(key))


def _is_unresolved(membership: Membership, claim: Claim) -> bool:
    if claim.state == ClaimState.unknown:
        return True
    if claim.state != ClaimState.claimed:
        return False
    owner = membership.view.by_address.get(claim.owner)
    return owner is None or owner.incarnation != claim.incarnation
