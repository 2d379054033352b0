"""The rate drawer: draws grants for the requests that this node lets in.

The nearest region's holder is asked first, then the other regions'.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from concurrent.futures import Future
from time import monotonic

import msgspec

from kumquathold_core import distribution, token_bucket
from kumquathold_core.forwarding import Refusal
from kumquathold_core.token_cache import HeldGrant, TokenCache
from kumquathold_core.wire import Envelope
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport

DRAW_TICK_SECONDS = 0.05
SHORT_WAIT_SECONDS = 0.3
RETRY_SECONDS = 1.0
ASK_PATIENCE_SECONDS = 0.25
SILENT_HOLDER_SECONDS = 0.5
NOT_HOLDER_SECONDS = 0.25
MAX_WAITING = 32
EMPTY_MEMORY_SECONDS = 1.0
IDLE_ACCOUNT_SECONDS = 5.0


class TokenRefusal(msgspec.Struct, frozen=True):
    """A request got no token."""

    reason: Refusal
    """Whether the workspace is over its rate, or no holder answers."""

    retry_after: float
    """Seconds until a token may be there."""


class AcquireCommand(msgspec.Struct, frozen=True):
    """A request needs a token."""

    workspace: str
    """Whose token."""

    reply: Future[TokenRefusal | None]
    """Nothing where it got one, else the reason."""

    patience: float
    """Seconds that it may wait."""


class RefillCommand(msgspec.Struct, frozen=True):
    """A workspace's tokens are nearly used up."""

    workspace: str
    """Whose tokens."""


class PendingGrantRequest(msgspec.Struct):
    """A question to a holder that awaits its answer."""

    holder: str
    """Peer address."""

    asked_at: float
    """Own monotonic clock, in seconds."""

    is_late: bool = False
    """Whether another holder was asked since."""


class TokenWaiter(msgspec.Struct, eq=False):
    """A request that waits for a token."""

    reply: Future[TokenRefusal | None]
    """Takes the outcome."""

    give_up_at: float
    """Own monotonic clock, in seconds."""


class WorkspaceTokens:
    """What this ingress has of one workspace's tokens."""

    __slots__ = (
        'asks',
        'blocked',
        'empty_at',
        'empty_until',
        'purse',
        'silent',
        'waiting',
    )

    def __init__(self, now: float) -> None:
        """Start with nothing."""
        self.purse = TokenCache(now)
        self.waiting: deque[TokenWaiter] = deque()
        self.asks: dict[int, PendingGrantRequest] = {}
        self.blocked: dict[str, float] = {}
        self.silent: set[str] = set()
        self.empty_at = -math.inf
        self.empty_until: dict[str, float] = {}


