"""Marks requests that crash the upstreams that run them.

Pure: the time is passed in. A request is known by its fingerprint. Once it
has crashed two upstreams it is refused for a while, and nothing else is: one
that ran well lately is not blamed for a crash that it was caught in.
"""

from __future__ import annotations

import hashlib

import msgspec

MAX_CRASHES = 2
MARK_SECONDS = 600.0
PROOF_SECONDS = 60.0
MAX_MARKS = 4096
FINGERPRINT_BYTES = 16


class CrashRecord(msgspec.Struct):
    """The upstreams that one request has crashed."""

    upstreams: set[str]
    """Their names."""

    until: float
    """When the mark ends, in seconds of the monotonic clock."""


def fingerprint_request(
    workspace: str,
    method: str,
    target: str,
    body_digest: bytes,
) -> bytes:
    """Equal for a request and its repetition, whoever takes it in."""
    mac = hashlib.blake2b(body_digest, digest_size=FINGERPRINT_BYTES)
    for part in (workspace, method, target):
        mac.update(b'\0')
        mac.update(part.encode('utf-8', 'surrogateescape'))
    return mac.digest()


class CrashTracker:
    """All marks that one node knows."""

    def __init__(self) -> None:
        """Start with none."""
        self.marks: dict[bytes, CrashRecord] = {}
        self.proven: dict[bytes, float] = {}

    def note_success(self, fingerprint: bytes, now: float) -> None:
        """Note that a request ran to a good end, so that it is not blamed."""
        self.proven.pop(fingerprint, None)
        self.proven[fingerprint] = now
        while len(self.proven) > MAX_MARKS:
            self.proven.pop(next(iter(self.proven)))

    def is_proven(self, fingerprint: bytes, now: float) -> bool:
        """Whether a request ran well lately.

        An upstream that crashes takes along all that it runs at the moment;
        those that ran well elsewhere are not the cause.
        """
        return (
            now - self.proven.get(fingerprint, -PROOF_SECONDS) < PROOF_SECONDS
        )

    def add(self, fingerprint: bytes, upstream: str, now: float) -> int:
        """Note a crash; give how many upstreams the request crashed."""
        self._expire(now)
        mark = self.marks.pop(fingerprint, None) or CrashRecord(set(), now)
        mark.upstreams.add(upstream)
        mark.until = now + MARK_SECONDS
        self.marks[fingerprint] = mark
        return len(mark.upstreams)

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Whether the request must not run."""
        mark = self.marks.get(fingerprint)
        if mark is None or mark.until <= now:
            return False
        return len(mark.upstreams) >= MAX_CRASHES

    def _expire(self, now: float) -> None:
        for fingerprint, mark in list(self.marks.items()):
            if mark.until > now and len(self.marks) < MAX_MARKS:
                return
            self.marks.pop(fingerprint)
