"""A change of the configuration while the connection to the store is silent."""

from __future__ import annotations

import socket
import unittest
from types import SimpleNamespace
from unittest import mock

from kumquathold_node.configuration import ConfigurationFoundEvent
from kumquathold_node.configuration_watch import ConfigurationWatch, WatchedKeys
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.zone_evacuations import ZoneEvacuations
from kumquathold_standins.loopback import (
    loopback_address,
    wait_until,
)
from kumquathold_standins.ports import free_port
from kumquathold_standins.relay import Link, Relay
from tests.site_store import SiteStore, serving_store
from tests.test_site_platform import (
    PlatformStore,
    configuration,
    make_config,
)

CONTACT_SECONDS = 3
"""Time after a fault from which a VM on `tuul-mesh` counts as sound again."""

IN_FORCE_SECONDS = 7.0
"""What is allowed on `tuul-mesh` while the store is in trouble: 2 s and 5 s."""


class StoreConnectionTest(unittest.TestCase):
    """Connections to the store, as the kernel sees them."""

    def test_kernel_probes_a_connection_before_a_vm_counts_as_sound(
        self,
    ) -> None:
        # A relay on loopback can't show it: its kernel answers the probes.
        address = self.enterContext(serving_store(SiteStore()))
        client = PlatformStore(address, Metrics(None))
        client.read('a')
        sock = client.calls.local.connection.sock
        self.addCleanup(sock.close)
        self.assertTrue(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle, interval, probes = (
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
            )
        )
        self.assertLess(idle + interval * probes, CONTACT_SECONDS)


class WatchStage(unittest.TestCase):
    """The store behind a relay that can silence open connections."""

    def setUp(self) -> None:
        self.store = SiteStore()
        self.store.put(configuration.CONFIGURATION_KEY, make_config().encode())
        address = self.enterContext(serving_store(self.store))
        self.link = Link(loopback_address(free_port()), address, delay=0)
        relay = self.enterContext(Relay().running())
        relay.add(('node', 'store'), self.link)
        self.versions: list[int] = []
        self.enterContext(self.make_kernel().running())

    def make_kernel(self) -> Kernel:
        """Return a kernel that follows the configuration, and nothing else."""
        kernel = Kernel()
        metrics = Metrics(None)
        kernel.register('metrics', metrics)
        kernel.register('store', PlatformStore(self.link.listen, metrics))
        kernel.register('freshness', mock.Mock())
        kernel.register('configuration', SimpleNamespace(task=self))
        ZoneEvacuations(kernel)
        ConfigurationWatch(
            kernel,
            WatchedKeys(configuration.CONFIGURATION_KEY),
            configuration.decode_configuration,
        )
        return kernel

    def post(self, event: ConfigurationFoundEvent) -> None:
        """Record a version that was found, as the task that adopts it."""
        self.versions.append(event.configuration.version)


class SilentStoreTest(WatchStage):
    """A connection to the store that goes silent."""

    def test_change_is_found_though_the_watch_has_gone_silent(self) -> None:
        wait_until(lambda: 'watch' in self.store.calls, 'watch')
        self.link.silence()
        changed = make_config(configVersion='0000000d')
        self.store.put(configuration.CONFIGURATION_KEY, changed.encode())
        wait_until(
            lambda: 13 in self.versions, 'newer version', IN_FORCE_SECONDS
        )
