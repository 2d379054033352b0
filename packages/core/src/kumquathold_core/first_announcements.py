"""Whether an upstream that a node hears of for the first time may be used.

A node that has started does not know what its earlier process knew. An upstream
that is older than the node may have left meanwhile, and its announcement may
have been delayed. A running process repeats its announcements, so the first one
comes soon after the node listens; one that comes later has to be repeated for a
while. Holds no clock: the time is passed in.
"""

from __future__ import annotations

import msgspec

CONFIRMING_INTERVALS = 3
"""Intervals through which a late first announcement has to be repeated."""

MAX_GAP_INTERVALS = 2
"""Longest gap, in intervals, between announcements that count as repeated."""

MAX_TRACKED_UPSTREAMS = 256


class HeardProcess(msgspec.Struct):
    """The announcements of a process that is older than the node."""

    lifetime: int
    """Start of the process in Unix milliseconds."""

    first_at: float
    """When the first one came, in seconds of the monotonic clock."""

    last_at: float
    """When the latest one came."""

    is_confirmed: bool = False
    """Whether the process is known to run."""


class FirstAnnouncements:
    """The processes beside a node that may have left before it started.

    Example:
        heard = FirstAnnouncements(started_at=5000, now=0.0)
        heard.are_departures_known = True
        heard.may_use('old', 1000, 2.0, now=1.0)  # True: in time
        heard.may_use('late', 1000, 2.0, now=4.0)  # False
        heard.may_use('new', 6000, 2.0, now=4.0)  # True: younger than the node

    """

    __slots__ = (
        'are_departures_known',
        'listening_since',
        'processes',
        'started_at',
    )

    def __init__(self, started_at: int, now: float) -> None:
        """Start without announcements.

        `started_at` is the start of the node in Unix milliseconds.
        """
        self.started_at = started_at
        self.listening_since = now
        self.are_departures_known = False
        """Whether the departures that earlier processes recorded are read."""
        self.processes: dict[str, HeardProcess] = {}

    def may_use(
        self, name: str, lifetime: int, interval: float, now: float
    ) -> bool:
        """Record an announcement; return whether its process may be used.

        `interval` is the longest time between two announcements of a running
        process, in seconds. Without a `lifetime` (0) nothing can be told.
        """
        if not lifetime or lifetime >= self.started_at:
            return True
        process = self.processes.get(name)
        if process is None or process.lifetime != lifetime:
            process = HeardProcess(lifetime, now, now)
            self._put(name, process)
        if now - process.last_at > interval * MAX_GAP_INTERVALS:
            process.first_at = now
        process.last_at = now
        if self._is_running(process, interval):
            process.is_confirmed = True
        return process.is_confirmed

    def confirm(self, name: str, lifetime: int, now: float) -> None:
        """Record that a peer knows this process to run."""
        process = self.processes.get(name)
        if process is None or process.lifetime < lifetime:
            process = HeardProcess(lifetime, now, now)
            self._put(name, process)
        if process.lifetime == lifetime:
            process.is_confirmed = True

    def _is_running(self, process: HeardProcess, interval: float) -> bool:
        in_time = process.first_at <= self.listening_since + interval
        if in_time and self.are_departures_known:
            return True
        heard_for = process.last_at - process.first_at
        return heard_for >= interval * CONFIRMING_INTERVALS

    def _put(self, name: str, process: HeardProcess) -> None:
        self.processes[name] = process
        while len(self.processes) > MAX_TRACKED_UPSTREAMS:
            self.processes.pop(next(iter(self.processes)))
