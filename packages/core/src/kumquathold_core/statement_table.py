"""What an ingress knows of the statements of upstreams.

Owners pass an upstream's statement on with each response and refusal. An
ingress keeps them by itself: an owner that restarts has lost them, and the
announcements that it then gets may say something else. The module reads no
clock; the caller passes the time in.
"""

from __future__ import annotations

from kumquathold_core.upstream_statements import (
    KnownStatement,
    UpstreamStatement,
    merge_statements,
)

MAX_TRACKED_UPSTREAMS = 32_768


class StatementTable:
    """The latest statement of each upstream, by name."""

    __slots__ = ('entries',)

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, KnownStatement] = {}

    def record(
        self, upstream: str, statement: UpstreamStatement, now: float
    ) -> None:
        """Record a statement, unless it is of an earlier process.

        A process that has stated its leaving does not take that back.
        """
        known = self.entries.pop(upstream, None)
        if known is not None:
            statement = merge_statements(known.statement, statement)
        self.entries[upstream] = KnownStatement(statement, now)
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
        return known.is_leaving_at(now)
