"""Rates: who holds a group's tokens, and how an ingress draws them.

`RateElection` agrees with the platform which groups this node holds,
`RateHolder` keeps their buckets, and `RateDrawer` draws grants for the
requests that this node lets in, from the nearest region's holder first.
"""

from __future__ import annotations

import math
import threading
from collections import deque
from concurrent.futures import Future
from time import monotonic
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from kumquathold_core import buckets, members, platform_keys, sharing
from kumquathold_core.buckets import Bucket
from kumquathold_core.purse import DrawnLot, Purse
from kumquathold_core.work import Refusal
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.membership import GroupsHeld, Membership
from kumquathold_node.metrics import Metrics
from kumquathold_node.platform import (
    Lease,
    Platform,
    PlatformError,
    Stored,
    Write,
)
from kumquathold_node.settings import Settings
from kumquathold_node.transport import Transport

if TYPE_CHECKING:
    from kumquathold_core.wire import Envelope

ELECTION_SECONDS = 0.5
READ_AGAIN_SECONDS = 2.0
KEEP_ALIVES_PER_TERM = 6
MAX_KEEP_ALIVE_SECONDS = 60.0
WRITES_PER_SWAP = 48
DRAW_TICK_SECONDS = 0.05
TOKEN_WAIT_SECONDS = 0.5
ASK_PATIENCE_SECONDS = 0.25
SILENT_HOLDER_SECONDS = 0.5
NOT_HOLDER_SECONDS = 0.25
MAX_BLOCK_SECONDS = 1.0
MAX_WAITING = 8
EMPTY_MEMORY_SECONDS = 1.0
FORGET_SECONDS = 5.0
IDLE_ACCOUNT_SECONDS = 5.0
STOP_SECONDS = 2.0


class HolderRecord(msgspec.Struct, frozen=True):
    """Who holds a group, as the platform keeps it."""

    address: str
    """Peer address."""

    incarnation: int
    """The holder's process."""

    layout: str
    """Regions and number of groups; equal on all nodes."""


class GroupsChanged(msgspec.Struct, frozen=True):
    """The groups that this node may grant from changed."""

    ready_at: dict[int, float]
    """When each group's tokens begin to come, by the monotonic clock."""

    valid_until: float
    """When the lease surely still stands, by the monotonic clock."""

    done: Future[None]
    """Set once the holder goes by it."""


class TokenWanted(msgspec.Struct, frozen=True):
    """A request needs a token."""

    workspace: str
    """Whose token."""

    reply: Future[Refusal | None]
    """Nothing where it got one, else the reason."""


class PurseLow(msgspec.Struct, frozen=True):
    """A workspace's tokens are nearly used up."""

    workspace: str
    """Whose tokens."""


def describe_layout(settings: Settings) -> str:
    """What all nodes must agree on for the parts to add up."""
    return f'{",".join(settings.regions)}/{settings.rate_groups}'