class RateClient:
    """Draws tokens for the requests that this node lets in."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.transport: Transport = kernel.find('transport')
        self.membership: Membership = kernel.find('membership')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        own = settings.region
        others = [one for one in settings.regions if one != own]
        self.regions = [own, *others]
        self.accounts: dict[str, WorkspaceTokens] = {}
        self.lock = threading.Lock()
        self.number = 0
        self.task = Task(
            'rate-drawer',
            {
                AcquireCommand: self.on_acquire,
                RefillCommand: self.on_refill,
                distribution.GrantResponse: self.on_grant_response,
            },
            tick=self.on_tick,
            tick_seconds=DRAW_TICK_SECONDS,
        )
        self.transport.deliver_to(self.task)
        kernel.register('rate-drawer', self)
        kernel.add_task(self.task)

    def take_at_once(self, workspace: str) -> bool:
        """Take a token that is there, on the caller's thread.

        The lock stands in for a message to the task, which would cost two
        changes of thread for each request.
        """
        now = monotonic()
        with self.lock:
            account = self._account(workspace, now)
            account.purse.note_demand(now)
            is_taken = not account.waiting and account.purse.take(now)
            is_low = is_taken and account.purse.is_low(now)
        if is_low:
            self.task.post(RefillCommand(workspace))
        return is_taken

    def on_acquire(self, wanted: AcquireCommand) -> None:
        """Let a request wait for a token, unless too many do."""
        now = monotonic()
        with self.lock:
            account = self._account(wanted.workspace, now)
            if len(account.waiting) >= MAX_WAITING:
                wanted.reply.set_result(
                    TokenRefusal(Refusal.rate_exceeded, RETRY_SECONDS),
                )
                return
            waiting = TokenWaiter(wanted.reply, now + wanted.patience)
            account.waiting.append(waiting)
            self._serve(account, now)
            self._draw_or_refuse(wanted.workspace, account, now)

    def on_refill(self, low: RefillCommand) -> None:
        """Draw ahead of the next requests."""
        now = monotonic()
        with self.lock:
            account = self._account(low.workspace, now)
            if account.purse.is_low(now):
                self._draw(low.workspace, account, now)

    def on_grant_response(
        self, envelope: Envelope[distribution.GrantResponse]
    ) -> None:
        """Take in a grant, and serve those who wait."""
        with self.lock:
            self._take_grant(envelope)

    def _take_grant(
        self, envelope: Envelope[distribution.GrantResponse]
    ) -> None:
        given = envelope.message
        account = self.accounts.get(given.workspace)
        ask = account.asks.pop(given.number, None) if account else None
        if account is None or ask is None:
            return
        now = monotonic()
        account.silent.discard(envelope.sender)
        if given.tokens:
            account.purse.add(
                HeldGrant(
                    envelope.sender,
                    given.number,
                    given.tokens,
                    ask.asked_at,
                ),
            )
        elif given.is_holder:
            account.empty_at = now
            account.blocked[envelope.sender] = now + given.retry_after
            account.empty_until[envelope.sender] = now + given.retry_after
        else:
            account.blocked[envelope.sender] = now + NOT_HOLDER_SECONDS
        self._serve(account, now)
        self._draw_or_refuse(given.workspace, account, now)

    def on_tick(self) -> None:
        """Give up, give back, report and draw again."""
        with self.lock:
            self._tick(monotonic())

    def _tick(self, now: float) -> None:
        reports: dict[str, list[distribution.GrantUsage]] = {}
        for name, account in list(self.accounts.items()):
            self._serve(account, now)
            self._expire_asks(account, now)
            self._draw_or_refuse(name, account, now)
            self._refuse_late(account, now)
            account.purse.return_idle_tokens(now)
            for holder in account.purse.list_reporting_holders():
                own = account.purse.take_reports(name, holder)
                reports.setdefault(holder, []).extend(own)
            account.purse.drop_expired(now)
            if _is_idle(account, now):
                self.accounts.pop(name)
        for holder, lots in reports.items():
            message = distribution.UsageNotice(reports=tuple(lots))
            self.transport.try_send(holder, message)

    def _account(self, workspace: str, now: float) -> WorkspaceTokens:
        account = self.accounts.get(workspace)
        if account is None:
            account = WorkspaceTokens(now)
            self.accounts[workspace] = account
        return account

    def _serve(self, account: WorkspaceTokens, now: float) -> None:
        while account.waiting and account.purse.take(now):
            account.waiting.popleft().reply.set_result(None)

    def _expire_asks(self, account: WorkspaceTokens, now: float) -> None:
        for number, ask in list(account.asks.items()):
            age = now - ask.asked_at
            if age >= token_bucket.GRANT_LIFETIME_SECONDS:
                account.asks.pop(number)
            elif age >= ASK_PATIENCE_SECONDS and not ask.is_late:
                ask.is_late = True
                self._note_silence(account, ask.holder, now)

    def _note_silence(
        self,
        account: WorkspaceTokens,
        holder: str,
        now: float,
    ) -> None:
        """Ask once more on a new connection, then leave the holder alone."""
        self.metrics.count('rates.holder_silent')
        self.transport.reset(holder)
        if holder in account.silent:
            account.blocked[holder] = now + SILENT_HOLDER_SECONDS
        account.silent.add(holder)

    def _draw_or_refuse(
        self, name: str, account: WorkspaceTokens, now: float
    ) -> None:
        """Draw for those who wait, or refuse them where all buckets are empty.

        A token that comes within `SHORT_WAIT_SECONDS` is worth waiting for.
        """
        if not account.waiting:
            return
        self._draw(name, account, now)
        holders = self._holders_of(name)
        if account.asks or not holders:
            return
        soonest = min(account.empty_until.get(one, 0.0) for one in holders)
        if soonest - now <= SHORT_WAIT_SECONDS:
            return
        while account.waiting:
            waiting = account.waiting.popleft()
            waiting.reply.set_result(
                TokenRefusal(Refusal.rate_exceeded, soonest - now),
            )

    def _holders_of(self, name: str) -> list[str]:
        group = token_bucket.rate_group_of(name, self.settings.rate_groups)
        holders = self.membership.view.holders
        found = (holders.get((region, group)) for region in self.regions)
        return [holder for holder in found if holder]

    def _refuse_late(self, account: WorkspaceTokens, now: float) -> None:
        while account.waiting and account.waiting[0].give_up_at <= now:
            is_empty = now - account.empty_at <= EMPTY_MEMORY_SECONDS
            reason = Refusal.rate_unavailable
            if is_empty:
                reason = Refusal.rate_exceeded
            waiting = account.waiting.popleft()
            waiting.reply.set_result(TokenRefusal(reason, RETRY_SECONDS))

    def _draw(self, name: str, account: WorkspaceTokens, now: float) -> None:
        if any(not ask.is_late for ask in account.asks.values()):
            return
        wanted = account.purse.count_wanted(len(account.waiting), now)
        holder = self._choose_holder(name, account, now)
        if not wanted or holder is None:
            return
        self.number += 1
        reports = account.purse.take_reports(name, holder)
        account.asks[self.number] = PendingGrantRequest(holder, now)
        self.metrics.count('rates.asked')
        asked = distribution.GrantRequest(
            number=self.number,
            workspace=name,
            wanted=wanted,
            reports=tuple(reports),
        )
        self.transport.try_send(holder, asked)

    def _choose_holder(
        self,
        name: str,
        account: WorkspaceTokens,
        now: float,
    ) -> str | None:
        for holder in self._holders_of(name):
            if account.blocked.get(holder, 0) <= now:
                return holder
        return None


def _is_idle(account: WorkspaceTokens, now: float) -> bool:
    is_busy = account.waiting or account.asks or account.purse.grants
    is_recent = now - account.purse.demand_updated_at < IDLE_ACCOUNT_SECONDS
    return not is_busy and not is_recent
