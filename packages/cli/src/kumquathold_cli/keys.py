"""Issues and withdraws callers' keys, by edits of the rules file.

The rules hold only a digest of each key.
"""

from __future__ import annotations

import re
import secrets

import msgspec

from kumquathold_core.rules import KEY_PREFIX, digest_key

ID_BYTES = 4
SECRET_BYTES = 24


class KeyEditError(Exception):
    """An edit of the rules failed."""


class KeyNotFound(KeyEditError):
    """No rule defines the key."""


class IssuedKey(msgspec.Struct, frozen=True):
    """A new key, and the rule that defines it."""

    id: str
    """Public part, by which the rules and operators name the key."""

    key: str
    """Whole key with its secret part; shown once and stored nowhere."""

    line: str
    """Line of the rules file that defines the key."""


def issue_key(workspace: str, asked_by: str) -> IssuedKey:
    """Generate a key for a workspace; `asked_by` goes into its rule."""
    key_id = secrets.token_hex(ID_BYTES)
    key = f'{KEY_PREFIX}_{key_id}_{secrets.token_hex(SECRET_BYTES)}'
    digest = digest_key(key).hex()
    line = (
        f'key {key_id} workspace={workspace} digest=sha256:{digest}'
        f'  # asked by {asked_by}'
    )
    return IssuedKey(key_id, key, line)


def add_line(text: str, line: str) -> str:
    """Return the rules with a line appended."""
    separator = '' if not text or text.endswith('\n') else '\n'
    return f'{text}{separator}{line}\n'


def remove_key(text: str, key_id: str) -> str:
    """Return the rules without a key's line; raises `KeyNotFound`."""
    line_pattern = re.compile(rf'\s*key\s+{re.escape(key_id)}(\s|$)')
    lines = text.splitlines(keepends=True)
    kept = [line for line in lines if not line_pattern.match(line)]
    if len(kept) == len(lines):
        raise KeyNotFound(f'no rule defines the key "{key_id}"')
    return ''.join(kept)
