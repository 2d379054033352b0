"""Demonstration of a fleet on loopback, driven by the command line.

Exits with 0 only if all checks passed, and leaves no process behind.
"""

from __future__ import annotations

import subprocess  # noqa: S404
import sys
import time
from pathlib import Path

import click
import msgspec

from kumquathold_standins import fleet as fleets
from kumquathold_standins import fleet_spec, loopback
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet
from kumquathold_standins.fleet_spec import Spec
from kumquathold_standins.load import Stream, StreamResult, run_load

LOAD_SECONDS = 8.0
MAX_WITHDRAWAL_SECONDS = 5.0
SERVICES = ('diffs', 'baselines', 'intake')
WORKSPACE_RATES = {
    'retail-bangkok': 40,
    'studio-chiangmai': 12,
    'shop-phuket': 12,
}
"""Requests a second of each workspace; of the hot one, its rate limit."""

HOT_WORKSPACE = 'shop-phuket'
HOT_FACTOR = 5
"""Load of the hot workspace, as a multiple of its rate limit."""
HOT_WORKERS = 64

RULES = """\
service diffs floor=60%               # asked by Ploy
service baselines floor=67%           # asked by Ploy
service intake floor=50%              # asked by Anan
route GET /diffs/* service=diffs      # asked by Ploy
route POST /approvals service=baselines once  # asked by Ploy
route PUT /screenshots/* service=intake idempotent body=8MB  # asked by Anan
route GET /health service=diffs public  # asked by Anan
workspace retail-bangkok rate=100 burst=100 weight=2  # asked by Ploy
workspace studio-chiangmai rate=40 burst=40  # asked by Ploy
workspace shop-phuket rate=12 burst=12  # asked by Anan
"""


class Check(msgspec.Struct, frozen=True):
    """Result of one check of the demonstration."""

    requirement: str
    """What must hold."""

    has_passed: bool
    """Whether it held."""

    observed: str
    """Figures that were observed."""


