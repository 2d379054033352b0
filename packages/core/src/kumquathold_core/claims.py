"""Once-only claims: the records in the store of requests that run once.

The module keeps no state and does no I/O. An owner creates a claim by
compare-and-swap on an absent key before it runs the request, and stores the
outcome in it afterwards. An owner that finds an existing claim calls
`decide_repeat` for the response to the repeat.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from kumquathold_core.decoding import InvalidContent, decode_json
from kumquathold_core.forwarding import Headers, Outcome, Refusal

MAX_STORED_BODY_BYTES = 262_144
CLAIM_KEY_DIGITS = 40


class ClaimState(enum.StrEnum):
    """Progress of a claimed request."""

    claimed = 'claimed'
    """An owner has claimed it and may be running it."""

    answered = 'answered'
    """It ran and its response is known."""

    unknown = 'unknown'
    """The owner could not determine whether it ran."""

    settled_ran = 'settled-ran'
    """An operator has recorded that it ran."""


class StoredResponse(msgspec.Struct, frozen=True):
    """The response to the first run of a request."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    body: bytes | None
    """The body; `None` if it is too long or must not be kept there."""


class Claim(msgspec.Struct, frozen=True):
    """One once-only request, as it is written to the store."""

    state: ClaimState
    """Progress of the request."""

    claim_id: str
    """Unique to the owner's write, to recognise it after a lost reply."""

    fingerprint: str
    """Digest of method, target and body, which a repeat must match."""

    owner: str
    """Peer address of the owner that claimed it."""

    incarnation: int
    """Incarnation of that owner."""

    upstream: str
    """The upstream that it was assigned to."""

    claimed_at: str
    """Time by the owner's clock, ISO 8601; informative only."""

    answer: StoredResponse | None = None
    """The response, once the state is `answered`."""

    settled_by: str = ''
    """The operator who settled the claim, if any."""


class ReplayResponse(msgspec.Struct, frozen=True):
    """Decision to return the stored response again."""

    response: StoredResponse
    """The response to return."""


class RejectRepeat(msgspec.Struct, frozen=True):
    """Decision to reject the repeat without running it."""

    reason: Refusal
    """Why the repeat is rejected."""

    outcome: Outcome
    """Outcome of the first request, as far as known."""


Decision = ReplayResponse | RejectRepeat


def digest_claim_key(idempotency_key: str) -> str:
    """Return the digest of an idempotency key, as used in store keys."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[
        :CLAIM_KEY_DIGITS
    ]


def make_stored_response(
    status: int, headers: Headers, body: bytes, *, may_keep: bool = True
) -> StoredResponse:
    """Build what the claim stores of a response.

    Without `may_keep`, it is the status only: the store may lie in a region
    that must not hold the response.
    """
    if not may_keep:
        return StoredResponse(status=status, headers=(), body=None)
    stored = body if len(body) <= MAX_STORED_BODY_BYTES else None
    return StoredResponse(status=status, headers=headers, body=stored)


def decode_claim(stored: bytes) -> Claim | None:
    """Decode a stored claim; return `None` for one of another writer."""
    try:
        return decode_json(stored, Claim)
    except InvalidContent:
        return None


def decide_repeat(found: Claim | None, fingerprint: str) -> Decision:
    """Decide whether a repeat is replayed or rejected, and why.

    `found` is `None` if the claim cannot be read.
    """
    if found is None:
        return RejectRepeat(Refusal.outcome_unknown, Outcome.unknown)
    if found.fingerprint != fingerprint:
        return RejectRepeat(Refusal.idempotency_key_reused, Outcome.not_run)
    if found.state == ClaimState.claimed:
        return RejectRepeat(Refusal.in_progress, Outcome.unknown)
    if found.state == ClaimState.unknown:
        return RejectRepeat(Refusal.outcome_unknown, Outcome.unknown)
    if found.state == ClaimState.settled_ran or found.answer is None:
        return RejectRepeat(Refusal.settled, Outcome.ran)
    if found.answer.body is None:
        return RejectRepeat(Refusal.answer_not_kept, Outcome.ran)
    return ReplayResponse(found.answer)
