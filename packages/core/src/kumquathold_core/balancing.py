"""Chooses the upstream of a request.

Near upstreams go first, as links between regions are billed; among those of
the nearest kind the better of two drawn at random is taken.
"""

from __future__ import annotations

import random

import msgspec

from kumquathold_core.rules import ZoneChoice

FULL_SLOT_FACTOR = 2.0
MIN_LATENCY_SECONDS = 0.001


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


class Load(msgspec.Struct):
    """What an ingress has seen of an upstream's load lately."""

    in_flight: int = 0
    """Requests of this ingress under way."""

    in_use: float = 0.0
    """Slots in use when it last answered, faded with age."""

    latency: float = 0.0
    """Smoothed seconds of an answer."""


def score_load(candidate: Candidate, load: Load) -> float:
    """Expected wait, in arbitrary units: lower is better."""
    busy = max(load.in_flight, load.in_use)
    occupancy = (busy + 1) / candidate.slots
    return occupancy * max(load.latency, MIN_LATENCY_SECONDS)


def is_spare(candidate: Candidate, load: Load) -> bool:
    """Whether another request would find a slot or a short queue."""
    return load.in_flight < candidate.slots * FULL_SLOT_FACTOR


def rank_distance(candidate: Candidate, zone: str, region: str) -> int:
    """0 for the own zone, 1 for the own region, 2 for the others."""
    if candidate.zone == zone:
        return 0
    return 1 if candidate.region == region else 2


def choose_upstream(
    candidates: list[Candidate],
    loads: dict[str, Load],
    *,
    zone: str,
    region: str,
    reach: ZoneChoice,
    rng: random.Random,
) -> Candidate | None:
    """Pick an upstream, or none where no candidate is within reach."""
    farthest = {ZoneChoice.zone: 0, ZoneChoice.region: 1, ZoneChoice.any: 2}
    by_distance: dict[int, list[Candidate]] = {}
    for candidate in candidates:
        distance = rank_distance(candidate, zone, region)
        if distance <= farthest[reach]:
            by_distance.setdefault(distance, []).append(candidate)
    for distance in sorted(by_distance):
        spare = [
            candidate
            for candidate in by_distance[distance]
            if is_spare(candidate, loads.get(candidate.upstream, Load()))
        ]
        if spare:
            return _better_of_two(spare, loads, rng)
    everyone = [one for group in by_distance.values() for one in group]
    return _better_of_two(everyone, loads, rng) if everyone else None


def _better_of_two(
    candidates: list[Candidate],
    loads: dict[str, Load],
    rng: random.Random,
) -> Candidate:
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(
        drawn,
        key=lambda one: score_load(one, loads.get(one.upstream, Load())),
    )
