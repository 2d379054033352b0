"""Once-only claims: what the platform keeps of a request that runs once.

Pure. A claim is created before its request runs, by compare-and-swap on an
absent key, and holds the outcome afterwards. Whoever finds a claim decides by
`decide_repeat` what a repeated request gets.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from kumquathold_core.forwarding import Headers, Outcome, Refusal

MAX_KEPT_BODY_BYTES = 262_144
KEY_DIGITS = 40


class ClaimState(enum.StrEnum):
    """What is known of a claimed request."""

    claimed = 'claimed'
    """An owner took it and may be running it."""

    answered = 'answered'
    """It ran and the answer is known."""

    unknown = 'unknown'
    """The owner could not learn whether it ran."""

    settled_ran = 'settled-ran'
    """An operator found out that it ran."""


class StoredResponse(msgspec.Struct, frozen=True):
    """The first answer."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    body: bytes | None
    """The body; nothing where it was too large to keep."""


class Claim(msgspec.Struct, frozen=True):
    """One once-only request, as the platform keeps it."""

    state: ClaimState
    """What is known of it."""

    claim_id: str
    """Unique to the owner's attempt, to find it after a lost reply."""

    fingerprint: str
    """Digest of method, target and body; a repeat must have the same."""

    owner: str
    """Peer address of the owner that took it."""

    incarnation: int
    """That owner's process."""

    upstream: str
    """The upstream that it was to run on."""

    claimed_at: str
    """Time by the owner's clock, ISO 8601, for people only."""

    answer: StoredResponse | None = None
    """Set once it is answered."""

    settled_by: str = ''
    """The operator who settled it."""


class ReplayResponse(msgspec.Struct, frozen=True):
    """Give the first answer again."""

    answer: StoredResponse
    """What to give."""


class RejectRepeat(msgspec.Struct, frozen=True):
    """Do not run it."""

    reason: Refusal
    """Why."""

    outcome: Outcome
    """What is known of the first sending."""


Decision = ReplayResponse | RejectRepeat


def digest_claim_key(idempotency_key: str) -> str:
    """The part of the platform's key that stands for a caller's key."""
    return hashlib.sha256(idempotency_key.encode()).hexdigest()[:KEY_DIGITS]


def make_stored_response(
    status: int, headers: Headers, body: bytes
) -> StoredResponse:
    """What to keep of an answer."""
    kept = body if len(body) <= MAX_KEPT_BODY_BYTES else None
    return StoredResponse(status=status, headers=headers, body=kept)


def decide_repeat(found: Claim, fingerprint: str) -> Decision:
    """Decide what a repeated request gets."""
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
