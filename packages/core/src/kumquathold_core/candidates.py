"""Upstreams among which an ingress places a request."""

from __future__ import annotations

import msgspec


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may get a request, with its location and capacity."""

    upstream: str
    """Name of the upstream."""

    owner: str
    """Peer address of the owner."""

    zone: str
    """Zone of the owner."""

    region: str
    """Region of the owner."""

    slots: int
    """Requests that the upstream runs concurrently."""

    lifetime: int = 0
    """Start of its process in Unix milliseconds, 0 if not known."""

    limit: float | None = None
    """Requests a second that it takes from all nodes, if it states so."""


def rank_distance(candidate: Candidate, zone: str, region: str) -> int:
    """Return the network distance of a candidate from `zone` and `region`.

    0 is the same zone, 1 another zone of the region, 2 another region.
    """
    if candidate.zone == zone:
        return 0
    return 1 if candidate.region == region else 2
