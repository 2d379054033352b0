"""What an upstream states about itself in its responses."""

from __future__ import annotations

import math

import msgspec

LEAVING_VALID_SECONDS = 10.0
"""Time for which a leaving counts if the process does not tell its lifetime.

A process that follows at the same address looks the same then.
"""


class InvalidLimit(ValueError):
    """A stated limit is not a finite number of at least 0."""


class UpstreamStatement(msgspec.Struct, frozen=True, array_like=True):
    """What one response of an upstream states about it.

    It holds for the process that responded, until a later response of the same
    process states something else.
    """

    lifetime: int = 0
    """Start of that process in Unix milliseconds, 0 if not known."""

    limit: float | None = None
    """Requests a second that it takes from all nodes together, if limited."""

    is_leaving: bool = False
    """Whether it drains and takes no new requests."""


class KnownStatement(msgspec.Struct, frozen=True):
    """The latest statement of an upstream that its owner knows."""

    statement: UpstreamStatement
    """What it states."""

    received_at: float
    """When the response came, in seconds of the monotonic clock."""

    def is_leaving_at(self, now: float) -> bool:
        """Whether the process that stated its leaving is the present one."""
        is_recent = now - self.received_at < LEAVING_VALID_SECONDS
        has_lifetime = self.statement.lifetime > 0
        return self.statement.is_leaving and (has_lifetime or is_recent)


def merge_statements(
    before: UpstreamStatement, statement: UpstreamStatement
) -> UpstreamStatement:
    """Return what holds after a statement that follows another.

    One of an earlier process is ignored, and a process that has stated its
    leaving does not take that back.
    """
    if statement.lifetime < before.lifetime:
        return before
    is_same = statement.lifetime == before.lifetime and before.lifetime > 0
    if is_same and before.is_leaving:
        return msgspec.structs.replace(statement, is_leaving=True)
    return statement


def parse_limit(text: str) -> float:
    """Return a stated limit, in requests a second.

    Raises `InvalidLimit`.

    Example:
        parse_limit('2.5')  # 2.5

    """
    try:
        limit = float(text)
    except ValueError as error:
        raise InvalidLimit(f'limit is {text!r}, must be a number') from error
    if not math.isfinite(limit) or limit < 0:
        raise InvalidLimit(f'limit is {text!r}, must be finite and at least 0')
    return limit
