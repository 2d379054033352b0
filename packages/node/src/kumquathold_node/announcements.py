"""Upstreams announce themselves here, by a documented HTTP call.

`POST /announce` with a JSON object takes the service, the upstream's address,
its slots and its state, and is repeated at least every `LIFETIME_SECONDS`.
The answer says how much work is in hand, so that a leaving upstream knows
when it may stop.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeout
from time import monotonic
from typing import Any

import msgspec

from kumquathold_core.announcement_tracker import AnnouncementStamp
from kumquathold_core.identity import UpstreamRecord
from kumquathold_node.kernel import Kernel
from kumquathold_node.settings import SettingsError, parse_address

LIFETIME_SECONDS = 5.0
REPLY_SECONDS = 2.0
MAX_ANNOUNCEMENT_BYTES = 4096
MAX_SLOTS = 10_000

StartResponse = Callable[..., Any]


class UpstreamState(enum.StrEnum):
    """What an upstream says of itself."""

    starting = 'starting'
    ready = 'ready'
    leaving = 'leaving'


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of the call."""

    service: str
    """The service that the upstream offers."""

    address: str
    """Where it takes requests, `IP:port`."""

    slots: int
    """Requests that it runs at the same time."""

    state: UpstreamState = UpstreamState.ready
    """Whether it starts cold, is ready or leaves."""


class AnnouncementReply(msgspec.Struct, frozen=True):
    """The answer to the call."""

    running: int
    """Requests that run on the upstream now."""

    waiting: int
    """Requests that wait for it."""

    repeat_within: float
    """Seconds after which it counts as vanished."""


class AnnouncedEvent(msgspec.Struct, frozen=True):
    """An upstream announced itself."""

    record: UpstreamRecord
    """What it said."""

    expires_at: float
    """Own monotonic clock, in seconds."""

    reply: Future[tuple[int, int]]
    """Takes the requests that run and wait."""

    stamp: AnnouncementStamp = AnnouncementStamp()
    """Position in the order of the upstream's announcements."""


class DeregisteredEvent(msgspec.Struct, frozen=True):
    """An upstream said that it is gone, or will be in a moment."""

    name: str
    """The upstream's name."""

    lifetime: int
    """Which process of that name, 0 where it does not say."""

    reply: Future[tuple[int, int]]
    """Takes the requests that run and wait."""


def make_announcement_app(
    kernel: Kernel,
) -> Callable[[dict[str, Any], StartResponse], Iterable[bytes]]:
    """The WSGI application that takes the call."""

    def app(
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'] != '/announce':
            return _reply(start_response, '404 Not Found', b'{}')
        if environ['REQUEST_METHOD'] != 'POST':
            return _reply(start_response, '405 Method Not Allowed', b'{}')
        raw = environ['wsgi.input'].read(MAX_ANNOUNCEMENT_BYTES)
        try:
            announcement = _check(raw)
        except (msgspec.MsgspecError, SettingsError) as error:
            body = msgspec.json.encode({'error': str(error)})
            return _reply(start_response, '400 Bad Request', body)
        return _announce(kernel, announcement, start_response)

    return app


def _check(raw: bytes) -> Announcement:
    announcement = msgspec.json.decode(raw, type=Announcement)
    parse_address('address', announcement.address)
    if not 1 <= announcement.slots <= MAX_SLOTS:
        given = str(announcement.slots)
        raise SettingsError('slots', given, f'a number from 1 to {MAX_SLOTS}')
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
    )
    announced = AnnouncedEvent(record, monotonic() + LIFETIME_SECONDS, reply)
    kernel.find('owner').task.post(announced)
    try:
        running, waiting = reply.result(REPLY_SECONDS)
    except FutureTimeout:
        return _reply(start_response, '503 Service Unavailable', b'{}')
    body = msgspec.json.encode(
        AnnouncementReply(running, waiting, LIFETIME_SECONDS),
    )
    return _reply(start_response, '200 OK', body)


def _reply(
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
