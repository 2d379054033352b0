"""Tests that an accepted configuration reaches every node and never reverts."""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_cli import changes
from kumquathold_cli.client import CallRefused, ClientError
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from kumquathold_standins.processes import Node
from tests.support import ASKED, make_rules, small_spec

PROPAGATION_TIMEOUT_SECONDS = 5.0


def read_version(node: Node) -> int:
    """Return the configuration version that a node has in force."""
    return int(node.client.get_json('/status')['config_version'])


class VersionObserver:
    """Records the versions that each node reports, to detect a rollback."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.versions: dict[str, list[int]] = {
            node.peer: [0] for node in fleet.nodes
        }
        self.is_stopped = threading.Event()
        self.thread = threading.Thread(target=self._poll_versions)

    def __enter__(self) -> VersionObserver:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_stopped.set()
        self.thread.join()

    def _poll_versions(self) -> None:
        while not self.is_stopped.is_set():
            for node in self.fleet.nodes:
                try:
                    version = read_version(node)
                except ClientError:
                    version = self.versions[node.peer][-1]
                self.versions[node.peer].append(version)
            time.sleep(0.05)


class ConfigurationTest(unittest.TestCase):
    """Concurrent changes, outages of the store and network partitions."""

    def assert_no_rollback(self, observer: VersionObserver) -> None:
        for versions in observer.versions.values():
            self.assertEqual(versions, sorted(versions))

    def test_one_of_several_concurrent_changes_is_accepted(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            outcomes: list[str] = []

            def submit_change(node: Node, number: int) -> None:
                line = f'workspace racer{number} rate=1 burst=1{ASKED}'
                try:
                    changes.accept_text(
                        node.client,
                        make_rules(line),
                        1,
                        'race',
                    )
                except changes.VersionConflict as conflict:
                    outcomes.append('lost')
                    self.assertIn('racer', conflict.diff)
                else:
                    outcomes.append('won')

            threads = [
                threading.Thread(target=submit_change, args=(node, number))
                for number, node in enumerate(fleet.nodes * 2)
            ]
            with VersionObserver(fleet) as observer:
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                fleet.wait_in_force(2)
            self.assertEqual(outcomes.count('won'), 1, outcomes)
            texts = {
                changes.fetch_accepted_text(node.client) for node in fleet.nodes
            }
            self.assertEqual(len(texts), 1)
            self.assert_no_rollback(observer)

    def test_concurrent_edits_all_take_effect(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            threads = [
                threading.Thread(
                    target=changes.edit_accepted_text,
                    args=(
                        node.client,
                        lambda text, number=number: (
                            f'{text}workspace w{number} rate=1 burst=1{ASKED}\n'
                        ),
                        'edit',
                    ),
                )
                for number, node in enumerate(fleet.nodes * 2)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            fleet.wait_in_force(1 + len(threads))
            for node in fleet.nodes:
                version, text = changes.fetch_accepted_text(node.client)
                self.assertEqual(version, 1 + len(threads))
                for number, _ in enumerate(threads):
                    self.assertIn(f'workspace w{number} ', text)

    def test_lost_store_reply_is_resolved_by_reading(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            for version in range(2, 5):
                line = f'workspace v{version} rate=1 burst=1{ASKED}'
                # The first write stores the text, the second makes it current.
                fleet.set_platform(lose_replies=version % 2 + 1)
                try:
                    changes.accept_text(
                        fleet.client,
                        make_rules(line),
                        version - 1,
                        'lost reply',
                    )
                except CallRefused as refused:
                    self.assertEqual(refused.error, 'store-unavailable')
                    fleet.set_platform()
                    changes.accept_text(
                        fleet.client,
                        make_rules(line),
                        version - 1,
                        'again',
                    )
                fleet.wait_in_force(version)

    def test_partitioned_region_catches_up_without_a_rollback(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            *others, isolated_node = fleet.nodes
            with VersionObserver(fleet) as observer:
                fleet.cut([isolated_node], others)
                fleet.cut(others, [isolated_node])
                fleet.cut_store([isolated_node])
                line = f'workspace later rate=1 burst=1{ASKED}'
                changes.accept_text(fleet.client, make_rules(line), 1, 'cut')
                wait_until(
                    lambda: all(read_version(node) == 2 for node in others),
                    'version 2 on the near side',
                    PROPAGATION_TIMEOUT_SECONDS,
                )
                self.assertEqual(read_version(isolated_node), 1)
                fleet.heal()
                wait_until(
                    lambda: read_version(isolated_node) == 2,
                    'version 2 after healing',
                    PROPAGATION_TIMEOUT_SECONDS,
                )
            self.assert_no_rollback(observer)

    def test_stale_read_from_the_store_reverts_nothing(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.set_platform(older=True)
            line = f'workspace newer rate=1 burst=1{ASKED}'
            with VersionObserver(fleet) as observer:
                changes.accept_text(fleet.client, make_rules(line), 1, 'newer')
                wait_until(
                    lambda: all(
                        read_version(node) == 2 for node in fleet.nodes
                    ),
                    'version 2 everywhere',
                    PROPAGATION_TIMEOUT_SECONDS,
                )
                time.sleep(2)
            self.assert_no_rollback(observer)

    def test_node_starts_from_peers_while_the_store_is_down(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            node = fleet.nodes[2]
            node.process.kill()
            fleet.set_platform(down=True)
            node.process.arguments.extend(('--join', fleet.nodes[0].peer))
            node.process.restart()
            wait_until(
                lambda: read_version(node) == 1,
                'configuration from a peer',
                2 * PROPAGATION_TIMEOUT_SECONDS,
            )
            wait_until(
                lambda: len(node.client.get_json('/status')['nodes']) == 3,
                'membership from a peer',
                2 * PROPAGATION_TIMEOUT_SECONDS,
            )
