"""Parses and validates the operators' rules file.

All errors of a file are reported together, each with its line, its column and
a suggestion.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Collection
from typing import Any

import msgspec

from kumquathold_core.rules import (
    DEFAULT_ATTEMPTS,
    DEFAULT_BODY_LIMIT_BYTES,
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
"""Largest rate, in requests a second, and largest burst, in requests."""

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
    """One error in a rules file."""

    def __init__(
        self, line: int, column: int, problem: str, suggestion: str
    ) -> None:
        """Describe the error at `line` and `column`, which count from 1.

        `suggestion` says what to write instead.
        """
        super().__init__(f'{line}:{column}: {problem}; {suggestion}')
        self.line = line
        self.column = column
        self.problem = problem
        self.suggestion = suggestion


class RulesErrors(ExceptionGroup[RuleError]):
    """All errors of a rules file."""


def list_errors(group: ExceptionGroup[RuleError]) -> list[RuleError]:
    """List the errors of a file, in the order of its lines."""
    return [one for one in group.exceptions if isinstance(one, RuleError)]


class _Word(msgspec.Struct, frozen=True):
    text: str
    column: int


class _Reference(msgspec.Struct, frozen=True, gc=False):
    """A use of a name that another rule must define."""

    kind: str
    name: str
    line: int
    column: int


class _Line:
    """The options and flags of one rule, removed as they are parsed."""

    __slots__ = ('flags', 'number', 'options')

    def __init__(self, number: int, words: list[_Word]) -> None:
        self.number = number
        self.options: dict[str, _Word] = {}
        self.flags: dict[str, _Word] = {}
        for word in words:
            self._add_word(word)

    def error(self, word: _Word, problem: str, suggestion: str) -> RuleError:
        """Make an error at a word of this line."""
        return RuleError(self.number, word.column, problem, suggestion)

    def take_option(self, name: str) -> _Word | None:
        """Remove the option `name=value` and return its value, if given."""
        return self.options.pop(name, None)

    def take_flag(self, name: str) -> bool:
        """Remove a flag; return whether it was given."""
        return self.flags.pop(name, None) is not None

    def reject_unknown_words(self, allowed: str) -> None:
        """Raise a `RuleError` if options or flags are left over."""
        rest = [*self.options.items(), *self.flags.items()]
        if rest:
            name, word = rest[0]
            raise self.error(word, f'unknown word "{name}"', f'use {allowed}')

    def _add_word(self, word: _Word) -> None:
        name, equals, text = word.text.partition('=')
        target = self.options if equals else self.flags
        if equals and name in target:
            raise self.error(word, f'"{name}" is given twice', 'keep one')
        if equals:
            target[name] = _Word(text, word.column)
        else:
            target[name] = word


def _parse_name(line: _Line, word: _Word) -> str:
    if not _NAME.match(word.text):
        raise line.error(
            word,
            f'"{word.text}" is not a name',
            'use lower-case letters, digits, ".", "_" and "-"',
        )
    return word.text


def _parse_percent(line: _Line, word: _Word) -> float:
    digits = word.text.removesuffix('%')
    is_percent = word.text.endswith('%') and digits.isdigit()
    if not is_percent or int(digits) > 100:
        raise line.error(
            word,
            f'"{word.text}" is not a percentage from 0% to 100%',
            'write e.g. 50%',
        )
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
            f'"{word.text}" is not a duration above 0 and '
            f'up to {MAX_DEADLINE_SECONDS:.0f}s',
            'write e.g. 500ms or 2s',
        )
    return seconds


def _parse_size(line: _Line, word: _Word) -> int:
    match = _SIZE.match(word.text)
    size = int(match[1]) * _SIZE_UNITS[match[2]] if match else -1
    if not 0 <= size <= MAX_BODY_BYTES:
        raise line.error(
            word,
            f'"{word.text}" is not a size up to 64MB',
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
            f'"{word.text}" is not a rate above 0 and up to {MAX_RATE:.0f}',
            'write requests a second, e.g. rate=50',
        )
    return rate


def _parse_count(line: _Line, word: _Word, maximum: int) -> int:
    if not word.text.isdecimal() or not 1 <= int(word.text) <= maximum:
        raise line.error(
            word,
            f'"{word.text}" is not a whole number from 1 to {maximum}',
            'write e.g. 10',
        )
    return int(word.text)


def _parse_attempts(line: _Line, word: _Word) -> int:
    return _parse_count(line, word, MAX_ATTEMPTS)


def _parse_priority(line: _Line, word: _Word) -> int:
    if not word.text.isdecimal() or int(word.text) > MAX_PRIORITY:
        raise line.error(
            word,
            f'"{word.text}" is not a priority from 0 to {MAX_PRIORITY}',
            'write e.g. 0, which goes first',
        )
    return int(word.text)


def _parse_host(line: _Line, word: _Word) -> str:
    if not _HOST.match(word.text):
        raise line.error(
            word,
            f'"{word.text}" is not a host name',
            'use lower-case letters, digits, "." and "-", and :PORT if needed',
        )
    return word.text


def _parse_split(line: _Line, word: _Word) -> tuple[WeightedService, ...]:
    """Parse `NAME` or `NAME:90,OTHER:10`."""
    parts = []
    for text in word.text.split(','):
        name, _, weight = text.partition(':')
        name_word = _Word(name, word.column)
        weight_word = _Word(weight or '1', word.column)
        parts.append(
            WeightedService(
                service=_parse_name(line, name_word),
                weight=_parse_count(line, weight_word, MAX_WEIGHT),
            ),
        )
    return tuple(parts)


def _parse_digest(line: _Line, word: _Word) -> bytes:
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


def _require_option(line: _Line, head: _Word, name: str, example: str) -> _Word:
    word = line.take_option(name)
    if word is None:
        raise line.error(head, f'"{name}=" is missing', f'write {example}')
    return word


def _take_optional(
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
                f'"{word.text}" is not an allowed value',
                f'use {allowed}',
            )
        return kind(word.text)

    return parse


def _take_name(line: _Line, head: _Word, what: str) -> str:
    if not line.flags:
        raise line.error(head, f'the {what} has no name', f'write {what} NAME')
    first = next(iter(line.flags))
    return _parse_name(line, line.flags.pop(first))


class _RulesBuilder:
    """Collects the rules of a file and checks them against each other."""

    __slots__ = (
        'keys',
        'references',
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
        self.references: list[_Reference] = []

    def add_service(self, line: _Line, head: _Word) -> None:
        """Parse `service NAME floor=50% zones=any`."""
        service = Service(
            name=_take_name(line, head, 'service'),
            floor=_take_optional(line, 'floor', _parse_percent, 0.5),
            zones=_take_optional(
                line,
                'zones',
                _parse_choice(ZoneScope),
                ZoneScope.any,
            ),
        )
        line.reject_unknown_words('floor= and zones=')
        self._reject_duplicate(line, head, service.name, self.services)
        self.services[service.name] = service

    def add_route(self, line: _Line, head: _Word) -> None:
        """Parse `route METHOD PATH service=NAME …`."""
        method, path = self._take_target(line, head)
        service_word = _require_option(line, head, 'service', 'service=NAME')
        split = _parse_split(line, service_word)
        route = Route(
            method=method,
            path=path,
            service=split[0].service,
            split=split if len(split) > 1 else (),
            host=_take_optional(line, 'host', _parse_host, ''),
            attempts=_take_optional(
                line, 'attempts', _parse_attempts, DEFAULT_ATTEMPTS
            ),
            objective=_take_optional(line, 'objective', _parse_duration, 0.0),
            priority=_take_optional(line, 'priority', _parse_priority, 0),
            public=line.take_flag('public'),
            idempotent=line.take_flag('idempotent') or method in SAFE_METHODS,
            once=line.take_flag('once'),
            deadline=_take_optional(
                line,
                'deadline',
                _parse_duration,
                DEFAULT_DEADLINE_SECONDS,
            ),
            body_limit=_take_optional(
                line, 'body', _parse_size, DEFAULT_BODY_LIMIT_BYTES
            ),
            stale=_take_optional(
                line, 'stale', _parse_choice(StalePolicy), StalePolicy.refuse
            ),
        )
        line.reject_unknown_words(_ROUTE_WORDS)
        if route.once and route.idempotent:
            raise line.error(
                head,
                'a route is either "once" or "idempotent"',
                'remove one of them',
            )
        if route.name in self.route_names:
            raise line.error(
                head, f'route "{route.name}" is defined twice', 'keep one'
            )
        self.route_names.add(route.name)
        self.routes.append(route)
        for part in split:
            part_word = _Word(part.service, service_word.column)
            self._add_reference(line, part_word, 'service')

    def add_workspace(self, line: _Line, head: _Word) -> None:
        """Parse `workspace NAME rate=50 burst=100 weight=1 priority=0`."""
        rate_word = _require_option(line, head, 'rate', 'rate=50')
        burst_word = _require_option(line, head, 'burst', 'burst=100')
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
            priority=_take_optional(line, 'priority', _parse_priority, None),
        )
        line.reject_unknown_words('rate=, burst=, weight= and priority=')
        self._reject_duplicate(line, head, workspace.name, self.workspaces)
        self.workspaces[workspace.name] = workspace

    def add_key(self, line: _Line, head: _Word) -> None:
        """Parse `key ID workspace=NAME digest=sha256:…`."""
        key_id = _take_name(line, head, 'key')
        workspace_word = _require_option(
            line, head, 'workspace', 'workspace=NAME'
        )
        digest_word = _require_option(line, head, 'digest', 'digest=sha256:…')
        key = Key(
            id=key_id,
            workspace=_parse_name(line, workspace_word),
            digest=_parse_digest(line, digest_word),
        )
        line.reject_unknown_words('workspace= and digest=')
        self._reject_duplicate(line, head, key.id, self.keys)
        self.keys[key.id] = key
        self._add_reference(line, workspace_word, 'workspace')

    def check_references(self) -> list[RuleError]:
        """List an error for each reference to a name that no rule defines."""
        known: dict[str, Collection[str]] = {
            'service': self.services,
            'workspace': self.workspaces,
        }
        return [
            RuleError(
                reference.line,
                reference.column,
                f'no {reference.kind} is named "{reference.name}"',
                f'add a line "{reference.kind} {reference.name} …" '
                'or correct the name',
            )
            for reference in self.references
            if reference.name not in known[reference.kind]
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
                f'"{method.text}" is not an HTTP method',
                'use * or one of GET HEAD POST PUT PATCH DELETE OPTIONS',
            )
        is_path = path.text.startswith('/') and '*' not in path.text[:-1]
        if not is_path:
            raise line.error(
                path,
                f'"{path.text}" is not a path',
                'start it with "/" and put "*" at its end only',
            )
        return method.text, path.text

    def _reject_duplicate(
        self,
        line: _Line,
        head: _Word,
        name: str,
        known: dict[str, Any],
    ) -> None:
        if name in known:
            raise line.error(
                head,
                f'{head.text} "{name}" is defined twice',
                'remove one of the two lines',
            )

    def _add_reference(self, line: _Line, word: _Word, kind: str) -> None:
        self.references.append(
            _Reference(kind, word.text, line.number, word.column)
        )


_ROUTE_HINT = 'write e.g. route GET /listings/* service=listings'
_ROUTE_WORDS = (
    'service=, host=, public, idempotent, once, deadline=, objective=, '
    'attempts=, priority=, body= and stale='
)
_RULE_HANDLERS: dict[str, Callable[[_RulesBuilder, _Line, _Word], None]] = {
    'service': _RulesBuilder.add_service,
    'route': _RulesBuilder.add_route,
    'workspace': _RulesBuilder.add_workspace,
    'key': _RulesBuilder.add_key,
}


def parse_rules(text: str) -> Rules:
    """Parse a whole rules file.

    Raises `RulesErrors`, which holds a `RuleError` for each error.
    """
    builder = _RulesBuilder()
    errors: list[RuleError] = []
    for number, raw in enumerate(text.splitlines(), start=1):
        try:
            _parse_line(builder, number, raw)
        except RuleError as error:
            errors.append(error)
    errors.extend(builder.check_references())
    if errors:
        errors.sort(key=lambda error: (error.line, error.column))
        raise RulesErrors(f'{len(errors)} errors in the rules file', errors)
    return Rules(
        services=builder.services,
        routes=tuple(builder.routes),
        workspaces=builder.workspaces,
        keys=builder.keys,
    )


def parse_version_line(text: str) -> int | None:
    """Parse the accepted version that the first line names, if any.

    This is the version that the file was edited from.
    """
    first = text.split('\n', 1)[0]
    match = VERSION_LINE.match(first)
    return int(match[1]) if match else None


def set_version_line(text: str, version: int) -> str:
    """Add or replace the first line, which names the accepted version."""
    body = text
    if parse_version_line(text) is not None:
        body = text.partition('\n')[2]
    return f'# version: {version}\n{body}'


def _parse_line(builder: _RulesBuilder, number: int, raw: str) -> None:
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
    add = _RULE_HANDLERS.get(head.text)
    if add is None:
        raise RuleError(
            number,
            head.column,
            f'"{head.text}" is not a rule',
            'start the line with service, route, workspace or key',
        )
    add(builder, _Line(number, words[1:]), head)
