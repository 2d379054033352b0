"""One line of a rules file, split into its words."""

from __future__ import annotations

import msgspec

from kumquathold_core.rules_errors import RuleError


class Word(msgspec.Struct, frozen=True):
    text: str
    column: int


class RuleLine:
    """The options and flags of one rule, removed as they are parsed."""

    __slots__ = ('flags', 'number', 'options')

    def __init__(self, number: int, words: list[Word]) -> None:
        self.number = number
        self.options: dict[str, Word] = {}
        self.flags: dict[str, Word] = {}
        for word in words:
            self._add_word(word)

    def error(self, word: Word, problem: str, suggestion: str) -> RuleError:
        """Make an error at a word of this line."""
        return RuleError(self.number, word.column, problem, suggestion)

    def take_option(self, name: str) -> Word | None:
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

    def _add_word(self, word: Word) -> None:
        name, equals, text = word.text.partition('=')
        target = self.options if equals else self.flags
        if equals and name in target:
            raise self.error(word, f'"{name}" is given twice', 'keep one')
        if equals:
            target[name] = Word(text, word.column)
        else:
            target[name] = word
