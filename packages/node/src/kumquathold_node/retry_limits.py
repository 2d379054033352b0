"""Limits the retries that reach the upstreams beside this node.

The fleet's retry budget of a service is divided among its upstreams, and the
owner of each one keeps its part. Requests of all ingresses meet there, so the
parts are used up far more evenly than if each ingress had one: with hundreds of
nodes, an ingress would have less than one retry in a window. An ingress whose
retry is refused tries the owners of other upstreams.
"""

from __future__ import annotations

from collections import Counter
from time import monotonic

from kumquathold_core.forwarding import ForwardRequest
from kumquathold_core.retries import RetryBudget
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership import FleetView, Membership
from kumquathold_node.owner_requests import Upstream
from kumquathold_node.settings import Settings

CALLS_SHARE = 0.25
"""Part of the fixed number of retries that is left to nested calls.

A retried request repeats its nested calls, which reach their services as first
attempts.
"""

PEER_DISCOVERY_SECONDS = 2.0
"""Uptime from which a node that knows no peer counts as alone."""


class RetryLimits:
    """The retry budgets of the upstreams beside this node.

    Not thread-safe: only the owner's task may call it.
    """

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses."""
        self.membership: Membership = kernel.find('membership')
        self.ratio = settings.retry_ratio
        self.extra = settings.retry_extra * (1 - CALLS_SHARE)
        self.window = settings.retry_window
        self.started_at = monotonic()
        self.counted_view: FleetView | None = None
        self.upstream_counts: Counter[str] = Counter()

    def admit(self, upstream: Upstream, message: ForwardRequest) -> bool:
        """Return whether a request may go to an upstream.

        A first attempt may, and adds to the upstream's budget. A retry uses up
        a part of it, and is refused if none is left.
        """
        if upstream.retry_budget is None:
            upstream.retry_budget = RetryBudget(self.ratio)
        budget = upstream.retry_budget
        upstreams = max(self._count_upstreams()[upstream.record.service], 1)
        budget.set_limits(
            self.extra / upstreams,
            self.window,
            settled=self._is_settled(),
        )
        if message.is_retry:
            return budget.spend()
        budget.earn(monotonic())
        return True

    def _count_upstreams(self) -> Counter[str]:
        """Return the number of upstreams in the fleet, by service."""
        view = self.membership.view
        if view is not self.counted_view:
            self.counted_view = view
            self.upstream_counts = Counter(
                upstream.service
                for node in view.nodes
                for upstream in node.upstreams
                if not upstream.leaving
            )
        return self.upstream_counts

    def _is_settled(self) -> bool:
        """Whether the node knows the fleet well enough to know its part."""
        is_old = monotonic() - self.started_at >= PEER_DISCOVERY_SECONDS
        return is_old or len(self.membership.view.nodes) > 1
