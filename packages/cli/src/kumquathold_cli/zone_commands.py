"""The commands that evacuate zones and take them back."""

from __future__ import annotations

import click

from kumquathold_cli import changes, zones
from kumquathold_cli.client import Client
from kumquathold_cli.command_support import (
    client_of,
    json_option,
    report_errors,
    wait_for_rollout,
)


@click.group()
def zone() -> None:
    """Evacuate zones and take them back."""


@zone.command('evacuate')
@click.argument('name')
@json_option
@click.pass_context
def evacuate(context: click.Context, name: str, as_json: bool) -> None:
    """Send no new requests to the upstreams of a zone."""
    client = client_of(context)
    _edit_zone(
        client,
        lambda text: zones.evacuate_zone(
            text, name, client.operator, _list_zones(client)
        ),
        f'zone {name} evacuated',
        as_json=as_json,
    )


@zone.command('restore')
@click.argument('name')
@json_option
@click.pass_context
def restore(context: click.Context, name: str, as_json: bool) -> None:
    """Send requests to the upstreams of a zone again."""
    client = client_of(context)
    _edit_zone(
        client,
        lambda text: zones.restore_zone(text, name, _list_zones(client)),
        f'zone {name} restored',
        as_json=as_json,
    )


def _edit_zone(
    client: Client, edit: changes.Edit, note: str, *, as_json: bool
) -> None:
    """Accept an edit of the rules, unless it changes nothing."""
    with report_errors():
        version, text = changes.fetch_accepted_text(client)
        if edit(text) != text:
            version = changes.edit_accepted_text(client, edit, note)
        wait_for_rollout(client, version, as_json=as_json)


def _list_zones(client: Client) -> set[str]:
    return {node['zone'] for node in client.get_json('/status')['nodes']}
