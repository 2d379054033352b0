"""Token buckets of the rate groups that this node holds.

Ingresses request grants of tokens and report what they used of them.
"""

from __future__ import annotations

from concurrent.futures import Future
from typing import Any

import msgspec

from kumquathold_core import distribution, token_bucket
from kumquathold_core.token_bucket import TokenBucket
from kumquathold_core.wire import Envelope
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.metrics import Metrics
from kumquathold_node.process_clock import read_boot_clock
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport

MAX_RETRY_AFTER_SECONDS = 1.0
IDLE_CHECK_SECONDS = 5.0


class HoldGroupsCommand(msgspec.Struct, frozen=True):
    """Sets the groups that this node may grant tokens from."""

    ready_at: dict[int, float]
    """Per group: own boot clock, in seconds, when its buckets start."""

    valid_until: float
    """Own boot clock, in seconds, until when grants are allowed."""

    done: Future[None]
    """Set when the holder has applied it."""


class RateHolder:
    """Grants tokens from the buckets of the groups that this node holds."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.transport: Transport = kernel.find('transport')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        self.ready_at: dict[int, float] = {}
        self.valid_until = 0.0
        self.buckets: dict[str, TokenBucket] = {}
        self.task = Task(
            'rate-holder',
            {
                distribution.GrantRequest: self.on_grant_request,
                distribution.UsageNotice: self.on_usage_notice,
                HoldGroupsCommand: self.on_hold_groups,
            },
            tick=self.drop_idle_buckets,
            tick_seconds=IDLE_CHECK_SECONDS,
            on_failure=self.refuse_unhandled,
        )
        self.transport.deliver_to(self.task)
        kernel.register('rate-holder', self)
        kernel.add_task(self.task)

    def on_hold_groups(self, command: HoldGroupsCommand) -> None:
        """Apply the groups and their validity.

        The buckets of groups that are no longer held, or start anew, are
        dropped.
        """
        for name in list(self.buckets):
            group = self._group_of(name)
            if self.ready_at.get(group) != command.ready_at.get(group):
                self.buckets.pop(name)
        self.ready_at = command.ready_at
        self.valid_until = command.valid_until
        command.done.set_result(None)

    def on_grant_request(
        self, envelope: Envelope[distribution.GrantRequest]
    ) -> None:
        """Grant the tokens that are available, up to the number wanted."""
        request = envelope.message
        self._apply_reports(envelope, request.reports)
        now = read_boot_clock()
        bucket = self._get_bucket(request.workspace, now)
        tokens = 0
        retry_after = 0.0
        if bucket is not None:
            grant_id = _make_grant_id(envelope, request.number)
            tokens = bucket.grant(grant_id, request.wanted, now)
            retry_after = 0.0 if tokens else bucket.estimate_token_wait(now)
        self.metrics.count('rates.granted', tokens)
        response = distribution.GrantResponse(
            number=request.number,
            workspace=request.workspace,
            tokens=tokens,
            retry_after=min(retry_after, MAX_RETRY_AFTER_SECONDS),
            is_holder=bucket is not None,
        )
        self.transport.try_send(envelope.sender, response)

    def refuse_unhandled(self, failed: Any) -> None:
        """Refuse a request for tokens whose handler raised an exception.

        Without a reply, the ingress would wait for one until its timeout.
        """
        is_from_peer = isinstance(failed, Envelope)
        if not is_from_peer:
            return
        request = failed.message
        if isinstance(request, distribution.GrantRequest):
            self.metrics.count('rates.failed')
            response = distribution.GrantResponse(
                request.number, request.workspace, 0, 0.0, is_holder=False
            )
            self.transport.try_send(failed.sender, response)

    def on_usage_notice(
        self, envelope: Envelope[distribution.UsageNotice]
    ) -> None:
        """Apply the reported usage of grants."""
        self._apply_reports(envelope, envelope.message.reports)

    def drop_idle_buckets(self) -> None:
        """Drop full buckets; one that is needed again is created full."""
        now = read_boot_clock()
        for name, bucket in list(self.buckets.items()):
            if bucket.is_idle(now):
                self.buckets.pop(name)

    def _apply_reports(
        self,
        envelope: Envelope[Any],
        reports: tuple[distribution.GrantUsage, ...],
    ) -> None:
        now = read_boot_clock()
        for report in reports:
            bucket = self.buckets.get(report.workspace)
            if bucket is not None:
                bucket.apply_usage(
                    _make_grant_id(envelope, report.number), report, now
                )

    def _get_bucket(self, name: str, now: float) -> TokenBucket | None:
        ready_at = self.ready_at.get(self._group_of(name))
        workspace = self.configuration.current.rules.workspaces.get(name)
        if ready_at is None or workspace is None:
            return None
        if not ready_at <= now < self.valid_until:
            return None
        limit = token_bucket.region_limit_of(
            workspace,
            self.settings.region,
            self.settings.regions,
        )
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = TokenBucket(limit, ready_at)
            self.buckets[name] = bucket
        if bucket.limit != limit:
            bucket.change_limit(limit, now)
        return bucket

    def _group_of(self, workspace: str) -> int:
        return token_bucket.rate_group_of(workspace, self.settings.rate_groups)


def _make_grant_id(
    envelope: Envelope[Any], number: int
) -> tuple[str, int, int]:
    return envelope.sender, envelope.incarnation, number
