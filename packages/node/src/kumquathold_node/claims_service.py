"""The claims service: keeps once-only claims in the platform, in groups.

One task writes all claims and outcomes that came while it waited for the
platform in one transaction, so that writes grow with time and not with
requests.
"""

from __future__ import annotations

import datetime
import queue
import uuid
from time import monotonic

import msgspec
from loguru import logger

from kumquathold_core import claims, store_keys
from kumquathold_core.claims import Claim, ClaimState, StoredResponse
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.kernel import Kernel, Task
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.settings import Settings
from kumquathold_node.store import (
    KeyValueStore,
    StoredValue,
    StoreError,
    SwapResult,
    Write,
)
from kumquathold_node.upstream_calls import CallFailed, UpstreamResponse

HOUR_SECONDS = 3600
GROUP_SIZE = 48
SWAP_ATTEMPTS = 4
DOWN_SECONDS = 0.5
TICK_SECONDS = 0.5
OUTCOME_PATIENCE_SECONDS = 1.0
ABANDONED_SECONDS = 30.0
RETENTION_SECONDS = 7 * 24 * HOUR_SECONDS
LEASE_SHARED_SECONDS = HOUR_SECONDS


class ClaimGrantedEvent(msgspec.Struct, frozen=True):
    """The claim is in place; the request may run."""

    job: OwnerRequest
    """The request."""


class ClaimRefusedEvent(msgspec.Struct, frozen=True):
    """The request must not run."""

    job: OwnerRequest
    """The request."""

    outcome: Outcome
    """What is known of the first sending."""

    reason: Refusal
    """Why."""

    answer: StoredResponse | None = None
    """The first answer, to give again."""


class OutcomeStoredEvent(msgspec.Struct, frozen=True):
    """The outcome is in the platform, or will be when it answers."""

    job: OwnerRequest
    """The request."""

    ended: UpstreamResponse | CallFailed
    """How it ended."""


class StoreOutcomeCommand(msgspec.Struct, frozen=True):
    """A claimed request ended."""

    job: OwnerRequest
    """The request."""

    ended: UpstreamResponse | CallFailed
    """How it ended."""


class PendingWrite(msgspec.Struct, eq=False):
    """A write that is to be made."""

    job: OwnerRequest
    """The request."""

    key: str
    """The platform's key."""

    claim: Claim
    """What to write, or what was written where `is_delete`."""

    expected_revision: int
    """Revision that must be in place."""

    asked_at: float
    """Own monotonic clock, in seconds."""

    ended: UpstreamResponse | CallFailed | None = None
    """How the request ended; nothing for a new claim."""

    is_delete: bool = False
    """Whether the claim is withdrawn, as the request did not run."""

    is_told: bool = False
    """Whether the owner knows already."""


class AbandonedClaim(msgspec.Struct, frozen=True):
    """A claim whose write may have taken effect though nobody runs it."""

    key: str
    """The platform's key."""

    claim_id: str
    """Tells it from a later claim."""

    until: float
    """When to stop looking for it."""


