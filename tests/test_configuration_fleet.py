"""An accepted configuration is in force everywhere and never reverts."""

from __future__ import annotations

import threading
import time
import unittest

from kumquathold_cli import changes
from kumquathold_cli.client import CallRefused, ClientError
from kumquathold_standins.fleet import Fleet, Node, running_fleet, wait_until
from tests.support import ASKED, make_rules, small_spec

BOUND_SECONDS = 5.0


def version_of(node: Node) -> int:
    """The version that a node has in force."""
    return int(node.client.get_json('/status')['config_version'])


class VersionWatch:
    """Notes every version that any node reports, to see one go back."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.seen: dict[str, list[int]] = {
            node.peer: [0] for node in fleet.nodes
        }
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._watch)

    def __enter__(self) -> VersionWatch:
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_over.set()
        self.thread.join()

    def _watch(self) -> None:
        while not self.is_over.is_set():
            for node in self.fleet.nodes:
                try:
                    version = version_of(node)
                except ClientError:
                    version = self.seen[node.peer][-1]
                self.seen[node.peer].append(version)
            time.sleep(0.05)


class ConfigurationTest(unittest.TestCase):
    """Operators race, the platform fails, regions are cut."""

    def assert_never_back(self, watch: VersionWatch) -> None:
        for versions in watch.seen.values():
            self.assertEqual(versions, sorted(versions))

    def test_racing_operators_get_one_winner_each(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            outcomes: list[str] = []

            def race(node: Node, number: int) -> None:
                line = f'workspace racer{number} rate=1 burst=1{ASKED}'
                try:
                    changes.accept_text(
                        node.client,
                        make_rules(line),
                        1,
                        'race',
                    )
                except changes.VersionConflict as lost:
                    outcomes.append('lost')
                    self.assertIn('racer', lost.diff)
                else:
                    outcomes.append('won')

            threads = [
                threading.Thread(target=race, args=(node, number))
                for number, node in enumerate(fleet.nodes * 2)
            ]
            with VersionWatch(fleet) as watch:
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
            self.assert_never_back(watch)

    def test_racing_edits_all_take_effect(self) -> None:
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

    def test_lost_reply_of_the_store_is_resolved_by_reading(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            for version in range(2, 5):
                line = f'workspace v{version} rate=1 burst=1{ASKED}'
                # The text's own write goes first; the switch is the second.
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

    def test_cut_region_catches_up_and_nothing_goes_back(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            *rest, far = fleet.nodes
            with VersionWatch(fleet) as watch:
                fleet.cut([far], rest)
                fleet.cut(rest, [far])
                fleet.cut_store([far])
                line = f'workspace later rate=1 burst=1{ASKED}'
                changes.accept_text(fleet.client, make_rules(line), 1, 'cut')
                wait_until(
                    lambda: all(version_of(one) == 2 for one in rest),
                    'version 2 on the near side',
                    BOUND_SECONDS,
                )
                self.assertEqual(version_of(far), 1)
                fleet.heal()
                wait_until(
                    lambda: version_of(far) == 2,
                    'version 2 after healing',
                    BOUND_SECONDS,
                )
            self.assert_never_back(watch)

    def test_older_revision_of_the_platform_changes_nothing(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.set_platform(older=True)
            line = f'workspace newer rate=1 burst=1{ASKED}'
            with VersionWatch(fleet) as watch:
                changes.accept_text(fleet.client, make_rules(line), 1, 'newer')
                wait_until(
                    lambda: all(version_of(one) == 2 for one in fleet.nodes),
                    'version 2 everywhere',
                    BOUND_SECONDS,
                )
                time.sleep(2)
            self.assert_never_back(watch)

    def test_node_starts_from_peers_with_the_platform_down(self) -> None:
        with running_fleet(small_spec()) as fleet:
            fleet.accept(make_rules())
            node = fleet.nodes[2]
            node.process.kill()
            fleet.set_platform(down=True)
            node.process.arguments.extend(('--join', fleet.nodes[0].peer))
            node.process.restart()
            wait_until(
                lambda: version_of(node) == 1,
                'configuration from a peer',
                2 * BOUND_SECONDS,
            )
            wait_until(
                lambda: len(node.client.get_json('/status')['nodes']) == 3,
                'membership from a peer',
                2 * BOUND_SECONDS,
            )
