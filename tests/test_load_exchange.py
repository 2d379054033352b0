"""Which peers are told of loads, and of how many."""

from __future__ import annotations

import unittest
from time import monotonic
from types import SimpleNamespace
from typing import Any

from kumquathold_core.identity import UpstreamRecord
from kumquathold_core.load_table import KnownLoad, LoadReport, hash_name
from kumquathold_node.kernel import Kernel
from kumquathold_node.load_exchange import LoadExchange
from tests.support import make_node_record

LIMIT = 20
UPSTREAMS = 30


class LoadExchangeTest(unittest.TestCase):
    """A node in zone `a` with peers there and in zone `b`."""

    def make_exchange(self, limit: int = LIMIT) -> LoadExchange:
        """Make the exchange of a node that has one upstream."""
        kernel = Kernel()
        own = [('own', KnownLoad(3, 0.1, 0.5, monotonic()))]
        kernel.register('owner', SimpleNamespace(list_loads=lambda _: own))
        settings: Any = SimpleNamespace(load_reports=limit, zone='a')
        exchange = LoadExchange(kernel, settings)
        exchange.merge(
            LoadReport(hash_name(f'u{number}'), 1, 3, 500, 100, 0)
            for number in range(UPSTREAMS)
        )
        return exchange

    def make_view(self, *suspects: str) -> Any:
        """Make the view of the fleet; `own` and two others are in zone `a`."""
        upstreams = tuple(
            UpstreamRecord(name, 's', 4, ready=True, leaving=False)
            for name in ('own', 'u0', 'u1')
        )
        nodes = {
            'near': make_node_record('near', 'a', upstreams=upstreams),
            'far': make_node_record('far', 'b'),
        }
        return SimpleNamespace(
            nodes=tuple(nodes.values()),
            by_address=nodes,
            suspects=frozenset(suspects),
            change_count=1,
        )

    def test_peers_of_the_zone_get_the_newest_loads(self) -> None:
        reports = self.make_exchange().make_reports(self.make_view(), 'near')
        self.assertEqual(len(reports), LIMIT)
        self.assertEqual(reports[0].key, hash_name('own'))

    def test_other_zones_get_a_few_of_the_own_zone(self) -> None:
        """Traffic between zones is billed."""
        reports = self.make_exchange().make_reports(self.make_view(), 'far')
        self.assertEqual(len(reports), LIMIT // 10)
        known = {hash_name(name) for name in ('own', 'u0', 'u1')}
        self.assertLessEqual({one.key for one in reports}, known)

    def test_peers_that_may_be_lost_get_none(self) -> None:
        """While a region is cut off there are many heartbeats to them."""
        exchange = self.make_exchange()
        view = self.make_view('near')
        self.assertEqual(exchange.make_reports(view, 'near'), ())
        self.assertEqual(exchange.make_reports(view, 'gone'), ())
        self.assertEqual(exchange.make_route_reports(view, 'gone'), ())

    def test_nothing_is_told_without_the_setting(self) -> None:
        exchange = self.make_exchange(limit=0)
        self.assertEqual(exchange.make_reports(self.make_view(), 'near'), ())
        self.assertIsNone(exchange.find('u0'))
