"""The rate holder: grants the tokens of the groups that this node holds."""

from __future__ import annotations

from concurrent.futures import Future
from time import monotonic
from typing import Any

import msgspec

from kumquathold_core import distribution, token_bucket
from kumquathold_core.token_bucket import TokenBucket
from kumquathold_core.wire import Envelope
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport

MAX_BLOCK_SECONDS = 1.0
FORGET_SECONDS = 5.0


class HoldGroupsCommand(msgspec.Struct, frozen=True):
    """The groups that this node may grant from changed."""

    ready_at: dict[int, float]
    """When each group's tokens begin to come, by the monotonic clock."""

    valid_until: float
    """When the lease surely still stands, by the monotonic clock."""

    done: Future[None]
    """Set once the holder goes by it."""


class RateHolder:
    """Owns the buckets of the groups that this node holds."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
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
            tick=self.forget_idle,
            tick_seconds=FORGET_SECONDS,
        )
        self.transport.deliver_to(self.task)
        kernel.register('rate-holder', self)
        kernel.add_task(self.task)

    def on_hold_groups(self, changed: HoldGroupsCommand) -> None:
        """Go by new groups or a later end of the lease."""
        self.ready_at = changed.ready_at
        self.valid_until = changed.valid_until
        for name in list(self.buckets):
            if self._group(name) not in self.ready_at:
                self.buckets.pop(name)
        changed.done.set_result(None)

    def on_grant_request(
        self, envelope: Envelope[distribution.GrantRequest]
    ) -> None:
        """Grant what is there."""
        asked = envelope.message
        self._take_reports(envelope, asked.reports)
        now = monotonic()
        bucket = self._bucket(asked.workspace, now)
        tokens = 0
        retry_after = 0.0
        if bucket is not None:
            asker = _asker(envelope, asked.number)
            tokens = bucket.grant(asker, asked.wanted, now)
            retry_after = 0.0 if tokens else bucket.estimate_token_wait(now)
        self.metrics.count('rates.granted', tokens)
        given = distribution.GrantResponse(
            number=asked.number,
            workspace=asked.workspace,
            tokens=tokens,
            retry_after=min(retry_after, MAX_BLOCK_SECONDS),
            is_holder=bucket is not None,
        )
        self.transport.try_send(envelope.sender, given)

    def on_usage_notice(
        self, envelope: Envelope[distribution.UsageNotice]
    ) -> None:
        """Take in what became of grants."""
        self._take_reports(envelope, envelope.message.reports)

    def forget_idle(self) -> None:
        """Drop full buckets; they are made full again when asked for."""
        now = monotonic()
        for name, bucket in list(self.buckets.items()):
            if bucket.is_idle(now):
                self.buckets.pop(name)

    def _take_reports(
        self,
        envelope: Envelope[Any],
        reports: tuple[distribution.GrantUsage, ...],
    ) -> None:
        now = monotonic()
        for report in reports:
            bucket = self.buckets.get(report.workspace)
            if bucket is not None:
                bucket.apply_usage(_asker(envelope, report.number), report, now)

    def _bucket(self, name: str, now: float) -> TokenBucket | None:
        ready_at = self.ready_at.get(self._group(name))
        workspace = self.configuration.current.rules.workspaces.get(name)
        if ready_at is None or workspace is None:
            return None
        if not ready_at <= now < self.valid_until:
            return None
        share = token_bucket.region_limit_of(
            workspace,
            self.settings.region,
            self.settings.regions,
        )
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = TokenBucket(share, ready_at)
            self.buckets[name] = bucket
        if bucket.limit != share:
            bucket.change_limit(share, now)
        return bucket

    def _group(self, workspace: str) -> int:
        return token_bucket.rate_group_of(workspace, self.settings.rate_groups)


def _asker(envelope: Envelope[Any], number: int) -> tuple[str, int, int]:
    return envelope.sender, envelope.incarnation, number
