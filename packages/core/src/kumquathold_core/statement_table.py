"""What an ingress knows of the statements of upstreams.

Owners pass an upstream's statement on with each response and refusal. An
ingress keeps them by itself: an owner that restarts has lost them, and the
announcements that it then gets may say something else. The module reads no
clock; the caller passes the time in.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.upstream_statements import UpstreamStatement

MAX_TRACKED_UPSTREAMS = 32_768
UNTOLD_LIFETIME_SECONDS = 10.0
"""Time for which a leaving counts if the process does not tell its lifetime.

A process that follows at the same address looks the same then.
"""


class _Entry(msgspec.Struct, frozen=True):
    """The latest statement of one upstream."""

    statement: UpstreamStatement
    noted_at: float


class StatementTable:
    """The latest statement of each upstream, by name."""

    __slots__ = ('entries',)

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, _Entry] = {}

    def record(
        self, upstream: str, statement: UpstreamStatement, now: float
    ) -> None:
        """Record a statement, unless it is of an earlier process.

        A process that has stated its leaving does not take that back.
        """
        known = self.entries.pop(upstream, None)
        if known is not None:
            statement = _merge(known.statement, statement)
        self.entries[upstream] = _Entry(statement, now)
        if len(self.entries) > MAX_TRACKED_UPSTREAMS:
            self.entries.pop(next(iter(self.entries)))

    def find(self, upstream: str, lifetime: int) -> UpstreamStatement | None:
        """Return the latest statement of an upstream's process, if any."""
        known = self.entries.get(upstream)
        if known is None or known.statement.lifetime != lifetime:
            return None
        return known.statement

    def is_leaving(self, upstream: str, lifetime: int, now: float) -> bool:
        """Whether this process of an upstream has stated its leaving."""
        known = self.entries.get(upstream)
        if known is None or known.statement.lifetime < lifetime:
            return False
        is_recent = now - known.noted_at < UNTOLD_LIFETIME_SECONDS
        is_current = known.statement.lifetime > 0 or is_recent
        return known.statement.is_leaving and is_current


def _merge(
    before: UpstreamStatement, statement: UpstreamStatement
) -> UpstreamStatement:
    if statement.lifetime < before.lifetime:
        return before
    is_same = statement.lifetime == before.lifetime and before.lifetime > 0
    if is_same and before.is_leaving:
        return msgspec.structs.replace(statement, is_leaving=True)
    return statement