class RateElection:
    """Agrees with the platform which groups this node holds."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.platform: Platform = kernel.find('platform')
        self.membership: Membership = kernel.find('membership')
        self.transport: Transport = kernel.find('transport')
        self.holder: RateHolder = kernel.find('rate-holder')
        self.metrics: Metrics = kernel.find('metrics')
        self.settings = settings
        self.layout = describe_layout(settings)
        self.lease: Lease | None = None
        self.valid_until = 0.0
        self.kept_alive_at = 0.0
        self.read_at = -READ_AGAIN_SECONDS
        self.ready_at: dict[int, float] = {}
        self.is_stopping = False
        self.task = Task(
            'rate-election',
            {},
            tick=self.check,
            tick_seconds=ELECTION_SECONDS,
        )
        kernel.register('rate-election', self)
        kernel.add_task(self.task)

    def check(self) -> None:
        """Keep the lease alive, and take groups that nobody holds."""
        if self.is_stopping:
            return
        try:
            self._keep_alive()
            self._take_free_groups()
        except PlatformError as error:
            self.metrics.count('rates.store_unavailable')
            logger.debug('rate election waits', cause=str(error))

    def hand_back(self) -> None:
        """Stop granting, then free the groups for other nodes."""
        self.is_stopping = True
        self.ready_at = {}
        self._publish()
        if self.lease is None:
            return
        try:
            self.platform.revoke_lease(self.lease.id)
        except PlatformError as error:
            logger.warning('rate lease not handed back', cause=str(error))

    def _keep_alive(self) -> None:
        if self.lease is None:
            return
        now = monotonic()
        interval = min(
            self.settings.rate_term / KEEP_ALIVES_PER_TERM,
            MAX_KEEP_ALIVE_SECONDS,
        )
        if now - self.kept_alive_at < interval:
            return
        kept = self.platform.keep_alive(self.lease.id)
        if kept.seconds <= 0:
            self._lose_lease()
            return
        self.kept_alive_at = now
        self.valid_until = now + kept.seconds
        self._publish()

    def _lose_lease(self) -> None:
        logger.warning('rate lease ended', groups=len(self.ready_at))
        self.metrics.count('rates.lease_lost')
        self.lease = None
        self.ready_at = {}
        self._publish()

    def _take_free_groups(self) -> None:
        now = monotonic()
        if now - self.read_at < READ_AGAIN_SECONDS:
            return
        wanted = self._preferred_free_groups()
        if not wanted:
            return
        self.read_at = now
        prefix = platform_keys.rate_prefix(self.settings.region)
        stored = self.platform.read_prefix(prefix).found
        by_key = {one.key: one for one in stored}
        writes = [
            self._make_write(group, by_key)
            for group in wanted
            if self._is_free(group, by_key)
        ]
        for start in range(0, len(writes), WRITES_PER_SWAP):
            self._take(writes[start : start + WRITES_PER_SWAP])

    def _preferred_free_groups(self) -> list[int]:
        view = self.membership.view
        region = self.settings.region
        nodes = [
            node
            for node in view.nodes
            if node.region == region and not node.leaving
        ]
        return [
            group
            for group in range(self.settings.rate_groups)
            if (region, group) not in view.holders
            and members.rank_nodes(nodes, f'group {group}')[0].address
            == self.settings.peer
        ]

    def _is_free(self, group: int, stored: dict[str, Stored]) -> bool:
        found = stored.get(self._key(group))
        if found is None:
            return True
        record = msgspec.json.decode(found.value, type=HolderRecord)
        if record.layout != self.layout:
            logger.error(
                'rate layout differs',
                other=record.layout,
                own=self.layout,
            )
            return False
        # Binding the address proves that the earlier process is gone.
        is_same_address = record.address == self.settings.peer
        is_earlier = record.incarnation < self.transport.incarnation
        return is_same_address and is_earlier

    def _make_write(self, group: int, stored: dict[str, Stored]) -> Write:
        found = stored.get(self._key(group))
        record = HolderRecord(
            address=self.settings.peer,
            incarnation=self.transport.incarnation,
            layout=self.layout,
        )
        return Write(
            key=self._key(group),
            value=msgspec.json.encode(record),
            expected_revision=found.mod_revision if found else 0,
            lease=self._own_lease().id,
        )

    def _own_lease(self) -> Lease:
        if self.lease is None:
            asked_at = monotonic()
            self.lease = self.platform.grant_lease(self.settings.rate_term)
            self.kept_alive_at = asked_at
            self.valid_until = asked_at + self.lease.seconds
        return self.lease

    def _take(self, writes: list[Write]) -> None:
        swap = self.platform.swap(writes)
        if not swap.succeeded:
            self.metrics.count('rates.election_lost')
            return
        ready_at = monotonic() + buckets.GRANT_SECONDS
        for write in writes:
            self.ready_at[self._group_of(write.key)] = ready_at
        self._publish()
        logger.info('rate groups held', groups=len(self.ready_at))

    def _publish(self) -> None:
        changed = GroupsChanged(
            dict(self.ready_at),
            self.valid_until,
            Future(),
        )
        self.holder.task.post(changed)
        changed.done.result(STOP_SECONDS)
        groups = tuple(sorted(self.ready_at))
        if groups != self.membership.table.own.rate_groups:
            self.membership.task.post(GroupsHeld(groups))

    def _key(self, group: int) -> str:
        return platform_keys.rate_key(self.settings.region, group)

    def _group_of(self, key: str) -> int:
        return int(key.rpartition('/')[2])


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
        self.buckets: dict[str, Bucket] = {}
        self.task = Task(
            'rate-holder',
            {
                sharing.GrantAsked: self.on_grant_asked,
                sharing.LotsReported: self.on_lots_reported,
                GroupsChanged: self.on_groups_changed,
            },
            tick=self.forget_idle,
            tick_seconds=FORGET_SECONDS,
        )
        self.transport.deliver_to(
            self.task,
            sharing.GrantAsked,
            sharing.LotsReported,
        )
        kernel.register('rate-holder', self)
        kernel.add_task(self.task)

    def on_groups_changed(self, changed: GroupsChanged) -> None:
        """Go by new groups or a later end of the lease."""
        self.ready_at = changed.ready_at
        self.valid_until = changed.valid_until
        for name in list(self.buckets):
            if self._group(name) not in self.ready_at:
                self.buckets.pop(name)
        changed.done.set_result(None)

    def on_grant_asked(self, envelope: Envelope[sharing.GrantAsked]) -> None:
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
            retry_after = 0.0 if tokens else bucket.wait_for_token(now)
        self.metrics.count('rates.granted', tokens)
        given = sharing.GrantGiven(
            number=asked.number,
            workspace=asked.workspace,
            tokens=tokens,
            retry_after=min(retry_after, MAX_BLOCK_SECONDS),
            is_holder=bucket is not None,
        )
        self.transport.try_send(envelope.sender, given)

    def on_lots_reported(
        self, envelope: Envelope[sharing.LotsReported]
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
        reports: tuple[sharing.LotReport, ...],
    ) -> None:
        now = monotonic()
        for report in reports:
            bucket = self.buckets.get(report.workspace)
            if bucket is not None:
                bucket.settle(_asker(envelope, report.number), report, now)

    def _bucket(self, name: str, now: float) -> Bucket | None:
        ready_at = self.ready_at.get(self._group(name))
        workspace = self.configuration.current.rules.workspaces.get(name)
        if ready_at is None or workspace is None:
            return None
        if not ready_at <= now < self.valid_until:
            return None
        share = buckets.share_of(
            workspace,
            self.settings.region,
            self.settings.regions,
        )
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = Bucket(share, ready_at)
            self.buckets[name] = bucket
        if bucket.share != share:
            bucket.change_share(share, now)
        return bucket

    def _group(self, workspace: str) -> int:
        return buckets.group_of(workspace, self.settings.rate_groups)


class Ask(msgspec.Struct):
    """A question to a holder that awaits its answer."""

    holder: str
    """Peer address."""

    asked_at: float
    """Own monotonic clock, in seconds."""

    is_late: bool = False
    """Whether another holder was asked since."""


class Waiting(msgspec.Struct, eq=False):
    """A request that waits for a token."""

    reply: Future[Refusal | None]
    """Takes the outcome."""

    give_up_at: float
    """Own monotonic clock, in seconds."""


class Account:
    """What this ingress has of one workspace's tokens."""

    __slots__ = ('asks', 'blocked', 'empty_at', 'purse', 'silent', 'waiting')

    def __init__(self, now: float) -> None:
        """Start with nothing."""
        self.purse = Purse(now)
        self.waiting: deque[Waiting] = deque()
        self.asks: dict[int, Ask] = {}
        self.blocked: dict[str, float] = {}
        self.silent: set[str] = set()
        self.empty_at = -math.inf


