"""Changes the accepted configuration and follows its rollout.

Changes use optimistic concurrency control: each names the version that it is
based on, and fails if another version has been accepted since.
"""

from __future__ import annotations

import difflib
import time
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from kumquathold_cli.client import CallRefused, Client, NodeUnreachable
from kumquathold_core import rules_file

ROLLOUT_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.2
EDIT_ATTEMPTS = 10

Edit = Callable[[str], str]


class ChangeError(Exception):
    """A change failed, or its outcome is unknown."""


class VersionConflict(ChangeError):
    """Another version was accepted since the base version."""

    def __init__(self, base: int, in_force: dict[str, Any], diff: str) -> None:
        """Describe the conflict.

        `in_force` is the manifest of the version in force, and `diff` what
        changed between `base` and it; empty if not known.
        """
        author = in_force.get('author', '')
        version = in_force.get('version', 0)
        super().__init__(
            f'version {version} by {author} was accepted after version {base}',
        )
        self.version: int = version
        self.in_force = in_force
        self.diff = diff


class OutcomeUnknown(ChangeError):
    """It is not known whether the change was accepted."""


class RolloutProgress(msgspec.Struct, frozen=True):
    """Progress of the rollout of an accepted version."""

    version: int
    """Version that is rolled out."""

    reached: tuple[str, ...]
    """Addresses of live nodes that have it, or a later one, in force."""

    missing: tuple[str, ...]
    """Addresses of live nodes that do not."""


def fetch_accepted_text(client: Client) -> tuple[int, str]:
    """Return the version in force and its text, without the version line."""
    text = client.get_text('/config')
    version = rules_file.parse_version_line(text) or 0
    return version, text.partition('\n')[2]


def diff_texts(before: str, after: str, names: tuple[str, str]) -> str:
    """Return the unified diff of two rules files."""
    lines = difflib.unified_diff(
        before.splitlines(keepends=True),
        after.splitlines(keepends=True),
        *names,
    )
    return ''.join(
        line if line.endswith('\n') else f'{line}\n' for line in lines
    )


def strip_version_line(text: str) -> str:
    """Return the rules without the line that names their version."""
    if rules_file.parse_version_line(text) is None:
        return text
    return text.partition('\n')[2]


def accept_text(client: Client, text: str, base: int, note: str) -> int:
    """Submit rules based on version `base`; return their new version.

    Raises `VersionConflict`, `OutcomeUnknown` or `ClientError`.
    """
    body = strip_version_line(text).encode()
    try:
        manifest = client.post('/config', {'base': base, 'note': note}, body)
    except NodeUnreachable:
        return _look_up_outcome(client, text, base)
    except CallRefused as refused:
        if refused.error == 'outcome-unknown':
            raise OutcomeUnknown(str(refused)) from refused
        if refused.error != 'conflict':
            raise
        raise _make_conflict(client, base, refused) from refused
    return int(manifest['version'])


def edit_accepted_text(client: Client, edit: Edit, note: str) -> int:
    """Edit the rules in force; return the new version.

    On a conflict, repeats the edit on the newer version, once the node has it
    in force. Raises `ChangeError` after `EDIT_ATTEMPTS`, or if the node does
    not get that version within `ROLLOUT_TIMEOUT_SECONDS`.
    """
    min_version = 0
    for _ in range(EDIT_ATTEMPTS):
        base, text = _await_accepted_text(client, min_version)
        try:
            return accept_text(client, edit(text), base, note)
        except VersionConflict as conflict:
            min_version = conflict.version
    raise ChangeError(
        f'edit conflicted with other changes in all {EDIT_ATTEMPTS} attempts',
    )


def watch_rollout(client: Client, version: int) -> Iterator[RolloutProgress]:
    """Yield progress until all live nodes have a version, or on timeout."""
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_SECONDS
    while True:
        progress = _read_progress(client, version)
        yield progress
        if not progress.missing or time.monotonic() >= deadline:
            return
        time.sleep(POLL_SECONDS)


def _await_accepted_text(client: Client, min_version: int) -> tuple[int, str]:
    """Return version and text in force once the version is `min_version`.

    The store knows a version before the node that is asked for its text.
    """
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_SECONDS
    while True:
        version, text = fetch_accepted_text(client)
        if version >= min_version:
            return version, text
        if time.monotonic() >= deadline:
            raise ChangeError(
                f'the node has version {version} in force, not {min_version}',
            )
        time.sleep(POLL_SECONDS)


def _read_progress(client: Client, version: int) -> RolloutProgress:
    status = client.get_json('/status', {'refresh': 'yes'})
    reached: list[str] = []
    missing: list[str] = []
    for node in status['nodes']:
        is_in_force = node['config_version'] >= version
        (reached if is_in_force else missing).append(node['address'])
    return RolloutProgress(
        version, tuple(sorted(reached)), tuple(sorted(missing))
    )


def _look_up_outcome(client: Client, text: str, base: int) -> int:
    """Find out the outcome of a change whose response was lost."""
    submitted = strip_version_line(text)
    try:
        accepted = client.get_text('/config', {'version': base + 1})
    except CallRefused as refused:
        raise OutcomeUnknown('the response was lost') from refused
    if strip_version_line(accepted) == submitted:
        return base + 1
    raise VersionConflict(base, {'version': base + 1}, '')


def _make_conflict(
    client: Client,
    base: int,
    refused: CallRefused,
) -> VersionConflict:
    in_force = refused.content.get('in_force') or {}
    diff = ''
    if base and in_force:
        before = client.get_text('/config', {'version': base})
        after = client.get_text(
            '/config',
            {'version': in_force['version']},
        )
        names = (f'version {base}', f'version {in_force["version"]}')
        diff = diff_texts(
            strip_version_line(before), strip_version_line(after), names
        )
    return VersionConflict(base, in_force, diff)
