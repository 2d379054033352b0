"""What the ingress and its balancer pass to each other."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kumquathold_core.candidates import Candidate
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.permitted_regions import PermittedRegions
from kumquathold_core.placement import CostParts, RankedCandidate
from kumquathold_core.rules import Service
from kumquathold_core.upstream_statements import UpstreamStatement
from kumquathold_node.membership import FleetView


class Selection(msgspec.Struct, frozen=True):
    """The upstream selected for one attempt."""

    candidate: Candidate
    """The upstream and its owner."""

    is_trial: bool
    """Whether the upstream is ejected and gets this as a trial request."""

    max_wait: float
    """Seconds of wait for a slot above which the owner returns the request."""

    max_risk: float
    """Risk of failure above which the owner returns the request."""

    slow_limit: float
    """Seconds above which a response counts as a bad outcome."""

    statement: UpstreamStatement | None = None
    """The latest statement of the upstream that this node knows."""


class OwnerReport(msgspec.Struct, frozen=True):
    """Load of an upstream, as its owner reported it with a response."""

    backlog: int
    """Requests running or queued at the upstream."""

    risk: float
    """Owner's estimate of the chance that the next request fails."""

    wait: float = 0.0
    """Seconds until the owner expects to start a further request."""

    statement: UpstreamStatement | None = None
    """What the upstream states about itself, if the owner knows."""

    limit: float | None = None
    """Requests a second that the upstream takes now, if limited."""


class SelectionRequest(msgspec.Struct):
    """The properties of a request by which its upstream is selected."""

    service: Service
    """The service that the request is for."""

    route: str
    """Name of the route."""

    idempotent: bool
    """Whether the request can safely run more than once."""

    caller_id: str
    """Request id given by the caller, for logs."""

    objective: float
    """Latency objective, in seconds."""

    may_send_trial: bool = False
    """Whether a retry is left on failure, so that it may be a trial request."""

    regions: PermittedRegions = None
    """Regions that may serve the request; `None` for all."""

    tried: set[str] = msgspec.field(default_factory=set)
    """Upstreams that earlier attempts may have reached."""

    without_budget: set[str] = msgspec.field(default_factory=set)
    """Upstreams whose owners had no retry left for the request."""

    refused_by: list[str] = msgspec.field(default_factory=list)
    """Upstreams whose owners returned the request without running it."""


class ServiceView(msgspec.Struct, frozen=True):
    """The upstreams of one service that accept requests."""

    candidates: tuple[Candidate, ...]
    """The ready upstreams that do not drain and whose nodes do not drain."""

    slots: dict[str, int]
    """Number of slots, by upstream."""

    @classmethod
    def from_candidates(cls, candidates: list[Candidate]) -> ServiceView:
        """Make the view of some upstreams of one service."""
        slots = {one.upstream: one.slots for one in candidates}
        return cls(candidates=tuple(candidates), slots=slots)

    def restrict(self, is_allowed: Callable[[Candidate], bool]) -> ServiceView:
        """Return the view of those upstreams that are allowed."""
        return ServiceView.from_candidates(
            [one for one in self.candidates if is_allowed(one)]
        )


class PreviewedCandidate(msgspec.Struct, frozen=True):
    """An upstream that a request could go to, with its cost."""

    candidate: Candidate
    """The upstream."""

    parts: CostParts
    """Its cost, by cause."""

    total: float
    """The whole cost."""

    risk: float
    """Probability that the upstream fails the request."""

    report_age: float | None
    """Seconds since its load was reported, none if it never was."""


class LeftOutCandidate(msgspec.Struct, frozen=True):
    """An upstream that a request would not go to."""

    candidate: Candidate
    """The upstream."""

    reason: str
    """Why it is left out."""


class PlacementPreview(msgspec.Struct, frozen=True):
    """How a request would be placed, without sending it."""

    candidates: tuple[PreviewedCandidate, ...]
    """The upstreams that it could go to, cheapest first."""

    left_out: tuple[LeftOutCandidate, ...]
    """The others."""

    @classmethod
    def from_parts(
        cls,
        view: ServiceView,
        ranked: list[RankedCandidate],
        reasons: dict[str, str],
        loads: dict[str, LoadEstimate],
        now: float,
    ) -> PlacementPreview:
        """Make the preview of a service, sorted by cost.

        `reasons` says why upstreams are left out, empty for the others.
        """
        in_scope = {one.candidate.upstream for one in ranked}
        return cls(
            candidates=tuple(
                _preview(one, loads[one.candidate.upstream], now)
                for one in sorted(ranked, key=lambda one: one.parts.total)
            ),
            left_out=tuple(
                LeftOutCandidate(
                    one, reasons[one.upstream] or 'outside the zones allowed'
                )
                for one in view.candidates
                if one.upstream not in in_scope
            ),
        )


def _preview(
    ranked: RankedCandidate, load: LoadEstimate, now: float
) -> PreviewedCandidate:
    is_reported = load.reported_at > 0
    return PreviewedCandidate(
        candidate=ranked.candidate,
        parts=ranked.parts,
        total=ranked.parts.total,
        risk=load.risk_at(now),
        report_age=now - load.reported_at if is_reported else None,
    )


def group_by_service(view: FleetView) -> dict[str, ServiceView]:
    """Return the upstreams that accept requests, by service."""
    found: dict[str, list[Candidate]] = {}
    for node in view.nodes:
        for upstream in node.upstreams:
            if node.leaving or upstream.leaving or not upstream.ready:
                continue
            candidate = Candidate(
                upstream=upstream.name,
                owner=node.address,
                zone=node.zone,
                region=node.region,
                slots=upstream.slots,
                lifetime=upstream.lifetime,
                limit=upstream.limit,
            )
            found.setdefault(upstream.service, []).append(candidate)
    return {
        name: ServiceView.from_candidates(candidates)
        for name, candidates in found.items()
    }
