"""What a node does about the manifest that it reads in the store."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_core import manifest as manifests
from kumquathold_core import rules_file
from kumquathold_core.manifest import Manifest, ManifestStep, decide_step
from kumquathold_core.routing import RouteTable
from kumquathold_node import manifest_store
from kumquathold_node.configuration import (
    Configuration,
    ConfigurationFoundEvent,
)
from kumquathold_node.configuration_reader import ConfigurationReader
from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics
from kumquathold_node.store import ABSENT, Revision, Write
from tests.site_store import SiteStore, serving_store
from tests.support import ASKED, make_rules
from tests.test_site_platform import PlatformStore

VERSION = 4


def make_configuration(version: int, name: str) -> Configuration:
    """Return a version of rules with a workspace of this name."""
    text = make_rules(f'workspace {name} rate=1 burst=1{ASKED}')
    rules = rules_file.parse_rules(text)
    compressed = manifests.compress_text(text)
    return Configuration(
        version=version,
        rules=rules,
        routes=RouteTable.from_rules(rules),
        compressed=compressed,
        digest=manifests.digest_compressed(compressed),
    )


def make_manifest(configuration: Configuration) -> Manifest:
    """Return the manifest of a configuration, as an operator accepts it."""
    return manifest_store.make_manifest(
        configuration.version,
        configuration.compressed,
        author='me',
        note='test',
    )


class DecideStepTest(unittest.TestCase):
    """The decision, without a store."""

    def decide(self, version: int, name: str) -> ManifestStep:
        """Decide on a manifest beside version 4 of the rules `own`."""
        own = make_configuration(VERSION, 'own')
        found = make_manifest(make_configuration(version, name))
        return decide_step(found, own.version, own.digest)

    def test_higher_version_is_adopted(self) -> None:
        self.assertEqual(self.decide(VERSION + 1, 'own'), ManifestStep.adopt)
        self.assertEqual(self.decide(VERSION + 1, 'other'), ManifestStep.adopt)

    def test_version_in_force_is_confirmed(self) -> None:
        self.assertEqual(self.decide(VERSION, 'own'), ManifestStep.confirm)

    def test_lower_version_and_none_are_replaced(self) -> None:
        self.assertEqual(
            self.decide(VERSION - 1, 'other'), ManifestStep.put_back
        )
        self.assertEqual(decide_step(None, VERSION, 'd'), ManifestStep.put_back)

    def test_same_version_of_another_text_gets_the_next_version(self) -> None:
        self.assertEqual(self.decide(VERSION, 'other'), ManifestStep.renumber)

    def test_nothing_is_to_be_done_before_the_first_acceptance(self) -> None:
        self.assertEqual(decide_step(None, 0, 'd'), ManifestStep.confirm)


class ReaderTest(unittest.TestCase):
    """The steps of a reader beside a store."""

    def setUp(self) -> None:
        self.site = SiteStore()
        address = self.enterContext(serving_store(self.site))
        self.store = PlatformStore(address, Metrics(None))
        self.own = make_configuration(VERSION, 'own')
        self.found: list[Configuration] = []
        self.proofs: list[int] = []
        kernel = Kernel()
        kernel.register('store', self.store)
        kernel.register('metrics', Metrics(None))
        kernel.register('membership', None)
        kernel.register(
            'freshness',
            SimpleNamespace(
                record_proof=lambda one, _: self.proofs.append(one)
            ),
        )
        kernel.register(
            'configuration', SimpleNamespace(current=self.own, task=self)
        )
        settings: Any = SimpleNamespace(region='north', peer='10.0.0.1:1')
        self.reader = ConfigurationReader(kernel, settings)

    def post(self, event: ConfigurationFoundEvent) -> None:
        """Record a configuration to adopt, as the service's task."""
        self.found.append(event.configuration)

    def accept(
        self, configuration: Configuration, expected: Revision = ABSENT
    ) -> None:
        """Write a configuration to the store."""
        manifest_store.write_text(self.store, configuration.compressed)
        manifest = make_manifest(configuration)
        swap = manifest_store.swap_manifest(self.store, manifest, expected)
        self.assertTrue(swap.succeeded)

    def read_stored(self) -> Configuration:
        """Return the configuration that the store holds."""
        stored = manifest_store.read_manifest(self.store)
        assert stored is not None
        manifest = manifest_store.decode_manifest(stored)
        return self.reader.read_configuration(manifest)

    def test_version_in_force_is_put_back_and_then_proved(self) -> None:
        self.accept(make_configuration(VERSION - 1, 'older'))
        self.reader.poll()
        self.assertEqual(self.read_stored(), self.own)
        self.assertEqual(self.proofs, [])
        self.reader.poll()
        self.assertEqual(self.proofs, [VERSION])
        self.assertEqual(self.found, [])

    def test_version_in_force_is_put_back_into_an_empty_store(self) -> None:
        self.reader.poll()
        self.assertEqual(self.read_stored(), self.own)

    def test_text_accepted_under_a_taken_version_is_not_lost(self) -> None:
        other = make_configuration(VERSION, 'other')
        self.accept(other)
        self.reader.poll()
        stored = self.read_stored()
        self.assertEqual(stored.version, VERSION + 1)
        self.assertEqual(stored.digest, other.digest)
        self.assertEqual(self.found, [stored])

    def test_old_read_replaces_nothing(self) -> None:
        self.accept(make_configuration(VERSION - 1, 'older'))
        old = manifest_store.read_manifest(self.store)
        assert old is not None
        newer = make_configuration(VERSION + 1, 'newer')
        self.accept(newer, old.mod_revision)
        self.reader._put_back(old, self.own)
        self.assertEqual(self.read_stored(), newer)

    def test_reader_follows_a_store_that_does_not_say_it_was_restored(
        self,
    ) -> None:
        self.site.era = ''
        self.accept(make_configuration(VERSION - 1, 'older'))
        kept = self.site.make_copy()
        self.reader.poll()
        for _ in range(5):
            self.store.swap([Write('other', b'x', None)])
        self.reader.poll()
        self.proofs.clear()
        self.site.restore(kept)
        for _ in range(4):
            self.reader.poll()
        self.assertEqual(self.read_stored(), self.own)
        self.assertEqual(self.proofs[-1:], [VERSION])

    def test_reader_ignores_reads_from_the_past(self) -> None:
        self.accept(self.own)
        kept = self.site.make_copy()
        self.store.swap([Write('other', b'x', None)])
        self.reader.poll()
        self.proofs.clear()
        past = SiteStore()
        past.restore(kept)
        with mock.patch.object(self.site, 'on_key', past.on_key):
            for _ in range(3):
                self.reader.poll()
        self.assertEqual(self.proofs, [])
        self.assertEqual(self.store.era, 0)

    def test_manifest_without_its_text_ends_no_poll(self) -> None:
        manifest = make_manifest(make_configuration(VERSION + 1, 'lost'))
        manifest_store.swap_manifest(self.store, manifest, ABSENT)
        self.reader.poll()
        self.assertEqual(self.found, [])


if __name__ == '__main__':
    unittest.main()
