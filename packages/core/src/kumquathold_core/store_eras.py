"""Eras of the key-value store; a new one begins when the store is restored.

A store that comes back from an older copy continues another history: revisions
go back and are given out again, and keys and leases that it had acknowledged
may be gone. Its responses carry a sign of the history that they are from. The
module does no I/O and holds no lock.
"""

from __future__ import annotations

import msgspec


class HistorySign(msgspec.Struct, frozen=True):
    """What one response of the store tells of the history that it is from."""

    history: str = ''
    """Identifies the history, if reported; a restored store has another one."""

    term: int = 0
    """Number that never falls within a history; 0 if not reported."""

    written: int = 0
    """Revision of a write, which never falls either; 0 for other calls.

    That of a read says nothing: a read may be answered from the past.
    """


class CallStart(msgspec.Struct, frozen=True):
    """What was known of the store when a call to it began."""

    era: int
    """The era, see `EraTracker`."""

    sign: HistorySign | None
    """The latest sign of that era; `None` before the first one."""


class EraTracker:
    """Counts the restores that the responses to this process's calls show.

    A response is compared with what was known when its call began, so that one
    which arrives late, from before a restore, begins no era of its own.

    Example:
        tracker = EraTracker()
        start = tracker.start_call()
        tracker.end_call(start, HistorySign('7'))  # True, era 0
        start = tracker.start_call()
        tracker.end_call(start, HistorySign('8'))  # False, era 1 has begun

    """

    def __init__(self) -> None:
        """Begin in era 0, without a sign."""
        self.era = 0
        self.sign: HistorySign | None = None

    def start_call(self) -> CallStart:
        """Return what is known before a call is sent."""
        return CallStart(self.era, self.sign)

    def end_call(self, start: CallStart, seen: HistorySign | None) -> bool:
        """Take the sign of a response, `None` if it has none.

        Returns whether the era is still that in which the call began.
        """
        if start.era != self.era:
            return False
        if seen is None:
            return True
        latest = self.sign or seen
        known = start.sign or HistorySign(latest.history)
        if is_restored(known, seen):
            self.era += 1
            self.sign = seen
            return False
        self.sign = _merge(latest, seen)
        return True


def is_restored(known: HistorySign, seen: HistorySign) -> bool:
    """Whether the store was restored between an earlier and a later sign."""
    is_other = bool(known.history) and seen.history not in ('', known.history)
    has_term_fallen = 0 < seen.term < known.term
    has_revision_fallen = 0 < seen.written < known.written
    return is_other or has_term_fallen or has_revision_fallen


def _merge(known: HistorySign, seen: HistorySign) -> HistorySign:
    return HistorySign(
        history=seen.history or known.history,
        term=max(known.term, seen.term),
        written=max(known.written, seen.written),
    )
