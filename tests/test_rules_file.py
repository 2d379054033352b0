"""The rules file: every word, every error, and the example files."""

from __future__ import annotations

import unittest
from pathlib import Path

from hypothesis import example, given
from hypothesis import strategies as st

from kumquathold_core import manifest, rules_errors, rules_file
from kumquathold_core.rules import StalePolicy, ZoneScope, authenticate_key
from kumquathold_core.rules_errors import RuleError, RulesErrors
from kumquathold_core.rules_file import parse_rules
from tests.properties import repeatable
from tests.support import KEYS, make_rules

ROOT = Path(__file__).parent.parent
ASKED = '# asked by Oyun'
GOOD = f'service s {ASKED}\nworkspace w rate=1 burst=1 {ASKED}\n'
ERRORS = (
    ('service s', 'who asked'),
    (f'servise s {ASKED}', 'not a rule'),
    (f'service {ASKED}', 'no name'),
    (f'service S {ASKED}', 'not a name'),
    (f'service x floor=50 {ASKED}', 'not a percentage'),
    (f'service x floor=150% {ASKED}', 'not a percentage'),
    (f'service x zones=near {ASKED}', 'not an allowed value'),
    (f'service x colour=red {ASKED}', 'unknown word'),
    (f'service s {ASKED}', 'defined twice'),
    (f'route GET {ASKED}', 'missing'),
    (f'route FETCH /x service=s {ASKED}', 'not an HTTP method'),
    (f'route GET x service=s {ASKED}', 'not a path'),
    (f'route GET /a*b service=s {ASKED}', 'not a path'),
    (f'route GET /x {ASKED}', '"service=" is missing'),
    (f'route GET /x service=t {ASKED}', 'no service'),
    (f'route GET /x service=s service=s {ASKED}', 'given twice'),
    (f'route GET /x service=s deadline=5 {ASKED}', 'not a duration'),
    (f'route GET /x service=s deadline=90s {ASKED}', 'not a duration'),
    (f'route GET /x service=s body=1TB {ASKED}', 'not a size'),
    (f'route GET /x service=s stale=maybe {ASKED}', 'not an allowed value'),
    (f'route GET /x service=s twice {ASKED}', 'unknown word'),
    (f'route GET /x service=s once {ASKED}', 'either "once" or'),
    (f'route GET /x service=s host=Shop {ASKED}', 'not a host name'),
    (f'route GET /x service=s attempts=0 {ASKED}', 'not a whole number'),
    (f'route GET /x service=s priority=-1 {ASKED}', 'not a priority'),
    (f'route GET /x service=s objective=2 {ASKED}', 'not a duration'),
    (f'route GET /x service=s:9,t:1 {ASKED}', 'no service'),
    (f'route GET /x service=s:0,s:1 {ASKED}', 'not a whole number'),
    (f'workspace v rate=0 burst=1 {ASKED}', 'not a rate'),
    (f'workspace v rate=nan burst=1 {ASKED}', 'not a rate'),
    (f'workspace v rate=1 burst=0 {ASKED}', 'not a whole number'),
    (f'workspace v burst=1 {ASKED}', '"rate=" is missing'),
    (f'workspace v rate=1 burst=1 weight=x {ASKED}', 'not a whole number'),
    (f'key k workspace=w digest=md5:00 {ASKED}', 'not a SHA-256 digest'),
    (f'key k workspace=w digest=sha256:{"z" * 64} {ASKED}', 'not hexadecimal'),
    (f'key k workspace=u digest=sha256:{"0" * 64} {ASKED}', 'no workspace'),
)


def errors_of(text: str) -> list[RuleError]:
    """List all errors of a text."""
    try:
        parse_rules(text)
    except RulesErrors as errors:
        return rules_errors.list_errors(errors)
    return []


class ErrorsTest(unittest.TestCase):
    """Each error has its position and a suggestion."""

    def test_each_error_is_reported_at_its_line(self) -> None:
        for line, expected in ERRORS:
            with self.subTest(line=line):
                found = errors_of(f'{GOOD}{line}\n')
                self.assertEqual(len(found), 1, found)
                self.assertIn(expected, found[0].problem)
                self.assertEqual(found[0].line, 3)
                self.assertGreaterEqual(found[0].column, 1)
                self.assertTrue(found[0].suggestion)

    def test_all_errors_are_reported_together(self) -> None:
        text = GOOD + ''.join(f'{line}\n' for line, _ in ERRORS)
        lines = [error.line for error in errors_of(text)]
        self.assertEqual(lines, sorted(lines))
        self.assertEqual(len(set(lines)), len(ERRORS))

    @repeatable(max_examples=300)
    @given(st.text(max_size=200))
    @example('service\x00 s # asked by x')
    @example('route * /* service=s # asked by x')
    def test_any_text_gives_rules_or_errors(self, text: str) -> None:
        for error in errors_of(text):
            self.assertIsInstance(error, RuleError)

    @repeatable(max_examples=300)
    @given(st.lists(st.sampled_from(make_rules().split()), max_size=40))
    def test_shuffled_words_give_rules_or_errors(
        self,
        words: list[str],
    ) -> None:
        for error in errors_of(' '.join(words)):
            self.assertIsInstance(error, RuleError)


