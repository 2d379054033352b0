"""A configuration beside a store that comes back from an older copy."""

from __future__ import annotations

import time
import unittest

from kumquathold_cli import changes
from kumquathold_core import store_keys
from kumquathold_core.freshness_tracker import MAX_PROOF_AGE_SECONDS
from kumquathold_node import acceptance
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from tests.site_store import StoreCopy
from tests.support import ASKED, make_rules, small_spec
from tests.test_acceptance import LossyStore, make_acceptance_kernel
from tests.test_configuration_fleet import (
    PROPAGATION_TIMEOUT_SECONDS,
    VersionObserver,
)
from tests.test_silent_store import IN_FORCE_SECONDS, WatchStage
from tests.test_site_platform import configuration, make_config


def read_texts(fleet: Fleet) -> list[str]:
    """Return the rules that each node has in force."""
    return [changes.fetch_accepted_text(node.client)[1] for node in fleet.nodes]


class RestoredWatchTest(WatchStage):
    """The watch of a configuration that operators write to the store."""

    def change(self, version: str) -> None:
        """Write a version of the configuration."""
        changed = make_config(configVersion=version)
        self.store.put(configuration.CONFIGURATION_KEY, changed.encode())

    def restore_and_pass_the_revision(self) -> None:
        """Restore a copy while a watch waits; pass its revision again."""
        wait_until(lambda: 'watch' in self.store.calls, 'watch')
        kept = self.store.make_copy()
        for _ in range(4):
            self.store.put('other', b'x')
        wait_until(lambda: self.store.calls.count('watch') > 1, 'next watch')
        self.store.restore(kept)
        self.change('0000000d')
        for _ in range(8):
            self.store.put('other', b'x')

    def test_change_whose_revision_was_given_out_before_is_found(self) -> None:
        self.restore_and_pass_the_revision()
        wait_until(
            lambda: 13 in self.versions, 'newer version', IN_FORCE_SECONDS
        )

    def test_change_after_several_restores_is_found(self) -> None:
        for _ in range(2):
            self.restore_and_pass_the_revision()
            self.store.calls.clear()
        self.change('0000000f')
        wait_until(
            lambda: 15 in self.versions, 'newer version', IN_FORCE_SECONDS
        )


class RestoredDefaultStoreTest(unittest.TestCase):
    """A fleet on the default store, restored from before a change."""

    def restore_from_before_a_change(self, fleet: Fleet) -> None:
        """Accept version 2, and restore the store as it was before."""
        fleet.accept(make_rules())
        fleet.post_platform('copy')
        fleet.accept(make_rules(f'workspace lost rate=1 burst=1{ASKED}'))
        fleet.post_platform('restore')

    def test_fleet_stays_fresh_and_keeps_the_confirmed_version(self) -> None:
        with running_fleet(small_spec()) as fleet:
            with VersionObserver(fleet) as observer:
                self.restore_from_before_a_change(fleet)
                time.sleep(MAX_PROOF_AGE_SECONDS + 1)
            for node in fleet.nodes:
                status = node.client.get_json('/status')
                self.assertEqual(status['freshness'], 'fresh')
                self.assertEqual(status['config_version'], 2)
            for versions in observer.versions.values():
                self.assertEqual(versions, sorted(versions))

    def test_next_change_is_accepted_and_in_force(self) -> None:
        with running_fleet(small_spec()) as fleet:
            self.restore_from_before_a_change(fleet)
            line = f'workspace next rate=1 burst=1{ASKED}'

            def add_line(text: str) -> str:
                return f'{text}{line}\n'

            changes.edit_accepted_text(fleet.client, add_line, 'edit')
            wait_until(
                lambda: all(
                    'workspace lost' in text and line in text
                    for text in read_texts(fleet)
                ),
                'both changes on each node',
                PROPAGATION_TIMEOUT_SECONDS,
            )

    def test_node_that_starts_after_it_gets_the_confirmed_version(self) -> None:
        with running_fleet(small_spec()) as fleet:
            self.restore_from_before_a_change(fleet)
            node = fleet.nodes[2]
            node.process.kill()
            node.process.restart()
            wait_until(
                lambda: (
                    'workspace lost'
                    in changes.fetch_accepted_text(node.client)[1]
                ),
                'confirmed version on the restarted node',
                2 * PROPAGATION_TIMEOUT_SECONDS,
            )


class RestoredAcceptanceTest(unittest.TestCase):
    """A store that is restored in the middle of an acceptance."""

    def test_manifest_never_names_a_text_that_the_store_lost(self) -> None:
        store = RestoringStore(self)
        kernel = make_acceptance_kernel(store)
        proposal = acceptance.Proposal(make_rules(), 0, 'me', 'first')
        version = acceptance.accept(kernel, proposal).version
        self.assertEqual(version, 1)
        self.assertIn(store_keys.MANIFEST_KEY, store.site.items)
        chunks = [key for key in store.site.items if 'config/chunk/' in key]
        self.assertEqual(len(chunks), 1)


class RestoringStore(LossyStore):
    """A store that is restored as the first manifest is written."""

    def __init__(self, case: unittest.TestCase) -> None:
        super().__init__(case)
        self.loses_reply = False
        self.kept: StoreCopy | None = self.site.make_copy()

    def before_switch(self) -> None:
        """Restore the store, once."""
        if self.kept is not None:
            self.site.restore(self.kept)
            self.kept = None


if __name__ == '__main__':
    unittest.main()
