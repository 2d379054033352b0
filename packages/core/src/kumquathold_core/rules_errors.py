"""Errors of a rules file, each with its line, column and a suggestion."""

from __future__ import annotations


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
