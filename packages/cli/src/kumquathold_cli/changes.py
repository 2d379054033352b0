"""Makes changes of the accepted configuration, and waits for their effect."""

from __future__ import annotations

import difflib
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import Any

import msgspec

from kumquathold_cli.client import CallRefused, Client, NodeUnreachable
from kumquathold_core import rules_file

IN_FORCE_SECONDS = 15.0
POLL_SECONDS = 0.2
EDIT_ATTEMPTS = 10

Edit = Callable[[str], str]


class ChangeError(Exception):
    """A change that was not made."""


class BaseUnknown(ChangeError):
    """The file does not say which version it was made from."""


class LostRace(ChangeError):
    """Another change was accepted meanwhile."""

    def __init__(self, base: int, in_force: dict[str, Any], diff: str) -> None:
        """Keep what the other change was."""
        author = in_force.get('author', '')
        version = in_force.get('version', 0)
        super().__init__(
            f'version {version} by {author} was accepted after version {base}',
        )
        self.in_force = in_force
        self.diff = diff


class OutcomeOpen(ChangeError):
    """It is not known whether the change was accepted."""


class InForce(msgspec.Struct, frozen=True):
    """How far an accepted version has come."""

    version: int
    """The version."""

    reached: tuple[str, ...]
    """Living nodes that have it in force."""

    missing: tuple[str, ...]
    """Living nodes that do not."""


def accepted_text(client: Client) -> tuple[int, str]:
    """The version and text in force."""
    marked = client.get_text('/config')
    version = rules_file.parse_version_line(marked) or 0
    return version, marked.partition('\n')[2]


def diff_texts(before: str, after: str, names: tuple[str, str]) -> str:
    """A unified diff of two rules files."""
    lines = difflib.unified_diff(
        before.splitlines(keepends=True),
        after.splitlines(keepends=True),
        *names,
    )
    return ''.join(
        line if line.endswith('\n') else f'{line}\n' for line in lines
    )


def strip_version(text: str) -> str:
    """The rules without the line that names their version."""
    if rules_file.parse_version_line(text) is None:
        return text
    return text.partition('\n')[2]


def accept_text(client: Client, text: str, base: int, note: str) -> int:
    """Have a text accepted; give its version.

    Raises `LostRace`, `OutcomeOpen` or a `ClientError`.
    """
    body = strip_version(text).encode()
    try:
        manifest = client.post('/config', {'base': base, 'note': note}, body)
    except NodeUnreachable:
        return _look_up(client, text, base)
    except CallRefused as refused:
        if refused.error == 'outcome-unknown':
            raise OutcomeOpen(str(refused)) from refused
        if refused.error != 'conflict':
            raise
        raise _explain_race(client, base, refused) from refused
    return int(manifest['version'])


def edit_accepted(client: Client, edit: Edit, note: str) -> int:
    """Edit whatever is in force, again where another change comes between."""
    for _ in range(EDIT_ATTEMPTS):
        base, text = accepted_text(client)
        with suppress(LostRace):
            return accept_text(client, edit(text), base, note)
    raise ChangeError(f'{EDIT_ATTEMPTS} other changes came between')


def watch_in_force(client: Client, version: int) -> Iterator[InForce]:
    """Follow an accepted version until all living nodes have it."""
    give_up_at = time.monotonic() + IN_FORCE_SECONDS
    while True:
        progress = _read_progress(client, version)
        yield progress
        if not progress.missing or time.monotonic() >= give_up_at:
            return
        time.sleep(POLL_SECONDS)


def _read_progress(client: Client, version: int) -> InForce:
    status = client.get_json('/status', {'refresh': 'yes'})
    reached: list[str] = []
    missing: list[str] = []
    for node in status['nodes']:
        has_it = node['config_version'] >= version
        (reached if has_it else missing).append(node['address'])
    return InForce(version, tuple(sorted(reached)), tuple(sorted(missing)))


def _look_up(client: Client, text: str, base: int) -> int:
    """Learn what became of a call whose reply was lost."""
    wanted = strip_version(text)
    try:
        found = client.get_text('/config', {'version': base + 1})
    except CallRefused as refused:
        raise OutcomeOpen('the reply was lost') from refused
    if strip_version(found) == wanted:
        return base + 1
    raise LostRace(base, {'version': base + 1}, '')


def _explain_race(
    client: Client,
    base: int,
    refused: CallRefused,
) -> LostRace:
    in_force = refused.content.get('in_force') or {}
    diff = ''
    if base and in_force:
        before = client.get_text('/config', {'version': base})
        after = client.get_text(
            '/config',
            {'version': in_force['version']},
        )
        names = (f'version {base}', f'version {in_force["version"]}')
        diff = diff_texts(strip_version(before), strip_version(after), names)
    return LostRace(base, in_force, diff)
