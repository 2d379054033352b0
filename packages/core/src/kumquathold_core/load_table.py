"""Loads of upstreams that nodes tell each other with their heartbeats.

An ingress sends few requests, so that the responses alone tell it little of the
upstreams, and nothing of those that it does not use. Each owner therefore
reports the load of its upstreams, and each node passes on the newest reports
that it has. The module reads no clock; the caller passes the time in.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

import msgspec

MAX_REPORT_AGE_SECONDS = 5.0
"""Age from which a report is passed on no more, and forgotten."""

MAX_IDLE_MS = 60_000
MAX_TRACKED_LOADS = 4096
MILLISECONDS_PER_SECOND = 1000
PERCENT = 100


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one upstream, in the small integers that heartbeats carry."""

    key: int
    """Hash of the upstream's name, see `hash_name`."""

    backlog: int
    """Requests running or queued there."""

    risk_percent: int
    """Probability that its next request fails."""

    service_ms: int
    """Average service time of a request in milliseconds, 0 if not known."""

    age_ms: int
    """Milliseconds since the owner measured this."""

    idle_ms: int
    """Milliseconds from its latest outcome until then, up to `MAX_IDLE_MS`."""


class KnownLoad(msgspec.Struct, frozen=True):
    """The newest load of an upstream that a node knows."""

    backlog: int
    """Requests running or queued there."""

    risk: float
    """Probability that its next request fails."""

    service_seconds: float
    """Average service time of a request, 0 if not known."""

    measured_at: float
    """When its owner measured it, by the monotonic clock of this node."""

    idle_seconds: float = 0.0
    """Time from its latest outcome until then."""

    @property
    def outcome_at(self) -> float:
        """When its latest outcome was, by the monotonic clock of this node."""
        return self.measured_at - self.idle_seconds


def hash_name(name: str) -> int:
    """Return the key of an upstream in reports, a number of 32 bits.

    Two upstreams with the same key share an estimate, which only makes both
    less exact.
    """
    return zlib.crc32(name.encode())


class LoadTable:
    """The newest known load of each upstream, by key."""

    __slots__ = ('loads',)

    def __init__(self) -> None:
        """Start empty."""
        self.loads: dict[int, KnownLoad] = {}

    def find(self, upstream: str) -> KnownLoad | None:
        """Return the newest load of an upstream, if any is known."""
        return self.loads.get(hash_name(upstream))

    def record(self, key: int, load: KnownLoad) -> None:
        """Record a load, unless a newer one is known."""
        known = self.loads.get(key)
        if known is not None and known.measured_at >= load.measured_at:
            return
        if known is None and len(self.loads) >= MAX_TRACKED_LOADS:
            return
        self.loads[key] = load

    def merge(self, reports: Iterable[LoadReport], now: float) -> None:
        """Record the reports of a peer; ignore values that are out of range."""
        for report in reports:
            load = _read_report(report, now)
            if load is not None:
                self.record(report.key, load)

    def forget_old(self, now: float) -> None:
        """Forget the loads that are too old to pass on."""
        old = [
            key
            for key, load in self.loads.items()
            if now - load.measured_at > MAX_REPORT_AGE_SECONDS
        ]
        for key in old:
            self.loads.pop(key)

    def make_reports(
        self, now: float, limit: int, is_wanted: Callable[[int], bool]
    ) -> tuple[LoadReport, ...]:
        """Return the newest reports of the upstreams that are wanted.

        `is_wanted` is given their keys; `limit` is the most to return.
        """
        newest = sorted(
            (
                (now - load.measured_at, key)
                for key, load in self.loads.items()
                if is_wanted(key)
            ),
        )
        return tuple(
            _make_report(key, self.loads[key], age)
            for age, key in newest[:limit]
            if age <= MAX_REPORT_AGE_SECONDS
        )


def _make_report(key: int, load: KnownLoad, age: float) -> LoadReport:
    return LoadReport(
        key=key,
        backlog=load.backlog,
        risk_percent=round(load.risk * PERCENT),
        service_ms=round(load.service_seconds * MILLISECONDS_PER_SECOND),
        age_ms=max(0, round(age * MILLISECONDS_PER_SECOND)),
        idle_ms=_to_idle_ms(load.idle_seconds),
    )


def _to_idle_ms(seconds: float) -> int:
    return min(round(seconds * MILLISECONDS_PER_SECOND), MAX_IDLE_MS)


def _read_report(report: LoadReport, now: float) -> KnownLoad | None:
    numbers = (
        report.backlog,
        report.service_ms,
        report.age_ms,
        report.idle_ms,
    )
    age = report.age_ms / MILLISECONDS_PER_SECOND
    is_risk = 0 <= report.risk_percent <= PERCENT
    if min(numbers) < 0 or not is_risk or age > MAX_REPORT_AGE_SECONDS:
        return None
    return KnownLoad(
        backlog=report.backlog,
        risk=report.risk_percent / PERCENT,
        service_seconds=report.service_ms / MILLISECONDS_PER_SECOND,
        measured_at=now - age,
        idle_seconds=report.idle_ms / MILLISECONDS_PER_SECOND,
    )
