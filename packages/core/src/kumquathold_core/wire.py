"""Frames between nodes: msgpack, authenticated by the fleet's secret.

A frame is 16 bytes of keyed BLAKE2b over the receiver's address and the
payload, followed by the payload. A frame that was made for one node is
therefore refused by every other.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Any, Generic, TypeVar, get_args

import msgspec

from kumquathold_core import distribution, forwarding, gossip

MAC_BYTES = 16
SECRET_MIN_BYTES = 16
SECRET_MAX_BYTES = 64

Message = (
    forwarding.ForwardRequest
    | forwarding.RequestChunk
    | forwarding.ResponseChunk
    | forwarding.ForwardResponse
    | forwarding.FailureResponse
    | forwarding.StatusRequest
    | forwarding.PendingResponse
    | forwarding.CancelRequest
    | forwarding.CrashNotice
    | gossip.Ping
    | gossip.Pong
    | gossip.IndirectPingRequest
    | gossip.IndirectPong
    | gossip.SyncRequest
    | gossip.SyncResponse
    | distribution.VersionNotice
    | distribution.SnapshotRequest
    | distribution.SnapshotChunk
    | distribution.GrantRequest
    | distribution.GrantResponse
    | distribution.UsageNotice
)

MESSAGE_METRIC_NAMES: dict[type, str] = {
    forwarding.ForwardRequest: 'WorkRequested',
    forwarding.RequestChunk: 'RequestPieceSent',
    forwarding.ResponseChunk: 'AnswerPieceSent',
    forwarding.ForwardResponse: 'AnswerReady',
    forwarding.FailureResponse: 'WorkFailed',
    forwarding.StatusRequest: 'InquiryMade',
    forwarding.PendingResponse: 'WorkInHand',
    forwarding.CancelRequest: 'WorkCancelled',
    forwarding.CrashNotice: 'CrashSeen',
    gossip.Ping: 'PingSent',
    gossip.Pong: 'PongSent',
    gossip.IndirectPingRequest: 'IndirectPingAsked',
    gossip.IndirectPong: 'IndirectPongSent',
    gossip.SyncRequest: 'TableAsked',
    gossip.SyncResponse: 'TableSent',
    distribution.VersionNotice: 'NewsSpread',
    distribution.SnapshotRequest: 'SnapshotAsked',
    distribution.SnapshotChunk: 'SnapshotSent',
    distribution.GrantRequest: 'GrantAsked',
    distribution.GrantResponse: 'GrantGiven',
    distribution.UsageNotice: 'LotsReported',
}
"""The label of each message in metrics, which keeps its first name."""

MESSAGE_KINDS = frozenset(get_args(Message))


class WireError(Exception):
    """A frame that is not taken."""


class ForgedFrame(WireError):
    """The frame was not made with the fleet's secret for this node."""


class MalformedFrame(WireError):
    """The frame is authentic but cannot be read: versions differ."""


Kind = TypeVar('Kind')


class Envelope(msgspec.Struct, Generic[Kind], frozen=True, array_like=True):
    """A message with its sender."""

    sender: str
    """Peer address of the sending node."""

    incarnation: int
    """The sending process."""

    message: Kind
    """What it says."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope[Message])


def _authenticate(secret: bytes, receiver: str, payload: bytes) -> bytes:
    mac = hashlib.blake2b(
        receiver.encode(),
        key=secret,
        digest_size=MAC_BYTES,
    )
    mac.update(b'\0')
    mac.update(payload)
    return mac.digest()


def encode_frame(
    envelope: Envelope[Any],
    receiver: str,
    secret: bytes,
) -> bytes:
    """Make the frame that carries an envelope to one receiver."""
    payload = _encoder.encode(envelope)
    return _authenticate(secret, receiver, payload) + payload


def decode_frame(
    frame: bytes,
    receiver: str,
    secret: bytes,
) -> Envelope[Message]:
    """Check and read a frame.

    Raises `ForgedFrame` or `MalformedFrame`.
    """
    payload = frame[MAC_BYTES:]
    expected = _authenticate(secret, receiver, payload)
    if not hmac.compare_digest(frame[:MAC_BYTES], expected):
        raise ForgedFrame(f'{len(frame)} bytes without a valid MAC')
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise MalformedFrame(str(error)) from error


def digest_body(body: bytes) -> bytes:
    """Digest that guards a body on its way between nodes."""
    return hashlib.blake2b(body, digest_size=MAC_BYTES).digest()
