"""Decides which zones are evacuated: their upstreams get no new requests.

The store holds the evacuations. A node learns them from its own reading of the
store and from the heartbeats of its peers, which serve nodes that are cut off
from the store or have just started. Peers report only what they have read
themselves, so that an outdated report cannot circulate. The module reads no
clock; the caller passes the time in.
"""

from __future__ import annotations

import math

import msgspec

CONTACT_VALID_SECONDS = 7.0
"""Time from the latest response of the store for which its reading counts.

Longer than one watch of the store takes.
"""

REPORT_VALID_SECONDS = 10.0
"""Time for which a peer's report counts if no peer repeats it.

A store that was restored gives out lower revisions, so that a report from
before the restore would otherwise count as the latest for good.
"""


class EvacuationReading(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated zones as one node read them from the store."""

    revision: int
    """Revision of the store at which it was read."""

    zones: tuple[str, ...]
    """Names of the evacuated zones, in order."""


NOTHING_READ = EvacuationReading(0, ())


class EvacuationTable:
    """What one node knows of the evacuations that the store holds."""

    __slots__ = ('contact_at', 'has_seen_any', 'own', 'peer', 'peer_at')

    def __init__(self) -> None:
        """Start without a reading."""
        self.own = NOTHING_READ
        self.contact_at = -math.inf
        self.peer = NOTHING_READ
        self.peer_at = -math.inf
        self.has_seen_any = False

    def record_reading(
        self, zones: frozenset[str], revision: int, now: float
    ) -> None:
        """Record a complete reading of the store."""
        self.own = EvacuationReading(revision, tuple(sorted(zones)))
        self.contact_at = now
        self.has_seen_any = self.has_seen_any or bool(zones)

    def record_peer_reading(
        self, reading: EvacuationReading, now: float
    ) -> None:
        """Record a reading that a peer reported."""
        is_outdated = now - self.peer_at > REPORT_VALID_SECONDS
        if is_outdated or reading.revision >= self.peer.revision:
            self.peer = reading
            self.peer_at = now
        self.has_seen_any = self.has_seen_any or bool(reading.zones)

    def find_zones(self, now: float) -> frozenset[str]:
        """Return the evacuated zones.

        A newer reading of a peer counts as soon as it adds a zone. It ends an
        evacuation only if this node has lost contact with the store: a node
        that reads the store learns of the end by itself.
        """
        own = frozenset(self.own.zones)
        is_valid = now - self.peer_at <= REPORT_VALID_SECONDS
        if not is_valid or self.peer.revision <= self.own.revision:
            return own
        newer = frozenset(self.peer.zones)
        has_contact = now - self.contact_at <= CONTACT_VALID_SECONDS
        return own | newer if has_contact else newer

    def make_report(self) -> EvacuationReading | None:
        """Return the own reading for peers; none if it says nothing.

        Deployments without evacuations spend no bytes on reports.
        """
        if not self.has_seen_any or not self.own.revision:
            return None
        return self.own
