"""Claims that this node wrote lately, to write them again after a restore.

The module does no I/O and reads no clock: the time is passed in.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.claims import Claim
from kumquathold_node.claim_writes import PendingWrite
from kumquathold_node.store import ABSENT

RECENT_SECONDS = 60.0
"""Age up to which a write may be missing in the copy of a restored store."""

MAX_RECENT_CLAIMS = 2000
"""Most claims kept; the oldest are dropped."""

MAX_KEPT_BODY_BYTES = 4096
"""Largest body of a response that is kept; a longer one is not replayed."""


class RecentWrite(msgspec.Struct, frozen=True):
    """The last write of one claim."""

    rewrite: PendingWrite
    """The write that brings it back."""

    written_at: float
    """When it took effect, in seconds of the monotonic clock."""


class RecentClaims:
    """The last write of each claim, oldest first."""

    def __init__(self) -> None:
        """Start without any."""
        self.by_key: dict[str, RecentWrite] = {}

    def record(self, pending: PendingWrite, now: float) -> None:
        """Remember a write that took effect."""
        self.by_key.pop(pending.key, None)
        self.by_key[pending.key] = RecentWrite(_make_rewrite(pending), now)
        self._drop_old(now)

    def find_latest(self, now: float) -> str | None:
        """Return the key that was written last; `None` if none was lately."""
        self._drop_old(now)
        return next(reversed(self.by_key), None)

    def is_due(self, rewrite: PendingWrite, now: float) -> bool:
        """Whether a rewrite is still the last write of its claim."""
        self._drop_old(now)
        recent = self.by_key.get(rewrite.key)
        return recent is not None and recent.rewrite.claim == rewrite.claim

    def make_rewrites(self, now: float) -> list[PendingWrite]:
        """Make the writes that bring the claims back, latest first."""
        self._drop_old(now)
        latest_first = reversed(list(self.by_key.values()))
        return [msgspec.structs.replace(one.rewrite) for one in latest_first]

    def _drop_old(self, now: float) -> None:
        while self.by_key:
            key, oldest = next(iter(self.by_key.items()))
            is_recent = now - oldest.written_at <= RECENT_SECONDS
            if is_recent and len(self.by_key) <= MAX_RECENT_CLAIMS:
                return
            self.by_key.pop(key)


def _make_rewrite(pending: PendingWrite) -> PendingWrite:
    request = pending.request
    message = msgspec.structs.replace(request.message, headers=(), body=b'')
    return PendingWrite(
        request=msgspec.structs.replace(request, message=message, body=b''),
        key=pending.key,
        claim=_limit_body(pending.claim),
        expected_revision=ABSENT,
        is_delete=pending.is_delete,
        is_reported=True,
        is_rewrite=True,
    )


def _limit_body(claim: Claim) -> Claim:
    """Return the claim without a body that is too long to keep."""
    answer = claim.answer
    if answer is None or len(answer.body or b'') <= MAX_KEPT_BODY_BYTES:
        return claim
    cut = msgspec.structs.replace(answer, body=None)
    return msgspec.structs.replace(claim, answer=cut)
