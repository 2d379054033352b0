"""Values of the options in a rules file, checked against their bounds."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from kumquathold_core.rules import StalePolicy, WeightedService, ZoneScope
from kumquathold_core.rules_line import RuleLine, Word

MAX_DEADLINE_SECONDS = 60.0
MAX_BODY_BYTES = 67_108_864
MAX_RATE = 1e6
"""Largest rate, in requests a second, and largest burst, in requests."""

MAX_WEIGHT = 100
MAX_ATTEMPTS = 16
MAX_PRIORITY = 100
DIGEST_HEX_DIGITS = 64

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]*\Z')
_HOST = re.compile(r'[a-z0-9][a-z0-9.-]*(?::\d+)?\Z')
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)\Z')
_SIZE = re.compile(r'(\d+)(B|KB|MB)\Z')
_SIZE_UNITS = {'B': 1, 'KB': 1024, 'MB': 1024 * 1024}


def parse_name(line: RuleLine, word: Word) -> str:
    if not _NAME.match(word.text):
        raise line.error(
            word,
            f'"{word.text}" is not a name',
            'use lower-case letters, digits, ".", "_" and "-"',
        )
    return word.text


def parse_percent(line: RuleLine, word: Word) -> float:
    digits = word.text.removesuffix('%')
    is_percent = word.text.endswith('%') and digits.isdigit()
    if not is_percent or int(digits) > 100:
        raise line.error(
            word,
            f'"{word.text}" is not a percentage from 0% to 100%',
            'write e.g. 50%',
        )
    return int(digits) / 100


def parse_duration(line: RuleLine, word: Word) -> float:
    match = _DURATION.match(word.text)
    seconds = 0.0
    if match:
        scale = 1000 if match[2] == 'ms' else 1
        seconds = float(match[1]) / scale
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise line.error(
            word,
            f'"{word.text}" is not a duration above 0 and '
            f'up to {MAX_DEADLINE_SECONDS:.0f}s',
            'write e.g. 500ms or 2s',
        )
    return seconds


def parse_size(line: RuleLine, word: Word) -> int:
    match = _SIZE.match(word.text)
    size = int(match[1]) * _SIZE_UNITS[match[2]] if match else -1
    if not 0 <= size <= MAX_BODY_BYTES:
        raise line.error(
            word,
            f'"{word.text}" is not a size up to 64MB',
            'write e.g. 64KB or 8MB',
        )
    return size


def parse_rate(line: RuleLine, word: Word) -> float:
    try:
        rate = float(word.text)
    except ValueError:
        rate = 0
    if not 0 < rate <= MAX_RATE:
        raise line.error(
            word,
            f'"{word.text}" is not a rate above 0 and up to {MAX_RATE:.0f}',
            'write requests a second, e.g. rate=50',
        )
    return rate


def parse_count(line: RuleLine, word: Word, maximum: int) -> int:
    if not word.text.isdecimal() or not 1 <= int(word.text) <= maximum:
        raise line.error(
            word,
            f'"{word.text}" is not a whole number from 1 to {maximum}',
            'write e.g. 10',
        )
    return int(word.text)


def parse_attempts(line: RuleLine, word: Word) -> int:
    return parse_count(line, word, MAX_ATTEMPTS)


def parse_priority(line: RuleLine, word: Word) -> int:
    if not word.text.isdecimal() or int(word.text) > MAX_PRIORITY:
        raise line.error(
            word,
            f'"{word.text}" is not a priority from 0 to {MAX_PRIORITY}',
            'write e.g. 0, which goes first',
        )
    return int(word.text)


def parse_host(line: RuleLine, word: Word) -> str:
    if not _HOST.match(word.text):
        raise line.error(
            word,
            f'"{word.text}" is not a host name',
            'use lower-case letters, digits, "." and "-", and :PORT if needed',
        )
    return word.text


def parse_split(line: RuleLine, word: Word) -> tuple[WeightedService, ...]:
    """Parse `NAME` or `NAME:90,OTHER:10`."""
    parts = []
    for text in word.text.split(','):
        name, _, weight = text.partition(':')
        name_word = Word(name, word.column)
        weight_word = Word(weight or '1', word.column)
        parts.append(
            WeightedService(
                service=parse_name(line, name_word),
                weight=parse_count(line, weight_word, MAX_WEIGHT),
            ),
        )
    return tuple(parts)


def parse_regions(line: RuleLine, word: Word) -> tuple[str, ...]:
    """Parse `NAME,OTHER`."""
    names = [
        parse_name(line, Word(text, word.column))
        for text in word.text.split(',')
    ]
    return tuple(dict.fromkeys(names))


def parse_digest(line: RuleLine, word: Word) -> bytes:
    digits = word.text.removeprefix('sha256:')
    if len(digits) != DIGEST_HEX_DIGITS or digits == word.text:
        raise line.error(
            word,
            f'"{word.text}" is not a SHA-256 digest',
            'write sha256: and 64 hexadecimal digits, as `key issue` prints',
        )
    try:
        return bytes.fromhex(digits)
    except ValueError:
        raise line.error(
            word,
            f'"{word.text}" has a character that is not hexadecimal',
            'copy the line printed by `key issue`',
        ) from None


def require_option(line: RuleLine, head: Word, name: str, example: str) -> Word:
    word = line.take_option(name)
    if word is None:
        raise line.error(head, f'"{name}=" is missing', f'write {example}')
    return word


def take_optional(
    line: RuleLine,
    name: str,
    parse: Callable[[RuleLine, Word], Any],
    default: Any,
) -> Any:
    word = line.take_option(name)
    return default if word is None else parse(line, word)


def parse_choice(
    kind: type[StalePolicy] | type[ZoneScope],
) -> Callable[..., Any]:
    def parse(line: RuleLine, word: Word) -> Any:
        if word.text not in set(kind):
            allowed = ' or '.join(kind)
            raise line.error(
                word,
                f'"{word.text}" is not an allowed value',
                f'use {allowed}',
            )
        return kind(word.text)

    return parse


def take_name(line: RuleLine, head: Word, what: str) -> str:
    if not line.flags:
        raise line.error(head, f'the {what} has no name', f'write {what} NAME')
    first = next(iter(line.flags))
    return parse_name(line, line.flags.pop(first))
