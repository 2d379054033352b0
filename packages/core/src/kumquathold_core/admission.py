"""Admission control at the owner: accept a request, or refuse with a reason.

Ingresses know the load of an upstream only as of its owner's last response, so
requests also reach a busy or suspect upstream. A request that may still go
elsewhere is then refused at once, which costs one network hop and counts as no
arrival at the upstream. A request that its ingress lets wait here is refused
only if it cannot be served before its deadline. All functions are pure.
"""

from __future__ import annotations

import math

import msgspec

from kumquathold_core.forwarding import Refusal

MIN_SERVICE_SECONDS = 0.01


class UpstreamLoad(msgspec.Struct, frozen=True):
    """Load of an upstream, as its owner sees it."""

    slots: int
    """Requests that the upstream runs concurrently."""

    running: int
    """Requests that run now."""

    waiting: int
    """Requests queued for a slot ahead of the new one."""

    service_seconds: float
    """Moving average of the service time of a request."""

    risk: float
    """Probability that the next request fails."""

    is_trial_due: bool
    """Whether a suspect upstream may get an idempotent trial request."""

    start_wait: float = 0.0
    """Seconds until its stated limit leaves room for the new request."""


def estimate_slot_wait(slots: int, backlog: float, seconds: float) -> float:
    """Return the seconds until an upstream with this backlog has a free slot.

    `seconds` is the service time of a request there.
    """
    waiting = max(0, backlog - slots + 1)
    return waiting * seconds / slots


def estimate_wait(load: UpstreamLoad) -> float:
    """Return the expected seconds until a new request may start.

    It needs a slot, and room within the limit that the upstream states.
    """
    seconds = max(load.service_seconds, MIN_SERVICE_SECONDS)
    backlog = load.running + load.waiting
    slot_wait = estimate_slot_wait(load.slots, backlog, seconds)
    return max(slot_wait, load.start_wait)


def find_refusal(
    load: UpstreamLoad,
    *,
    seconds_left: float,
    idempotent: bool,
    max_wait: float,
    max_risk: float,
    longest_wait: float = math.inf,
) -> Refusal | None:
    """Return the reason to refuse a request, or None to accept it.

    `max_wait` (seconds for a slot) and `max_risk` (probability of a failure)
    are the limits set by the ingress, which may have a better upstream for the
    request. `seconds_left` is the time until the request's deadline, and
    `longest_wait` that for which the queue would keep it.
    """
    is_trial = idempotent and load.is_trial_due
    if load.risk > max_risk and not is_trial:
        return Refusal.upstream_suspect
    wait = estimate_wait(load)
    if wait > max_wait:
        return Refusal.upstream_busy
    is_too_late = wait + load.service_seconds / 2 > seconds_left
    if is_too_late or wait > longest_wait:
        return Refusal.overloaded
    return None
