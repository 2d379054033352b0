"""Parses and validates the operators' rules file.

All errors of a file are reported together, each with its line, its column and
a suggestion.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Collection
from typing import Any

import msgspec

from kumquathold_core import permitted_regions, rules_values
from kumquathold_core.rules import (
    DEFAULT_ATTEMPTS,
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_DEADLINE_SECONDS,
    Key,
    Route,
    Rules,
    Service,
    StalePolicy,
    Workspace,
    ZoneScope,
)
from kumquathold_core.rules_errors import RuleError, RulesErrors
from kumquathold_core.rules_line import RuleLine, Word
from kumquathold_core.rules_values import (
    parse_attempts,
    parse_choice,
    parse_count,
    parse_digest,
    parse_duration,
    parse_host,
    parse_name,
    parse_percent,
    parse_priority,
    parse_rate,
    parse_regions,
    parse_size,
    parse_split,
    require_option,
    take_name,
    take_optional,
)

METHODS = frozenset(
    ('*', 'GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'),
)
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
VERSION_LINE = re.compile(r'^# version: (\d+)\s*$')

_WORD = re.compile(r'\S+')
_ASKED_BY = re.compile(r'#\s*asked by\s+\S')


class Reference(msgspec.Struct, frozen=True, gc=False):
    """A use of a name that another rule must define."""

    kind: str
    name: str
    line: int
    column: int


class _RulesBuilder:
    """Collects the rules of a file and checks them against each other."""

    __slots__ = (
        'evacuated_zones',
        'keys',
        'references',
        'route_lines',
        'routes',
        'services',
        'workspaces',
    )

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.routes: list[Route] = []
        self.route_lines: dict[str, tuple[int, int]] = {}
        self.workspaces: dict[str, Workspace] = {}
        self.keys: dict[str, Key] = {}
        self.references: list[Reference] = []
        self.evacuated_zones: dict[str, str] = {}

    def add_service(self, line: RuleLine, head: Word) -> None:
        """Parse `service NAME floor=50% zones=any cold-rate=5`."""
        service = Service(
            name=take_name(line, head, 'service'),
            floor=take_optional(line, 'floor', parse_percent, 0.5),
            zones=take_optional(
                line,
                'zones',
                parse_choice(ZoneScope),
                ZoneScope.any,
            ),
            cold_rate=take_optional(line, 'cold-rate', parse_rate, 0.0),
        )
        line.reject_unknown_words('floor=, zones= and cold-rate=')
        self._reject_duplicate(line, head, service.name, self.services)
        self.services[service.name] = service

    def add_route(self, line: RuleLine, head: Word) -> None:
        """Parse `route METHOD PATH service=NAME …`."""
        method, path = self._take_target(line, head)
        service_word = require_option(line, head, 'service', 'service=NAME')
        split = parse_split(line, service_word)
        route = Route(
            method=method,
            path=path,
            service=split[0].service,
            split=split if len(split) > 1 else (),
            host=take_optional(line, 'host', parse_host, ''),
            attempts=take_optional(
                line, 'attempts', parse_attempts, DEFAULT_ATTEMPTS
            ),
            objective=take_optional(line, 'objective', parse_duration, 0.0),
            priority=take_optional(line, 'priority', parse_priority, 0),
            public=line.take_flag('public'),
            idempotent=line.take_flag('idempotent') or method in SAFE_METHODS,
            once=line.take_flag('once'),
            deadline=take_optional(
                line,
                'deadline',
                parse_duration,
                DEFAULT_DEADLINE_SECONDS,
            ),
            body_limit=take_optional(
                line, 'body', parse_size, DEFAULT_BODY_LIMIT_BYTES
            ),
            stale=take_optional(
                line, 'stale', parse_choice(StalePolicy), StalePolicy.refuse
            ),
            regions=take_optional(line, 'regions', parse_regions, ()),
        )
        line.reject_unknown_words(_ROUTE_WORDS)
        if route.once and route.idempotent:
            raise line.error(
                head,
                'a route is either "once" or "idempotent"',
                'remove one of them',
            )
        if route.name in self.route_lines:
            raise line.error(
                head, f'route "{route.name}" is defined twice', 'keep one'
            )
        self.route_lines[route.name] = (line.number, head.column)
        self.routes.append(route)
        for part in split:
            part_word = Word(part.service, service_word.column)
            self._add_reference(line, part_word, 'service')

    def add_workspace(self, line: RuleLine, head: Word) -> None:
        """Parse `workspace NAME rate=50 burst=100 weight=1 priority=0`."""
        rate_word = require_option(line, head, 'rate', 'rate=50')
        burst_word = require_option(line, head, 'burst', 'burst=100')
        weight_word = line.take_option('weight')
        workspace = Workspace(
            name=take_name(line, head, 'workspace'),
            rate=parse_rate(line, rate_word),
            burst=parse_count(line, burst_word, int(rules_values.MAX_RATE)),
            weight=(
                parse_count(line, weight_word, rules_values.MAX_WEIGHT)
                if weight_word
                else 1
            ),
            priority=take_optional(line, 'priority', parse_priority, None),
            regions=take_optional(line, 'regions', parse_regions, ()),
        )
        line.reject_unknown_words(
            'rate=, burst=, weight=, priority= and regions='
        )
        self._reject_duplicate(line, head, workspace.name, self.workspaces)
        self.workspaces[workspace.name] = workspace

    def add_key(self, line: RuleLine, head: Word) -> None:
        """Parse `key ID workspace=NAME digest=sha256:…`."""
        key_id = take_name(line, head, 'key')
        workspace_word = require_option(
            line, head, 'workspace', 'workspace=NAME'
        )
        digest_word = require_option(line, head, 'digest', 'digest=sha256:…')
        key = Key(
            id=key_id,
            workspace=parse_name(line, workspace_word),
            digest=parse_digest(line, digest_word),
        )
        line.reject_unknown_words('workspace= and digest=')
        self._reject_duplicate(line, head, key.id, self.keys)
        self.keys[key.id] = key
        self._add_reference(line, workspace_word, 'workspace')

    def add_zone(self, line: RuleLine, head: Word) -> None:
        """Parse `zone NAME evacuated`."""
        is_evacuated = line.take_flag('evacuated')
        name = take_name(line, head, 'zone')
        if not is_evacuated:
            raise line.error(
                head,
                f'the line says nothing of zone "{name}"',
                f'write zone {name} evacuated, or remove the line',
            )
        line.reject_unknown_words('evacuated')
        self._reject_duplicate(line, head, name, self.evacuated_zones)
        self.evacuated_zones[name] = name

    def check_regions(self) -> list[RuleError]:
        """List an error for each workspace that a route permits nowhere."""
        disjoint = permitted_regions.find_disjoint(
            self.routes, self.workspaces.values()
        )
        return [
            RuleError(
                *self.route_lines[route.name],
                f'route "{route.name}" and workspace "{workspace.name}" '
                'have no region in common',
                'add a region to one of their "regions="',
            )
            for route, workspace in disjoint
        ]

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

    def _take_target(self, line: RuleLine, head: Word) -> tuple[str, str]:
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
        line: RuleLine,
        head: Word,
        name: str,
        known: dict[str, Any],
    ) -> None:
        if name in known:
            raise line.error(
                head,
                f'{head.text} "{name}" is defined twice',
                'remove one of the two lines',
            )

    def _add_reference(self, line: RuleLine, word: Word, kind: str) -> None:
        self.references.append(
            Reference(kind, word.text, line.number, word.column)
        )


_ROUTE_HINT = 'write e.g. route GET /listings/* service=listings'
_ROUTE_WORDS = (
    'service=, host=, public, idempotent, once, deadline=, objective=, '
    'attempts=, priority=, body=, stale= and regions='
)
_RULE_HANDLERS: dict[str, Callable[[_RulesBuilder, RuleLine, Word], None]] = {
    'service': _RulesBuilder.add_service,
    'route': _RulesBuilder.add_route,
    'workspace': _RulesBuilder.add_workspace,
    'key': _RulesBuilder.add_key,
    'zone': _RulesBuilder.add_zone,
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
    errors.extend(builder.check_regions())
    if errors:
        errors.sort(key=lambda error: (error.line, error.column))
        raise RulesErrors(f'{len(errors)} errors in the rules file', errors)
    return Rules(
        services=builder.services,
        routes=tuple(builder.routes),
        workspaces=builder.workspaces,
        keys=builder.keys,
        evacuated_zones=frozenset(builder.evacuated_zones),
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
        Word(match[0], match.start() + 1) for match in _WORD.finditer(rule)
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
            'start the line with service, route, workspace, key or zone',
        )
    add(builder, RuleLine(number, words[1:]), head)
