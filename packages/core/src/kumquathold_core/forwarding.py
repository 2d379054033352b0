"""Messages between an ingress and the owner of an upstream."""

from __future__ import annotations

import enum

import msgspec

from kumquathold_core.identity import RequestId

Headers = tuple[tuple[str, str], ...]

BODY_CHUNK_BYTES = 262_144


class Outcome(enum.StrEnum):
    """What is known of whether a request ran."""

    not_run = 'not-run'
    ran = 'ran'
    unknown = 'unknown'


class Refusal(enum.StrEnum):
    """Why a request was refused or failed; a stable name for callers."""

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
    """An ingress asks an owner to run a request on one of its upstreams."""

    request: RequestId
    """Names this sending."""

    owner_incarnation: int
    """The owner process meant; any other refuses."""

    deadline: float
    """End of the caller's patience, on the owner's monotonic clock."""

    config_version: int
    """Configuration by which the ingress let the request in."""

    upstream: str
    """Name of the upstream."""

    workspace: str
    """Empty on routes that are open to everyone."""

    key_id: str
    """The key's id, checked again by the owner; never the key."""

    weight: int
    """The workspace's share of the owner's turns."""

    route: str
    """Name of the route, for fingerprints and reports."""

    caller_id: str
    """The caller's own id of the request, for logs."""

    method: str
    """HTTP method."""

    target: str
    """Path and query, as the caller sent them."""

    headers: Headers
    """End-to-end headers."""

    idempotent: bool
    """Whether a second run does no harm."""

    claim: str
    """Idempotency-Key of a request that runs once, else empty."""

    crashes: int
    """Upstreams that this request has crashed so far."""

    rank: int
    """Place among waiting requests; lower goes first."""

    due_at: float
    """When its answer becomes late, on the owner's monotonic clock."""

    max_wait: float
    """Seconds for a slot above which the owner is to send it on."""

    max_risk: float
    """Risk of a failure above which the owner is to send it on."""

    body_bytes: int
    """Length of the whole body."""

    body_digest: bytes
    """BLAKE2b digest of the whole body."""

    body: bytes
    """The body's first piece."""


class BodyChunk(msgspec.Struct, frozen=True, array_like=True):
    """A further piece of a body, after the first."""

    request: RequestId
    """The request that the piece belongs to."""

    offset: int
    """Where in the body the piece starts, in bytes."""

    chunk: bytes
    """At most `BODY_CHUNK_BYTES` bytes."""


class RequestChunk(BodyChunk, frozen=True, array_like=True, tag='piece'):
    """A further piece of a request's body."""


class ResponseChunk(BodyChunk, frozen=True, array_like=True, tag='rest'):
    """A further piece of an answer's body."""


class ForwardResponse(
    msgspec.Struct, frozen=True, array_like=True, tag='answer'
):
    """An owner gives the upstream's answer."""

    request: RequestId
    """The request that it answers."""

    status: int
    """HTTP status."""

    headers: Headers
    """End-to-end headers."""

    service_seconds: float
    """From the start of the upstream call to its end."""

    queued_seconds: float
    """Time in the owner's queue."""

    backlog: int
    """Requests that ran or waited at the upstream when it answered."""

    risk: float
    """Chance that the upstream fails its next request, as its owner sees it."""

    replayed: bool
    """True where the answer is the first one to a repeated request."""

    body_bytes: int
    """Length of the whole body."""

    body_digest: bytes
    """BLAKE2b digest of the whole body."""

    body: bytes
    """The body's first piece."""


class FailureResponse(
    msgspec.Struct, frozen=True, array_like=True, tag='failed'
):
    """An owner tells that a request gave no answer."""

    request: RequestId
    """The request in question."""

    outcome: Outcome
    """Whether it ran."""

    reason: Refusal
    """Why there is no answer."""

    retry_after: float
    """Seconds after which trying again makes sense; 0 for no hint."""

    crashed: bool
    """True where the upstream's process went away during the request."""

    backlog: int = 0
    """Requests that run or wait at the upstream."""

    wait: float = 0.0
    """Seconds that a request would wait there for a slot, as expected."""

    risk: float = 0.0
    """Chance that the upstream fails its next request, as its owner sees it."""


class StatusRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='inquiry'
):
    """An ingress that heard nothing asks what became of a request.

    An owner that has not seen the request will refuse it from then on.
    """

    request: RequestId
    """The request in question."""

    owner_incarnation: int
    """The owner process that was sent the request."""

    repeated: bool = False
    """Whether the answer to an earlier inquiry did not arrive."""


class PendingResponse(
    msgspec.Struct, frozen=True, array_like=True, tag='in-hand'
):
    """An owner tells that a request waits or runs."""

    request: RequestId
    """The request in question."""


class CancelRequest(msgspec.Struct, frozen=True, array_like=True, tag='cancel'):
    """The caller has gone or its deadline has passed."""

    request: RequestId
    """The request to stop."""

    owner_incarnation: int
    """The owner process that was sent the request."""


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag='crash'):
    """A request with this fingerprint crashed an upstream."""

    fingerprint: bytes
    """Digest of workspace, method, target and body."""

    upstream: str
    """The upstream that crashed."""
