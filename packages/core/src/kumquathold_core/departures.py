"""Upstreams that have announced their leaving, kept beyond their records.

The record of a node that restarts starts anew, and a late announcement may then
list an upstream as ready that left before. A process that leaves does not come
back: the next one of that name has a later lifetime.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.decoding import Count, Name
from kumquathold_core.identity import NodeRecord, UpstreamRecord

MAX_TRACKED_UPSTREAMS = 32_768


class Departure(msgspec.Struct, frozen=True):
    """A process of an upstream that has left, as the store holds it."""

    name: Name
    """Name of the upstream."""

    lifetime: Count
    """Start of its process in Unix milliseconds."""


def list_leaving(record: NodeRecord) -> list[UpstreamRecord]:
    """List the upstreams of a node whose process is known to leave for good.

    Without a reported lifetime, the next process could not be told apart.
    """
    return [one for one in record.upstreams if one.leaving and one.lifetime > 0]


class DepartureTable:
    """Lifetime of the latest process of each upstream that has left."""

    __slots__ = ('lifetimes',)

    def __init__(self) -> None:
        """Start empty."""
        self.lifetimes: dict[str, int] = {}

    def record(self, record: NodeRecord) -> None:
        """Remember which upstreams of a node leave."""
        for upstream in list_leaving(record):
            known = self.lifetimes.pop(upstream.name, 0)
            self.lifetimes[upstream.name] = max(known, upstream.lifetime)
        while len(self.lifetimes) > MAX_TRACKED_UPSTREAMS:
            self.lifetimes.pop(next(iter(self.lifetimes)))

    def apply(self, record: NodeRecord) -> NodeRecord:
        """Return the record with all upstreams that have left as leaving."""
        if not any(self._has_left(one) for one in record.upstreams):
            return record
        upstreams = tuple(
            msgspec.structs.replace(one, leaving=True)
            if self._has_left(one)
            else one
            for one in record.upstreams
        )
        return msgspec.structs.replace(record, upstreams=upstreams)

    def _has_left(self, upstream: UpstreamRecord) -> bool:
        """Whether a record that says otherwise is outdated."""
        if upstream.leaving or not upstream.lifetime:
            return False
        return upstream.lifetime <= self.lifetimes.get(upstream.name, 0)
