"""Draws what goes wrong in a soak, and when, from a seed.

Several tracks run beside each other, each a series of faults with pauses, so
that faults come one after the other and overlap.
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
LONG_FAULT_SECONDS = 6.0


class Fault(enum.StrEnum):
    """What can go wrong."""

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


class Step(msgspec.Struct, frozen=True):
    """One fault."""

    fault: Fault
    """What goes wrong."""

    pause: float
    """Seconds before it, since the end of the one before."""

    seconds: float
    """How long it lasts."""

    strength: float
    """From 0 to 1; what it means is the fault's."""

    targets: tuple[int, int]
    """Numbers that pick what it strikes."""


class Plan(msgspec.Struct, frozen=True):
    """A soak's faults."""

    seed: int
    """What it was drawn from."""

    seconds: float
    """How long faults go on."""

    tracks: tuple[tuple[Step, ...], ...]
    """Series of faults that run beside each other."""


def draw_plan(seed: int, seconds: float, tracks: int = TRACKS) -> Plan:
    """Draw a plan; equal for equal arguments."""
    rng = random.Random(seed)
    drawn = tuple(_draw_track(rng, seconds) for _ in range(tracks))
    return Plan(seed=seed, seconds=seconds, tracks=drawn)


def _draw_track(rng: random.Random, seconds: float) -> tuple[Step, ...]:
    steps = []
    at = 0.0
    while at < seconds:
        step = _draw_step(rng)
        at += step.pause + step.seconds
        steps.append(step)
    return tuple(steps)


def _draw_step(rng: random.Random) -> Step:
    longest = MAX_FAULT_SECONDS
    if rng.random() < LONG_FAULT_SHARE:
        longest = LONG_FAULT_SECONDS
    return Step(
        fault=rng.choice(list(Fault)),
        pause=rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS),
        seconds=rng.uniform(MIN_FAULT_SECONDS, longest),
        strength=rng.random(),
        targets=(rng.randrange(1 << 16), rng.randrange(1 << 16)),
    )
