"""The claims service: writes once-only claims to the store, in groups.

One task writes all claims and outcomes that arrived during its last call to the
store in one transaction (group commit), so that the number of transactions does
not grow with that of requests. All writes are compare-and-swap. After a lost
reply it reads the claims back, to find out whether the writes took effect.
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
    ABSENT,
    KeyValueStore,
    Lease,
    LeaseEnded,
    Revision,
    StoredValue,
    StoreError,
    SwapResult,
    Write,
)
from kumquathold_node.upstream_calls import CallFailed
from kumquathold_node.upstream_responses import UpstreamResponse

HOUR_SECONDS = 3600
MAX_GROUP_SIZE = 48
"""Largest number of writes in one transaction."""

MAX_SWAP_ATTEMPTS = 4
STORE_BACKOFF_SECONDS = 0.5
"""Time without calls to the store after it failed."""

TICK_SECONDS = 0.5
ABANDONED_CLAIM_SECONDS = 30.0
"""How long the claim of a refused request is looked for, to delete it."""

CLAIM_RETENTION_SECONDS = 7 * 24 * HOUR_SECONDS
LEASE_REUSE_SECONDS = HOUR_SECONDS
"""How long new claims share a lease before a new one is granted."""


class ClaimGrantedEvent(msgspec.Struct, frozen=True):
    """The claim is written; the request may run."""

    request: OwnerRequest
    """The request."""


class ClaimRefusedEvent(msgspec.Struct, frozen=True):
    """The request must not run."""

    request: OwnerRequest
    """The request."""

    outcome: Outcome
    """Whether the claimed request ran, as far as is known."""

    reason: Refusal
    """Why it must not run."""

    response: StoredResponse | None = None
    """The stored response to return, if there is one."""


class OutcomeStoredEvent(msgspec.Struct, frozen=True):
    """The outcome is stored, or will be once the store is reachable."""

    request: OwnerRequest
    """The request."""

    result: UpstreamResponse | CallFailed
    """The response or failure of its call."""


class StoreOutcomeCommand(msgspec.Struct, frozen=True):
    """Asks the service to store the outcome of a claimed request."""

    request: OwnerRequest
    """The request."""

    result: UpstreamResponse | CallFailed
    """The response or failure of its call."""


class PendingWrite(msgspec.Struct, eq=False):
    """A claim or outcome that is to be written."""

    request: OwnerRequest
    """The request."""

    key: str
    """Key of the claim in the store."""

    claim: Claim
    """The claim to write; with `is_delete`, the claim to delete."""

    expected_revision: Revision
    """Revision that the key must have, or `ABSENT`."""

    result: UpstreamResponse | CallFailed | None = None
    """The response or failure of the call; `None` for a new claim."""

    is_delete: bool = False
    """Whether to delete the claim, as the request did not run."""

    is_reported: bool = False
    """Whether the owner has been notified."""


class AbandonedClaim(msgspec.Struct, frozen=True):
    """A claim that may have been written although its request was refused."""

    key: str
    """Key of the claim in the store."""

    claim_id: str
    """Distinguishes it from a later claim under the same key."""

    expires_at: float
    """When to stop looking for it, in seconds of the monotonic clock."""


class ClaimsService:
    """Writes the claims of one owner."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Look up the services that it uses, and register itself."""
        self.kernel = kernel
        self.store: KeyValueStore = kernel.find('store')
        self.metrics: Metrics = kernel.find('metrics')
        self.address = settings.peer
        self.incarnation: int = kernel.find('transport').incarnation
        self.held_claims: dict[str, tuple[Claim, Revision]] = {}
        self.deferred: list[PendingWrite] = []
        self.abandoned_claims: list[AbandonedClaim] = []
        self.suspended_until = 0.0
        self.lease: Lease | None = None
        self.lease_renewal_at = 0.0
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
        self.task.post(PendingWrite(request, _key_of(request), claim, ABSENT))

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
        if monotonic() < self.suspended_until:
            for pending in group:
                self._give_up(pending)
            return
        self._write_group(group)

    def on_tick(self) -> None:
        """Retry deferred writes and delete abandoned claims."""
        if monotonic() < self.suspended_until:
            return
        deferred, self.deferred = self.deferred, []
        if deferred:
            self._write_group(deferred[:MAX_GROUP_SIZE])
            self.deferred.extend(deferred[MAX_GROUP_SIZE:])
        self._delete_abandoned_claims()

    def _make_outcome_write(self, command: StoreOutcomeCommand) -> PendingWrite:
        key = _key_of(command.request)
        claim, revision = self.held_claims.pop(key)
        result = command.result
        return PendingWrite(
            request=command.request,
            key=key,
            claim=_make_final_claim(claim, result),
            expected_revision=revision,
            result=result,
            is_delete=(
                isinstance(result, CallFailed)
                and result.outcome == Outcome.not_run
            ),
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
        remaining = _first_of_each_key(group)
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
        try:
            swap = self._swap(group)
        except LeaseEnded:
            self.metrics.count('claims.lease_ended')
            self.lease = None
            return group
        except StoreError as error:
            logger.warning('claims not written', cause=str(error))
            self.metrics.count('claims.store_unavailable')
            return self._read_back(group)
        self.metrics.count('claims.groups')
        self.metrics.count('claims.writes', len(group))
        if swap.succeeded:
            for pending in group:
                self._complete(pending, swap.revision)
            return []
        return self._reconcile(group, swap.found, swap.revision)

    def _swap(self, group: list[PendingWrite]) -> SwapResult:
        lease = self._get_shared_lease()
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

    def _get_shared_lease(self) -> Lease:
        now = monotonic()
        lease = self.lease
        is_kept = lease is not None and lease.era == self.store.era
        if lease is None or not is_kept or now >= self.lease_renewal_at:
            lease = self.store.grant_lease(CLAIM_RETENTION_SECONDS)
            self.lease = lease
            self.lease_renewal_at = now + LEASE_REUSE_SECONDS
        return lease

    def _read_back(self, group: list[PendingWrite]) -> list[PendingWrite]:
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
        revision: Revision,
    ) -> list[PendingWrite]:
        """Compare writes with the stored claims; return those to retry.

        `revision` is the store's when they were read, if reported. What
        was read from before the claim says nothing of it.
        """
        by_key = {stored.key: stored for stored in found}
        retries = []
        for pending in group:
            stored = by_key.get(pending.key)
            if _is_applied(pending, stored):
                self._complete(
                    pending, stored.mod_revision if stored else ABSENT
                )
            elif _is_unchanged(pending, stored) or _is_older(revision, pending):
                retries.append(pending)
            else:
                self._handle_conflict(pending, stored)
        return retries

    def _complete(self, pending: PendingWrite, revision: Revision) -> None:
        if pending.result is not None:
            self._notify_owner(
                pending, OutcomeStoredEvent(pending.request, pending.result)
            )
            return
        self.held_claims[pending.key] = (pending.claim, revision)
        self._notify_owner(pending, ClaimGrantedEvent(pending.request))

    def _handle_conflict(
        self, pending: PendingWrite, stored: StoredValue | None
    ) -> None:
        if pending.result is not None:
            logger.error('claim changed by another writer', key=pending.key)
            self._notify_owner(
                pending, OutcomeStoredEvent(pending.request, pending.result)
            )
            return
        if stored is None:
            self._give_up(pending)
            return
        found = claims.decode_claim(stored.value)
        if found is None:
            logger.error('claim unreadable', key=pending.key)
        decision = claims.decide_repeat(found, pending.claim.fingerprint)
        self.metrics.count('claims.repeats')
        if isinstance(decision, claims.ReplayResponse):
            refused = ClaimRefusedEvent(
                pending.request,
                Outcome.ran,
                Refusal.settled,
                decision.response,
            )
        else:
            refused = ClaimRefusedEvent(
                pending.request,
                decision.outcome,
                decision.reason,
            )
        self._notify_owner(pending, refused)

    def _give_up(self, pending: PendingWrite) -> None:
        """Refuse the request of a new claim, or defer an outcome's write.

        The claim may be written all the same, so it is listed for deletion.
        """
        if pending.result is None:
            expires_at = monotonic() + ABANDONED_CLAIM_SECONDS
            abandoned = AbandonedClaim(
                pending.key, pending.claim.claim_id, expires_at
            )
            self.abandoned_claims.append(abandoned)
            refused = ClaimRefusedEvent(
                pending.request,
                Outcome.not_run,
                Refusal.store_unavailable,
            )
            self._notify_owner(pending, refused)
            return
        self._notify_owner(
            pending, OutcomeStoredEvent(pending.request, pending.result)
        )
        self.deferred.append(pending)

    def _notify_owner(
        self,
        pending: PendingWrite,
        message: ClaimGrantedEvent | ClaimRefusedEvent | OutcomeStoredEvent,
    ) -> None:
        if not pending.is_reported:
            pending.is_reported = True
            self.kernel.find('owner').task.post(message)

    def _delete_abandoned_claims(self) -> None:
        now = monotonic()
        remaining, self.abandoned_claims = self.abandoned_claims, []
        for number, abandoned in enumerate(remaining):
            try:
                is_done = self._try_delete_claim(abandoned)
            except StoreError:
                self.suspended_until = monotonic() + STORE_BACKOFF_SECONDS
                self.abandoned_claims.extend(remaining[number:])
                return
            if not is_done and abandoned.expires_at > now:
                self.abandoned_claims.append(abandoned)

    def _try_delete_claim(self, abandoned: AbandonedClaim) -> bool:
        """Delete an abandoned claim; return whether it needs no further try.

        A missing key does not suffice, since the write may yet take effect.
        """
        read = self.store.read(abandoned.key)
        if not read.found:
            return False
        stored = read.found[0]
        found = claims.decode_claim(stored.value)
        if found is None or found.claim_id != abandoned.claim_id:
            return True
        write = Write(abandoned.key, None, stored.mod_revision)
        return self.store.swap([write]).succeeded


