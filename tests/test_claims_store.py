"""Outcomes of once-only requests beside a store that answers from the past."""

from __future__ import annotations

import unittest
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core.claims import Claim, ClaimState
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.claims_service import (
    ClaimGrantedEvent,
    ClaimsService,
    OutcomeStoredEvent,
    StoreOutcomeCommand,
)
from kumquathold_node.configuration import empty_configuration
from kumquathold_node.kernel import Kernel
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.store import (
    ABSENT,
    Lease,
    ReadResult,
    Revision,
    StoredValue,
    StoreUnavailable,
    SwapResult,
    Write,
)
from kumquathold_node.upstream_responses import UpstreamResponse
from tests.test_jobs import WORK

OLD_REVISION = 1
FIRST_REVISION = 5


class OldReadingStore:
    """A store whose reads come from before the claim while `is_old`."""

    def __init__(self) -> None:
        self.era = 0
        self.is_old = False
        self.is_lossy = False
        self.revision = FIRST_REVISION
        self.entries: dict[str, StoredValue] = {}

    @property
    def at(self) -> Revision:
        """The present revision."""
        return Revision(self.era, self.revision)

    def grant_lease(self, seconds: float) -> Lease:
        """Grant a lease."""
        return Lease(1, seconds)

    def read(self, key: str) -> ReadResult:
        """Read a key."""
        if self.is_old:
            return ReadResult(Revision(0, OLD_REVISION), ())
        found = self.entries.get(key)
        return ReadResult(self.at, (found,) if found else ())

    def swap(self, writes: Sequence[Write]) -> SwapResult:
        """Write keys on their conditions; while lossy, only fail."""
        if self.is_lossy:
            raise StoreUnavailable('no reply')
        self.revision += 1
        for write in writes:
            known = self.entries.get(write.key)
            if write.expected_revision != (
                known.mod_revision if known else ABSENT
            ):
                return SwapResult(
                    succeeded=False,
                    revision=self.at,
                    found=(known,) if known else (),
                )
            assert write.value is not None
            self.entries[write.key] = StoredValue(
                write.key, write.value, self.at
            )
        return SwapResult(succeeded=True, revision=self.at, found=())

    def state(self) -> ClaimState:
        """Return the state of the only claim."""
        (stored,) = self.entries.values()
        return msgspec.json.decode(stored.value, type=Claim).state


class OldReadTest(unittest.TestCase):
    """What was read from before a write says nothing of it."""

    def setUp(self) -> None:
        self.store = OldReadingStore()
        kernel = Kernel()
        kernel.register('store', self.store)
        kernel.register('metrics', mock.MagicMock())
        kernel.register('transport', SimpleNamespace(incarnation=1))
        configuration = SimpleNamespace(current=empty_configuration())
        kernel.register('configuration', configuration)
        self.owner = mock.MagicMock()
        kernel.register('owner', self.owner)
        settings: Any = SimpleNamespace(store_region='r', peer='10.0.0.1:1')
        self.claims = ClaimsService(kernel, settings)
        message = msgspec.structs.replace(WORK, claim='c')
        self.request = OwnerRequest(message, '10.0.0.9:1', queued_at=0.0)
        self.claims.request_claim(self.request)
        self.claims.on_pending_write(self.claims.task.inbox.get_nowait())

    def test_outcome_is_stored_once_reads_are_current_again(self) -> None:
        self.store.is_lossy = True
        self.store.is_old = True
        response = UpstreamResponse(200, (), b'done', 0.1)
        self.claims.on_store_outcome(
            StoreOutcomeCommand(self.request, response)
        )
        (call,) = self.owner.task.post.mock_calls[1:]
        self.assertIsInstance(call.args[0], OutcomeStoredEvent)
        self.store.is_lossy = False
        self.store.is_old = False
        self.claims.suspended_until = 0.0
        self.claims.on_tick()
        self.assertEqual(self.store.state(), ClaimState.answered)


class OddClaimTest(unittest.TestCase):
    """A claim of another writer at the key of a request."""

    def test_requests_written_with_it_are_answered_all_the_same(self) -> None:
        store = OldReadingStore()
        kernel = Kernel()
        kernel.register('store', store)
        kernel.register('metrics', mock.MagicMock())
        kernel.register('transport', SimpleNamespace(incarnation=1))
        owner = mock.MagicMock()
        kernel.register('owner', owner)
        configuration = SimpleNamespace(current=empty_configuration())
        kernel.register('configuration', configuration)
        settings: Any = SimpleNamespace(store_region='r', peer='10.0.0.1:1')
        service = ClaimsService(kernel, settings)
        for claim in ('odd', 'own'):
            message = msgspec.structs.replace(WORK, claim=claim)
            request = OwnerRequest(message, '10.0.0.9:1', queued_at=0.0)
            service.request_claim(request)
        odd = service.task.inbox.get_nowait()
        store.entries[odd.key] = StoredValue(odd.key, b'[7]', Revision(0, 1))
        service.on_pending_write(odd)
        refused, granted = (call.args[0] for call in owner.task.post.mock_calls)
        self.assertEqual(refused.reason, Refusal.outcome_unknown)
        self.assertEqual(refused.outcome, Outcome.unknown)
        self.assertIsInstance(granted, ClaimGrantedEvent)


if __name__ == '__main__':
    unittest.main()
