"""The `kumquathold` command.

Reads and changes a fleet through the administration API of one node. Results
go to standard output; errors and progress go to standard error.
"""

from __future__ import annotations

import getpass
import json
import sys
from itertools import chain
from pathlib import Path
from typing import TextIO

import click

from kumquathold_cli import changes, keys, placement_view, request_trace
from kumquathold_cli.command_support import (
    EXIT_RULES_INVALID,
    client_of,
    json_option,
    report_errors,
    show_content,
    wait_for_rollout,
)
from kumquathold_cli.zone_commands import zone
from kumquathold_core import rules_errors, rules_file
from kumquathold_core.rules_errors import RulesErrors


@click.group(context_settings={'auto_envvar_prefix': 'KUMQUATHOLD'})
@click.option(
    '--node',
    default='',
    help='Address of the administration API of a node, IP:port.',
)
@click.option(
    '--operator',
    default='',
    help='Your name, for the history; default: your login name.',
)
@click.option(
    '--operator-secret-file',
    default='',
    help='File with the secret shared by operators and nodes.',
)
@click.pass_context
def main(
    context: click.Context,
    node: str,
    operator: str,
    operator_secret_file: str,
) -> None:
    """Operate a kumquathold fleet.

    Exit codes: 0 success, 1 failure, 2 invalid usage, 3 errors in the rules
    file, 4 conflict with another change, 5 outcome unknown, 6 accepted but
    not yet in force on all nodes. Each option can also be set by an
    environment variable with the prefix KUMQUATHOLD_.
    """
    context.obj = (node, operator or getpass.getuser(), operator_secret_file)


def _read_file(path: str) -> str:
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise click.UsageError(f'{path}: {error}') from error


def _check(path: str, text: str, *, as_json: bool) -> None:
    try:
        rules_file.parse_rules(text)
    except RulesErrors as errors:
        _show_rule_errors(path, errors, as_json=as_json)
        sys.exit(EXIT_RULES_INVALID)


def _show_rule_errors(path: str, errors: RulesErrors, *, as_json: bool) -> None:
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
                    for error in rules_errors.list_errors(errors)
                ]
            )
        )
        return
    for error in rules_errors.list_errors(errors):
        click.echo(f'{path}:{error}', err=True)


@main.command()
@click.argument('file')
@json_option
def check(file: str, as_json: bool) -> None:
    """Check a rules file, without contacting a node."""
    _check(file, _read_file(file), as_json=as_json)
    if as_json:
        click.echo('[]')
    else:
        click.echo(f'{file}: no errors')


@main.command()
@click.option(
    '--version', type=int, help='Version to print; default: the one in force.'
)
@click.pass_context
def show(context: click.Context, version: int | None) -> None:
    """Print the accepted rules, in a form that `accept` takes."""
    query: dict[str, object] = {}
    if version is not None:
        query['version'] = version
    with report_errors():
        click.echo(client_of(context).get_text('/config', query), nl=False)


@main.command()
@click.argument('file')
@click.pass_context
def diff(context: click.Context, file: str) -> None:
    """Show the changes that accepting a file would make."""
    text = changes.strip_version_line(_read_file(file))
    with report_errors():
        version, accepted = changes.fetch_accepted_text(client_of(context))
    names = (f'version {version}', file)
    click.echo(changes.diff_texts(accepted, text, names), nl=False)


@main.command()
@click.argument('file')
@click.option(
    '--base',
    type=int,
    help='Version that the file is based on; default: that of its first line.',
)
@click.option(
    '--note', default='', help='Reason for the change, for the history.'
)
@json_option
@click.pass_context
def accept(
    context: click.Context,
    file: str,
    base: int | None,
    note: str,
    as_json: bool,
) -> None:
    """Accept a rules file, and wait until all nodes have it in force.

    The file's first line, `# version: N`, names the version that it is based
    on, unless --base does. Once accepted, the file's line names the new
    version.
    """
    text = _read_file(file)
    _check(file, text, as_json=as_json)
    based_on = rules_file.parse_version_line(text) if base is None else base
    client = client_of(context)
    with report_errors():
        version = changes.accept_text(client, text, based_on or 0, note)
        Path(file).write_text(
            rules_file.set_version_line(text, version),
            encoding='utf-8',
        )
        wait_for_rollout(client, version, as_json=as_json)


@main.command()
@json_option
@click.pass_context
def history(context: click.Context, as_json: bool) -> None:
    """List the accepted versions, newest first."""
    with report_errors():
        manifests = client_of(context).get_json('/history')
    if as_json:
        show_content(manifests, as_json=True)
        return
    for manifest in manifests:
        click.echo(
            f'{manifest["version"]:>6}  {manifest["accepted_at"]}  '
            f'{manifest["author"]}  {manifest["note"]}',
        )


