"""The era of the store, by the signs that its responses carry."""

from __future__ import annotations

import unittest
from contextlib import suppress
from unittest import mock

from kumquathold_core.store_eras import EraTracker, HistorySign
from kumquathold_node.etcd_store import EtcdStore
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import (
    KeyValueStore,
    StoreError,
    StoreRestored,
    Write,
)
from kumquathold_standins.platform import PlatformHandler, Store
from tests.loopback import serving
from tests.site_store import SiteStore, serving_store
from tests.test_site_platform import PlatformStore

CLUSTER = '14841639068965178418'


class EraTrackerTest(unittest.TestCase):
    """Which responses begin an era."""

    def setUp(self) -> None:
        self.tracker = EraTracker()

    def see(self, history: str, term: int = 0) -> bool:
        """Make a call whose response has this sign."""
        start = self.tracker.start_call()
        return self.tracker.end_call(start, HistorySign(history, term))

    def test_another_history_begins_an_era(self) -> None:
        self.assertTrue(self.see('1'))
        self.assertTrue(self.see('1'))
        self.assertFalse(self.see('2'))
        self.assertTrue(self.see('2'))
        self.assertEqual(self.tracker.era, 1)

    def test_history_that_was_seen_before_begins_an_era_as_well(self) -> None:
        for history in ('1', '2', '1'):
            self.see(history)
        self.assertEqual(self.tracker.era, 2)

    def test_term_that_falls_begins_an_era(self) -> None:
        self.see(CLUSTER, 9)
        self.see(CLUSTER, 10)
        self.assertEqual(self.tracker.era, 0)
        self.assertFalse(self.see(CLUSTER, 2))
        self.assertEqual(self.tracker.era, 1)

    def test_term_that_is_not_reported_begins_none(self) -> None:
        self.see(CLUSTER, 9)
        self.assertTrue(self.see(CLUSTER))
        self.assertFalse(self.see(CLUSTER, 8))

    def test_revision_of_a_write_that_falls_begins_an_era(self) -> None:
        for revision in (5, 9, 9):
            start = self.tracker.start_call()
            written = HistorySign(written=revision)
            self.assertTrue(self.tracker.end_call(start, written))
        start = self.tracker.start_call()
        self.assertFalse(self.tracker.end_call(start, HistorySign(written=7)))
        self.assertEqual(self.tracker.era, 1)

    def test_writes_whose_responses_overtake_each_other_begin_none(
        self,
    ) -> None:
        first = self.tracker.start_call()
        second = self.tracker.start_call()
        self.assertTrue(self.tracker.end_call(second, HistorySign(written=9)))
        self.assertTrue(self.tracker.end_call(first, HistorySign(written=8)))

    def test_late_response_of_an_earlier_era_begins_none(self) -> None:
        self.see('1')
        late = self.tracker.start_call()
        self.see('2')
        self.assertFalse(self.tracker.end_call(late, HistorySign('1')))
        self.assertEqual(self.tracker.era, 1)

    def test_call_that_began_before_the_era_is_not_of_it(self) -> None:
        self.see('1')
        early = self.tracker.start_call()
        self.see('2')
        self.assertFalse(self.tracker.end_call(early, HistorySign('2')))

    def test_response_without_a_sign_says_nothing(self) -> None:
        self.see('1')
        start = self.tracker.start_call()
        self.assertTrue(self.tracker.end_call(start, None))
        self.assertFalse(self.see('2'))


class AdapterSignTest(unittest.TestCase):
    """The signs that the two adapters read from responses."""

    def count_restores(self, client: KeyValueStore, metrics: Metrics) -> int:
        """Read a few times; return how many restores were counted."""
        for _ in range(3):
            with suppress(StoreError):
                client.read_prefix('a')
        return int(metrics.read().get('platform.restored', 0))

    def test_users_store_says_it_in_a_header(self) -> None:
        store = SiteStore()
        address = self.enterContext(serving_store(store))
        metrics = Metrics(None)
        client = PlatformStore(address, metrics)
        self.assertEqual(self.count_restores(client, metrics), 0)
        store.restore(store.make_copy())
        self.assertEqual(self.count_restores(client, metrics), 1)

    def test_odd_header_says_nothing(self) -> None:
        store = SiteStore()
        address = self.enterContext(serving_store(store))
        metrics = Metrics(None)
        client = PlatformStore(address, metrics)
        self.assertEqual(self.count_restores(client, metrics), 0)
        for era in ('', '-1', '1.5', 'new', '9' * 400):
            with mock.patch.object(store, 'era', era):
                self.assertEqual(self.count_restores(client, metrics), 0, era)

    def test_store_without_signs_says_it_by_its_writes(self) -> None:
        store = SiteStore()
        store.era = ''
        address = self.enterContext(serving_store(store))
        client = PlatformStore(address, Metrics(None))
        kept = store.make_copy()
        for _ in range(2):
            client.swap([Write('a', b'1', None)])
        self.assertEqual(client.era, 0)
        store.restore(kept)
        with self.assertRaises(StoreRestored):
            client.swap([Write('a', b'2', None)])
        self.assertEqual(client.era, 1)

    def test_default_store_says_it_by_its_term(self) -> None:
        store = Store()
        handler = type('Handler', (PlatformHandler,), {'store': store})
        address = self.enterContext(serving(handler))
        metrics = Metrics(None)
        client = EtcdStore(address, metrics)
        store.keep_copy()
        self.assertEqual(self.count_restores(client, metrics), 0)
        store.restore_copy()
        self.assertEqual(self.count_restores(client, metrics), 1)


if __name__ == '__main__':
    unittest.main()
