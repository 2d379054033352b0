"""Tracker of poison requests, which crash the upstreams that run them.

The module reads no clock; the caller passes the time in. Requests are
identified by fingerprint. A request that has crashed `MAX_CRASHES` upstreams is
refused for `REFUSAL_SECONDS`. One that has succeeded lately is not blamed for a
crash during its run.
"""

from __future__ import annotations

import hashlib

import msgspec

MAX_CRASHES = 2
REFUSAL_SECONDS = 600.0
SUCCESS_VALID_SECONDS = 60.0
MAX_RECORDS = 4096
FINGERPRINT_BYTES = 16


class CrashRecord(msgspec.Struct):
    """The upstreams that one request has crashed."""

    upstreams: set[str]
    """Their names."""

    expires_at: float
    """When the record expires, in seconds of the monotonic clock."""


class KnownCrash(msgspec.Struct, frozen=True):
    """A crash as it is told to other nodes."""

    fingerprint: bytes
    """Digest of the request, see `fingerprint_request`."""

    upstream: str
    """Name of the upstream that crashed."""

    age: float
    """Seconds since the request last crashed an upstream."""


def fingerprint_request(
    workspace: str,
    method: str,
    target: str,
    body_digest: bytes,
) -> bytes:
    """Return a digest that is the same for a request and all its repeats."""
    mac = hashlib.blake2b(body_digest, digest_size=FINGERPRINT_BYTES)
    for field in (workspace, method, target):
        mac.update(b'\0')
        mac.update(field.encode('utf-8', 'surrogateescape'))
    return mac.digest()


class CrashTracker:
    """The crash records and recent successes that one node knows."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: dict[bytes, CrashRecord] = {}
        self.succeeded_at: dict[bytes, float] = {}

    def record_success(self, fingerprint: bytes, now: float) -> None:
        """Record a success, so that the request is not blamed for a crash."""
        self.succeeded_at.pop(fingerprint, None)
        self.succeeded_at[fingerprint] = now
        while len(self.succeeded_at) > MAX_RECORDS:
            self.succeeded_at.pop(next(iter(self.succeeded_at)))

    def has_succeeded_lately(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request has succeeded in `SUCCESS_VALID_SECONDS`.

        A crash of an upstream fails all requests in flight there; those that
        have succeeded elsewhere are not its cause.
        """
        return (
            now - self.succeeded_at.get(fingerprint, -SUCCESS_VALID_SECONDS)
            < SUCCESS_VALID_SECONDS
        )

    def record_crash(
        self, fingerprint: bytes, upstream: str, now: float
    ) -> int:
        """Record a crash; return how many upstreams the request has crashed."""
        self._drop_expired(now)
        record = self.records.pop(fingerprint, None) or CrashRecord(set(), now)
        record.upstreams.add(upstream)
        record.expires_at = max(record.expires_at, now + REFUSAL_SECONDS)
        self.records[fingerprint] = record
        return len(record.upstreams)

    def list_crashes(self, now: float) -> list[KnownCrash]:
        """List the recorded crashes, those of the latest requests last."""
        return [
            KnownCrash(
                fingerprint,
                upstream,
                age=now + REFUSAL_SECONDS - record.expires_at,
            )
            for fingerprint, record in self.records.items()
            if record.expires_at > now
            for upstream in record.upstreams
        ]

    def is_refused(self, fingerprint: bytes, now: float) -> bool:
        """Return whether the request must not run.

        One that has succeeded here lately may: it was only in flight when
        other requests crashed their upstreams.
        """
        record = self.records.get(fingerprint)
        if record is None or record.expires_at <= now:
            return False
        if self.has_succeeded_lately(fingerprint, now):
            return False
        return len(record.upstreams) >= MAX_CRASHES

    def _drop_expired(self, now: float) -> None:
        for fingerprint, record in list(self.records.items()):
            if record.expires_at > now and len(self.records) < MAX_RECORDS:
                return
            self.records.pop(fingerprint)
