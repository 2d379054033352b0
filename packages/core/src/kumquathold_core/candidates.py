"""Upstreams as an ingress sees them when it chooses among them."""

from __future__ import annotations

import msgspec


class Candidate(msgspec.Struct, frozen=True):
    """An upstream as the ingress sees it when it chooses."""

    upstream: str
    """Name of the upstream."""

    owner: str
    """Peer address of the node beside it."""

    zone: str
    """Zone of that node."""

    region: str
    """Region of that node."""

    slots: int
    """Requests that it runs at the same time."""


def rank_distance(candidate: Candidate, zone: str, region: str) -> int:
    """0 for the own zone, 1 for the own region, 2 for the others."""
    if candidate.zone == zone:
        return 0
    return 1 if candidate.region == region else 2
