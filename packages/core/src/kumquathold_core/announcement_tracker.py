"""Orders what upstreams announce about themselves.

An announcement may arrive late: after a newer one of the same process, after
the process has ended, or after another process took its address. An upstream
that has said that it leaves does not come back within the same lifetime.
"""

from __future__ import annotations

import msgspec

MAX_REMEMBERED = 256


class AnnouncementStamp(msgspec.Struct, frozen=True, order=True):
    """When an announcement was made, by the upstream's own count."""

    lifetime: int = 0
    """Start of the upstream's process in Unix milliseconds."""

    sequence: int = 0
    """Counts the announcements of that process."""


class LastAnnouncement(msgspec.Struct):
    """The newest that is known of one upstream."""

    sighting: AnnouncementStamp
    """The newest announcement."""

    has_left: bool = False
    """Whether it said in this lifetime that it leaves."""


class AnnouncementTracker:
    """The newest announcement of each upstream beside an owner."""

    def __init__(self) -> None:
        """Start knowing none."""
        self.seen: dict[str, LastAnnouncement] = {}

    def admit(
        self, name: str, sighting: AnnouncementStamp, *, leaving: bool
    ) -> bool:
        """Whether an announcement is news; false for one that is late."""
        known = self.seen.get(name)
        if known is None:
            self.seen[name] = LastAnnouncement(sighting, leaving)
            self._shrink()
            return True
        if sighting.lifetime > known.sighting.lifetime:
            self.seen[name] = LastAnnouncement(sighting, leaving)
            return True
        is_late = sighting < known.sighting
        # One that does not tell its lifetimes apart may come back.
        is_bound = known.has_left and sighting.lifetime > 0
        if is_late or (is_bound and not leaving):
            return False
        known.sighting = sighting
        known.has_left = leaving
        return True

    def leave(self, name: str, lifetime: int) -> None:
        """Note that an upstream has deregistered."""
        known = self.seen.get(name)
        if known is None:
            self.seen[name] = LastAnnouncement(
                AnnouncementStamp(lifetime), has_left=True
            )
        elif lifetime in {0, known.sighting.lifetime}:
            known.has_left = True

    def _shrink(self) -> None:
        while len(self.seen) > MAX_REMEMBERED:
            self.seen.pop(next(iter(self.seen)))
