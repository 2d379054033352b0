"""Regions, cold rates and evacuations as the users' platform states them."""

from __future__ import annotations

import json
import unittest
from types import SimpleNamespace
from unittest import mock

from kumquathold_node.configuration import empty_configuration
from kumquathold_node.configuration_watch import (
    ConfigurationWatch,
    UnreadableConfiguration,
    WatchedKeys,
)
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.zone_evacuations import ZoneEvacuations
from kumquathold_standins.loopback import wait_until
from tests.site_announcements import AnnouncementsCase
from tests.site_store import SiteStore, serving_store
from tests.test_site_platform import PlatformStore, configuration, make_config

ZONE_KEY = f'{configuration.EVACUATION_PREFIX}ub-a'
OTHER_KEY = f'{configuration.EVACUATION_PREFIX}dk-b'


class PlaceConfigurationTest(unittest.TestCase):
    """The operators' configuration is decoded into the product's rules."""

    def test_regions_and_cold_rates_are_decoded(self) -> None:
        plain = json.loads(make_config())
        route = {**plain['routes'][0], 'allowedRegions': ['darkhan']}
        tenant = {**plain['tenants'][0], 'allowedRegions': ['darkhan', 'x']}
        service = {**plain['services'][0], 'coldStartS': 3.0, 'coldPerS': 5.5}
        rules = configuration.read_rules(
            make_config(routes=[route], tenants=[tenant], services=[service])
        )
        self.assertEqual(rules.routes[0].regions, ('darkhan',))
        self.assertEqual(rules.workspaces['dealer'].regions, ('darkhan', 'x'))
        self.assertEqual(rules.services['holds'].cold_rate, 5.5)
        self.assertEqual(rules.services['catalog'].cold_rate, 0.0)

    def test_configuration_without_them_binds_nothing(self) -> None:
        rules = configuration.read_rules(make_config())
        self.assertEqual(rules.routes[0].regions, ())
        self.assertEqual(rules.workspaces['dealer'].regions, ())

    def test_odd_regions_are_refused(self) -> None:
        """A bound that cannot be read must not be taken for none."""
        route = json.loads(make_config())['routes'][0]
        for odd in ('darkhan', [1], [''], {'a': 1}):
            with self.assertRaises(UnreadableConfiguration, msg=odd):
                configuration.decode_configuration(
                    make_config(routes=[{**route, 'allowedRegions': odd}])
                )

    def test_downloads_are_idempotent(self) -> None:
        route = json.loads(make_config())['routes'][0]
        route['routeType'] = 'download'
        rules = configuration.read_rules(make_config(routes=[route]))
        self.assertTrue(rules.routes[0].idempotent)

    def test_tenant_without_a_priority_takes_the_routes(self) -> None:
        """It would have the highest one otherwise."""
        tenant = json.loads(make_config())['tenants'][0]
        tenant.pop('priority')
        rules = configuration.read_rules(make_config(tenants=[tenant]))
        self.assertIsNone(rules.workspaces['dealer'].priority)


class WatchedEvacuationsTest(unittest.TestCase):
    """One watch tells of the configuration and of evacuated zones."""

    def setUp(self) -> None:
        self.store = SiteStore()
        self.store.put(configuration.CONFIGURATION_KEY, make_config().encode())
        self.store.put(OTHER_KEY, b'{}')
        self.versions: list[int] = []
        kernel = Kernel()
        metrics = Metrics(None)
        address = self.enterContext(serving_store(self.store))
        kernel.register('metrics', metrics)
        kernel.register('store', PlatformStore(address, metrics))
        kernel.register('freshness', mock.Mock())
        service = SimpleNamespace(task=self, current=empty_configuration())
        kernel.register('configuration', service)
        self.evacuations = ZoneEvacuations(kernel)
        ConfigurationWatch(
            kernel,
            WatchedKeys(
                configuration.CONFIGURATION_KEY,
                configuration.EVACUATION_PREFIX,
            ),
            configuration.decode_configuration,
        )
        self.enterContext(kernel.running())

    def post(self, event: object) -> None:
        """Record a version that was found, as the task that adopts it."""
        found = getattr(event, 'configuration', None)
        assert found is not None  # noqa: S101
        self.versions.append(found.version)

    def wait_for(self, *zones: str) -> None:
        """Wait until exactly these zones are evacuated."""
        wait_until(lambda: self.evacuations.find_zones() == set(zones), 'zones')

    def test_zones_are_evacuated_and_taken_back(self) -> None:
        self.wait_for('dk-b')
        self.store.put(ZONE_KEY, b'{}')
        self.wait_for('dk-b', 'ub-a')
        self.store.put(ZONE_KEY, b'{}')
        self.store.put(f'{configuration.CONFIGURATION_KEY}-other', b'x')
        self.store.remove(OTHER_KEY)
        self.wait_for('ub-a')
        self.store.remove(ZONE_KEY)
        self.wait_for()
        self.assertEqual(set(self.versions), {12})

    def test_history_that_is_gone_is_read_anew(self) -> None:
        """An evacuation could begin or end among the lost changes."""
        self.wait_for('dk-b')
        self.store.remove(OTHER_KEY)
        self.store.put(ZONE_KEY, b'{}')
        self.store.compact_history()
        self.wait_for('ub-a')


class ColdAnnouncementTest(AnnouncementsCase):
    """Heartbeats say how much longer an upstream is cold."""

    def test_time_until_warm_is_passed_to_the_owner(self) -> None:
        path = '/api/instances/i-1/heartbeat'
        body = self.make_heartbeat(coldLeftMs=1500)
        self.assertEqual(self.call(path, body), 200)
        self.assertEqual(self.task.posted[-1].cold_seconds, 1.5)
        body['status'].pop('coldLeftMs')
        self.assertEqual(self.call(path, body), 200)
        self.assertEqual(self.task.posted[-1].cold_seconds, 0.0)

    def test_odd_time_until_warm_is_refused(self) -> None:
        path = '/api/instances/i-1/heartbeat'
        odds: tuple[object, ...] = ('soon', -1, 10**12, [], None)
        for odd in odds:
            body = self.make_heartbeat(coldLeftMs=odd)
            self.assertEqual(self.call(path, body), 400, odd)
        self.assertEqual(self.task.posted, [])
