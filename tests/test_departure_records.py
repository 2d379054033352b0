"""Departures in the store: written, read at a start, written again."""

from __future__ import annotations

import unittest
from concurrent.futures import Future
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_core import store_keys
from kumquathold_core.departures import Departure
from kumquathold_core.identity import UpstreamRecord
from kumquathold_node import departure_records
from kumquathold_node.announcements import DeregisteredEvent
from kumquathold_node.departure_records import DepartureRecords
from kumquathold_node.kernel import Kernel
from kumquathold_node.membership_messages import DeparturesReadEvent
from kumquathold_node.metrics import Metrics
from tests.owner_stage import OwnerStage
from tests.site_store import SiteStore, serving_store
from tests.test_site_platform import PlatformStore

OWNER = '10.0.0.1:7640'
UNAVAILABLE = 503
LEFT = Departure('u', 7)
MAX_KEY_BYTES = 200


class RecordingNode:
    """The departures of one process of a node, without threads."""

    def __init__(self, address: str) -> None:
        kernel = Kernel()
        kernel.register('store', PlatformStore(address, Metrics(None)))
        kernel.register('metrics', Metrics(None))
        self.owner = mock.MagicMock()
        kernel.register('owner', self.owner)
        settings: Any = SimpleNamespace(peer=OWNER)
        self.records = DepartureRecords(kernel, settings)
        self.records.next_read_at = float('inf')

    def read(self) -> tuple[Departure, ...]:
        """Read the departures, and return what the owner is told."""
        self.records.on_read(departure_records.ReadDeparturesCommand())
        (call,) = self.owner.task.post.mock_calls
        event = call.args[0]
        assert isinstance(event, DeparturesReadEvent)
        return event.departures


class DepartureRecordsTest(unittest.TestCase):
    """Departures beside one node that ends and starts again."""

    def setUp(self) -> None:
        self.site = SiteStore()
        self.address = self.enterContext(serving_store(self.site))
        self.node = RecordingNode(self.address)

    def leave(self, name: str = 'u', lifetime: int = 7) -> None:
        self.node.records.record(name, lifetime)
        self.node.records.on_tick()

    def read_after_restart(self) -> tuple[Departure, ...]:
        return RecordingNode(self.address).read()

    def test_next_process_learns_what_was_recorded(self) -> None:
        self.leave()
        self.assertTrue(self.node.records.await_written('u', 0.0))
        self.assertEqual(self.read_after_restart(), (LEFT,))

    def test_each_is_written_once(self) -> None:
        self.leave()
        self.leave()
        self.assertEqual(self.site.calls.count('txn'), 1)

    def test_process_without_a_start_is_not_written(self) -> None:
        self.leave('u', 0)
        self.assertEqual(self.site.calls.count('txn'), 0)

    def test_store_that_is_away_gets_it_later(self) -> None:
        self.site.refuse_status = UNAVAILABLE
        self.leave()
        self.assertFalse(self.node.records.await_written('u', 0.0))
        self.site.refuse_status = 0
        self.node.records.on_tick()
        self.assertTrue(self.node.records.await_written('u', 0.0))
        self.assertEqual(self.read_after_restart(), (LEFT,))

    def test_restored_store_gets_it_again(self) -> None:
        kept = self.site.make_copy()
        self.leave()
        self.site.restore(kept)
        self.leave('other', 8)  # notices the restore
        for _ in range(2):
            self.node.records.on_tick()
        names = {one.name for one in self.read_after_restart()}
        self.assertEqual(names, {'u', 'other'})

    def test_lost_lease_is_replaced(self) -> None:
        self.leave('first', 1)
        for lease in list(self.site.leases):
            self.site.end_lease(lease)
        self.leave()
        self.node.records.on_tick()
        self.assertIn(LEFT, self.read_after_restart())

    def test_records_expire_in_the_store_and_here(self) -> None:
        self.leave()
        leases = [one['leaseId'] for one in self.site.items.values()]
        self.assertEqual(
            [self.site.leases[lease] for lease in leases], [600_000]
        )
        with mock.patch.object(departure_records, 'monotonic') as clock:
            clock.return_value = float('inf')
            self.node.records.on_tick()
        self.assertEqual(self.node.records.written, {})

    def test_next_process_does_not_write_it_again(self) -> None:
        self.leave()
        restarted = RecordingNode(self.address)
        restarted.read()
        restarted.records.record('u', 7)
        self.assertEqual(restarted.records.unwritten, set())

    def test_keys_fit_the_store_and_other_entries_are_ignored(self) -> None:
        self.leave('x' * 256, 2**62)
        keys = list(self.site.items)
        self.assertLessEqual(max(map(len, keys)), MAX_KEY_BYTES)
        odd_key = f'{store_keys.departure_prefix(OWNER)}odd'
        self.site.put(odd_key, b'{"name": 5}')
        (found,) = self.read_after_restart()
        self.assertEqual(found.lifetime, 2**62)


class DeregistrationTest(unittest.TestCase):
    """An owner that hears of departures in various orders."""

    def setUp(self) -> None:
        self.stage = OwnerStage.for_test(self)
        self.records: Any = self.stage.owner.roster.departure_records

    def deregister(self, lifetime: int) -> None:
        reply: Future[tuple[int, int]] = Future()
        event = DeregisteredEvent('u', lifetime, reply)
        self.stage.owner.announcements.on_deregistered(event)
        self.assertTrue(reply.done())

    def is_offered(self, upstream: UpstreamRecord) -> bool:
        return upstream.ready and not upstream.leaving

    def test_late_one_of_an_earlier_process_leaves_the_next_alone(self) -> None:
        self.stage.announce(lifetime=7)
        self.stage.announce(lifetime=9)
        self.deregister(7)
        (known,) = self.stage.last_published()
        self.assertTrue(self.is_offered(known))

    def test_one_without_a_lifetime_is_of_the_present_process(self) -> None:
        self.stage.announce(lifetime=7)
        self.deregister(0)
        self.records.record.assert_called_with('u', 7)
        late = self.stage.announce(lifetime=7)
        self.assertTrue(late is None or late.record.leaving)
        later = self.stage.announce(lifetime=8)
        self.assertTrue(later and self.is_offered(later.record))

    def test_one_before_any_announcement_holds_for_older_processes(
        self,
    ) -> None:
        self.deregister(0)
        ((_, lifetime),) = [
            call.args for call in self.records.record.mock_calls
        ]
        self.assertGreater(lifetime, 7)
        self.assertIsNone(self.stage.announce(lifetime=7))

    def test_one_of_a_process_that_was_never_heard_of_holds(self) -> None:
        self.stage.announce(lifetime=7)
        self.deregister(9)
        self.assertTrue(self.stage.last_published()[0].leaving)
        late = self.stage.announce(lifetime=9)
        self.assertTrue(late is None or late.record.leaving)

    def test_stored_departure_withdraws_a_late_announcement(self) -> None:
        self.stage.announce(lifetime=7)
        event = DeparturesReadEvent((LEFT,))
        self.stage.owner.announcements.on_departures_read(event)
        self.assertTrue(self.stage.last_published()[0].leaving)
        later = self.stage.announce(lifetime=8)
        self.assertTrue(later and self.is_offered(later.record))

    def test_stated_leaving_is_recorded(self) -> None:
        upstream = self.stage.announce(lifetime=7)
        assert upstream is not None
        self.stage.owner.roster.record_leaving(upstream)
        self.records.record.assert_called_with('u', 7)


if __name__ == '__main__':
    unittest.main()
