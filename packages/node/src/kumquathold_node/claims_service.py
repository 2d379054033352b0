"""The claims service: writes once-only claims to the store, in groups.

One task writes all claims and outcomes that arrived during its last call to the
store in one transaction (group commit), so that the number of transactions does
not grow with that of requests. All writes are compare-and-swap. After a lost
reply it reads the claims back, to find out whether the writes took effect.

A restored store may have lost claims. The service writes those again that it
wrote shortly before, and grants no new ones until all nodes have had the time
to do so.
"""

from __future__ import annotations

import datetime
import queue
import uuid
from collections.abc import Callable
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import claims
from kumquathold_core.claims import Claim, ClaimState
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.permitted_regions import is_permitted
from kumquathold_node.abandoned_claims import AbandonedClaims
from kumquathold_node.claim_writes import (
    ClaimGrantedEvent,
    ClaimRefusedEvent,
    OutcomeStoredEvent,
    PendingWrite,
    StoreOutcomeCommand,
    WriteState,
    first_of_each_key,
    judge_write,
    key_of,
    make_outcome_write,
    make_refusal,
)
from kumquathold_node.configuration import ConfigurationService
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.location_policy import find_current_regions
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.recent_claims import RecentClaims
from kumquathold_node.settings import Settings
from kumquathold_node.shared_lease import SharedLease
from kumquathold_node.store import (
    ABSENT,
    KeyValueStore,
    LeaseEnded,
    Revision,
    StoredValue,
    StoreError,
    SwapResult,
    Write,
)
from kumquathold_node.upstream_calls import CallFailed
from kumquathold_node.upstream_responses import UpstreamResponse

MAX_GROUP_SIZE = 48
"""Largest number of writes in one transaction."""

MAX_SWAP_ATTEMPTS = 4
STORE_BACKOFF_SECONDS = 0.5
"""Time without calls to the store after it failed."""

TICK_SECONDS = 0.5
RESTORE_PAUSE_SECONDS = 6.0
"""Time without new claims after a restore of the store was noticed.

All nodes notice it within that time, and write again what it has lost.
"""

HOUR_SECONDS = 3600
RETENTION_SECONDS = 7 * 24 * HOUR_SECONDS
"""Time after which the store deletes a claim."""

LEASE_REUSE_SECONDS = HOUR_SECONDS
"""How long new claims share a lease."""

MAX_SILENCE_SECONDS = 2.0
"""Longest time without a call to the store while it may have lost a claim."""


