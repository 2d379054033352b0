"""A request at its owner, and the upstreams beside that owner."""

from __future__ import annotations

import msgspec

from kumquathold_core import crashes, turns
from kumquathold_core.identity import RequestId, UpstreamRecord
from kumquathold_core.work import WorkRequested
from kumquathold_node.upstream_calls import UpstreamCalls


class Job(msgspec.Struct, eq=False):
    """A request at this owner."""

    work: WorkRequested
    """What the ingress asked for."""

    reply_to: str
    """Peer address of the ingress."""

    queued_at: float
    """Own monotonic clock, in seconds."""

    body: bytes = b''
    """The whole body, once it is there."""

    started_at: float = 0.0
    """When it got its slot."""

    @property
    def request(self) -> RequestId:
        """Names the sending."""
        return self.work.request

    @property
    def fingerprint(self) -> bytes:
        """Equal for its repetitions."""
        return crashes.fingerprint_request(
            self.work.workspace,
            self.work.method,
            self.work.target,
            self.work.body_digest,
        )


class Upstream:
    """An upstream beside this node."""

    __slots__ = ('calls', 'expires_at', 'in_use', 'queue', 'record')

    def __init__(self, record: UpstreamRecord, expires_at: float) -> None:
        """Start with nothing in hand."""
        self.record = record
        self.expires_at = expires_at
        self.calls = UpstreamCalls(record.name)
        self.queue: turns.TurnQueue[Job] = turns.TurnQueue()
        self.in_use = 0
