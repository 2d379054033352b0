"""Reads and checks the operators' rules file.

All errors of a file are reported together, each with line, column and what to
write instead.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Collection
from typing import Any

import msgspec

from kumquathold_core.rules import (
    DEFAULT_ATTEMPTS,
    DEFAULT_BODY_BYTES,
    DEFAULT_DEADLINE_SECONDS,
    Key,
    Route,
    Rules,
    Service,
    StalePolicy,
    WeightedService,
    Workspace,
    ZoneScope,
)

METHODS = frozenset(
    ('*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
MAX_DEADLINE_SECONDS = 60.0
MAX_BODY_BYTES = 67_108_864
MAX_RATE = 1e6
MAX_WEIGHT = 100
MAX_ATTEMPTS = 16
MAX_PRIORITY = 100
DIGEST_HEX_DIGITS = 64
VERSION_LINE = re.compile(r'^# version: (\d+)\s*$')

_WORD = re.compile(r'\S+')
_NAME = re.compile(r'[a-z0-9][a-z0-9._-]*\Z')
_HOST = re.compile(r'[a-z0-9][a-z0-9.-]*(?::\d+)?\Z')
_ASKED_BY = re.compile(r'#\s*asked by\s+\S')
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)\Z')
_SIZE = re.compile(r'(\d+)(B|KB|MB)\Z')
_SIZE_UNITS = {'B': 1, 'KB': 1024, 'MB': 1024 * 1024}


class RuleError(Exception):
    """One mistake in a rules file."""

    def __init__(self, line: int, column: int, what: str, instead: str) -> None:
        """Say where the mistake is and what to write instead.

        `line` and `column` count from 1.
        """
        super().__init__(f'{line}:{column}: {what}; {instead}')
        self.line = line
        self.column = column
        self.what = what
        self.instead = instead


class RulesErrors(ExceptionGroup[RuleError]):
    """All mistakes of a rules file."""


def list_errors(group: ExceptionGroup[RuleError]) -> list[RuleError]:
    """The mistakes of a file, in its order."""
    return [one for one in group.exceptions if isinstance(one, RuleError)]


class _Word(msgspec.Struct, frozen=True):
    text: str
    column: int


class _Place(msgspec.Struct, frozen=True, gc=False):
    """Where a rule refers to a name that another rule defines."""

    kind: str
    name: str
    line: int
    column: int


class _Line:
    """The words of one rule, taken one by one."""

    __slots__ = ('flags', 'number', 'options')

    def __init__(self, number: int, words: list[_Word]) -> None:
        self.number = number
        self.options: dict[str, _Word] = {}
        self.flags: dict[str, _Word] = {}
        for word in words:
            self._sort_in(word)

    def error(self, word: _Word, what: str, instead: str) -> RuleError:
        """Make the error for a word of this line."""
        return RuleError(self.number, word.column, what, instead)

    def take_option(self, name: str) -> _Word | None:
        """Take `name=value` out of the line; its text is the value."""
        return self.options.pop(name, None)

    def take_flag(self, name: str) -> bool:
        """Take a bare word out of the line."""
        return self.flags.pop(name, None) is not None

    def refuse_leftovers(self, allowed: str) -> None:
        """Raise an error for a word that the rule does not know."""
        rest = [*self.options.items(), *self.flags.items()]
        if rest:
            name, word = rest[0]
            raise self.error(word, f'unknown word "{name}"', f'use {allowed}')

    def _sort_in(self, word: _Word) -> None:
        name, equals, text = word.text.partition('=')
        target = self.options if equals else self.flags
        if equals and name in target:
            raise self.error(word, f'"{name}" stands twice', 'keep one')
        if equals:
            target[name] = _Word(text, word.column)
        else:
            target[name] = word


def _parse_name(line: _Line, word: _Word) -> str:
    if not _NAME.match(word.text):
        raise line.error(
            word,
            f'"{word.text}" is not a name',
            'use small letters, digits, ".", "_" and "-"',
        )
    return word.text


def _parse_percent(line: _Line, word: _Word) -> float:
    digits = word.text.removesuffix('%')
    is_percent = word.text.endswith('%') and digits.isdigit()
    if not is_percent or int(digits) > 100:
        raise line.error(word, f'"{word.text}" is no share', 'write e.g. 50%')
    return int(digits) / 100


def _parse_duration(line: _Line, word: _Word) -> float:
    match = _DURATION.match(word.text)
    seconds = 0.0
    if match:
        scale = 1000 if match[2] == 'ms' else 1
        seconds = float(match[1]) / scale
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise line.error(
            word,
            f'"{word.text}" is no time up to {MAX_DEADLINE_SECONDS:.0f}s',
            'write e.g. 500ms or 2s',
        )
    return seconds


def _parse_size(line: _Line, word: _Word) -> int:
    match = _SIZE.match(word.text)
    size = int(match[1]) * _SIZE_UNITS[match[2]] if match else -1
    if not 0 <= size <= MAX_BODY_BYTES:
        raise line.error(
            word,
            f'"{word.text}" is no size up to 64MB',
            'write e.g. 64KB or 8MB',
        )
    return size


def _parse_rate(line: _Line, word: _Word) -> float:
    try:
        rate = float(word.text)
    except ValueError:
        rate = 0
    if not 0 < rate <= MAX_RATE:
        raise line.error(
            word,
            f'"{word.text}" is no rate',
            'write requests a second, e.g. rate=50',
        )
    return rate


def _parse_count(line: _Line, word: _Word, most: int) -> int:
    if not word.text.isdecimal() or not 1 <= int(word.text) <= most:
        raise line.error(
            word,
            f'"{word.text}" is no whole number from 1 to {most}',
            'write e.g. 10',
        )
    return int(word.text)


def _parse_attempts(line: _Line, word: _Word) -> int:
    return _parse_count(line, word, MAX_ATTEMPTS)


def _parse_priority(line: _Line, word: _Word) -> int:
    if not word.text.isdecimal() or int(word.text) > MAX_PRIORITY:
        raise line.error(
            word,
            f'"{word.text}" is no rank from 0 to {MAX_PRIORITY}',
            'write e.g. 0 for the first rank',
        )
    return int(word.text)


def _parse_host(line: _Line, word: _Word) -> str:
    if not _HOST.match(word.text):
        raise line.error(
            word,
            f'"{word.text}" is no host',
            'write small letters, digits, ".", "-" and a port where needed',
        )
    return word.text


def _parse_split(line: _Line, word: _Word) -> tuple[WeightedService, ...]:
    """Read `NAME` or `NAME:90,OTHER:10`."""
    parts = []
    for text in word.text.split(','):
        name, _, weight = text.partition(':')
        named = _Word(name, word.column)
        weighed = _Word(weight or '1', word.column)
        parts.append(
            WeightedService(
                service=_parse_name(line, named),
                weight=_parse_count(line, weighed, MAX_WEIGHT),
            ),
        )
    return tuple(parts)


def _parse_digest(line: _Line, word: _Word) -> bytes:
    digits = word.text.removeprefix('sha256:')
    if len(digits) != DIGEST_HEX_DIGITS or digits == word.text:
        raise line.error(
            word,
            f'"{word.text}" is no digest',
            'write sha256: and 64 hexadecimal digits, as `key issue` does',
        )
    try:
        return bytes.fromhex(digits)
    except ValueError:
        raise line.error(
            word,
            'the digest has a letter that is not hexadecimal',
            'copy the line that `key issue` wrote',
        ) from None


def _need(line: _Line, head: _Word, name: str, example: str) -> _Word:
    word = line.take_option(name)
    if word is None:
        raise line.error(head, f'"{name}=" is missing', f'write {example}')
    return word


def _take(
    line: _Line,
    name: str,
    parse: Callable[[_Line, _Word], Any],
    default: Any,
) -> Any:
    word = line.take_option(name)
    return default if word is None else parse(line, word)


def _parse_choice(
    kind: type[StalePolicy] | type[ZoneScope],
) -> Callable[..., Any]:
    def parse(line: _Line, word: _Word) -> Any:
        if word.text not in set(kind):
            allowed = ' or '.join(kind)
            raise line.error(
                word,
                f'"{word.text}" is not known here',
                f'use {allowed}',
            )
        return kind(word.text)

    return parse


def _take_name(line: _Line, head: _Word, what: str) -> str:
    if not line.flags:
        raise line.error(head, f'the {what} has no name', f'write {what} NAME')
    first = next(iter(line.flags))
    return _parse_name(line, line.flags.pop(first))


class _Builder:
    """Collects the rules of a file."""

    __slots__ = (
        'keys',
        'places',
        'route_names',
        'routes',
        'services',
        'workspaces',
    )

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.routes: list[Route] = []
        self.route_names: set[str] = set()
        self.workspaces: dict[str, Workspace] = {}
        self.keys: dict[str, Key] = {}
        self.places: list[_Place] = []

    def add_service(self, line: _Line, head: _Word) -> None:
        """Read `service NAME floor=50% zones=any`."""
        service = Service(
            name=_take_name(line, head, 'service'),
            floor=_take(line, 'floor', _parse_percent, 0.5),
            zones=_take(
                line,
                'zones',
                _parse_choice(ZoneScope),
                ZoneScope.any,
            ),
        )
        line.refuse_leftovers('floor= and zones=')
        self._refuse_twin(line, head, service.name, self.services)
        self.services[service.name] = service

    def add_route(self, line: _Line, head: _Word) -> None:
        """Read `route METHOD PATH service=NAME …`."""
        method, path = self._take_target(line, head)
        service_word = _need(line, head, 'service', 'service=NAME')
        split = _parse_split(line, service_word)
        route = Route(
            method=method,
            path=path,
            service=split[0].service,
            split=split if len(split) > 1 else (),
            host=_take(line, 'host', _parse_host, ''),
            attempts=_take(line, 'attempts', _parse_attempts, DEFAULT_ATTEMPTS),
            objective=_take(line, 'objective', _parse_duration, 0.0),
            priority=_take(line, 'priority', _parse_priority, 0),
            public=line.take_flag('public'),
            idempotent=line.take_flag('idempotent') or method in SAFE_METHODS,
            once=line.take_flag('once'),
            deadline=_take(
                line,
                'deadline',
                _parse_duration,
                DEFAULT_DEADLINE_SECONDS,
            ),
            body_limit=_take(line, 'body', _parse_size, DEFAULT_BODY_BYTES),
            stale=_take(
                line, 'stale', _parse_choice(StalePolicy), StalePolicy.refuse
            ),
        )
        line.refuse_leftovers(_ROUTE_WORDS)
        if route.once and route.idempotent:
            raise line.error(
                head,
                'a route is either "once" or "idempotent"',
                'remove one of them',
            )
        if route.name in self.route_names:
            raise line.error(head, f'"{route.name}" stands twice', 'keep one')
        self.route_names.add(route.name)
        self.routes.append(route)
        for part in split:
            named = _Word(part.service, service_word.column)
            self._refer(line, named, 'service')

    def add_workspace(self, line: _Line, head: _Word) -> None:
        """Read `workspace NAME rate=50 burst=100 weight=1 priority=0`."""
        rate_word = _need(line, head, 'rate', 'rate=50')
        burst_word = _need(line, head, 'burst', 'burst=100')
        weight_word = line.take_option('weight')
        workspace = Workspace(
            name=_take_name(line, head, 'workspace'),
            rate=_parse_rate(line, rate_word),
            burst=_parse_count(line, burst_word, int(MAX_RATE)),
            weight=(
                _parse_count(line, weight_word, MAX_WEIGHT)
                if weight_word
                else 1
            ),
            priority=_take(line, 'priority', _parse_priority, None),
        )
        line.refuse_leftovers('rate=, burst=, weight= and priority=')
        self._refuse_twin(line, head, workspace.name, self.workspaces)
        self.workspaces[workspace.name] = workspace

    def add_key(self, line: _Line, head: _Word) -> None:
        """Read `key ID workspace=NAME digest=sha256:…`."""
        key_id = _take_name(line, head, 'key')
        workspace_word = _need(line, head, 'workspace', 'workspace=NAME')
        digest_word = _need(line, head, 'digest', 'digest=sha256:…')
        key = Key(
            id=key_id,
            workspace=_parse_name(line, workspace_word),
            digest=_parse_digest(line, digest_word),
        )
        line.refuse_leftovers('workspace= and digest=')
        self._refuse_twin(line, head, key.id, self.keys)
        self.keys[key.id] = key
        self._refer(line, workspace_word, 'workspace')

    def check_references(self) -> list[RuleError]:
        """Find the names that no rule defines."""
        known: dict[str, Collection[str]] = {
            'service': self.services,
            'workspace': self.workspaces,
        }
        return [
            RuleError(
                place.line,
                place.column,
                f'no {place.kind} is called "{place.name}"',
                f'add a line "{place.kind} {place.name} …" or correct the name',
            )
            for place in self.places
            if place.name not in known[place.kind]
        ]

    def _take_target(self, line: _Line, head: _Word) -> tuple[str, str]:
        words = list(line.flags.values())
        if len(words) < 2:
            raise line.error(head, 'method or path is missing', _ROUTE_HINT)
        method, path = words[:2]
        for word in (method, path):
            line.flags.pop(word.text, None)
        if method.text not in METHODS:
            raise line.error(
                method,
                f'"{method.text}" is no method',
                'use * or one of GET HEAD POST PUT PATCH DELETE OPTIONS',
            )
        is_path = path.text.startswith('/') and '*' not in path.text[:-1]
        if not is_path:
            raise line.error(
                path,
                f'"{path.text}" is no path',
                'start it with "/" and put "*" at its end only',
            )
        return method.text, path.text

    def _refuse_twin(
        self,
        line: _Line,
        head: _Word,
        name: str,
        known: dict[str, Any],
    ) -> None:
        if name in known:
            raise line.error(
                head,
                f'{head.text} "{name}" stands twice',
                'remove one of the two lines',
            )

    def _refer(self, line: _Line, word: _Word, kind: str) -> None:
        self.places.append(_Place(kind, word.text, line.number, word.column))


_ROUTE_HINT = 'write e.g. route GET /listings/* service=listings'
_ROUTE_WORDS = (
    'service=, host=, public, idempotent, once, deadline=, objective=, '
    'attempts=, priority=, body= and stale='
)
_RULES: dict[str, Callable[[_Builder, _Line, _Word], None]] = {
    'service': _Builder.add_service,
    'route': _Builder.add_route,
    'workspace': _Builder.add_workspace,
    'key': _Builder.add_key,
}


def parse_rules(text: str) -> Rules:
    """Read a whole rules file.

    Raises `RulesErrors`, which holds a `RuleError` for each mistake.
    """
    builder = _Builder()
    errors: list[RuleError] = []
    for number, raw in enumerate(text.splitlines(), start=1):
        try:
            _parse_line(builder, number, raw)
        except RuleError as error:
            errors.append(error)
    errors.extend(builder.check_references())
    if errors:
        errors.sort(key=lambda error: (error.line, error.column))
        raise RulesErrors(f'{len(errors)} mistakes in the rules', errors)
    return Rules(
        services=builder.services,
        routes=tuple(builder.routes),
        workspaces=builder.workspaces,
        keys=builder.keys,
    )


def version_of(text: str) -> int | None:
    """The accepted version that a file says it was made from, if any."""
    first = text.split('\n', 1)[0]
    match = VERSION_LINE.match(first)
    return int(match[1]) if match else None


def with_version(text: str, version: int) -> str:
    """The text with its first line naming the accepted version."""
    body = text
    if version_of(text) is not None:
        body = text.partition('\n')[2]
    return f'# version: {version}\n{body}'


def _parse_line(builder: _Builder, number: int, raw: str) -> None:
    rule, hash_mark, _ = raw.partition('#')
    words = [
        _Word(match[0], match.start() + 1) for match in _WORD.finditer(rule)
    ]
    if not words:
        return
    head = words[0]
    if not hash_mark or not _ASKED_BY.search(raw):
        raise RuleError(
            number,
            len(rule.rstrip()) + 1,
            'the line does not say who asked for it',
            'end it with "# asked by NAME"',
        )
    add = _RULES.get(head.text)
    if add is None:
        raise RuleError(
            number,
            head.column,
            f'"{head.text}" is no rule',
            'start the line with service, route, workspace or key',
        )
    add(builder, _Line(number, words[1:]), head)
