"""Edits of the rules that conflict with changes by others."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from kumquathold_cli import changes
from kumquathold_cli.client import CallRefused, Client

LAGGING_READS = 3 * changes.EDIT_ATTEMPTS


class LaggingClient(Client):
    """A node that gets the version which another operator accepted late."""

    def __init__(self, lagging_reads: int) -> None:
        super().__init__('127.0.0.1:1', 'tester', b'secret')
        self.lagging_reads = lagging_reads

    def get_text(
        self, path: str, query: dict[str, object] | None = None
    ) -> str:
        """Return the rules in force; they are of an old version at first."""
        if query:
            return f'# version: {query["version"]}\n'
        self.lagging_reads -= 1
        version = 1 if self.lagging_reads >= 0 else 2
        return f'# version: {version}\nservice s\n'

    def post(
        self,
        path: str,
        query: dict[str, object] | None = None,
        body: bytes = b'',
    ) -> Any:
        """Accept a change that is based on the version in the store."""
        if query and query['base'] == 2:
            return {'version': 3}
        content = {'error': 'conflict', 'in_force': {'version': 2}}
        raise CallRefused(409, content)


class EditTest(unittest.TestCase):
    """An edit is repeated on the version that it conflicted with."""

    def setUp(self) -> None:
        self.enterContext(mock.patch.object(changes, 'POLL_SECONDS', 0.0))

    def edit(self, lagging_reads: int) -> int:
        """Edit the rules through a node that lags for some reads."""
        client = LaggingClient(lagging_reads)
        return changes.edit_accepted_text(client, str.upper, 'edit')

    def test_attempts_are_not_spent_on_a_node_that_lags(self) -> None:
        self.assertEqual(self.edit(LAGGING_READS), 3)

    def test_node_that_does_not_get_the_version_is_told(self) -> None:
        with (
            mock.patch.object(changes, 'ROLLOUT_TIMEOUT_SECONDS', 0.0),
            self.assertRaisesRegex(changes.ChangeError, 'version 1 in force'),
        ):
            self.edit(LAGGING_READS)


if __name__ == '__main__':
    unittest.main()
