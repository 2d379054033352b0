"""Decides whether an owner takes a request, runs it later, or refuses it.

Not thread-safe: only the owner's task may call it.
"""

from __future__ import annotations

import math
from time import monotonic

from kumquathold_core import admission
from kumquathold_core.forwarding import ForwardRequest, Refusal
from kumquathold_node import owner_statements
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.crash_reports import CrashReports
from kumquathold_node.kernel import Kernel
from kumquathold_node.location_policy import LocationPolicy
from kumquathold_node.owner_requests import OwnerRequest, Upstream
from kumquathold_node.retry_limits import RetryLimits
from kumquathold_node.settings import Settings
from kumquathold_node.upstream_roster import UpstreamRoster


class OwnerAdmission:
    """Checks requests against the rules, the load and the retry budget."""

    def __init__(
        self,
        kernel: Kernel,
        settings: Settings,
        roster: UpstreamRoster,
        crash_reports: CrashReports,
    ) -> None:
        """Look up the services that it uses."""
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.retry_limits = RetryLimits(kernel, settings)
        self.location = LocationPolicy(kernel, settings)
        self.roster = roster
        self.crash_reports = crash_reports
        self.drain_end_at = math.inf
        """When the draining node ends, in seconds of the monotonic clock."""

    @property
    def is_draining(self) -> bool:
        """Whether the node refuses new requests."""
        return math.isfinite(self.drain_end_at)

    def find_refusal(self, request: OwnerRequest) -> Refusal | None:
        """Return why a new request is refused, `None` to queue it.

        A request that is not refused counts against the retry budget.
        """
        message = request.message
        now = monotonic()
        upstream = self.roster.upstreams.get(message.upstream)
        if now >= message.deadline:
            return Refusal.deadline_passed
        if self.is_draining:
            return Refusal.node_leaving
        if upstream is None or upstream.record.leaving:
            return Refusal.upstream_leaving
        refusal = self.find_withdrawal(message)
        if refusal is not None:
            return refusal
        if self.crash_reports.is_refused(request):
            return Refusal.crashes_upstreams
        if owner_statements.adopt_statement(upstream, message, now):
            self.roster.record_limit(upstream)
        refusal = _find_overload(upstream, request, now)
        if refusal is None and not self.retry_limits.admit(upstream, message):
            return Refusal.retry_budget
        return refusal

    def find_withdrawal(self, message: ForwardRequest) -> Refusal | None:
        """Return why the rules in force do not let a request run here.

        They may have changed since it was sent, and while it waits.
        """
        if self._is_key_withdrawn(message):
            return Refusal.key_unknown
        return self.location.find_refusal(message)

    def _is_key_withdrawn(self, message: ForwardRequest) -> bool:
        current = self.configuration.current
        if not message.key_id or current.version < message.config_version:
            return False
        key = current.rules.keys.get(message.key_id)
        return key is None or key.workspace != message.workspace


def _find_overload(
    upstream: Upstream, request: OwnerRequest, now: float
) -> Refusal | None:
    message = request.message
    load = upstream.measure_load(
        now, upstream.queue.count_ahead_of(message.rank)
    )
    return admission.find_refusal(
        load,
        seconds_left=message.deadline - now,
        idempotent=message.idempotent,
        max_wait=message.max_wait,
        max_risk=message.max_risk,
        longest_wait=upstream.find_longest_wait(request, now),
    )
