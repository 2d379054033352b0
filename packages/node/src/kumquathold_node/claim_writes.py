"""Writes of once-only claims, and what is decided on them.

The module does no I/O.
"""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core import claims, store_keys
from kumquathold_core.claims import Claim, ClaimState, StoredResponse
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.store import ABSENT, Revision, StoredValue
from kumquathold_node.upstream_calls import CallFailed
from kumquathold_node.upstream_responses import UpstreamResponse


class ClaimGrantedEvent(msgspec.Struct, frozen=True):
    """The claim is written; the request may run."""

    request: OwnerRequest
    """The request."""


class ClaimRefusedEvent(msgspec.Struct, frozen=True):
    """The request must not run."""

    request: OwnerRequest
    """The request."""

    outcome: Outcome
    """Whether the claimed request ran, as far as is known."""

    reason: Refusal
    """Why it must not run."""

    response: StoredResponse | None = None
    """The stored response to return, if there is one."""


class OutcomeStoredEvent(msgspec.Struct, frozen=True):
    """The outcome is stored, or will be once the store is reachable."""

    request: OwnerRequest
    """The request."""

    result: UpstreamResponse | CallFailed
    """The response or failure of its call."""


class StoreOutcomeCommand(msgspec.Struct, frozen=True):
    """Asks the service to store the outcome of a claimed request."""

    request: OwnerRequest
    """The request."""

    result: UpstreamResponse | CallFailed
    """The response or failure of its call."""


class PendingWrite(msgspec.Struct, eq=False):
    """A claim or outcome that is to be written."""

    request: OwnerRequest
    """The request."""

    key: str
    """Key of the claim in the store."""

    claim: Claim
    """The claim to write; with `is_delete`, the claim to delete."""

    expected_revision: Revision
    """Revision that the key must have, or `ABSENT`."""

    result: UpstreamResponse | CallFailed | None = None
    """The response or failure of the call; `None` for a new claim."""

    is_delete: bool = False
    """Whether to delete the claim, as the request did not run."""

    is_reported: bool = False
    """Whether the owner has been notified."""

    is_rewrite: bool = False
    """Whether it was written before, and a restored store may have lost it."""

    @property
    def is_new_claim(self) -> bool:
        """Whether its request runs only once this is written."""
        return self.result is None and not self.is_reported


class WriteState(enum.Enum):
    """What the store shows of a write."""

    applied = enum.auto()
    """It took effect."""

    open = enum.auto()
    """It has not, and may be tried again."""

    superseded = enum.auto()
    """Another writer has changed the key."""


def judge_write(
    pending: PendingWrite, stored: StoredValue | None, read_at: Revision
) -> WriteState:
    """Compare a write with what the store holds under its key.

    `read_at` is the revision of the store when that was read, if reported. What
    was read from before the claim says nothing of it. If the store was restored
    since the claim was written, the write is based on what is there now.
    """
    if _is_applied(pending, stored):
        return WriteState.applied
    found_revision = stored.mod_revision if stored else ABSENT
    expected = pending.expected_revision
    if found_revision == expected or (read_at.number and read_at < expected):
        return WriteState.open
    is_restored = expected.number and expected.era < read_at.era
    if (pending.is_rewrite or is_restored) and _is_own_claim(pending, stored):
        pending.expected_revision = found_revision
        return WriteState.open
    return WriteState.superseded


def make_outcome_write(
    request: OwnerRequest,
    held: tuple[Claim, Revision],
    result: UpstreamResponse | CallFailed,
    *,
    may_keep: bool = True,
) -> PendingWrite:
    """Make the write that stores the outcome of a claimed request.

    `may_keep` says whether the store may hold the response itself.
    """
    claim, revision = held
    return PendingWrite(
        request=request,
        key=key_of(request),
        claim=_make_final_claim(claim, result, may_keep=may_keep),
        expected_revision=revision,
        result=result,
        is_delete=(
            isinstance(result, CallFailed) and result.outcome == Outcome.not_run
        ),
    )


def make_refusal(
    pending: PendingWrite, stored: StoredValue
) -> ClaimRefusedEvent:
    """Refuse a request whose key another claim holds."""
    found = claims.decode_claim(stored.value)
    decision = claims.decide_repeat(found, pending.claim.fingerprint)
    if isinstance(decision, claims.ReplayResponse):
        return ClaimRefusedEvent(
            pending.request, Outcome.ran, Refusal.settled, decision.response
        )
    return ClaimRefusedEvent(pending.request, decision.outcome, decision.reason)


def key_of(request: OwnerRequest) -> str:
    digest = claims.digest_claim_key(request.message.claim)
    return store_keys.claim_key(request.message.workspace, digest)


def _make_final_claim(
    claim: Claim, result: UpstreamResponse | CallFailed, *, may_keep: bool
) -> Claim:
    if isinstance(result, CallFailed):
        return msgspec.structs.replace(claim, state=ClaimState.unknown)
    return msgspec.structs.replace(
        claim,
        state=ClaimState.answered,
        answer=claims.make_stored_response(
            result.status, result.headers, result.body, may_keep=may_keep
        ),
    )


def first_of_each_key(group: list[PendingWrite]) -> list[PendingWrite]:
    """Return the first write of each key.

    A transaction may write a key only once.
    """
    firsts: dict[str, PendingWrite] = {}
    for pending in group:
        firsts.setdefault(pending.key, pending)
    return list(firsts.values())


def _is_applied(pending: PendingWrite, stored: StoredValue | None) -> bool:
    if pending.is_delete:
        return stored is None
    if stored is None:
        return False
    found = claims.decode_claim(stored.value)
    if found is None:
        return False
    is_own = found.claim_id == pending.claim.claim_id
    return is_own and found.state == pending.claim.state


def _is_own_claim(pending: PendingWrite, stored: StoredValue | None) -> bool:
    """Whether a key is absent, or holds the claim as it was first written."""
    if stored is None:
        return True
    found = claims.decode_claim(stored.value)
    if found is None or found.claim_id != pending.claim.claim_id:
        return False
    return found.state == ClaimState.claimed
