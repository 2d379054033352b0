"""Client of the rate holders: acquires tokens for admitted requests.

Tokens come in grants, which a `TokenCache` per workspace keeps and prefetches.
The holder in this node's own region is asked first, then those of the other
regions.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from concurrent.futures import Future
from time import monotonic

import msgspec

from kumquathold_core import distribution, token_bucket, token_queue
from kumquathold_core.forwarding import Refusal
from kumquathold_core.token_cache import HeldGrant, TokenCache
from kumquathold_core.token_queue import TokenRate
from kumquathold_core.wire import Envelope
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport

TICK_SECONDS = token_bucket.USAGE_REPORT_SECONDS
MAX_REFILL_WAIT_SECONDS = 0.3
DEFAULT_RETRY_AFTER_SECONDS = 1.0
GRANT_TIMEOUT_SECONDS = 0.25
UNRESPONSIVE_HOLDER_BACKOFF_SECONDS = 0.5
NOT_HOLDER_BACKOFF_SECONDS = 0.25
MAX_WAITING_REQUESTS = 32
RECENTLY_EMPTY_SECONDS = 1.0
IDLE_WORKSPACE_SECONDS = 5.0


class TokenRefusal(msgspec.Struct, frozen=True):
    """Reports that a request got no token."""

    reason: Refusal
    """Either `rate_exceeded` or, if no holder responds, `rate_unavailable`."""

    retry_after: float
    """Seconds until a token may be available."""


class AcquireCommand(msgspec.Struct, frozen=True):
    """Asks for a token for one request."""

    workspace: str
    """Name of the workspace whose rate applies."""

    reply: Future[TokenRefusal | None]
    """Set to `None` once a token is taken, else to the refusal."""

    timeout: float
    """Seconds that the request may wait."""


class RefillCommand(msgspec.Struct, frozen=True):
    """Asks to prefetch tokens for a workspace that is low on them."""

    workspace: str
    """Name of the workspace."""


class PendingGrantRequest(msgspec.Struct):
    """A grant request without a response so far."""

    holder: str
    """Peer address."""

    wanted: int
    """Tokens asked for."""

    requested_at: float
    """Own monotonic clock, in seconds, when it was sent."""

    has_timed_out: bool = False
    """Whether another holder may be asked; a late grant is still used."""


class TokenWaiter(msgspec.Struct, eq=False):
    """A request that waits for a token."""

    reply: Future[TokenRefusal | None]
    """Set to `None` once a token is taken, else to the refusal."""

    deadline: float
    """Own monotonic clock, in seconds, when the request is refused."""


class WorkspaceTokens:
    """Tokens, waiting requests and holder state of one workspace.

    Times are of the own monotonic clock, in seconds: by holder, `blocked_until`
    is when it may be asked again, `empty_until` when its bucket may have a
    token, and `empty_at` when it last granted fewer tokens than were asked for.
    """

    __slots__ = (
        'blocked_until',
        'cache',
        'empty_at',
        'empty_until',
        'granted',
        'grant_requests',
        'unresponsive_holders',
        'waiters',
    )

    def __init__(self, now: float) -> None:
        """Start without tokens."""
        self.cache = TokenCache(now)
        self.waiters: deque[TokenWaiter] = deque()
        self.grant_requests: dict[int, PendingGrantRequest] = {}
        self.blocked_until: dict[str, float] = {}
        self.unresponsive_holders: set[str] = set()
        self.empty_at: dict[str, float] = {}
        self.granted = TokenRate(now)
        self.empty_until: dict[str, float] = {}


class RateClient:
    """Acquires tokens for the requests that this node admits."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.transport: Transport = kernel.find('transport')
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        own = settings.region
        others = [region for region in settings.regions if region != own]
        self.regions = [own, *others]
        self.workspaces: dict[str, WorkspaceTokens] = {}
        self.lock = threading.Lock()
        self.last_number = 0
        self.task = Task(
            'rate-drawer',
            {
                AcquireCommand: self.on_acquire,
                RefillCommand: self.on_refill,
                distribution.GrantResponse: self.on_grant_response,
            },
            tick=self.on_tick,
            tick_seconds=TICK_SECONDS,
        )
        self.transport.deliver_to(self.task)
        kernel.register('rate-client', self)
        kernel.add_task(self.task)

    def try_take(self, workspace: str) -> bool:
        """Take a cached token without waiting; return false if there is none.

        Runs on the calling thread under a lock: a message to the task would
        cost two thread switches per request.
        """
        now = monotonic()
        with self.lock:
            tokens = self._get_tokens(workspace, now)
            tokens.cache.record_demand(now)
            has_token = not tokens.waiters and tokens.cache.take(now)
            is_low = has_token and tokens.cache.is_low(now)
        if is_low:
            self.task.post(RefillCommand(workspace))
        return has_token

    def on_acquire(self, command: AcquireCommand) -> None:
        """Let a request wait for a token, unless too many already wait."""
        now = monotonic()
        with self.lock:
            tokens = self._get_tokens(command.workspace, now)
            if not self._may_wait(command, tokens, now):
                position = len(tokens.waiters) + 1
                retry_after = token_queue.estimate_wait(
                    position,
                    tokens.granted.estimate(now),
                    DEFAULT_RETRY_AFTER_SECONDS,
                )
                command.reply.set_result(
                    TokenRefusal(Refusal.rate_exceeded, retry_after),
                )
                return
            waiter = TokenWaiter(command.reply, now + command.timeout)
            tokens.waiters.append(waiter)
            self._serve_waiters(tokens, now)
            self._request_or_refuse(command.workspace, tokens, now)

    def _may_wait(
        self, command: AcquireCommand, tokens: WorkspaceTokens, now: float
    ) -> bool:
        """Whether a request may wait, or is to be refused at once."""
        position = len(tokens.waiters) + 1
        if position > MAX_WAITING_REQUESTS:
            return False
        holders = self._list_holders(command.workspace)
        is_short = bool(holders) and all(
            now - tokens.empty_at.get(holder, -math.inf)
            <= RECENTLY_EMPTY_SECONDS
            for holder in holders
        )
        rate = tokens.granted.estimate(now)
        return not is_short or token_queue.may_wait(
            position, rate, command.timeout
        )

    def on_refill(self, command: RefillCommand) -> None:
        """Prefetch tokens for the next requests."""
        now = monotonic()
        with self.lock:
            tokens = self._get_tokens(command.workspace, now)
            if tokens.cache.is_low(now):
                self._request_grant(command.workspace, tokens, now)

    def on_grant_response(
        self, envelope: Envelope[distribution.GrantResponse]
    ) -> None:
        """Add the granted tokens, and serve waiting requests."""
        with self.lock:
            self._apply_response(envelope)

    def _apply_response(
        self, envelope: Envelope[distribution.GrantResponse]
    ) -> None:
        response = envelope.message
        tokens = self.workspaces.get(response.workspace)
        request = (
            tokens.grant_requests.pop(response.number, None) if tokens else None
        )
        if tokens is None or request is None:
            return
        now = monotonic()
        tokens.unresponsive_holders.discard(envelope.sender)
        tokens.granted.record(response.tokens, now)
        if response.is_holder and response.tokens < request.wanted:
            tokens.empty_at[envelope.sender] = now
        if response.tokens:
            tokens.cache.add(
                HeldGrant(
                    envelope.sender,
                    response.number,
                    response.tokens,
                    request.requested_at,
                ),
            )
        elif response.is_holder:
            tokens.blocked_until[envelope.sender] = now + response.retry_after
            tokens.empty_until[envelope.sender] = now + response.retry_after
        else:
            tokens.blocked_until[envelope.sender] = (
                now + NOT_HOLDER_BACKOFF_SECONDS
            )
        self._serve_waiters(tokens, now)
        self._request_or_refuse(response.workspace, tokens, now)
        if not tokens.waiters and not tokens.cache.count(now):
            self._report_usage(response.workspace, tokens, envelope.sender)

    def _report_usage(
        self, name: str, tokens: WorkspaceTokens, holder: str
    ) -> None:
        """Report at once: a small bucket refills only after that."""
        usage = tokens.cache.take_reports(name, holder)
        if usage:
            message = distribution.UsageNotice(reports=tuple(usage))
            self.transport.try_send(holder, message)

    def on_tick(self) -> None:
        """Serve or refuse waiting requests, then return and report tokens."""
        with self.lock:
            self._tick(monotonic())

    def _tick(self, now: float) -> None:
        reports: dict[str, list[distribution.GrantUsage]] = {}
        for name, tokens in list(self.workspaces.items()):
            self._serve_waiters(tokens, now)
            self._expire_grant_requests(tokens, now)
            self._request_or_refuse(name, tokens, now)
            self._refuse_expired(tokens, now)
            tokens.cache.return_idle_tokens(now)
            for holder in tokens.cache.list_reporting_holders():
                usage = tokens.cache.take_reports(name, holder)
                reports.setdefault(holder, []).extend(usage)
            tokens.cache.drop_expired(now)
            if _is_idle(tokens, now):
                self.workspaces.pop(name)
        for holder, usage in reports.items():
            message = distribution.UsageNotice(reports=tuple(usage))
            self.transport.try_send(holder, message)

    def _get_tokens(self, workspace: str, now: float) -> WorkspaceTokens:
        tokens = self.workspaces.get(workspace)
        if tokens is None:
            tokens = WorkspaceTokens(now)
            self.workspaces[workspace] = tokens
        return tokens

    def _serve_waiters(self, tokens: WorkspaceTokens, now: float) -> None:
        while tokens.waiters and tokens.cache.take(now):
            tokens.waiters.popleft().reply.set_result(None)

    def _expire_grant_requests(
        self, tokens: WorkspaceTokens, now: float
    ) -> None:
        for number, request in list(tokens.grant_requests.items()):
            age = now - request.requested_at
            if age >= token_bucket.GRANT_LIFETIME_SECONDS:
                tokens.grant_requests.pop(number)
            elif age >= GRANT_TIMEOUT_SECONDS and not request.has_timed_out:
                request.has_timed_out = True
                self._record_timeout(tokens, request.holder, now)

    def _record_timeout(
        self,
        tokens: WorkspaceTokens,
        holder: str,
        now: float,
    ) -> None:
        """Reset the connection; after a second timeout, avoid the holder."""
        self.metrics.count('rates.holder_silent')
        self.transport.reset(holder)
        if holder in tokens.unresponsive_holders:
            tokens.blocked_until[holder] = (
                now + UNRESPONSIVE_HOLDER_BACKOFF_SECONDS
            )
        tokens.unresponsive_holders.add(holder)

    def _request_or_refuse(
        self, name: str, tokens: WorkspaceTokens, now: float
    ) -> None:
        """Request tokens for waiting requests, or refuse them.

        They are refused if every holder has reported an empty bucket, unless
        the next token is due within `MAX_REFILL_WAIT_SECONDS`.
        """
        if not tokens.waiters:
            return
        self._request_grant(name, tokens, now)
        holders = self._list_holders(name)
        if tokens.grant_requests or not holders:
            return
        soonest = min(tokens.empty_until.get(holder, 0.0) for holder in holders)
        if soonest - now <= MAX_REFILL_WAIT_SECONDS:
            return
        while tokens.waiters:
            waiter = tokens.waiters.popleft()
            waiter.reply.set_result(
                TokenRefusal(Refusal.rate_exceeded, soonest - now),
            )

    def _list_holders(self, name: str) -> list[str]:
        group = token_bucket.rate_group_of(name, self.settings.rate_groups)
        holders = self.membership.view.holders
        found = (holders.get((region, group)) for region in self.regions)
        return [holder for holder in found if holder]

    def _refuse_expired(self, tokens: WorkspaceTokens, now: float) -> None:
        """Refuse the requests that have waited until their deadline.

        If no holder reported an empty bucket within `RECENTLY_EMPTY_SECONDS`,
        the cause is taken to be that no holder responds.
        """
        while tokens.waiters and tokens.waiters[0].deadline <= now:
            emptied_at = max(tokens.empty_at.values(), default=-math.inf)
            is_empty = now - emptied_at <= RECENTLY_EMPTY_SECONDS
            reason = Refusal.rate_unavailable
            if is_empty:
                reason = Refusal.rate_exceeded
            waiter = tokens.waiters.popleft()
            waiter.reply.set_result(
                TokenRefusal(reason, DEFAULT_RETRY_AFTER_SECONDS)
            )

    def _request_grant(
        self, name: str, tokens: WorkspaceTokens, now: float
    ) -> None:
        if any(
            not request.has_timed_out
            for request in tokens.grant_requests.values()
        ):
            return
        wanted = tokens.cache.count_wanted(len(tokens.waiters), now)
        holder = self._choose_holder(name, tokens, now)
        if not wanted or holder is None:
            return
        self.last_number += 1
        reports = tokens.cache.take_reports(name, holder)
        tokens.grant_requests[self.last_number] = PendingGrantRequest(
            holder, wanted, now
        )
        self.metrics.count('rates.asked')
        request = distribution.GrantRequest(
            number=self.last_number,
            workspace=name,
            wanted=wanted,
            reports=tuple(reports),
        )
        self.transport.try_send(holder, request)

    def _choose_holder(
        self,
        name: str,
        tokens: WorkspaceTokens,
        now: float,
    ) -> str | None:
        for holder in self._list_holders(name):
            if tokens.blocked_until.get(holder, 0) <= now:
                return holder
        return None


def _is_idle(tokens: WorkspaceTokens, now: float) -> bool:
    is_busy = tokens.waiters or tokens.grant_requests or tokens.cache.grants
    is_recent = now - tokens.cache.demand_updated_at < IDLE_WORKSPACE_SECONDS
    return not is_busy and not is_recent
