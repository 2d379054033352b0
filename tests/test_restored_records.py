"""Leases, claims and records that a restored store has lost."""

from __future__ import annotations

import time
import unittest
from contextlib import suppress
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import store_keys
from kumquathold_core.claims import ClaimState, decode_claim
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_node.claims_service import (
    ClaimGrantedEvent,
    ClaimRefusedEvent,
    ClaimsService,
    StoreOutcomeCommand,
)
from kumquathold_node.configuration import empty_configuration
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.owner_requests import OwnerRequest
from kumquathold_node.seeds import Seeds, decode_addresses
from kumquathold_node.store import StoreError
from kumquathold_node.upstream_calls import CallFailed
from kumquathold_node.upstream_responses import UpstreamResponse
from tests.site_store import SiteStore, serving_store
from tests.test_jobs import WORK
from tests.test_rate_election import ElectionStage, make_region_node
from tests.test_site_platform import PlatformStore

SETTLED_SECONDS = 10.0
"""Time after a restore in which claims are written again at the latest."""

TICK_SECONDS = 0.1


class ClaimingNode:
    """The claims service of one node, without threads."""

    def __init__(self, store: PlatformStore, address: str) -> None:
        kernel = Kernel()
        kernel.register('store', store)
        kernel.register('metrics', Metrics(None))
        kernel.register('transport', SimpleNamespace(incarnation=1))
        configuration = SimpleNamespace(current=empty_configuration())
        kernel.register('configuration', configuration)
        self.owner = mock.MagicMock()
        kernel.register('owner', self.owner)
        settings: Any = SimpleNamespace(store_region='r', peer=address)
        self.service = ClaimsService(kernel, settings)

    def claim(self, key: str) -> ClaimGrantedEvent | ClaimRefusedEvent:
        """Claim a request with this idempotency key, and return the result."""
        message = msgspec.structs.replace(WORK, claim=key)
        request = OwnerRequest(message, '10.0.0.9:1', queued_at=0.0)
        self.owner.reset_mock()
        self.service.request_claim(request)
        pending = self.service.task.inbox.get_nowait()
        self.service.on_pending_write(pending)
        (call,) = self.owner.task.post.mock_calls
        return call.args[0]

    def answer(self, granted: ClaimGrantedEvent) -> None:
        """Store the outcome of a request that was run."""
        response = UpstreamResponse(200, (), b'done', 0.1)
        command = StoreOutcomeCommand(granted.request, response)
        self.service.on_store_outcome(command)


