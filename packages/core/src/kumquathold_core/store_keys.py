"""Keys of all values that the fleet keeps in the key-value store."""

from __future__ import annotations

import hashlib

ROOT_PREFIX = 'kumquathold/'
DEPARTURE_DIGEST_BYTES = 16
SEEDS_KEY = f'{ROOT_PREFIX}seeds'
PROBE_KEY = f'{ROOT_PREFIX}probe'
"""Written to learn the store's present revision; has no value."""

MANIFEST_KEY = f'{ROOT_PREFIX}config/manifest'
HISTORY_PREFIX = f'{ROOT_PREFIX}config/history/'


def history_key(version: int) -> str:
    """Return the key of the manifest of one accepted version."""
    return f'{HISTORY_PREFIX}{version:012d}'


def chunk_prefix(digest: str) -> str:
    """Return the prefix of the chunks of a configuration's text."""
    return f'{ROOT_PREFIX}config/chunk/{digest}/'


def chunk_key(digest: str, number: int) -> str:
    """Return the key of one chunk of a configuration's text."""
    return f'{chunk_prefix(digest)}{number:06d}'


def rate_prefix(region: str) -> str:
    """Return the prefix of the holders of one region's rate groups."""
    return f'{ROOT_PREFIX}rate/{region}/'


def rate_key(region: str, group: int) -> str:
    """Return the key of the holder of one rate group in one region."""
    return f'{rate_prefix(region)}{group:05d}'


def claim_prefix(workspace: str) -> str:
    """Return the prefix of the once-only claims of one workspace."""
    return f'{ROOT_PREFIX}once/{workspace}/'


def claim_key(workspace: str, digest: str) -> str:
    """Return the key of one once-only claim."""
    return f'{claim_prefix(workspace)}{digest}'


def departure_prefix(owner: str) -> str:
    """Return the prefix of the departures beside the node at an address."""
    return f'{ROOT_PREFIX}left/{owner}/'


def departure_key(owner: str, name: str, lifetime: int) -> str:
    """Return the key of the departure of one process of an upstream."""
    text = f'{name} {lifetime}'
    digest = hashlib.blake2b(text.encode(), digest_size=DEPARTURE_DIGEST_BYTES)
    return f'{departure_prefix(owner)}{digest.hexdigest()}'
