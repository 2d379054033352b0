"""Issues and withdraws keys: edits of the accepted rules."""

from __future__ import annotations

import re
import secrets

import msgspec

from kumquathold_core.rules import KEY_PREFIX, digest_key

ID_BYTES = 4
SECRET_BYTES = 24


class KeyEditError(Exception):
    """An edit that cannot be made."""


class KeyNotFound(KeyEditError):
    """No line of the rules defines the key."""


class IssuedKey(msgspec.Struct, frozen=True):
    """A new key."""

    id: str
    """Its public part."""

    key: str
    """The whole key, shown once and kept nowhere."""

    line: str
    """The rule that makes it known."""


def issue_key(workspace: str, asked_by: str) -> IssuedKey:
    """Make a key for a workspace."""
    key_id = secrets.token_hex(ID_BYTES)
    key = f'{KEY_PREFIX}_{key_id}_{secrets.token_hex(SECRET_BYTES)}'
    digest = digest_key(key).hex()
    line = (
        f'key {key_id} workspace={workspace} digest=sha256:{digest}'
        f'  # asked by {asked_by}'
    )
    return IssuedKey(key_id, key, line)


def add_line(text: str, line: str) -> str:
    """The rules with one more line."""
    separator = '' if not text or text.endswith('\n') else '\n'
    return f'{text}{separator}{line}\n'


def remove_key(text: str, key_id: str) -> str:
    """The rules without a key's line; raises `KeyNotFound`."""
    is_line = re.compile(rf'\s*key\s+{re.escape(key_id)}(\s|$)')
    lines = text.splitlines(keepends=True)
    kept = [line for line in lines if not is_line.match(line)]
    if len(kept) == len(lines):
        raise KeyNotFound(f'no rule defines the key {key_id}')
    return ''.join(kept)
