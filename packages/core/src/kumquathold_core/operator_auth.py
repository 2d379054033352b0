"""Authentication of operators' calls by a keyed hash (MAC).

The shared secret is never sent. A signature covers the method, the target,
the body, the operator's name, the time and a nonce. A node accepts each nonce
once, and no call whose time is off by more than `MAX_SKEW_SECONDS`.
"""

from __future__ import annotations

import hashlib
import hmac

import msgspec

OPERATOR_HEADER = 'Kumquathold-Operator'
TIME_HEADER = 'Kumquathold-Time'
NONCE_HEADER = 'Kumquathold-Nonce'
SIGNATURE_HEADER = 'Kumquathold-Signature'
SIGNATURE_BYTES = 32
MAX_SKEW_SECONDS = 300.0


class OperatorAuthError(Exception):
    """A call is not authenticated."""


class SignatureInvalid(OperatorAuthError):
    """The signature was not made with the operators' secret."""


class SignatureExpired(OperatorAuthError):
    """The signature's time is too far from the node's clock."""


class SignatureReplayed(OperatorAuthError):
    """The signature was used before."""


class SignedCall(msgspec.Struct, frozen=True):
    """What a signature covers."""

    operator: str
    """Name of the operator."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    body: bytes
    """The whole body."""

    time: str
    """Seconds since the epoch, in decimal."""

    nonce: str
    """Text that is unique to the call."""


def sign_call(call: SignedCall, secret: bytes) -> str:
    """Return the signature of a call, in hexadecimal."""
    mac = hashlib.blake2b(key=secret, digest_size=SIGNATURE_BYTES)
    parts = (call.operator, call.method, call.target, call.time, call.nonce)
    for part in parts:
        mac.update(part.encode())
        mac.update(b'\0')
    mac.update(hashlib.blake2b(call.body, digest_size=SIGNATURE_BYTES).digest())
    return mac.hexdigest()


class SignatureVerifier:
    """Verifies signatures, and detects replays by their nonces."""

    def __init__(self, secret: bytes) -> None:
        """Start without any nonces."""
        self.secret = secret
        self.nonces: dict[str, float] = {}

    def check(self, call: SignedCall, signature: str, now: float) -> None:
        """Raise an `OperatorAuthError` unless the call is genuine and new.

        `now` is in seconds since the epoch.
        """
        expected = sign_call(call, self.secret)
        if not hmac.compare_digest(expected.encode(), signature.encode()):
            raise SignatureInvalid(call.target)
        if abs(now - float(call.time)) > MAX_SKEW_SECONDS:
            raise SignatureExpired(call.time)
        if call.nonce in self.nonces:
            raise SignatureReplayed(call.nonce)
        self.nonces[call.nonce] = now
        self._drop_expired_nonces(now)

    def _drop_expired_nonces(self, now: float) -> None:
        for nonce, seen_at in list(self.nonces.items()):
            if now - seen_at <= 2 * MAX_SKEW_SECONDS:
                return
            self.nonces.pop(nonce)
