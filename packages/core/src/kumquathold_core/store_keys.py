"""Names of all values that the fleet keeps in the platform's service."""

from __future__ import annotations

ROOT = 'kumquathold/'
SEEDS = f'{ROOT}seeds'
MANIFEST = f'{ROOT}config/manifest'
HISTORY = f'{ROOT}config/history/'


def history_key(version: int) -> str:
    """Where the manifest of one accepted version is kept."""
    return f'{HISTORY}{version:012d}'


def chunk_prefix(digest: str) -> str:
    """The parts of a configuration's text."""
    return f'{ROOT}config/chunk/{digest}/'


def chunk_key(digest: str, number: int) -> str:
    """Where one part of a configuration's text is kept."""
    return f'{chunk_prefix(digest)}{number:06d}'


def rate_prefix(region: str) -> str:
    """The holders of one region."""
    return f'{ROOT}rate/{region}/'


def rate_key(region: str, group: int) -> str:
    """The holder of one group of workspaces in one region."""
    return f'{rate_prefix(region)}{group:05d}'


def claim_prefix(workspace: str) -> str:
    """The once-only claims of one workspace."""
    return f'{ROOT}once/{workspace}/'


def claim_key(workspace: str, digest: str) -> str:
    """One once-only claim."""
    return f'{claim_prefix(workspace)}{digest}'