class RateDrawer:
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
        self.accounts: dict[str, Account] = {}
        self.lock = threading.Lock()
        self.number = 0
        self.task = Task(
            'rate-drawer',
            {
                TokenWanted: self.on_token_wanted,
                PurseLow: self.on_purse_low,
                sharing.GrantGiven: self.on_grant_given,
            },
            tick=self.on_tick,
            tick_seconds=DRAW_TICK_SECONDS,
        )
        self.transport.deliver_to(self.task, sharing.GrantGiven)
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
            self.task.post(PurseLow(workspace))
        return is_taken

    def on_token_wanted(self, wanted: TokenWanted) -> None:
        """Let a request wait for a token, unless too many do."""
        now = monotonic()
        with self.lock:
            account = self._account(wanted.workspace, now)
            if len(account.waiting) >= MAX_WAITING:
                wanted.reply.set_result(Refusal.rate_exceeded)
                return
            waiting = Waiting(wanted.reply, now + TOKEN_WAIT_SECONDS)
            account.waiting.append(waiting)
            self._serve(account, now)
            if account.waiting:
                self._draw(wanted.workspace, account, now)

    def on_purse_low(self, low: PurseLow) -> None:
        """Draw ahead of the next requests."""
        now = monotonic()
        with self.lock:
            account = self._account(low.workspace, now)
            if account.purse.is_low(now):
                self._draw(low.workspace, account, now)

    def on_grant_given(self, envelope: Envelope[sharing.GrantGiven]) -> None:
        """Take in a grant, and serve those who wait."""
        with self.lock:
            self._take_grant(envelope)

    def _take_grant(self, envelope: Envelope[sharing.GrantGiven]) -> None:
        given = envelope.message
        account = self.accounts.get(given.workspace)
        ask = account.asks.pop(given.number, None) if account else None
        if account is None or ask is None:
            return
        now = monotonic()
        account.silent.discard(envelope.sender)
        if given.tokens:
            account.purse.add(
                DrawnLot(
                    envelope.sender,
                    given.number,
                    given.tokens,
                    ask.asked_at,
                ),
            )
        elif given.is_holder:
            account.empty_at = now
            account.blocked[envelope.sender] = now + given.retry_after
        else:
            account.blocked[envelope.sender] = now + NOT_HOLDER_SECONDS
        self._serve(account, now)
        if account.waiting:
            self._draw(given.workspace, account, now)

    def on_tick(self) -> None:
        """Give up, give back, report and draw again."""
        with self.lock:
            self._tick(monotonic())

    def _tick(self, now: float) -> None:
        reports: dict[str, list[sharing.LotReport]] = {}
        for name, account in list(self.accounts.items()):
            self._serve(account, now)
            self._expire_asks(account, now)
            if account.waiting:
                self._draw(name, account, now)
            self._refuse_late(account, now)
            account.purse.give_back_old(now)
            for holder in account.purse.holders():
                own = account.purse.take_reports(name, holder)
                reports.setdefault(holder, []).extend(own)
            account.purse.drop_expired(now)
            if _is_idle(account, now):
                self.accounts.pop(name)
        for holder, lots in reports.items():
            message = sharing.LotsReported(reports=tuple(lots))
            self.transport.try_send(holder, message)

    def _account(self, workspace: str, now: float) -> Account:
        account = self.accounts.get(workspace)
        if account is None:
            account = Account(now)
            self.accounts[workspace] = account
        return account

    def _serve(self, account: Account, now: float) -> None:
        while account.waiting and account.purse.take(now):
            account.waiting.popleft().reply.set_result(None)

    def _expire_asks(self, account: Account, now: float) -> None:
        for number, ask in list(account.asks.items()):
            age = now - ask.asked_at
            if age >= buckets.GRANT_SECONDS:
                account.asks.pop(number)
            elif age >= ASK_PATIENCE_SECONDS and not ask.is_late:
                ask.is_late = True
                self._note_silence(account, ask.holder, now)

    def _note_silence(
        self,
        account: Account,
        holder: str,
        now: float,
    ) -> None:
        """Ask once more on a new connection, then leave the holder alone."""
        self.metrics.count('rates.holder_silent')
        self.transport.reset(holder)
        if holder in account.silent:
            account.blocked[holder] = now + SILENT_HOLDER_SECONDS
        account.silent.add(holder)

    def _refuse_late(self, account: Account, now: float) -> None:
        while account.waiting and account.waiting[0].give_up_at <= now:
            is_empty = now - account.empty_at <= EMPTY_MEMORY_SECONDS
            account.waiting.popleft().reply.set_result(
                Refusal.rate_exceeded if is_empty else Refusal.rate_unavailable,
            )

    def _draw(self, name: str, account: Account, now: float) -> None:
        if any(not ask.is_late for ask in account.asks.values()):
            return
        wanted = account.purse.wanted(len(account.waiting), now)
        holder = self._choose_holder(name, account, now)
        if not wanted or holder is None:
            return
        self.number += 1
        reports = account.purse.take_reports(name, holder)
        account.asks[self.number] = Ask(holder, now)
        self.metrics.count('rates.asked')
        asked = sharing.GrantAsked(
            number=self.number,
            workspace=name,
            wanted=wanted,
            reports=tuple(reports),
        )
        self.transport.try_send(holder, asked)

    def _choose_holder(
        self,
        name: str,
        account: Account,
        now: float,
    ) -> str | None:
        group = buckets.group_of(name, self.settings.rate_groups)
        holders = self.membership.view.holders
        for region in self.regions:
            holder = holders.get((region, group))
            if holder and account.blocked.get(holder, 0) <= now:
                return holder
        return None


def _asker(envelope: Envelope[Any], number: int) -> tuple[str, int, int]:
    return envelope.sender, envelope.incarnation, number


def _is_idle(account: Account, now: float) -> bool:
    is_busy = account.waiting or account.asks or account.purse.lots
    is_recent = now - account.purse.demand_at < IDLE_ACCOUNT_SECONDS
    return not is_busy and not is_recent
