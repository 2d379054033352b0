"""Tests of the operators' command line and of the node's settings."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from kumquathold_cli import command_support
from kumquathold_cli import main as cli
from kumquathold_node import settings as node_settings
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.loopback import wait_until
from tests.support import ASKED, KEYS, make_rules, small_spec

WHERE_REQUESTS = 20


class CommandLineTest(unittest.TestCase):
    """Each command against a running fleet."""

    fleet: Fleet
    directory: Path

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = cls.enterClassContext(running_fleet(small_spec()))
        cls.directory = Path(
            cls.enterClassContext(tempfile.TemporaryDirectory()),
        )
        first = cls.directory / 'first.rules'
        first.write_text(make_rules())
        cls.run_on(cls.fleet, 'accept', str(first), '--note', 'first')
        cls.fleet.wait_for_rate_holders()

    @staticmethod
    def run_on(fleet: Fleet, *arguments: str) -> Result:
        """Run a command against the first node."""
        return CliRunner().invoke(
            cli.main,
            [
                '--node',
                fleet.nodes[0].admin,
                '--operator',
                'oyun',
                '--operator-secret-file',
                str(fleet.secret_files['operator']),
                *arguments,
            ],
        )

    def run_command(self, *arguments: str) -> Result:
        return self.run_on(self.fleet, *arguments)

    def save(self, text: str) -> str:
        path = self.directory / 'edited.rules'
        path.write_text(text)
        return str(path)

    def test_check_needs_no_node_and_reports_every_error(self) -> None:
        path = self.save('service s\nroute GET x service=t # asked by x\n')
        result = CliRunner().invoke(cli.main, ['check', path, '--json'])
        self.assertEqual(result.exit_code, command_support.EXIT_RULES_INVALID)
        errors = json.loads(result.stdout)
        self.assertEqual([one['line'] for one in errors], [1, 2])
        self.assertTrue(all(one['instead'] for one in errors))

    def test_edit_round_trip(self) -> None:
        shown = self.run_command('show').stdout
        line = f'workspace extra rate=1 burst=1{ASKED}\n'
        path = self.save(shown + line)
        difference = self.run_command('diff', path)
        self.assertIn('+workspace extra', difference.stdout)
        accepted = self.run_command('accept', path, '--json')
        self.assertEqual(accepted.exit_code, 0, accepted.output)
        version = json.loads(accepted.stdout)['version']
        saved = Path(path).read_text()
        self.assertTrue(saved.startswith(f'# version: {version}\n'))
        history = json.loads(self.run_command('history', '--json').stdout)
        self.assertEqual(history[0]['version'], version)
        self.assertEqual(history[0]['author'], 'oyun')

    def test_conflict_shows_the_other_change(self) -> None:
        shown = self.run_command('show').stdout
        first = self.save(f'{shown}workspace fast rate=1 burst=1{ASKED}\n')
        self.assertEqual(self.run_command('accept', first).exit_code, 0)
        late = self.save(f'{shown}workspace late rate=1 burst=1{ASKED}\n')
        result = self.run_command('accept', late)
        self.assertEqual(result.exit_code, command_support.EXIT_CONFLICT)
        self.assertIn('+workspace fast', result.output)

    def test_key_is_issued_once_and_withdrawn(self) -> None:
        key = self.run_command('key', 'issue', 'dealers').stdout.strip()
        caller = Caller(key)
        for node in self.fleet.nodes:
            answer = caller.send(node.callers, 'GET', '/diffs/1')
            self.assertEqual(answer.status, 200, answer)
        self.assertNotIn(key, self.run_command('show').stdout)
        withdrawn = self.run_command('key', 'withdraw', key.split('_')[1])
        self.assertEqual(withdrawn.exit_code, 0, withdrawn.output)
        for node in self.fleet.nodes:
            answer = caller.send(node.callers, 'GET', '/diffs/1')
            self.assertEqual(answer.reason, 'key-unknown')

    def test_unknown_names_are_refused(self) -> None:
        for arguments in (
            ('key', 'issue', 'nobody'),
            ('key', 'withdraw', 'nothing'),
            ('once', 'show', 'dealers', 'nothing'),
            ('show', '--version', '999'),
        ):
            result = self.run_command(*arguments)
            self.assertEqual(
                result.exit_code, command_support.EXIT_FAILED, arguments
            )
            self.assertTrue(result.output.strip(), arguments)

    def test_status_and_explain(self) -> None:
        status = self.run_command('status')
        self.assertEqual(status.output.count('listings@'), 3)
        explained = json.loads(
            self.run_command(
                'explain',
                'GET',
                '/diffs/7',
                '--workspace',
                'dealers',
            ).stdout,
        )
        self.assertEqual(explained['route']['path'], '/diffs/*')
        self.assertEqual(len(explained['upstreams']), 3)
        self.assertIsNone(explained['would_be_refused'])

    def test_where_names_the_upstream_that_gets_the_requests(self) -> None:
        """A second copy of the decision would drift from the real one."""
        arguments = ('where', 'GET', '/diffs/7', '--workspace', 'dealers')
        node = self.fleet.nodes[0]
        caller = Caller(KEYS['dealers'])
        hits = 0
        for _ in range(WHERE_REQUESTS):
            caller.send(node.callers, 'GET', '/diffs/7')
            shown = json.loads(self.run_command(*arguments, '--json').stdout)
            (service,) = shown['services']
            first = service['placement']['candidates'][0]['candidate']
            before = len(self.fleet.ledger())
            caller.send(node.callers, 'GET', '/diffs/7')
            (run,) = self.fleet.ledger()[before:]
            hits += run.upstream == first['upstream']
        self.assertGreaterEqual(hits, 0.9 * WHERE_REQUESTS)
        table = self.run_command(*arguments).output
        self.assertIn('north-a', table)
        self.assertIn('/diffs/*', table)

    def test_where_refuses_what_is_unknown(self) -> None:
        for arguments in (
            ('where', 'GET', '/nowhere', '--workspace', 'dealers'),
            ('where', 'GET', '/diffs/7', '--workspace', 'nobody'),
        ):
            result = self.run_command(*arguments)
            self.assertEqual(
                result.exit_code, command_support.EXIT_FAILED, arguments
            )
            self.assertIn('CallRefused: no ', result.output)

    def test_zone_is_evacuated_and_restored_by_commands(self) -> None:
        for action in ('evacuate', 'evacuate', 'restore', 'restore'):
            result = self.run_command('zone', action, 'east-a')
            self.assertEqual(result.exit_code, 0, result.output)
            rules = self.run_command('show').output
            self.assertEqual('zone east-a evacuated' in rules, action[0] == 'e')
        result = self.run_command('zone', 'evacuate', 'nowhere')
        self.assertEqual(result.exit_code, command_support.EXIT_FAILED)
        self.assertIn('UnknownZone', result.output)

    def test_unreachable_node_is_reported(self) -> None:
        secret = str(self.fleet.secret_files['operator'])
        result = CliRunner().invoke(
            cli.main,
            [
                '--node',
                '127.0.0.1:9',
                '--operator-secret-file',
                secret,
                'status',
            ],
        )
        self.assertEqual(result.exit_code, command_support.EXIT_FAILED)
        self.assertIn('NodeUnreachable', result.output)


class DrainTest(unittest.TestCase):
    """Drain of a node by an operator's command."""

    def test_drained_node_exits_and_others_serve(self) -> None:
        with running_fleet(small_spec(quiet=0.3)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            result = CommandLineTest.run_on(fleet, 'drain')
            self.assertEqual(result.exit_code, 0, result.output)
            self.assertEqual(fleet.nodes[0].process.wait(30), 0)
            wait_until(
                lambda: (
                    Caller(KEYS['dealers'])
                    .send(fleet.nodes[1].callers, 'GET', '/diffs/1')
                    .status
                    == 200
                ),
                'answer through another node',
            )


class SettingsTest(unittest.TestCase):
    """Every setting is checked, and all errors are reported at once."""

    def test_all_errors_are_reported(self) -> None:
        given = node_settings.Settings(
            peer='localhost:1',
            callers='10.0.0.1:0',
            admin='10.0.0.1:70000',
            announce='10.0.0.1',
            platform='10.0.0.1:80',
            zone='',
            region='moon',
            store_region='north',
            regions=('north', 'east'),
            fleet_secret=b'x' * 16,
            operator_secret=b'x' * 16,
            threads=0,
            rate_term=0.5,
        )
        with self.assertRaises(node_settings.SettingsErrors) as caught:
            node_settings.check_settings(given)
        flags = {
            one.flag for one in node_settings.flatten_errors(caught.exception)
        }
        self.assertEqual(
            flags,
            {
                '--peer',
                '--callers',
                '--admin',
                '--announce',
                '--zone',
                '--region',
                '--threads',
                '--rate-term',
            },
        )

    def test_short_or_missing_secrets_are_refused(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            short = Path(directory) / 'short'
            short.write_text('short')
            for path in (short, Path(directory) / 'missing'):
                with self.assertRaises(node_settings.SettingsError):
                    node_settings.read_secret('--secret', str(path))
