"""What the commands share: the client, their errors and their output."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click

from kumquathold_cli import changes, keys, request_trace, zones
from kumquathold_cli.client import Client, ClientError
from kumquathold_core.wire import SECRET_MAX_BYTES

EXIT_FAILED = 1
EXIT_RULES_INVALID = 3
EXIT_CONFLICT = 4
EXIT_OUTCOME_UNKNOWN = 5
EXIT_ROLLOUT_INCOMPLETE = 6

FAILURES = (
    ClientError,
    changes.ChangeError,
    keys.KeyEditError,
    request_trace.TraceError,
    zones.ZoneEditError,
)
"""Errors that end a command with `EXIT_FAILED`."""


@contextmanager
def report_errors() -> Iterator[None]:
    """Print errors of the block on standard error, and exit with their code."""
    try:
        yield
    except changes.VersionConflict as conflict:
        click.echo(f'conflict: {conflict}', err=True)
        click.echo(conflict.diff, err=True, nl=False)
        click.echo(
            'Fetch the latest version with `show`, and reapply your change.',
            err=True,
        )
        sys.exit(EXIT_CONFLICT)
    except changes.OutcomeUnknown as error:
        click.echo(f'outcome unknown: {error}; check `history`', err=True)
        sys.exit(EXIT_OUTCOME_UNKNOWN)
    except FAILURES as error:
        click.echo(f'{type(error).__name__}: {error}', err=True)
        sys.exit(EXIT_FAILED)


def client_of(context: click.Context) -> Client:
    """Return the client for the node that the options name."""
    node, operator, secret_file = context.find_root().obj
    if not node or not secret_file:
        raise click.UsageError('--node and --operator-secret-file are required')
    try:
        secret = Path(secret_file).read_bytes().strip()[:SECRET_MAX_BYTES]
    except OSError as error:
        raise click.UsageError(f'--operator-secret-file: {error}') from error
    return Client(node, operator, secret)


def show_content(content: Any, *, as_json: bool) -> None:
    """Print JSON, indented unless it is for scripts."""
    indent = None if as_json else 2
    click.echo(json.dumps(content, indent=indent))


json_option = click.option(
    '--json', 'as_json', is_flag=True, help='Print JSON, for scripts.'
)


def wait_for_rollout(
    client: Client,
    version: int,
    *,
    as_json: bool | None,
) -> None:
    """Wait until all nodes have a version in force, and print progress.

    The result goes to standard output, as JSON or text; if `as_json` is None,
    it is not printed. Exits with `EXIT_ROLLOUT_INCOMPLETE` on a timeout.
    """
    progress = None
    for progress in changes.watch_rollout(client, version):
        total = len(progress.reached) + len(progress.missing)
        click.echo(
            f'version {version} is in force on '
            f'{len(progress.reached)} of {total} nodes',
            err=True,
        )
    missing = progress.missing if progress else ()
    if as_json:
        show_content({'version': version, 'missing': missing}, as_json=True)
    elif as_json is not None:
        click.echo(f'version {version} accepted')
    for address in missing:
        click.echo(f'not yet in force on {address}', err=True)
    if missing:
        sys.exit(EXIT_ROLLOUT_INCOMPLETE)
