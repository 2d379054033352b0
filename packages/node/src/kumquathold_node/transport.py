"""Messages between nodes, by pynng.

A node listens on one socket that only receives, and dials one socket that
only sends for each peer it talks to. Nothing is sent again by itself: a
message arrives at most once, possibly late, possibly never.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic
from typing import TYPE_CHECKING, Any

import msgspec
import pynng
from loguru import logger

from kumquathold_core import wire
from kumquathold_node.kernel import Task
from kumquathold_node.metrics import Metrics

if TYPE_CHECKING:
    from kumquathold_core.forwarding import BodyChunk
    from kumquathold_core.identity import RequestId

MAX_FRAME_BYTES = 1024 * 1024
SEND_BUFFER_FRAMES = 64
RECEIVE_BUFFER_FRAMES = 256
BODY_SEND_TIMEOUT_MS = 2000
RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 500
RECEIVE_POLL_MS = 200
IDLE_LINK_SECONDS = 60.0
FORGERY_LOG_SECONDS = 1.0


class TransportError(Exception):
    """A message that was not sent."""


class LinkFull(TransportError):
    """The peer does not take what is sent to it."""


class AddressInUse(TransportError):
    """Another process listens on the address."""


class Link(msgspec.Struct):
    """The sending side towards one peer."""

    socket: pynng.Push0
    """Connects and reconnects by itself."""

    opened_at: float
    """Own monotonic clock, in seconds, when it was dialled."""

    used_at: float
    """Own monotonic clock, in seconds, of the last send."""


class Transport:
    """Sends to peers, and hands what they send to the tasks that want it."""

    def __init__(
        self,
        address: str,
        incarnation: int,
        secret: bytes,
        metrics: Metrics,
        dial: dict[str, str],
    ) -> None:
        """Open nothing yet; `listening` does."""
        self.dial = dial
        self.address = address
        self.incarnation = incarnation
        self.secret = secret
        self.metrics = metrics
        self.receivers: dict[type, Task] = {}
        self.links: dict[str, Link] = {}
        self.heard_at: dict[str, float] = {}
        self.lock = threading.Lock()
        self.is_open = True
        self.forgery_logged_at = 0.0

    def deliver_to(self, task: Task) -> None:
        """Have the messages that a task handles put into its inbox."""
        for kind in task.handlers:
            if kind in wire.MESSAGE_TYPES:
                self.receivers[kind] = task

    def send(self, receiver: str, message: wire.Message) -> None:
        """Send a small message without waiting; raises `LinkFull`."""
        self._send(receiver, message, block=False)

    def try_send(self, receiver: str, message: wire.Message) -> bool:
        """Send a message that nobody misses; false where it was not sent."""
        try:
            self.send(receiver, message)
        except LinkFull:
            return False
        return True

    def send_with_body(
        self,
        receiver: str,
        opening: wire.Message,
        pieces: Iterator[tuple[int, bytes]],
        kind: type[BodyChunk],
        request: RequestId,
    ) -> None:
        """Send a message and the further pieces of its body.

        Waits while the peer is slow to take them; raises `LinkFull` where it
        takes nothing for `BODY_SEND_TIMEOUT_MS`.
        """
        self._send(receiver, opening, block=True)
        for offset, chunk in pieces:
            piece = kind(request=request, offset=offset, chunk=chunk)
            self._send(receiver, piece, block=True)  # type: ignore[arg-type]

    def reset(self, receiver: str, opened_before: float = math.inf) -> None:
        """Drop the connection to a peer; the next send makes a new one.

        A connection that was dialled at or after `opened_before`, on the own
        monotonic clock, stays: what speaks against an older one says nothing
        of it.
        """
        with self.lock:
            link = self.links.get(receiver)
            if link is None or link.opened_at >= opened_before:
                return
            self.links.pop(receiver)
        self.metrics.count('peers.connections_reset')
        link.socket.close()

    def last_heard(self, sender: str) -> float:
        """Own monotonic clock, in seconds, of a peer's last message."""
        return self.heard_at.get(sender, 0.0)

    def close_idle(self) -> None:
        """Close connections that nobody used lately."""
        limit = monotonic() - IDLE_LINK_SECONDS
        idle = [
            address
            for address, link in list(self.links.items())
            if link.used_at < limit
        ]
        for address in idle:
            self.reset(address)

    @contextmanager
    def listening(self) -> Iterator[None]:
        """Receive while the block runs; close all sockets after it."""
        listener = pynng.Pull0(
            recv_timeout=RECEIVE_POLL_MS,
            recv_max_size=MAX_FRAME_BYTES,
            recv_buffer_size=RECEIVE_BUFFER_FRAMES,
        )
        try:
            listener.listen(f'tcp://{self.address}')
        except pynng.AddressInUse as error:
            listener.close()
            raise AddressInUse(self.address) from error
        receiver = threading.Thread(
            target=self._receive,
            args=(listener,),
            name='transport',
            daemon=True,
        )
        receiver.start()
        try:
            yield
        finally:
            self.is_open = False
            receiver.join()
            listener.close()
            for address in list(self.links):
                self.reset(address)

    def _envelop(self, message: wire.Message) -> wire.Envelope[Any]:
        return wire.Envelope(
            sender=self.address,
            incarnation=self.incarnation,
            message=message,
        )

    def _send(
        self,
        receiver: str,
        message: wire.Message,
        *,
        block: bool,
    ) -> None:
        envelope = self._envelop(message)
        if receiver == self.address:
            self._dispatch(envelope)
            return
        frame = wire.encode_frame(envelope, receiver, self.secret)
        kind = wire.MESSAGE_METRIC_NAMES[type(message)]
        self.metrics.count(f'peers.sent.{kind}')
        self.metrics.count(f'peers.sent_bytes.{kind}', len(frame))
        self._push(receiver, frame, block=block)

    def _push(self, receiver: str, frame: bytes, *, block: bool) -> None:
        try:
            self._send_frame(receiver, frame, block=block)
        except (pynng.TryAgain, pynng.Timeout, pynng.Closed) as error:
            self.metrics.count('peers.not_sent')
            raise LinkFull(receiver) from error

    def _send_frame(self, receiver: str, frame: bytes, *, block: bool) -> None:
        try:
            self._link(receiver).socket.send(frame, block=block)
        except pynng.Closed:
            # Another thread reset the link between look-up and use.
            self._link(receiver).socket.send(frame, block=block)

    def _link(self, receiver: str) -> Link:
        with self.lock:
            link = self.links.get(receiver)
            if link is None:
                target = self.dial.get(receiver, receiver)
                now = monotonic()
                link = Link(_dial(target), opened_at=now, used_at=now)
                self.links[receiver] = link
            link.used_at = monotonic()
            return link

    def _receive(self, listener: pynng.Pull0) -> None:
        while self.is_open:
            try:
                frame = listener.recv()
            except pynng.Timeout:
                continue
            except pynng.NNGException as error:
                logger.warning('receive failed', cause=repr(error))
                continue
            except RuntimeError:
                # The library cannot unpack a frame without any bytes.
                self._report_refused(wire.ForgedFrame('empty frame'))
                continue
            self._take(frame)

    def _take(self, frame: bytes) -> None:
        try:
            envelope = wire.decode_frame(frame, self.address, self.secret)
        except wire.WireError as error:
            self._report_refused(error)
            return
        self.metrics.count('peers.received')
        self.metrics.count('peers.received_bytes', len(frame))
        self.heard_at[envelope.sender] = monotonic()
        self._dispatch(envelope)

    def _dispatch(self, envelope: wire.Envelope[Any]) -> None:
        task = self.receivers.get(type(envelope.message))
        if task is not None:
            task.post(envelope)

    def _report_refused(self, error: wire.WireError) -> None:
        self.metrics.count(f'peers.refused.{type(error).__name__}')
        now = monotonic()
        if now - self.forgery_logged_at >= FORGERY_LOG_SECONDS:
            self.forgery_logged_at = now
            logger.warning(
                'frame refused',
                reason=type(error).__name__,
                detail=str(error),
            )


def _dial(receiver: str) -> pynng.Push0:
    socket = pynng.Push0(
        send_timeout=BODY_SEND_TIMEOUT_MS,
        send_buffer_size=SEND_BUFFER_FRAMES,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    socket.dial(f'tcp://{receiver}', block=False)
    return socket