class ClaimsService:
    """Owns the writes of claims."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Find the services that are needed, and register."""
        self.kernel = kernel
        self.platform: KeyValueStore = kernel.find('store')
        self.metrics: Metrics = kernel.find('metrics')
        self.address = settings.peer
        self.incarnation: int = kernel.find('transport').incarnation
        self.held: dict[str, tuple[Claim, int]] = {}
        self.late: list[PendingWrite] = []
        self.abandoned: list[AbandonedClaim] = []
        self.down_until = 0.0
        self.lease = 0
        self.lease_until = 0.0
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

    def claim(self, job: OwnerRequest) -> None:
        """Ask for a request's claim; the owner is told by message."""
        claim = Claim(
            state=ClaimState.claimed,
            claim_id=uuid.uuid4().hex,
            fingerprint=job.fingerprint.hex(),
            owner=self.address,
            incarnation=self.incarnation,
            upstream=job.work.upstream,
            claimed_at=datetime.datetime.now(datetime.UTC).isoformat(),
        )
        self.task.post(PendingWrite(job, _key_of(job), claim, 0, monotonic()))

    def keep_outcome(
        self,
        job: OwnerRequest,
        ended: UpstreamResponse | CallFailed,
    ) -> None:
        """Keep how a claimed request ended; the owner is told by message."""
        self.task.post(StoreOutcomeCommand(job, ended))

    def on_store_outcome(self, reached: StoreOutcomeCommand) -> None:
        """Write the outcome, together with whatever else waits."""
        self.on_pending_write(self._describe_outcome(reached))

    def on_pending_write(self, first: PendingWrite) -> None:
        """Write this and all that came meanwhile in one transaction."""
        group = [first, *self._drain()]
        if monotonic() < self.down_until:
            for pending in group:
                self._give_up(pending)
            return
        self._write_group(group)

    def on_tick(self) -> None:
        """Write what could not be written earlier, and clean up."""
        if monotonic() < self.down_until:
            return
        late, self.late = self.late, []
        if late:
            self._write_group(late[:GROUP_SIZE])
            self.late.extend(late[GROUP_SIZE:])
        self._clean_abandoned()

    def _describe_outcome(self, reached: StoreOutcomeCommand) -> PendingWrite:
        key = _key_of(reached.job)
        claim, revision = self.held.pop(key)
        ended = reached.ended
        return PendingWrite(
            job=reached.job,
            key=key,
            claim=_close_claim(claim, ended),
            expected_revision=revision,
            asked_at=monotonic(),
            ended=ended,
            is_delete=(
                isinstance(ended, CallFailed)
                and ended.outcome == Outcome.not_run
            ),
        )

    def _drain(self) -> list[PendingWrite]:
        more: list[PendingWrite] = []
        while len(more) < GROUP_SIZE - 1:
            try:
                message = self.task.inbox.get_nowait()
            except queue.Empty:
                break
            if isinstance(message, StoreOutcomeCommand):
                message = self._describe_outcome(message)
            if not isinstance(message, PendingWrite):
                self.task.post(message)
                break
            more.append(message)
        return more

    def _write_group(self, group: list[PendingWrite]) -> None:
        waiting = _first_of_each_key(group)
        for other in group:
            if other not in waiting:
                self.task.post(other)
        for _ in range(SWAP_ATTEMPTS):
            if not waiting:
                return
            waiting = self._try_group(waiting)
        for pending in waiting:
            self._give_up(pending)

    def _try_group(self, group: list[PendingWrite]) -> list[PendingWrite]:
        try:
            swap = self._swap(group)
        except StoreError as error:
            logger.warning('claims not written', cause=str(error))
            self.metrics.count('claims.store_unavailable')
            return self._look_up(group)
        self.metrics.count('claims.groups')
        self.metrics.count('claims.writes', len(group))
        if swap.succeeded:
            for pending in group:
                self._succeed(pending, swap.revision)
            return []
        return self._sort_out(group, swap.found)

    def _swap(self, group: list[PendingWrite]) -> SwapResult:
        lease = self._shared_lease()
        return self.platform.swap(
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

    def _shared_lease(self) -> int:
        now = monotonic()
        if now >= self.lease_until:
            granted = self.platform.grant_lease(RETENTION_SECONDS)
            self.lease = granted.id
            self.lease_until = now + LEASE_SHARED_SECONDS
        return self.lease

    def _look_up(self, group: list[PendingWrite]) -> list[PendingWrite]:
        found: list[StoredValue] = []
        try:
            for pending in group:
                found.extend(self.platform.read(pending.key).found)
        except StoreError:
            self.down_until = monotonic() + DOWN_SECONDS
            for pending in group:
                self._give_up(pending)
            return []
        return self._sort_out(group, tuple(found))

    def _sort_out(
        self,
        group: list[PendingWrite],
        found: tuple[StoredValue, ...],
    ) -> list[PendingWrite]:
        """Settle what the platform shows; give back what to try again."""
        by_key = {stored.key: stored for stored in found}
        again = []
        for pending in group:
            stored = by_key.get(pending.key)
            if _is_applied(pending, stored):
                self._succeed(pending, stored.mod_revision if stored else 0)
            elif _is_in_place(pending, stored):
                again.append(pending)
            else:
                self._lose(pending, stored)
        return again

    def _succeed(self, pending: PendingWrite, revision: int) -> None:
        if pending.ended is not None:
            self._tell(pending, OutcomeStoredEvent(pending.job, pending.ended))
            return
        self.held[pending.key] = (pending.claim, revision)
        self._tell(pending, ClaimGrantedEvent(pending.job))

    def _lose(self, pending: PendingWrite, stored: StoredValue | None) -> None:
        if pending.ended is not None:
            logger.error('claim was changed by others', key=pending.key)
            self._tell(pending, OutcomeStoredEvent(pending.job, pending.ended))
            return
        if stored is None:
            self._give_up(pending)
            return
        found = msgspec.json.decode(stored.value, type=Claim)
        decision = claims.decide_repeat(found, pending.claim.fingerprint)
        self.metrics.count('claims.repeats')
        if isinstance(decision, claims.ReplayResponse):
            refused = ClaimRefusedEvent(
                pending.job,
                Outcome.ran,
                Refusal.settled,
                decision.response,
            )
        else:
            refused = ClaimRefusedEvent(
                pending.job,
                decision.outcome,
                decision.reason,
            )
        self._tell(pending, refused)

    def _give_up(self, pending: PendingWrite) -> None:
        if pending.ended is None:
            until = monotonic() + ABANDONED_SECONDS
            abandoned = AbandonedClaim(
                pending.key, pending.claim.claim_id, until
            )
            self.abandoned.append(abandoned)
            refused = ClaimRefusedEvent(
                pending.job,
                Outcome.not_run,
                Refusal.store_unavailable,
            )
            self._tell(pending, refused)
            return
        self._tell(pending, OutcomeStoredEvent(pending.job, pending.ended))
        self.late.append(pending)

    def _tell(
        self,
        pending: PendingWrite,
        message: ClaimGrantedEvent | ClaimRefusedEvent | OutcomeStoredEvent,
    ) -> None:
        if not pending.is_told:
            pending.is_told = True
            self.kernel.find('owner').task.post(message)

    def _clean_abandoned(self) -> None:
        now = monotonic()
        waiting, self.abandoned = self.abandoned, []
        for number, abandoned in enumerate(waiting):
            try:
                is_done = self._delete_abandoned(abandoned)
            except StoreError:
                self.down_until = monotonic() + DOWN_SECONDS
                self.abandoned.extend(waiting[number:])
                return
            if not is_done and abandoned.until > now:
                self.abandoned.append(abandoned)

    def _delete_abandoned(self, abandoned: AbandonedClaim) -> bool:
        reading = self.platform.read(abandoned.key)
        if not reading.found:
            return False
        stored = reading.found[0]
        found = msgspec.json.decode(stored.value, type=Claim)
        if found.claim_id != abandoned.claim_id:
            return True
        write = Write(abandoned.key, None, stored.mod_revision)
        return self.platform.swap([write]).succeeded


def _key_of(job: OwnerRequest) -> str:
    digest = claims.digest_claim_key(job.work.claim)
    return store_keys.claim_key(job.work.workspace, digest)


def _close_claim(claim: Claim, ended: UpstreamResponse | CallFailed) -> Claim:
    if isinstance(ended, CallFailed):
        return msgspec.structs.replace(claim, state=ClaimState.unknown)
    return msgspec.structs.replace(
        claim,
        state=ClaimState.answered,
        answer=claims.make_stored_response(
            ended.status, ended.headers, ended.body
        ),
    )


def _first_of_each_key(group: list[PendingWrite]) -> list[PendingWrite]:
    firsts: dict[str, PendingWrite] = {}
    for pending in group:
        firsts.setdefault(pending.key, pending)
    return list(firsts.values())


def _is_applied(pending: PendingWrite, stored: StoredValue | None) -> bool:
    if pending.is_delete:
        return stored is None
    if stored is None:
        return False
    found = msgspec.json.decode(stored.value, type=Claim)
    is_own = found.claim_id == pending.claim.claim_id
    return is_own and found.state == pending.claim.state


def _is_in_place(pending: PendingWrite, stored: StoredValue | None) -> bool:
    revision = stored.mod_revision if stored else 0
    return revision == pending.expected_revision
