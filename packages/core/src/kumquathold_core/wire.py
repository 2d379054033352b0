"""Encodes and decodes the frames that nodes exchange.

A frame is a message authentication code (MAC) followed by a msgpack payload.
The MAC is 16 bytes of BLAKE2b, keyed with the fleet's secret, over the
receiver's address and the payload, so that a node rejects frames made for
another.
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
"""The label of each message in metrics; stable when a class is renamed."""

MESSAGE_TYPES = frozenset(get_args(Message))


class WireError(Exception):
    """A frame was rejected, or cannot be made."""


class ForgedFrame(WireError):
    """The MAC is not valid for the fleet's secret and this receiver."""


class MalformedFrame(WireError):
    """The frame is authentic but cannot be decoded.

    This happens between nodes that run different versions.
    """


class UnencodableMessage(WireError):
    """A message holds a value that frames cannot carry."""


MessageType = TypeVar('MessageType')


class Envelope(
    msgspec.Struct, Generic[MessageType], frozen=True, array_like=True
):
    """A message with its sender; the payload of a frame."""

    sender: str
    """Peer address of the sending node."""

    incarnation: int
    """Incarnation of the sending process."""

    message: MessageType
    """The message itself."""


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
    """Encode and authenticate an envelope for one receiver.

    `receiver` is the peer address of the receiving node. Raises
    `UnencodableMessage`, e.g. for an integer of more than 64 bits.
    """
    try:
        payload = _encoder.encode(envelope)
    except (ValueError, TypeError, OverflowError) as error:
        kind = type(envelope.message).__name__
        raise UnencodableMessage(f'{kind}: {error}') from error
    return _authenticate(secret, receiver, payload) + payload


def decode_frame(
    frame: bytes,
    receiver: str,
    secret: bytes,
) -> Envelope[Message]:
    """Verify and decode a frame that this receiver got.

    Raises `ForgedFrame` if the MAC is invalid and `MalformedFrame` if the
    payload cannot be decoded.
    """
    payload = frame[MAC_BYTES:]
    expected = _authenticate(secret, receiver, payload)
    if not hmac.compare_digest(frame[:MAC_BYTES], expected):
        raise ForgedFrame(f'frame of {len(frame)} bytes has no valid MAC')
    try:
        return _decoder.decode(payload)
    except (ValueError, RecursionError) as error:
        raise MalformedFrame(str(error)) from error


def digest_body(body: bytes) -> bytes:
    """Compute the digest by which a node checks a body it received."""
    return hashlib.blake2b(body, digest_size=MAC_BYTES).digest()