class Operator:
    """Runs the `kumquathold` command against one node."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the first node of `fleet`."""
        self.fleet = fleet

    def run(self, *arguments: str) -> str:
        """Run a command and return its output; raises `FleetError`."""
        secret = self.fleet.secret_files['operator']
        completed = subprocess.run(  # noqa: S603
            [
                sys.executable,
                '-m',
                'kumquathold_cli.main',
                '--node',
                self.fleet.nodes[0].admin,
                '--operator',
                'demo',
                '--operator-secret-file',
                str(secret),
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=30,
        )
        if completed.returncode:
            raise loopback.FleetError(
                f'command {arguments} failed: {completed.stderr}',
            )
        return completed.stdout


def run_scenarios(fleet: Fleet) -> list[Check]:
    """Configure the fleet, run all scenarios and return their checks."""
    operator = Operator(fleet)
    rules = Path(fleet.directory) / 'demo.rules'
    rules.write_text(RULES)
    operator.run('check', str(rules))
    click.echo(operator.run('accept', str(rules), '--note', 'demo').strip())
    keys = {
        name: operator.run('key', 'issue', name).strip()
        for name in WORKSPACE_RATES
    }
    fleet.wait_for_rate_holders()
    checks = []
    checks.extend(demonstrate_rate_limits(fleet, keys))
    checks.append(demonstrate_once_only(fleet, keys['retail-bangkok']))
    checks.append(demonstrate_withdrawal(fleet, operator, keys['shop-phuket']))
    click.echo(operator.run('status'))
    return checks


def demonstrate_rate_limits(fleet: Fleet, keys: dict[str, str]) -> list[Check]:
    """Send load of all workspaces through all nodes, and check the results."""
    addresses = tuple(node.callers for node in fleet.nodes)
    direct = tuple(
        one.address for one in fleet.upstreams if one.service == 'diffs'
    )
    streams = [
        Stream(name, keys[name], addresses, rate, path='/diffs/{n}')
        for name, rate in WORKSPACE_RATES.items()
        if name != HOT_WORKSPACE
    ]
    streams.append(
        Stream(
            HOT_WORKSPACE,
            keys[HOT_WORKSPACE],
            addresses,
            WORKSPACE_RATES[HOT_WORKSPACE] * HOT_FACTOR,
            path='/diffs/{n}',
            workers=HOT_WORKERS,
        ),
    )
    streams.append(Stream('directly', '', direct, 60, path='/diffs/{n}'))
    results = run_load(streams, LOAD_SECONDS)
    print_table(results)
    return check_load({one.name: one for one in results})


def check_load(results: dict[str, StreamResult]) -> list[Check]:
    """Check that only the workspace above its rate limit is limited."""
    hot = results[HOT_WORKSPACE]
    allowed = WORKSPACE_RATES[HOT_WORKSPACE] * (hot.seconds + 1)
    checks = [
        Check(
            'the hot workspace stays within rate and burst',
            bool(hot.answered) and hot.answered <= allowed,
            f'{hot.answered} answered, {allowed:.0f} allowed',
        ),
    ]
    for name in ('retail-bangkok', 'studio-chiangmai'):
        one = results[name]
        checks.append(
            Check(
                f'every request of {name} is answered',
                bool(one.sent) and one.answered == one.sent,
                f'{one.answered} of {one.sent}',
            ),
        )
    return checks


def print_table(results: list[StreamResult]) -> None:
    """Print the results of each stream.

    Added latency is relative to the last stream, which calls the upstreams
    directly.
    """
    directly = results[-1]
    click.echo(
        f'{"workspace":<18}{"requests":>9}{"answered":>9}'
        f'{"added p50":>11}{"added p99":>11}  refused by reason',
    )
    for one in results:
        added = [
            one.percentile(percent) - directly.percentile(percent)
            for percent in (50, 99)
        ]
        refused = ', '.join(
            f'{reason} {count}' for reason, count in one.refused.items()
        )
        click.echo(
            f'{one.name:<18}{one.sent:>9}{one.answered:>9}'
            f'{added[0]:>8.1f} ms{added[1]:>8.1f} ms  {refused or "-"}',
        )


def demonstrate_once_only(fleet: Fleet, key: str) -> Check:
    """Send a once-only request twice, through nodes of two regions."""
    headers = {'Idempotency-Key': 'approval-1', 'X-Operation': 'approval-1'}
    caller = Caller(key)
    responses = [
        caller.send(
            node.callers,
            'POST',
            '/approvals',
            body=b'{"screen": 7}',
            headers=headers,
        )
        for node in (fleet.nodes[0], fleet.nodes[-1])
    ]
    runs = len(fleet.runs_of('approval-1'))
    is_same = responses[0].body == responses[1].body
    has_passed = runs == 1 and is_same and responses[0].status == 200
    return Check(
        'an approval sent twice runs once, with the same response',
        has_passed,
        f'{runs} run, statuses {[one.status for one in responses]}',
    )


def demonstrate_withdrawal(fleet: Fleet, operator: Operator, key: str) -> Check:
    """Withdraw a key, and measure how long until all nodes refuse it."""
    operator.run('key', 'withdraw', key.split('_')[1])
    started_at = time.monotonic()
    caller = Caller(key)

    def is_refused_everywhere() -> bool:
        responses = [
            caller.send(node.callers, 'GET', '/diffs/1') for node in fleet.nodes
        ]
        return all(one.reason == 'key-unknown' for one in responses)

    loopback.wait_until(is_refused_everywhere, 'withdrawal')
    seconds = time.monotonic() - started_at
    return Check(
        'a withdrawn key is refused everywhere within 5 s',
        seconds <= MAX_WITHDRAWAL_SECONDS,
        f'{seconds:.2f} s after the command',
    )


@click.command()
def main() -> None:
    """Demonstrate a fleet of six nodes in six zones."""
    started_at = time.monotonic()
    spec = Spec(vms=fleet_spec.six_zones(*SERVICES))
    with fleets.running_fleet(spec) as fleet:
        click.echo(
            f'{len(fleet.nodes)} nodes, {len(fleet.upstreams)} upstreams, '
            f'{len(fleet.spec.regions)} regions',
        )
        checks = run_scenarios(fleet)
        processes = list(fleet.processes)
    running = sum(one.popen.poll() is None for one in processes)
    checks.append(
        Check('no process is left behind', not running, f'{running} left'),
    )
    for check in checks:
        verdict = 'ok    ' if check.has_passed else 'FAILED'
        click.echo(f'{verdict} {check.requirement} ({check.observed})')
    click.echo(f'{time.monotonic() - started_at:.0f} s')
    sys.exit(0 if all(check.has_passed for check in checks) else 1)


if __name__ == '__main__':
    main()
