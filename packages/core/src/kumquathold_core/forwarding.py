"""Wire messages by which an ingress forwards requests to an owner."""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core.identity import RequestId
from kumquathold_core.upstream_statements import UpstreamStatement

Headers = tuple[tuple[str, str], ...]

BODY_CHUNK_BYTES = 65_536
"""Largest part of a body in one message."""


class Outcome(enum.StrEnum):
    """Whether a request ran, as far as is known."""

    not_run = 'not-run'
    ran = 'ran'
    unknown = 'unknown'


class Refusal(enum.StrEnum):
    """Why a request was refused or failed.

    The values are error codes that callers see and stay stable.
    """

    no_route = 'no-route'
    method_not_allowed = 'method-not-allowed'
    key_missing = 'key-missing'
    key_unknown = 'key-unknown'
    key_exposed = 'key-exposed'
    body_too_large = 'body-too-large'
    malformed = 'malformed-request'
    head_too_large = 'head-too-large'
    idempotency_key_missing = 'idempotency-key-missing'
    idempotency_key_reused = 'idempotency-key-reused'
    in_progress = 'in-progress'
    outcome_unknown = 'outcome-unknown'
    settled = 'settled-by-operator'
    answer_not_kept = 'answer-not-kept'
    rate_exceeded = 'rate-exceeded'
    rate_unavailable = 'rate-unavailable'
    stale_configuration = 'stale-configuration'
    no_configuration = 'no-configuration'
    no_upstream = 'no-upstream'
    region_unavailable = 'region-unavailable'
    region_not_permitted = 'region-not-permitted'
    zone_evacuated = 'zone-evacuated'
    overloaded = 'overloaded'
    upstream_shed = 'upstream-shed'
    upstream_unreachable = 'upstream-unreachable'
    upstream_failed = 'upstream-failed'
    upstream_error = 'upstream-error'
    upstream_leaving = 'upstream-leaving'
    upstream_replaced = 'upstream-replaced'
    upstream_busy = 'upstream-busy'
    upstream_suspect = 'upstream-suspect'
    node_leaving = 'node-leaving'
    owner_unreachable = 'owner-unreachable'
    owner_restarted = 'owner-restarted'
    deadline_passed = 'deadline-passed'
    cancelled = 'cancelled'
    crashes_upstreams = 'crashes-upstreams'
    store_unavailable = 'store-unavailable'
    internal_error = 'internal-error'
    retry_budget = 'retry-budget-spent'


class ForwardRequest(msgspec.Struct, frozen=True, array_like=True, tag='work'):
    """Requests that an owner run a request on one of its upstreams."""

    request: RequestId
    """Identifies this attempt."""

    owner_incarnation: int
    """Incarnation of the intended owner process; any other refuses."""

    deadline: float
    """The request's deadline, on the owner's monotonic clock."""

    config_version: int
    """Version of the configuration by which the ingress admitted it."""

    upstream: str
    """Name of the upstream."""

    workspace: str
    """Name of the workspace; empty on public routes."""

    key_id: str
    """Id of the caller's key, checked again by the owner; never the key."""

    weight: int
    """The workspace's weight in the owner's fair queue."""

    route: str
    """Name of the route, for fingerprints and reports."""

    caller_id: str
    """Request id given by the caller, for logs."""

    method: str
    """HTTP method."""

    target: str
    """Path and query, as sent by the caller."""

    headers: Headers
    """End-to-end headers."""

    idempotent: bool
    """Whether the request can safely run more than once."""

    claim: str
    """Idempotency-Key of a once-only request, else empty."""

    crashes: int
    """Number of upstreams that this request has crashed so far."""

    rank: int
    """Priority in the owner's queue; lower goes first."""

    due_at: float
    """End of the latency objective, on the owner's monotonic clock."""

    max_wait: float
    """Expected wait for a slot, in seconds, above which the owner returns it.

    The ingress then tries another upstream.
    """

    max_risk: float
    """Risk of failure above which the owner returns it."""

    body_bytes: int
    """Length of the whole body."""

    body_digest: bytes
    """BLAKE2b digest of the whole body."""

    body: bytes
    """First chunk of the body."""

    is_retry: bool = False
    """Whether an earlier attempt may have reached an upstream."""

    statement: UpstreamStatement | None = None
    """The upstream's latest statement that the ingress knows.

    It serves an owner that has restarted and knows none yet.
    """