class ClaimsService:
    """Writes the claims of one owner."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.kernel = kernel
        self.store: KeyValueStore = kernel.find('store')
        self.metrics: Metrics = kernel.find('metrics')
        self.configuration: ConfigurationService = kernel.find('configuration')
        self.address = settings.peer
        self.store_region = settings.store_region
        self.incarnation: int = kernel.find('transport').incarnation
        self.held_claims: dict[str, tuple[Claim, Revision]] = {}
        self.deferred: list[PendingWrite] = []
        self.recent = RecentClaims()
        self.abandoned = AbandonedClaims(self.store, self.recent)
        self.suspended_until = 0.0
        self.lease = SharedLease(
            self.store, retention=RETENTION_SECONDS, reuse=LEASE_REUSE_SECONDS
        )
        self.era = self.store.era
        self.paused_until = 0.0
        """End of the time without new claims after a restore."""
        self.called_at = 0.0
        """When the store was last called."""
        self.task = Task(
            'claims',
            {
                PendingWrite: self.on_pending_write,
                StoreOutcomeCommand: self.on_store_outcome,
            },
            tick=self.on_tick,
            tick_seconds=TICK_SECONDS,
        )
        kernel.register('claims', self)
        kernel.add_task(self.task)

    def request_claim(self, request: OwnerRequest) -> None:
        """Write a claim for a request.

        The result is posted to the owner as `ClaimGrantedEvent` or
        `ClaimRefusedEvent`.
        """
        claim = Claim(
            state=ClaimState.claimed,
            claim_id=uuid.uuid4().hex,
            fingerprint=request.fingerprint.hex(),
            owner=self.address,
            incarnation=self.incarnation,
            upstream=request.message.upstream,
            claimed_at=datetime.datetime.now(datetime.UTC).isoformat(),
        )
        self.task.post(PendingWrite(request, key_of(request), claim, ABSENT))

    def store_outcome(
        self,
        request: OwnerRequest,
        result: UpstreamResponse | CallFailed,
    ) -> None:
        """Store the outcome of a claimed request.

        The owner is notified by an `OutcomeStoredEvent`.
        """
        self.task.post(StoreOutcomeCommand(request, result))

    def on_store_outcome(self, command: StoreOutcomeCommand) -> None:
        """Write the outcome, together with all other waiting writes."""
        self.on_pending_write(self._make_outcome_write(command))

    def on_pending_write(self, first: PendingWrite) -> None:
        """Write this and all other waiting writes in one transaction."""
        group = [first, *self._take_waiting()]
        self._follow_era()
        if monotonic() < self.suspended_until:
            for pending in group:
                self._put_off(pending)
            return
        if monotonic() < self.paused_until:
            group = self._split_new_claims(group, self._put_off)
        self._write_group(group)

    def on_tick(self) -> None:
        """Retry deferred writes and delete abandoned claims."""
        if monotonic() < self.suspended_until:
            return
        self._check_for_restore()
        self._follow_era()
        deferred, self.deferred = self._list_deferred(), []
        if deferred:
            self._write_group(deferred[:MAX_GROUP_SIZE])
            self.deferred.extend(deferred[MAX_GROUP_SIZE:])
        try:
            self.abandoned.delete_all()
        except StoreError:
            self.suspended_until = monotonic() + STORE_BACKOFF_SECONDS

    def _follow_era(self) -> None:
        """After a restore, pause new claims and write the recent ones again."""
        era = self.store.era
        if era == self.era:
            return
        self.era = era
        now = monotonic()
        self.paused_until = now + RESTORE_PAUSE_SECONDS
        rewrites = self.recent.make_rewrites(now)
        outcomes = [one for one in self.deferred if not one.is_rewrite]
        self.deferred = [*rewrites, *outcomes]
        self.metrics.count('claims.rewrites', len(rewrites))
        logger.warning('claims written again', era=era, claims=len(rewrites))

    def _list_deferred(self) -> list[PendingWrite]:
        """Return the deferred writes, without rewrites that are outdated."""
        now = monotonic()
        return [
            pending
            for pending in self.deferred
            if not pending.is_rewrite or self.recent.is_due(pending, now)
        ]

    def _split_new_claims(
        self,
        group: list[PendingWrite],
        refuse: Callable[[PendingWrite], None],
    ) -> list[PendingWrite]:
        """Refuse the new claims of a group; return its other writes."""
        new_claims = [pending for pending in group if pending.is_new_claim]
        for pending in new_claims:
            refuse(pending)
        return [pending for pending in group if pending not in new_claims]

    def _check_for_restore(self) -> None:
        """Read a recent claim if the store has not been called for a while."""
        now = monotonic()
        key = self.recent.find_latest(now)
        if key is None or now - self.called_at < MAX_SILENCE_SECONDS:
            return
        self.called_at = now
        try:
            self.store.read(key)
        except StoreError:
            self.metrics.count('claims.store_unavailable')

    def _make_outcome_write(self, command: StoreOutcomeCommand) -> PendingWrite:
        held = self.held_claims.pop(key_of(command.request))
        message = command.request.message
        permitted = find_current_regions(
            self.configuration.current, message.route, message.workspace
        )
        return make_outcome_write(
            command.request,
            held,
            command.result,
            may_keep=is_permitted(self.store_region, permitted),
        )

    def _take_waiting(self) -> list[PendingWrite]:
        waiting: list[PendingWrite] = []
        while len(waiting) < MAX_GROUP_SIZE - 1:
            try:
                message = self.task.inbox.get_nowait()
            except queue.Empty:
                break
            if isinstance(message, StoreOutcomeCommand):
                message = self._make_outcome_write(message)
            if not isinstance(message, PendingWrite):
                # Put back for the task, such as the message that ends it.
                self.task.post(message)
                break
            waiting.append(message)
        return waiting

    def _write_group(self, group: list[PendingWrite]) -> None:
        remaining = first_of_each_key(group)
        for other in group:
            if other not in remaining:
                self.task.post(other)
        for _ in range(MAX_SWAP_ATTEMPTS):
            if not remaining:
                return
            remaining = self._try_write(remaining)
        for pending in remaining:
            self._give_up(pending)

    def _try_write(self, group: list[PendingWrite]) -> list[PendingWrite]:
        """Write a group in one transaction; return the writes to retry."""
        self.called_at = monotonic()
        try:
            swap = self._swap(group)
        except LeaseEnded:
            self.metrics.count('claims.lease_ended')
            self.lease.drop()
            return group
        except StoreError as error:
            logger.warning('claims not written', cause=str(error))
            self.metrics.count('claims.store_unavailable')
            self._follow_era()
            if monotonic() < self.paused_until:
                group = self._split_new_claims(group, self._give_up)
            return self._read_back(group)
        self.metrics.count('claims.groups')
        self.metrics.count('claims.writes', len(group))
        if swap.succeeded:
            for pending in group:
                self._complete(pending, swap.revision)
            return []
        return self._reconcile(group, swap.found, swap.revision)

    def _swap(self, group: list[PendingWrite]) -> SwapResult:
        lease = self.lease.get()
        return self.store.swap(
            [
                Write(
                    key=pending.key,
                    value=(
                        None
                        if pending.is_delete
                        else msgspec.json.encode(pending.claim)
                    ),
                    expected_revision=pending.expected_revision,
                    lease=lease,
                )
                for pending in group
            ]
        )

    def _read_back(self, group: list[PendingWrite]) -> list[PendingWrite]:
        if not group:
            return []
        try:
            reads = [self.store.read(pending.key) for pending in group]
        except StoreError:
            self.suspended_until = monotonic() + STORE_BACKOFF_SECONDS
            for pending in group:
                self._give_up(pending)
            return []
        found = [stored for read in reads for stored in read.found]
        revision = min(read.revision for read in reads)
        return self._reconcile(group, tuple(found), revision)

    def _reconcile(
        self,
        group: list[PendingWrite],
        found: tuple[StoredValue, ...],
        read_at: Revision,
    ) -> list[PendingWrite]:
        """Compare writes with the stored claims; return those to retry."""
        by_key = {stored.key: stored for stored in found}
        retries = []
        for pending in group:
            stored = by_key.get(pending.key)
            state = judge_write(pending, stored, read_at)
            if state == WriteState.applied:
                revision = stored.mod_revision if stored else ABSENT
                self._complete(pending, revision)
            elif state == WriteState.open:
                retries.append(pending)
            else:
                self._handle_conflict(pending, stored)
        return retries

    def _complete(self, pending: PendingWrite, revision: Revision) -> None:
        if pending.is_rewrite:
            self._complete_rewrite(pending, revision)
            return
        self.recent.record(pending, monotonic())
        if pending.result is not None:
            self._notify_owner(
                pending, OutcomeStoredEvent(pending.request, pending.result)
            )
            return
        self.held_claims[pending.key] = (pending.claim, revision)
        self._notify_owner(pending, ClaimGrantedEvent(pending.request))

    def _complete_rewrite(
        self, rewrite: PendingWrite, revision: Revision
    ) -> None:
        """Base the outcome of a claim that is still held on the new write."""
        held = self.held_claims.get(rewrite.key)
        if held is not None and held[0] == rewrite.claim:
            self.held_claims[rewrite.key] = (rewrite.claim, revision)

    def _handle_conflict(
        self, pending: PendingWrite, stored: StoredValue | None
    ) -> None:
        if pending.is_rewrite:
            # Its writer may have been refused, and delete the claim again.
            self._give_up(pending)
            return
        if pending.result is not None:
            logger.error('claim changed by another writer', key=pending.key)
            self._notify_owner(
                pending, OutcomeStoredEvent(pending.request, pending.result)
            )
            return
        if stored is None:
            self._give_up(pending)
            return
        if claims.decode_claim(stored.value) is None:
            logger.error('claim unreadable', key=pending.key)
        self.metrics.count('claims.repeats')
        self._notify_owner(pending, make_refusal(pending, stored))

    def _give_up(self, pending: PendingWrite) -> None:
        """Refuse the request of a new claim, or defer an outcome's write.

        The claim may be written all the same, so it is listed for deletion.
        """
        if pending.is_rewrite:
            self.deferred.append(pending)
            return
        if pending.result is None:
            self.abandoned.add(pending)
            self._refuse(pending)
            return
        self._notify_owner(
            pending, OutcomeStoredEvent(pending.request, pending.result)
        )
        self.deferred.append(pending)

    def _put_off(self, pending: PendingWrite) -> None:
        """Refuse or defer a write that was not sent to the store."""
        if pending.is_new_claim:
            self._refuse(pending)
        else:
            self._give_up(pending)

    def _refuse(self, pending: PendingWrite) -> None:
        refused = ClaimRefusedEvent(
            pending.request, Outcome.not_run, Refusal.store_unavailable
        )
        self._notify_owner(pending, refused)

    def _notify_owner(
        self,
        pending: PendingWrite,
        message: ClaimGrantedEvent | ClaimRefusedEvent | OutcomeStoredEvent,
    ) -> None:
        if not pending.is_reported:
            pending.is_reported = True
            self.kernel.find('owner').task.post(message)
