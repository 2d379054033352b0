"""The demonstration: a whole fleet on loopback, driven as operators would.

Exits 0 only when every check held, and leaves no process behind.
"""

from __future__ import annotations

import subprocess  # noqa: S404
import sys
import time
from pathlib import Path

import click
import msgspec

from kumquathold_standins import fleet as fleets
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, Spec
from kumquathold_standins.load import Result, Stream, run_load

LOAD_SECONDS = 8.0
WITHDRAWAL_SECONDS = 5.0
SERVICES = ('diffs', 'baselines', 'intake')
WORKSPACES = {'retail-bangkok': 40, 'studio-chiangmai': 12, 'shop-phuket': 12}
HOT = 'shop-phuket'
OVER_RATE = 5
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
    """Something that the demonstration must show."""

    what: str
    """In a few words."""

    held: bool
    """Whether it was so."""

    seen: str
    """What was seen."""


class Operator:
    """Runs the operators' command line against one node."""

    def __init__(self, fleet: Fleet) -> None:
        """Use the first node."""
        self.fleet = fleet

    def run(self, *arguments: str) -> str:
        """Run one command and give its output."""
        secret = self.fleet.secret_files['operator']
        done = subprocess.run(  # noqa: S603
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
        if done.returncode:
            raise fleets.FleetError(f'{arguments}: {done.stderr}')
        return done.stdout


def show(fleet: Fleet) -> list[Check]:
    """Drive the fleet, print the table, and give the checks."""
    operator = Operator(fleet)
    rules = Path(fleet.directory) / 'demo.rules'
    rules.write_text(RULES)
    operator.run('check', str(rules))
    click.echo(operator.run('accept', str(rules), '--note', 'demo').strip())
    keys = {
        name: operator.run('key', 'issue', name).strip() for name in WORKSPACES
    }
    fleet.wait_for_rate_holders()
    checks = []
    checks.extend(show_load(fleet, keys))
    checks.append(show_once(fleet, keys['retail-bangkok']))
    checks.append(show_withdrawal(fleet, operator, keys['shop-phuket']))
    click.echo(operator.run('status'))
    return checks


def show_load(fleet: Fleet, keys: dict[str, str]) -> list[Check]:
    """Send requests of all workspaces through all zones."""
    addresses = tuple(node.callers for node in fleet.nodes)
    direct = tuple(
        one.address for one in fleet.upstreams if one.service == 'diffs'
    )
    streams = [
        Stream(name, keys[name], addresses, rate, path='/diffs/{n}')
        for name, rate in WORKSPACES.items()
        if name != HOT
    ]
    streams.append(
        Stream(
            HOT,
            keys[HOT],
            addresses,
            WORKSPACES[HOT] * OVER_RATE,
            path='/diffs/{n}',
            workers=HOT_WORKERS,
        ),
    )
    streams.append(Stream('directly', '', direct, 60, path='/diffs/{n}'))
    results = run_load(streams, LOAD_SECONDS)
    print_table(results)
    return check_load({one.name: one for one in results})


def check_load(results: dict[str, Result]) -> list[Check]:
    """Check that the hot workspace is held and the others are not."""
    hot = results[HOT]
    allowed = WORKSPACES[HOT] * (hot.seconds + 1)
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


def print_table(results: list[Result]) -> None:
    """Print what each stream got, against calling upstreams directly."""
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


def show_once(fleet: Fleet, key: str) -> Check:
    """Send an approval twice, through two regions."""
    headers = {'Idempotency-Key': 'approval-1', 'X-Operation': 'approval-1'}
    caller = Caller(key)
    answers = [
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
    is_same = answers[0].body == answers[1].body
    held = runs == 1 and is_same and answers[0].status == 200
    return Check(
        'an approval sent twice runs once, with the same answer',
        held,
        f'{runs} run, statuses {[one.status for one in answers]}',
    )


def show_withdrawal(fleet: Fleet, operator: Operator, key: str) -> Check:
    """Withdraw a key, and see when the last node refuses it."""
    operator.run('key', 'withdraw', key.split('_')[1])
    started_at = time.monotonic()
    caller = Caller(key)

    def is_refused_everywhere() -> bool:
        answers = [
            caller.send(node.callers, 'GET', '/diffs/1') for node in fleet.nodes
        ]
        return all(one.reason == 'key-unknown' for one in answers)

    fleets.wait_until(is_refused_everywhere, 'withdrawal')
    seconds = time.monotonic() - started_at
    return Check(
        'a withdrawn key is refused everywhere within 5 s',
        seconds <= WITHDRAWAL_SECONDS,
        f'{seconds:.2f} s after the command',
    )


@click.command()
def main() -> None:
    """Show a fleet of six nodes in six zones."""
    started_at = time.monotonic()
    spec = Spec(vms=fleets.six_zones(*SERVICES))
    with fleets.running_fleet(spec) as fleet:
        click.echo(
            f'{len(fleet.nodes)} nodes, {len(fleet.upstreams)} upstreams, '
            f'{len(fleet.spec.regions)} regions',
        )
        checks = show(fleet)
        processes = list(fleet.processes)
    running = sum(one.popen.poll() is None for one in processes)
    checks.append(
        Check('no process is left behind', not running, f'{running} left'),
    )
    for check in checks:
        verdict = 'ok    ' if check.held else 'FAILED'
        click.echo(f'{verdict} {check.what} ({check.seen})')
    click.echo(f'{time.monotonic() - started_at:.0f} s')
    sys.exit(0 if all(check.held for check in checks) else 1)


if __name__ == '__main__':
    main()
