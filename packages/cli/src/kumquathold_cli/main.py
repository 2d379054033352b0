"""The `kumquathold` command."""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from kumquathold_cli import changes, keys
from kumquathold_cli.client import Client, ClientError
from kumquathold_core import rules_file
from kumquathold_core.rules_file import RulesErrors
from kumquathold_core.wire import SECRET_MAX_BYTES

EXIT_FAILED = 1
EXIT_RULES = 3
EXIT_CONFLICT = 4
EXIT_OPEN = 5
EXIT_NOT_EVERYWHERE = 6

Command = Callable[..., None]


@contextmanager
def explained() -> Iterator[None]:
    """Turn errors into a line on standard error and an exit code."""
    try:
        yield
    except changes.LostRace as race:
        click.echo(f'conflict: {race}', err=True)
        click.echo(race.diff, err=True, nl=False)
        click.echo('Fetch it with `show`, and apply your change.', err=True)
        sys.exit(EXIT_CONFLICT)
    except changes.OutcomeOpen as error:
        click.echo(f'outcome unknown: {error}; see `history`', err=True)
        sys.exit(EXIT_OPEN)
    except (ClientError, changes.ChangeError, keys.KeyEditError) as error:
        click.echo(f'{type(error).__name__}: {error}', err=True)
        sys.exit(EXIT_FAILED)


@click.group(context_settings={'auto_envvar_prefix': 'KUMQUATHOLD'})
@click.option('--node', default='', help='Administration API, IP:port.')
@click.option('--operator', default='', help='Your name.')
@click.option('--operator-secret-file', default='', help="Operators' secret.")
@click.pass_context
def main(
    context: click.Context,
    node: str,
    operator: str,
    operator_secret_file: str,
) -> None:
    """Operate a kumquathold fleet.

    Exit codes: 0 done, 1 failed, 2 wrong usage, 3 mistakes in the rules,
    4 another change came first, 5 outcome unknown, 6 accepted but not yet in
    force everywhere. Each flag can be given as an environment variable, with
    the prefix KUMQUATHOLD_.
    """
    context.obj = (node, operator or getpass.getuser(), operator_secret_file)


def _client(context: click.Context) -> Client:
    node, operator, secret_file = context.find_root().obj
    if not node or not secret_file:
        raise click.UsageError('--node and --operator-secret-file are needed')
    try:
        secret = Path(secret_file).read_bytes().strip()[:SECRET_MAX_BYTES]
    except OSError as error:
        raise click.UsageError(f'--operator-secret-file: {error}') from error
    return Client(node, operator, secret)


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise click.UsageError(f'{path}: {error}') from error


def _check(path: str, text: str, *, as_json: bool) -> None:
    try:
        rules_file.parse_rules(text)
    except RulesErrors as errors:
        _show_mistakes(path, errors, as_json=as_json)
        sys.exit(EXIT_RULES)


def _show_mistakes(path: str, errors: RulesErrors, *, as_json: bool) -> None:
    if as_json:
        click.echo(
            json.dumps(
                [
                    {
                        'file': path,
                        'line': error.line,
                        'column': error.column,
                        'error': error.problem,
                        'instead': error.suggestion,
                    }
                    for error in rules_file.list_errors(errors)
                ]
            )
        )
        return
    for error in rules_file.list_errors(errors):
        click.echo(f'{path}:{error}', err=True)


def _show(content: Any, *, as_json: bool) -> None:
    indent = None if as_json else 2
    click.echo(json.dumps(content, indent=indent))


json_option = click.option(
    '--json', 'as_json', is_flag=True, help='For scripts.'
)


@main.command()
@click.argument('file')
@json_option
def check(file: str, as_json: bool) -> None:
    """Check a rules file; needs no node."""
    _check(file, _read_file(file), as_json=as_json)
    if as_json:
        click.echo('[]')
    else:
        click.echo(f'{file}: no mistakes')


@main.command()
@click.option('--version', type=int, help='An earlier version.')
@click.pass_context
def show(context: click.Context, version: int | None) -> None:
    """Print the accepted rules, ready to be edited."""
    query: dict[str, object] = {}
    if version is not None:
        query['version'] = version
    with explained():
        click.echo(_client(context).get_text('/config', query), nl=False)


@main.command()
@click.argument('file')
@click.pass_context
def diff(context: click.Context, file: str) -> None:
    """Show what accepting a file would change."""
    text = changes.strip_version(_read_file(file))
    with explained():
        version, accepted = changes.accepted_text(_client(context))
    names = (f'version {version}', file)
    click.echo(changes.diff_texts(accepted, text, names), nl=False)


@main.command()
@click.argument('file')
@click.option('--base', type=int, help='Version that the file was made from.')
@click.option('--note', default='', help='Why, for the history.')
@json_option
@click.pass_context
def accept(
    context: click.Context,
    file: str,
    base: int | None,
    note: str,
    as_json: bool,
) -> None:
    """Put a rules file in force everywhere.

    The file's first line, `# version: N`, says which version it was made
    from; it is brought up to date afterwards.
    """
    text = _read_file(file)
    _check(file, text, as_json=as_json)
    seen = rules_file.parse_version_line(text) if base is None else base
    client = _client(context)
    with explained():
        version = changes.accept_text(client, text, seen or 0, note)
        Path(file).write_text(
            rules_file.set_version_line(text, version),
            encoding='utf-8',
        )
        _wait_in_force(client, version, as_json=as_json)