@main.group()
def key() -> None:
    """Issue and withdraw callers' keys."""


@key.command('issue')
@click.argument('workspace')
@json_option
@click.pass_context
def issue(context: click.Context, workspace: str, as_json: bool) -> None:
    """Issue a key for a workspace and print it; it cannot be shown again."""
    client = client_of(context)
    issued = keys.issue_key(workspace, client.operator)
    with report_errors():
        version = changes.edit_accepted_text(
            client,
            lambda text: keys.add_line(text, issued.line),
            f'key {issued.id} issued for {workspace}',
        )
        if as_json:
            show_content({'id': issued.id, 'key': issued.key}, as_json=True)
        else:
            click.echo(issued.key)
        wait_for_rollout(client, version, as_json=None)


@key.command('withdraw')
@click.argument('key_id')
@json_option
@click.pass_context
def withdraw(context: click.Context, key_id: str, as_json: bool) -> None:
    """Withdraw a key by its id, the part of the key between the two `_`."""
    client = client_of(context)
    with report_errors():
        version = changes.edit_accepted_text(
            client,
            lambda text: keys.remove_key(text, key_id),
            f'key {key_id} withdrawn',
        )
        wait_for_rollout(client, version, as_json=as_json)


@main.command()
@json_option
@click.pass_context
def status(context: click.Context, as_json: bool) -> None:
    """Show the state of the fleet, as seen by one node."""
    with report_errors():
        content = client_of(context).get_json('/status')
    if as_json:
        show_content(content, as_json=True)
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
@click.option(
    '--workspace', default='', help='Workspace that sends the request.'
)
@click.pass_context
def explain(
    context: click.Context,
    method: str,
    path: str,
    workspace: str,
) -> None:
    """Show how a request would be routed, and why."""
    with report_errors():
        content = client_of(context).get_json(
            '/explain',
            {'method': method, 'path': path, 'workspace': workspace},
        )
    show_content(content, as_json=False)


@main.command()
@click.argument('method')
@click.argument('path')
@click.option(
    '--workspace', default='', help='Workspace that sends the request.'
)
@click.option('--host', default='', help='Host that the request names.')
@json_option
@click.pass_context
def where(
    context: click.Context,
    method: str,
    path: str,
    workspace: str,
    host: str,
    as_json: bool,
) -> None:
    """Show where a request would go now, without sending it.

    The node given by --node answers for callers that reach it. Costs are
    shares of what the response is worth to its caller.
    """
    query: dict[str, object] = {
        'method': method,
        'path': path,
        'workspace': workspace,
        'host': host,
    }
    with report_errors():
        preview = client_of(context).get_json('/where', query)
    if as_json:
        show_content(preview, as_json=True)
        return
    for line in placement_view.format_preview(preview):
        click.echo(line)


@main.command()
@click.argument('request')
@click.argument('logs', nargs=-1, type=click.File(errors='replace'))
def trace(request: str, logs: tuple[TextIO, ...]) -> None:
    """Tell the story of a request from the LOGS of nodes.

    Give the logs of all nodes that may have handled it, as files, or `-` for
    standard input, which is also read if none is given.
    """
    texts = chain.from_iterable(logs or (sys.stdin,))
    with report_errors():
        found = request_trace.trace_request(
            request_trace.parse_lines(texts), request
        )
    for line in request_trace.format_trace(found):
        click.echo(line)


@main.command()
@click.pass_context
def drain(context: click.Context) -> None:
    """Shut the node given by --node down gracefully."""
    with report_errors():
        client_of(context).post('/drain')
    click.echo('leaving')


@main.group()
def once() -> None:
    """Show and resolve once-only requests."""


@once.command('show')
@click.argument('workspace')
@click.argument('idempotency_key')
@click.pass_context
def show_once(
    context: click.Context,
    workspace: str,
    idempotency_key: str,
) -> None:
    """Show the claim of a once-only request."""
    with report_errors():
        claim = client_of(context).get_json(
            '/once',
            {'workspace': workspace, 'key': idempotency_key},
        )
    show_content(claim, as_json=False)


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
    """Resolve a request whose outcome is unknown.

    Find out first whether it ran. After "not-run", the caller's next repeat
    of the request runs; after "ran", no repeat does.
    """
    with report_errors():
        claim = client_of(context).post(
            '/once',
            {
                'workspace': workspace,
                'key': idempotency_key,
                'ruling': ruling,
            },
        )
    show_content(claim, as_json=False)


main.add_command(zone)

if __name__ == '__main__':
    main()
