"""Messages between nodes, over pynng push and pull sockets.

A node listens on one socket that only receives, and dials one socket that
only sends for each peer. Delivery is at most once: nothing is sent again, and
a message may arrive late or never.
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

from kumquathold_core import forwarding, wire
from kumquathold_core.reassembly import split_body
from kumquathold_node.kernel import Task
from kumquathold_node.metrics import Metrics
from kumquathold_node.supervision import Supervisor

if TYPE_CHECKING:
    from kumquathold_core.forwarding import BodyChunk

    BodyMessage = forwarding.ForwardRequest | forwarding.ForwardResponse

MAX_FRAME_BYTES = 1024 * 1024
SEND_BUFFER_FRAMES = 64
RECEIVE_BUFFER_FRAMES = 256
BODY_SEND_TIMEOUT_MS = 2000
"""Time for which a send with a body waits for a peer that is slow."""

RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 500
RECEIVE_POLL_MS = 200
"""Interval at which the receiving thread checks whether to stop."""

IDLE_LINK_SECONDS = 60.0
"""Time without a send after which a connection is closed."""

REFUSED_LOG_SECONDS = 1.0
"""Shortest interval between log lines on refused frames."""


class TransportError(Exception):
    """A node cannot send or cannot listen."""


class NotSent(TransportError):
    """A message was not sent, so the peer does not get it."""


class LinkFull(NotSent):
    """The peer does not accept messages now."""


class MessageInvalid(NotSent):
    """The message holds a value that no peer can be sent."""


class AddressInUse(TransportError):
    """Another process already listens on the address."""


class Link(msgspec.Struct):
    """The outgoing connection to one peer."""

    socket: pynng.Push0
    """Connects and reconnects in the background."""

    opened_at: float
    """Own monotonic clock, in seconds, when it was dialled."""

    used_at: float
    """Own monotonic clock, in seconds, of the last send."""


class Transport:
    """Sends to peers, and posts received messages to the tasks."""

    def __init__(
        self,
        address: str,
        incarnation: int,
        secret: bytes,
        metrics: Metrics,
        dial: dict[str, str],
    ) -> None:
        """Open no socket yet; `listening` does.

        `dial` maps peer addresses to the addresses to dial instead.
        """
        self.dial = dial
        self.address = address
        self.incarnation = incarnation
        self.secret = secret
        self.metrics = metrics
        self.receivers: dict[type, Task] = {}
        self.links: dict[str, Link] = {}
        self.last_received_at: dict[str, float] = {}
        self.lock = threading.Lock()
        self.is_open = True
        self.refused_logged_at = 0.0

    def deliver_to(self, task: Task) -> None:
        """Post received messages of the types that the task handles to it."""
        for message_type in task.handlers:
            if message_type in wire.MESSAGE_TYPES:
                self.receivers[message_type] = task

    def send(self, receiver: str, message: wire.Message) -> None:
        """Send a small message without waiting.

        Raises `NotSent`, e.g. if the peer does not accept it now.
        """
        self._send(receiver, message, block=False)

    def try_send(self, receiver: str, message: wire.Message) -> bool:
        """Send a message that may be lost; return whether it was sent."""
        try:
            self.send(receiver, message)
        except NotSent:
            return False
        return True

    def send_with_body(
        self,
        receiver: str,
        message: BodyMessage,
        body: bytes,
        chunk_type: type[BodyChunk],
    ) -> None:
        """Send a message with its body, in chunks unless it is for this node.

        Waits while the peer is slow to accept them; raises `NotSent`, e.g. if
        it accepts nothing for `BODY_SEND_TIMEOUT_MS`.
        """
        if receiver == self.address:
            whole = msgspec.structs.replace(message, body=body)
            self._send(receiver, whole, block=True)
            return
        first, rest = split_body(body)
        head = msgspec.structs.replace(message, body=first)
        self._send(receiver, head, block=True)
        for offset, chunk in rest:
            part = chunk_type(
                request=message.request, offset=offset, chunk=chunk
            )
            self._send(receiver, part, block=True)  # type: ignore[arg-type]

    def reset(self, receiver: str, opened_before: float = math.inf) -> None:
        """Close the connection to a peer; the next send opens a new one.

        A connection that was dialled at or after `opened_before`, in seconds
        of the own monotonic clock, stays: the failure that was observed
        concerns an older one.
        """
        with self.lock:
            link = self.links.get(receiver)
            if link is None or link.opened_at >= opened_before:
                return
            self.links.pop(receiver)
        self.metrics.count('peers.connections_reset')
        link.socket.close()

    def reset_all(self, opened_before: float) -> None:
        """Close the connections that were dialled before a time.

        In seconds of the own monotonic clock; the next sends open new ones.
        """
        for receiver in list(self.links):
            self.reset(receiver, opened_before)

    def get_opened_time(self, receiver: str) -> float:
        """Return when the connection to a peer was dialled.

        In seconds of the own monotonic clock, infinite without a connection.
        """
        link = self.links.get(receiver)
        return link.opened_at if link else math.inf

    def get_last_receive_time(self, sender: str) -> float:
        """Return when a peer's last message arrived, 0 for never.

        In seconds of the own monotonic clock.
        """
        return self.last_received_at.get(sender, 0.0)

    def close_idle(self) -> None:
        """Close the connections not used for `IDLE_LINK_SECONDS`."""
        used_before = monotonic() - IDLE_LINK_SECONDS
        idle = [
            address
            for address, link in list(self.links.items())
            if link.used_at < used_before
        ]
        for address in idle:
            self.reset(address)

    @contextmanager
    def listening(self) -> Iterator[None]:
        """Receive while the block runs; close all sockets after it.

        Raises `AddressInUse`.
        """
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
        supervisor = Supervisor(
            'transport',
            lambda: self._receive(listener),
            lambda name: self.metrics.count(f'kernel.thread_failures.{name}'),
        )
        receiver = threading.Thread(
            target=supervisor.run, name='transport', daemon=True
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

    def _make_envelope(self, message: wire.Message) -> wire.Envelope[Any]:
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
        envelope = self._make_envelope(message)
        if receiver == self.address:
            self._dispatch(envelope)
            return
        frame = self._encode(envelope, receiver)
        metric_name = wire.MESSAGE_METRIC_NAMES[type(message)]
        self.metrics.count(f'peers.sent.{metric_name}')
        self.metrics.count(f'peers.sent_bytes.{metric_name}', len(frame))
        self._push(receiver, frame, block=block)

    def _encode(self, envelope: wire.Envelope[Any], receiver: str) -> bytes:
        try:
            return wire.encode_frame(envelope, receiver, self.secret)
        except wire.UnencodableMessage as error:
            self.metrics.count('peers.unencodable')
            logger.error('message not encodable', cause=str(error))
            raise MessageInvalid(str(error)) from error

    def _push(self, receiver: str, frame: bytes, *, block: bool) -> None:
        try:
            self._send_frame(receiver, frame, block=block)
        except (pynng.TryAgain, pynng.Timeout, pynng.Closed) as error:
            self.metrics.count('peers.not_sent')
            raise LinkFull(f'message to {receiver} not sent') from error

    def _send_frame(self, receiver: str, frame: bytes, *, block: bool) -> None:
        try:
            self._get_link(receiver).socket.send(frame, block=block)
        except pynng.Closed:
            # Another thread closed the link after it was looked up.
            self._get_link(receiver).socket.send(frame, block=block)

    def _get_link(self, receiver: str) -> Link:
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
                # pynng fails to unpack an empty frame.
                self._report_refused(wire.ForgedFrame('empty frame'))
                continue
            self._process_frame(frame)

    def _process_frame(self, frame: bytes) -> None:
        try:
            envelope = wire.decode_frame(frame, self.address, self.secret)
        except wire.WireError as error:
            self._report_refused(error)
            return
        self.metrics.count('peers.received')
        self.metrics.count('peers.received_bytes', len(frame))
        self.last_received_at[envelope.sender] = monotonic()
        self._dispatch(envelope)

    def _dispatch(self, envelope: wire.Envelope[Any]) -> None:
        task = self.receivers.get(type(envelope.message))
        if task is not None:
            task.post(envelope)

    def _report_refused(self, error: wire.WireError) -> None:
        self.metrics.count(f'peers.refused.{type(error).__name__}')
        now = monotonic()
        if now - self.refused_logged_at >= REFUSED_LOG_SECONDS:
            self.refused_logged_at = now
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