@main.command()
@json_option
@click.pass_context
def history(context: click.Context, as_json: bool) -> None:
    """List the accepted versions, newest first."""
    with explained():
        manifests = _client(context).get_json('/history')
    if as_json:
        _show(manifests, as_json=True)
        return
    for one in manifests:
        click.echo(
            f'{one["version"]:>6}  {one["accepted_at"]}  '
            f'{one["author"]}  {one["note"]}',
        )


@main.group()
def key() -> None:
    """Issue and withdraw keys."""


@key.command('issue')
@click.argument('workspace')
@json_option
@click.pass_context
def issue(context: click.Context, workspace: str, as_json: bool) -> None:
    """Issue a key for a workspace, and print it this once."""
    client = _client(context)
    issued = keys.issue_key(workspace, client.operator)
    with explained():
        version = changes.edit_accepted(
            client,
            lambda text: keys.add_line(text, issued.line),
            f'key {issued.id} issued for {workspace}',
        )
        if as_json:
            _show({'id': issued.id, 'key': issued.key}, as_json=True)
        else:
            click.echo(issued.key)
        _wait_in_force(client, version, as_json=None)


@key.command('withdraw')
@click.argument('key_id')
@json_option
@click.pass_context
def withdraw(context: click.Context, key_id: str, as_json: bool) -> None:
    """Withdraw a key, given by its id: the part between the two `_`."""
    client = _client(context)
    with explained():
        version = changes.edit_accepted(
            client,
            lambda text: keys.remove_key(text, key_id),
            f'key {key_id} withdrawn',
        )
        _wait_in_force(client, version, as_json=as_json)


@main.command()
@json_option
@click.pass_context
def status(context: click.Context, as_json: bool) -> None:
    """Show the fleet as one node sees it."""
    with explained():
        content = _client(context).get_json('/status')
    if as_json:
        _show(content, as_json=True)
        return
    click.echo(
        f'{content["node"]}: version {content["config_version"]}, '
        f'{content["freshness"]}, {content["requests_in_hand"]} in hand',
    )
    for node in content['nodes']:
        state = 'leaving' if node['leaving'] else 'up'
        state = 'suspected' if node['suspected'] else state
        upstreams = ', '.join(
            f'{one["service"]}@{one["name"]}' for one in node['upstreams']
        )
        click.echo(
            f'  {node["address"]:<22} {node["zone"]:<8} {state:<10}'
            f'version {node["config_version"]:<5} {upstreams}',
        )
    for service, names in content['ejected'].items():
        click.echo(f'  ejected of {service}: {", ".join(names)}')


@main.command()
@click.argument('method')
@click.argument('path')
@click.option('--workspace', default='', help='Whose request.')
@click.pass_context
def explain(
    context: click.Context,
    method: str,
    path: str,
    workspace: str,
) -> None:
    """Say why a request would go where."""
    with explained():
        content = _client(context).get_json(
            '/explain',
            {'method': method, 'path': path, 'workspace': workspace},
        )
    _show(content, as_json=False)


@main.command()
@click.pass_context
def drain(context: click.Context) -> None:
    """Have the node given by --node leave gracefully."""
    with explained():
        _client(context).post('/drain')
    click.echo('leaving')


@main.group()
def once() -> None:
    """Look up and settle once-only requests."""


@once.command('show')
@click.argument('workspace')
@click.argument('idempotency_key')
@click.pass_context
def show_once(
    context: click.Context,
    workspace: str,
    idempotency_key: str,
) -> None:
    """Show what is known of a once-only request."""
    with explained():
        claim = _client(context).get_json(
            '/once',
            {'workspace': workspace, 'key': idempotency_key},
        )
    _show(claim, as_json=False)


@once.command('resolve')
@click.argument('workspace')
@click.argument('idempotency_key')
@click.argument('ruling', type=click.Choice(['ran', 'not-run']))
@click.pass_context
def resolve_once(
    context: click.Context,
    workspace: str,
    idempotency_key: str,
    ruling: str,
) -> None:
    """Settle a request after finding out whether it ran.

    After "not-run" the caller's next sending runs; after "ran" it never does.
    """
    with explained():
        claim = _client(context).post(
            '/once',
            {
                'workspace': workspace,
                'key': idempotency_key,
                'ruling': ruling,
            },
        )
    _show(claim, as_json=False)


def _wait_in_force(
    client: Client,
    version: int,
    *,
    as_json: bool | None,
) -> None:
    """Wait for an accepted version; `as_json` of nothing prints to stderr."""
    progress = None
    for progress in changes.watch_in_force(client, version):
        total = len(progress.reached) + len(progress.missing)
        click.echo(
            f'version {version} is in force on '
            f'{len(progress.reached)} of {total} nodes',
            err=True,
        )
    missing = progress.missing if progress else ()
    if as_json:
        _show({'version': version, 'missing': missing}, as_json=True)
    elif as_json is not None:
        click.echo(f'version {version} accepted')
    for address in missing:
        click.echo(f'not yet in force on {address}', err=True)
    if missing:
        sys.exit(EXIT_NOT_EVERYWHERE)


if __name__ == '__main__':
    main()
