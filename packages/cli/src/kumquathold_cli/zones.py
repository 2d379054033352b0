"""Evacuates zones and takes them back, by edits of the rules file."""

from __future__ import annotations

import re
from collections.abc import Collection


class ZoneEditError(Exception):
    """An edit of the rules of a zone failed."""


class UnknownZone(ZoneEditError):
    """No node lies in the zone, and no rule names it."""


def evacuate_zone(
    text: str, zone: str, asked_by: str, known: Collection[str]
) -> str:
    """Return the rules with a zone evacuated; unchanged if it is already.

    Raises `UnknownZone` if the zone is not among the known ones.
    """
    if _find_line(zone).search(text):
        return text
    if zone not in known:
        names = ', '.join(sorted(known))
        raise UnknownZone(f'no node lies in zone "{zone}"; known are {names}')
    separator = '' if not text or text.endswith('\n') else '\n'
    return f'{text}{separator}zone {zone} evacuated  # asked by {asked_by}\n'


def restore_zone(text: str, zone: str, known: Collection[str]) -> str:
    """Return the rules without the evacuation of a zone.

    They are unchanged if it is not evacuated. Raises `UnknownZone` if the zone
    is not among the known ones either.
    """
    kept, removed = _find_line(zone).subn('', text)
    if not removed and zone not in known:
        names = ', '.join(sorted(known))
        raise UnknownZone(f'no node lies in zone "{zone}"; known are {names}')
    return kept


def _find_line(zone: str) -> re.Pattern[str]:
    return re.compile(
        rf'^[ \t]*zone[ \t]+{re.escape(zone)}[ \t][^\n]*(?:\n|\Z)', re.MULTILINE
    )
