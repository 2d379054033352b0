"""HTTP endpoint by which upstreams register and send heartbeats.

An upstream sends `POST /announce` with a JSON object that holds its service,
address, slots and state, and repeats it at least every
`ANNOUNCEMENT_LIFETIME_SECONDS`. The response says how many requests run on
the upstream and wait for it, so that a leaving upstream knows when it may
stop.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from time import monotonic, time
from typing import Any

import msgspec

from kumquathold_core.announcement_tracker import (
    AnnouncementStamp,
    is_plausible_start,
)
from kumquathold_core.decoding import (
    Count,
    DurationMilliseconds,
    InvalidContent,
    Name,
    decode_json,
)
from kumquathold_core.identity import UpstreamRecord
from kumquathold_node.kernel import HandlerFailed, Kernel
from kumquathold_node.settings import SettingsError, parse_address

ANNOUNCEMENT_LIFETIME_SECONDS = 5.0
OWNER_TIMEOUT_SECONDS = 2.0
DEPARTURE_TIMEOUT_SECONDS = 0.15
"""Time that the store gets before a leaving is acknowledged without it."""

MAX_ANNOUNCEMENT_BYTES = 4096
MAX_SLOTS = 10_000
MILLISECONDS_PER_SECOND = 1000

StartResponse = Callable[..., Any]


class UpstreamState(enum.StrEnum):
    """State that an upstream announces."""

    starting = 'starting'
    ready = 'ready'
    leaving = 'leaving'


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the request."""

    service: Name
    """Name of the upstream's service."""

    address: str
    """Address that it takes requests at, `IP:port`."""

    slots: Count
    """Number of requests that it can run at the same time."""

    state: UpstreamState = UpstreamState.ready
    """Whether it is starting, ready or leaving."""

    lifetime: Count = 0
    """Start of its process in Unix milliseconds, 0 if not told."""

    cold_ms: DurationMilliseconds = 0
    """Milliseconds for which it stays cold; takes the service's `cold-rate`."""


class AnnouncementResponse(msgspec.Struct, frozen=True):
    """Body of the response."""

    running: int
    """Number of requests that run on the upstream."""

    waiting: int
    """Number of requests that wait for it."""

    repeat_within: float
    """Seconds after which it is removed if no announcement follows."""


class AnnouncedEvent(msgspec.Struct, frozen=True):
    """An upstream announced itself."""

    record: UpstreamRecord
    """The upstream as announced."""

    expires_at: float
    """Own monotonic clock, in seconds, when the announcement expires."""

    reply: Future[tuple[int, int]]
    """Receives the numbers of running and waiting requests."""

    stamp: AnnouncementStamp = AnnouncementStamp()
    """Position in the order of the upstream's announcements."""

    interval: float = ANNOUNCEMENT_LIFETIME_SECONDS
    """Longest time between two announcements of a running process, seconds."""

    cold_seconds: float = 0.0
    """How much longer the upstream is cold, 0 if it is warm."""


class DeregisteredEvent(msgspec.Struct, frozen=True):
    """An upstream deregistered, since it has stopped or is about to."""

    name: str
    """The upstream's name."""

    lifetime: int
    """Start of its process in Unix milliseconds, 0 if not reported."""

    reply: Future[tuple[int, int]]
    """Receives the numbers of running and waiting requests."""


def make_announcement_app(
    kernel: Kernel,
) -> Callable[[dict[str, Any], StartResponse], Iterable[bytes]]:
    """Return the WSGI application that serves `/announce`."""

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'] != '/announce':
            return _respond(start_response, '404 Not Found', b'{}')
        if environ['REQUEST_METHOD'] != 'POST':
            return _respond(start_response, '405 Method Not Allowed', b'{}')
        raw = environ['wsgi.input'].read(MAX_ANNOUNCEMENT_BYTES)
        try:
            announcement = _parse_announcement(raw)
        except (InvalidContent, SettingsError) as error:
            body = msgspec.json.encode({'error': str(error)})
            return _respond(start_response, '400 Bad Request', body)
        return _announce(kernel, announcement, start_response)

    return app


def _parse_announcement(raw: bytes) -> Announcement:
    announcement = decode_json(raw, Announcement)
    parse_address('address', announcement.address)
    if not 1 <= announcement.slots <= MAX_SLOTS:
        given = str(announcement.slots)
        raise SettingsError('slots', given, f'a number from 1 to {MAX_SLOTS}')
    if not is_plausible_start(announcement.lifetime, time()):
        given = str(announcement.lifetime)
        raise SettingsError('lifetime', given, 'a time that has passed')
    return announcement


def _announce(
    kernel: Kernel,
    announcement: Announcement,
    start_response: StartResponse,
) -> Iterable[bytes]:
    reply: Future[tuple[int, int]] = Future()
    record = UpstreamRecord(
        name=announcement.address,
        service=announcement.service,
        slots=announcement.slots,
        ready=announcement.state == UpstreamState.ready,
        leaving=announcement.state == UpstreamState.leaving,
        address=announcement.address,
        lifetime=announcement.lifetime,
    )
    announced = AnnouncedEvent(
        record,
        monotonic() + ANNOUNCEMENT_LIFETIME_SECONDS,
        reply,
        AnnouncementStamp(announcement.lifetime),
        cold_seconds=announcement.cold_ms / MILLISECONDS_PER_SECOND,
    )
    kernel.find('owner').task.post(announced)
    try:
        running, waiting = reply.result(OWNER_TIMEOUT_SECONDS)
        if record.leaving:
            await_departure(kernel, record.name)
    except (FutureTimeout, HandlerFailed):
        return _respond(start_response, '503 Service Unavailable', b'{}')
    body = msgspec.json.encode(
        AnnouncementResponse(running, waiting, ANNOUNCEMENT_LIFETIME_SECONDS),
    )
    return _respond(start_response, '200 OK', body)


def await_departure(kernel: Kernel, name: str) -> None:
    """Wait a moment until the store holds that an upstream leaves.

    The acknowledgement does not depend on it, as the store may be away.
    """
    kernel.find('departure-records').await_written(
        name, DEPARTURE_TIMEOUT_SECONDS
    )


def _respond(
    start_response: StartResponse,
    status: str,
    body: bytes,
) -> Iterable[bytes]:
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    start_response(status, headers)
    return [body]
