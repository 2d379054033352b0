"""Draws the fault plan of a soak test from a seed.

A plan has several tracks that run concurrently. Each track is a sequence of
faults with pauses between them, so that faults both follow each other and
overlap.
"""

from __future__ import annotations

import enum
import random

import msgspec

TRACKS = 3
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.2
MIN_FAULT_SECONDS = 0.1
MAX_FAULT_SECONDS = 3.0
LONG_FAULT_SHARE = 0.15
MAX_LONG_FAULT_SECONDS = 6.0


class Fault(enum.StrEnum):
    """Kind of fault."""

    cut_one_way = enum.auto()
    cut_both_ways = enum.auto()
    delay = enum.auto()
    reset = enum.auto()
    silence = enum.auto()
    stall = enum.auto()
    cut_from_store = enum.auto()
    store_down = enum.auto()
    store_slow = enum.auto()
    store_loses_replies = enum.auto()
    store_reads_older = enum.auto()
    node_paused = enum.auto()
    node_killed = enum.auto()
    node_terminated = enum.auto()
    clock_jumps = enum.auto()
    upstream_paused = enum.auto()
    upstream_killed = enum.auto()
    upstream_terminated = enum.auto()
    upstream_fails = enum.auto()
    upstream_cuts_answers = enum.auto()
    upstream_sheds = enum.auto()
    upstream_slow = enum.auto()
    store_restored = enum.auto()


DRAWN_FAULTS = tuple(one for one in Fault if one != Fault.store_restored)
"""Faults of the tracks; restores of the store have a track of their own."""


class Step(msgspec.Struct, frozen=True):
    """One fault of a track."""

    fault: Fault
    """Kind of the fault."""

    pause: float
    """Seconds between the end of the previous fault and this one."""

    seconds: float
    """Duration of the fault in seconds; some kinds scale it or ignore it."""

    strength: float
    """Severity from 0 to 1; its meaning depends on the kind of fault."""

    targets: tuple[int, int]
    """Random numbers that select the targets, taken modulo their count.

    Some kinds use the second for another choice, such as the size of a clock
    jump.
    """


class Plan(msgspec.Struct, frozen=True):
    """Fault plan of one run."""

    seed: int
    """Seed from which the plan was drawn."""

    seconds: float
    """Seconds for which faults are injected."""

    tracks: tuple[tuple[Step, ...], ...]
    """Sequences of faults that run concurrently."""


def draw_plan(
    seed: int,
    seconds: float,
    tracks: int = TRACKS,
    *,
    has_restores: bool = False,
) -> Plan:
    """Draw a plan; equal arguments give equal plans.

    `has_restores` adds a track of restores and leaves the others as they are.
    """
    rng = random.Random(seed)
    drawn = [_draw_track(rng, seconds, DRAWN_FAULTS) for _ in range(tracks)]
    if has_restores:
        restores = (Fault.store_restored,)
        drawn.append(_draw_track(rng, seconds, restores))
    return Plan(seed=seed, seconds=seconds, tracks=tuple(drawn))


def _draw_track(
    rng: random.Random, seconds: float, faults: tuple[Fault, ...]
) -> tuple[Step, ...]:
    steps = []
    elapsed = 0.0
    while elapsed < seconds:
        step = _draw_step(rng, faults)
        elapsed += step.pause + step.seconds
        steps.append(step)
    return tuple(steps)


def _draw_step(rng: random.Random, faults: tuple[Fault, ...]) -> Step:
    max_seconds = MAX_FAULT_SECONDS
    if rng.random() < LONG_FAULT_SHARE:
        max_seconds = MAX_LONG_FAULT_SECONDS
    return Step(
        fault=rng.choice(faults),
        pause=rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
        seconds=rng.uniform(MIN_FAULT_SECONDS, max_seconds),
        strength=rng.random(),
        targets=(rng.randrange(1 << 16), rng.randrange(1 << 16)),
    )
