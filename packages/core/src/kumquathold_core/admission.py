"""Decides whether an owner takes a request, and why not.

Pure: the numbers are passed in. The load that this answers: requests reach an
owner from ingresses that know its upstream's load only as of their last
answer. Where the upstream is busy or suspect, a request that may still go
elsewhere is sent back at once, which costs one hop and no arrival. A request
that was told to wait here is refused only where it cannot be served before its
deadline.
"""

from __future__ import annotations

import msgspec

from kumquathold_core.forwarding import Refusal

MIN_SERVICE_SECONDS = 0.01


class UpstreamLoad(msgspec.Struct, frozen=True):
    """What an owner knows of its upstream."""

    slots: int
    """Requests that it runs at the same time."""

    running: int
    """Requests that it runs now."""

    waiting: int
    """Requests that wait for a slot ahead of the new one."""

    service_seconds: float
    """Smoothed time of a request."""

    risk: float
    """Chance that it fails its next request."""

    is_trial_due: bool
    """Whether an idempotent request may try it while it is suspect."""


def estimate_slot_wait(slots: int, backlog: float, seconds: float) -> float:
    """Seconds until an upstream with this backlog has a free slot.

    `seconds` is the time that a request takes there.
    """
    waiting = max(0, backlog - slots + 1)
    return waiting * seconds / slots


def estimate_wait(load: UpstreamLoad) -> float:
    """Seconds until a new request gets a slot, as expected."""
    seconds = max(load.service_seconds, MIN_SERVICE_SECONDS)
    return estimate_slot_wait(load.slots, load.running + load.waiting, seconds)


def find_refusal(
    load: UpstreamLoad,
    *,
    seconds_left: float,
    idempotent: bool,
    max_wait: float,
    max_risk: float,
) -> Refusal | None:
    """Why the request is not taken, or nothing where it is.

    `max_wait` and `max_risk` are what its ingress puts up with here, as it
    may do better elsewhere.
    """
    is_trial = idempotent and load.is_trial_due
    if load.risk > max_risk and not is_trial:
        return Refusal.upstream_suspect
    wait = estimate_wait(load)
    if wait > max_wait:
        return Refusal.upstream_busy
    if wait + load.service_seconds / 2 > seconds_left:
        return Refusal.overloaded
    return None