class WordsTest(unittest.TestCase):
    """Each word of a rule sets its field."""

    def test_words_are_parsed(self) -> None:
        rules = parse_rules(
            f'service s floor=67% zones=region {ASKED}\n'
            f'route PUT /a/* service=s idempotent deadline=250ms body=4KB '
            f'stale=serve {ASKED}\n'
            f'route POST /b service=s once {ASKED}\n'
            f'route GET /c service=s public {ASKED}\n'
            f'workspace w rate=2.5 burst=7 weight=3 {ASKED}\n'
            f'key k workspace=w digest=sha256:{"ab" * 32} {ASKED}\n',
        )
        service = rules.services['s']
        self.assertEqual(service.floor, 0.67)
        self.assertEqual(service.zones, ZoneScope.region)
        first, second, third = rules.routes
        self.assertEqual(first.deadline, 0.25)
        self.assertEqual(first.body_limit, 4096)
        self.assertEqual(first.stale, StalePolicy.serve)
        self.assertTrue(first.idempotent)
        self.assertTrue(second.once)
        self.assertFalse(second.idempotent)
        self.assertTrue(third.public)
        self.assertTrue(third.idempotent)
        workspace = rules.workspaces['w']
        self.assertEqual((workspace.rate, workspace.burst), (2.5, 7))
        self.assertEqual(workspace.weight, 3)
        self.assertEqual(rules.keys['k'].digest, bytes.fromhex('ab' * 32))

    def test_host_split_and_priority_are_parsed(self) -> None:
        rules = parse_rules(
            f'service s {ASKED}\nservice t {ASKED}\n'
            f'route GET /a/* service=s:95,t:5 host=shop.example:8080 '
            f'objective=2s attempts=2 priority=3 {ASKED}\n'
            f'workspace w rate=1 burst=1 priority=0 {ASKED}\n',
        )
        (route,) = rules.routes
        self.assertEqual(route.services, ('s', 't'))
        self.assertEqual([part.weight for part in route.split], [95, 5])
        self.assertEqual(route.host, 'shop.example:8080')
        self.assertEqual((route.objective, route.attempts), (2.0, 2))
        self.assertEqual(route.priority, 3)
        self.assertEqual(rules.workspaces['w'].priority, 0)

    def test_keys_are_authenticated_by_digest(self) -> None:
        rules = parse_rules(make_rules())
        known = authenticate_key(rules, KEYS['dealers'])
        self.assertIsNotNone(known)
        self.assertIsNone(authenticate_key(rules, f'{KEYS["dealers"]}x'))

    def test_version_line_is_set_and_replaced(self) -> None:
        marked = rules_file.set_version_line(make_rules(), 7)
        self.assertEqual(rules_file.parse_version_line(marked), 7)
        again = rules_file.set_version_line(marked, 8)
        self.assertEqual(rules_file.parse_version_line(again), 8)
        self.assertEqual(again.partition('\n')[2], make_rules())

    def test_example_files_have_no_errors(self) -> None:
        names = sorted(one.name for one in ROOT.glob('examples/*.rules'))
        self.assertEqual(names, ['pixelchedi.rules', 'tuul.rules'])
        for name in names:
            text = (ROOT / 'examples' / name).read_text(encoding='utf-8')
            self.assertEqual(errors_of(text), [])

    def test_reference_page_names_every_word(self) -> None:
        page = (ROOT / 'docs' / 'RULES.md').read_text(encoding='utf-8')
        for word in (
            'service',
            'route',
            'workspace',
            'key',
            'floor=',
            'zones=',
            'service=',
            'public',
            'idempotent',
            'once',
            'deadline=',
            'body=',
            'stale=',
            'rate=',
            'burst=',
            'weight=',
            'digest=',
            '# asked by',
        ):
            self.assertIn(f'`{word}', page)
        for name in ('tuul', 'pixelchedi'):
            example_text = (ROOT / 'examples' / f'{name}.rules').read_text()
            self.assertIn(example_text.strip(), page)


class ManifestTest(unittest.TestCase):
    """How a text is packed for the platform."""

    @repeatable()
    @given(st.text())
    def test_packed_text_comes_back(self, text: str) -> None:
        packed = manifest.compress_text(text)
        joined = b''.join(manifest.split_chunks(packed))
        digest = manifest.digest_compressed(packed)
        self.assertEqual(manifest.decompress_text(joined, digest), text)

    def test_corrupt_text_is_refused(self) -> None:
        packed = manifest.compress_text('service s # asked by Oyun')
        digest = manifest.digest_compressed(packed)
        with self.assertRaises(manifest.CorruptConfiguration):
            manifest.decompress_text(packed[:-1], digest)