class RestoredClaimsTest(unittest.TestCase):
    """Two nodes that claim requests in one store."""

    def setUp(self) -> None:
        self.site = SiteStore()
        address = self.enterContext(serving_store(self.site))
        self.nodes = [
            ClaimingNode(PlatformStore(address, Metrics(None)), peer)
            for peer in ('10.0.0.1:1', '10.0.0.2:1')
        ]

    def grant(self, node: ClaimingNode, key: str) -> ClaimGrantedEvent:
        """Claim a request, and return the granted claim."""
        granted = node.claim(key)
        assert isinstance(granted, ClaimGrantedEvent)
        return granted

    def tick(self) -> None:
        """Let time pass for all nodes."""
        time.sleep(TICK_SECONDS)
        for node in self.nodes:
            node.service.on_tick()

    def list_states(self) -> list[ClaimState]:
        """Return the states of all claims in the store."""
        address = self.enterContext(serving_store(self.site))
        client = PlatformStore(address, Metrics(None))
        found = client.read_prefix(store_keys.claim_prefix('w')).found
        claims = [decode_claim(stored.value) for stored in found]
        return [claim.state for claim in claims if claim]

    def test_claims_are_granted_again_without_the_lost_lease(self) -> None:
        kept = self.site.make_copy()
        self.grant(self.nodes[0], 'before')
        self.site.restore(kept)
        deadline = time.monotonic() + SETTLED_SECONDS
        number = 0
        while time.monotonic() < deadline:
            number += 1
            result = self.nodes[0].claim(f'after-{number}')
            if isinstance(result, ClaimGrantedEvent):
                return
            self.tick()
        self.fail(f'{number} claims were refused')

    def test_claim_that_was_lost_is_not_granted_to_another_node(self) -> None:
        first, second = self.nodes
        self.grant(second, 'other')
        kept = self.site.make_copy()
        self.grant(first, 'key')
        self.site.restore(kept)
        deadline = time.monotonic() + SETTLED_SECONDS
        while time.monotonic() < deadline:
            result = second.claim('key')
            self.assertIsInstance(result, ClaimRefusedEvent)
            self.tick()
        repeated = second.claim('key')
        assert isinstance(repeated, ClaimRefusedEvent)
        self.assertEqual(repeated.reason, Refusal.in_progress)

    def test_outcome_is_stored_though_the_claim_was_lost(self) -> None:
        first, second = self.nodes
        kept = self.site.make_copy()
        granted = self.grant(first, 'key')
        self.site.restore(kept)
        first.answer(granted)
        for _ in range(int(SETTLED_SECONDS / TICK_SECONDS)):
            self.tick()
            if self.list_states() == [ClaimState.answered]:
                break
        self.assertEqual(self.list_states(), [ClaimState.answered])
        repeated = second.claim('key')
        assert isinstance(repeated, ClaimRefusedEvent)
        assert repeated.response is not None
        self.assertEqual(repeated.response.body, b'done')

    def test_stored_outcome_that_was_lost_is_stored_again(self) -> None:
        first, second = self.nodes
        granted = self.grant(first, 'key')
        kept = self.site.make_copy()
        first.answer(granted)
        self.site.restore(kept)
        for _ in range(int(SETTLED_SECONDS / TICK_SECONDS)):
            self.tick()
            if self.list_states() == [ClaimState.answered]:
                break
        self.assertEqual(self.list_states(), [ClaimState.answered])
        repeated = second.claim('key')
        assert isinstance(repeated, ClaimRefusedEvent)
        self.assertEqual(repeated.reason, Refusal.settled)

    def test_claim_of_a_request_that_did_not_run_does_not_come_back(
        self,
    ) -> None:
        first, second = self.nodes
        granted = self.grant(first, 'key')
        kept = self.site.make_copy()
        failed = CallFailed(Outcome.not_run, Refusal.store_unavailable)
        command = StoreOutcomeCommand(granted.request, failed)
        first.service.on_store_outcome(command)
        self.assertEqual(self.list_states(), [])
        self.site.restore(kept)
        self.assertEqual(self.list_states(), [ClaimState.claimed])
        for _ in range(int(SETTLED_SECONDS / TICK_SECONDS)):
            self.tick()
            if not self.list_states():
                break
        self.assertIsInstance(second.claim('key'), ClaimGrantedEvent)


class RestoredSeedsTest(unittest.TestCase):
    """The record by which nodes join the fleet."""

    def test_record_that_was_lost_is_written_again(self) -> None:
        site = SiteStore()
        address = self.enterContext(serving_store(site))
        client = PlatformStore(address, Metrics(None))
        own = make_region_node('10.0.0.1:7400')
        peer = make_region_node('10.0.0.2:7400')
        membership = SimpleNamespace(
            view=SimpleNamespace(nodes=(own, peer), by_address={}),
            task=SimpleNamespace(post=bool),
        )
        kernel = Kernel()
        kernel.register('store', client)
        kernel.register('membership', membership)
        settings: Any = SimpleNamespace(peer=own.address, join=())
        seeds = Seeds(kernel, settings)
        kept = site.make_copy()
        seeds.check()
        site.restore(kept)
        for _ in range(3):
            with mock.patch.object(seeds.rng, 'random', lambda: 1.0):
                seeds.check()
            with suppress(StoreError):
                client.read('any')
        stored = client.read(store_keys.SEEDS_KEY).found[0]
        self.assertEqual(decode_addresses(stored), (own.address,))


class RestoredElectionTest(ElectionStage):
    """Two nodes that hold rate groups in one store."""

    def test_group_has_one_holder_though_its_lease_id_was_reused(self) -> None:
        site = SiteStore()
        address = self.enterContext(serving_store(site))
        self.store: Any = PlatformStore(address, Metrics(None))
        kept = site.make_copy()
        former = self.make_election(incarnation=5)
        former.check()
        self.assertTrue(former.ready_at)
        site.restore(kept)
        self.store = PlatformStore(address, Metrics(None))
        successor = self.make_election(incarnation=6, address='10.0.0.9:7400')
        successor.check()
        self.assertTrue(successor.ready_at)
        assert former.lease is not None
        assert successor.lease is not None
        self.assertEqual(former.lease.id, successor.lease.id)
        for _ in range(3):
            former.kept_alive_at -= former.settings.rate_term
            former.check()
        self.assertEqual(former.ready_at, {})
        self.assertTrue(successor.ready_at)


if __name__ == '__main__':
    unittest.main()