class BodyChunk(msgspec.Struct, frozen=True, array_like=True):
    """A chunk of a body, after the first."""

    request: RequestId
    """The attempt that the chunk belongs to."""

    offset: int
    """Offset of the chunk in the body, in bytes."""

    chunk: bytes
    """The data, at most `BODY_CHUNK_BYTES` bytes."""


class RequestChunk(BodyChunk, frozen=True, array_like=True, tag='piece'):
    """A chunk of a request's body, after the first."""


class ResponseChunk(BodyChunk, frozen=True, array_like=True, tag='rest'):
    """A chunk of a response's body, after the first."""


class ForwardResponse(
    msgspec.Struct, frozen=True, array_like=True, tag='answer'
):
    """Returns the upstream's response to the ingress."""

    request: RequestId
    """The attempt that it responds to."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    service_seconds: float
    """Duration of the upstream call."""

    queued_seconds: float
    """Time in the owner's queue."""

    backlog: int
    """Requests in flight or queued at the upstream when it responded."""

    risk: float
    """Owner's estimate of the chance that the upstream's next request fails."""

    replayed: bool
    """Whether this is the stored response to a repeated once-only request."""

    body_bytes: int
    """Length of the whole body."""

    body_digest: bytes
    """BLAKE2b digest of the whole body."""

    body: bytes
    """First chunk of the body."""

    wait: float = 0.0
    """Expected seconds until the upstream may start a further request."""

    statement: UpstreamStatement | None = None
    """What the upstream states about itself, if the owner knows."""

    limit: float | None = None
    """Requests a second that the upstream takes now, if limited."""


class FailureResponse(
    msgspec.Struct, frozen=True, array_like=True, tag='failed'
):
    """Reports to the ingress that a request got no response."""

    request: RequestId
    """The attempt that failed."""

    outcome: Outcome
    """Whether the request ran."""

    reason: Refusal
    """Why there is no response."""

    retry_after: float
    """Seconds after which to retry; 0 if unknown."""

    crashed: bool
    """Whether the upstream's process ended during the request."""

    backlog: int = 0
    """Requests in flight or queued at the upstream."""

    wait: float = 0.0
    """Expected seconds until the upstream may start a further request."""

    risk: float = 0.0
    """Owner's estimate of the chance that the upstream's next request fails."""

    statement: UpstreamStatement | None = None
    """What the upstream states about itself, if the owner knows."""

    limit: float | None = None
    """Requests a second that the upstream takes now, if limited."""


class StatusRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='inquiry'
):
    """Requests the status of a request that got no response in time.

    An owner that has not received the request refuses it from then on.
    """

    request: RequestId
    """The attempt in question."""

    owner_incarnation: int
    """Incarnation of the owner process that the request was sent to."""

    repeated: bool = False
    """Whether an earlier status request got no response."""


class PendingResponse(
    msgspec.Struct, frozen=True, array_like=True, tag='in-hand'
):
    """Reports that a request is queued or in flight."""

    request: RequestId
    """The attempt in question."""


class CancelRequest(msgspec.Struct, frozen=True, array_like=True, tag='cancel'):
    """Cancels a request: the caller has gone or the deadline has passed."""

    request: RequestId
    """The attempt to cancel."""

    owner_incarnation: int
    """Incarnation of the owner process that the request was sent to."""


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag='crash'):
    """Reports that a request with this fingerprint crashed an upstream."""

    fingerprint: bytes
    """Digest of workspace, method, target and body."""

    upstream: str
    """Name of the upstream that crashed."""

    age: float = 0.0
    """Seconds since the request last crashed an upstream."""
