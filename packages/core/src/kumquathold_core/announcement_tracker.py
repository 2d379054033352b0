"""Ordering of upstream announcements by process start and sequence number.

An announcement may arrive late: after a newer one of the same process, after
the process has ended, or after another process has taken its address. An
upstream that has announced that it leaves stays so within the same lifetime.
"""

from __future__ import annotations

import msgspec

MILLISECONDS_PER_SECOND = 1000
MAX_TRACKED_UPSTREAMS = 256

MAX_SEQUENCE_STEP = 100_000
"""Largest difference between announcements of one process, days apart."""

MAX_CLOCK_DIFFERENCE_MILLISECONDS = 86_400_000
"""Largest difference between the time of day of an upstream and of its node."""


class AnnouncementStamp(msgspec.Struct, frozen=True, order=True):
    """Position of an announcement in the order of its upstream."""

    lifetime: int = 0
    """Start of the upstream's process in Unix milliseconds."""

    sequence: int = 0
    """Number of the announcement within that process."""


class LastAnnouncement(msgspec.Struct):
    """State of one upstream as of its newest announcement."""

    stamp: AnnouncementStamp
    """Stamp of the newest announcement."""

    has_left: bool = False
    """Whether it has announced in this lifetime that it leaves."""


def is_plausible_start(lifetime: int, now: float) -> bool:
    """Whether a process can have started at `lifetime`, in milliseconds.

    `now` is the time of day in seconds. A start in the future would make all
    processes that follow look outdated.
    """
    latest = now * MILLISECONDS_PER_SECOND + MAX_CLOCK_DIFFERENCE_MILLISECONDS
    return lifetime <= latest


class AnnouncementTracker:
    """The newest announcement of each upstream beside an owner."""

    def __init__(self) -> None:
        """Start empty."""
        self.latest: dict[str, LastAnnouncement] = {}

    def admit(
        self, name: str, stamp: AnnouncementStamp, *, leaving: bool
    ) -> bool:
        """Record an announcement; return false if it is outdated.

        One whose number lies far ahead is not the upstream's own, and would
        make all that follow look outdated.
        """
        known = self.latest.get(name)
        if known is None:
            self.latest[name] = LastAnnouncement(stamp, leaving)
            self._evict_oldest()
            return True
        if stamp.lifetime > known.stamp.lifetime:
            self.latest[name] = LastAnnouncement(stamp, leaving)
            return True
        step = stamp.sequence - known.stamp.sequence
        if stamp.lifetime < known.stamp.lifetime or step > MAX_SEQUENCE_STEP:
            return False
        # Far behind, it is the known number that was not the upstream's own.
        is_older = -MAX_SEQUENCE_STEP <= step < 0
        # Without a reported lifetime (0), a restart cannot be told apart.
        is_final = known.has_left and stamp.lifetime > 0
        if is_older or (is_final and not leaving):
            return False
        known.stamp = stamp
        known.has_left = leaving
        return True

    def record_deregistration(self, name: str, lifetime: int) -> None:
        """Record that a process of an upstream has deregistered.

        A `lifetime` of 0 stands for the current one. A later one than the
        known shows a process that has left before it was heard of.
        """
        known = self.latest.get(name)
        if known is None or lifetime > known.stamp.lifetime:
            self.latest[name] = LastAnnouncement(
                AnnouncementStamp(lifetime), has_left=True
            )
            self._evict_oldest()
        elif lifetime in {0, known.stamp.lifetime}:
            known.has_left = True

    def find_lifetime(self, name: str) -> int:
        """Return the start of the latest process that is known, 0 for none."""
        known = self.latest.get(name)
        return known.stamp.lifetime if known else 0

    def _evict_oldest(self) -> None:
        while len(self.latest) > MAX_TRACKED_UPSTREAMS:
            self.latest.pop(next(iter(self.latest)))