def _key_of(request: OwnerRequest) -> str:
    digest = claims.digest_claim_key(request.message.claim)
    return store_keys.claim_key(request.message.workspace, digest)


def _make_final_claim(
    claim: Claim, result: UpstreamResponse | CallFailed
) -> Claim:
    if isinstance(result, CallFailed):
        return msgspec.structs.replace(claim, state=ClaimState.unknown)
    return msgspec.structs.replace(
        claim,
        state=ClaimState.answered,
        answer=claims.make_stored_response(
            result.status, result.headers, result.body
        ),
    )


def _first_of_each_key(group: list[PendingWrite]) -> list[PendingWrite]:
    """Return the first write of each key.

    A transaction may write a key only once.
    """
    firsts: dict[str, PendingWrite] = {}
    for pending in group:
        firsts.setdefault(pending.key, pending)
    return list(firsts.values())


def _is_applied(pending: PendingWrite, stored: StoredValue | None) -> bool:
    if pending.is_delete:
        return stored is None
    if stored is None:
        return False
    found = claims.decode_claim(stored.value)
    if found is None:
        return False
    is_own = found.claim_id == pending.claim.claim_id
    return is_own and found.state == pending.claim.state


def _is_unchanged(pending: PendingWrite, stored: StoredValue | None) -> bool:
    revision = stored.mod_revision if stored else ABSENT
    return revision == pending.expected_revision


def _is_older(revision: Revision, pending: PendingWrite) -> bool:
    """Whether a reported revision is from before the claim."""
    return revision.number > 0 and revision < pending.expected_revision
