"""Which requests go first where there is too little room."""

from __future__ import annotations

import unittest

import msgspec

from kumquathold_core.decoding import MAX_RANK
from kumquathold_core.ranks import NESTED_CALL_RANK, rank_request
from kumquathold_core.rules import Route, Workspace

ROUTE = Route('POST', '/a', 's')
WORKSPACE = Workspace('w', rate=1.0, burst=1)


def rank(route: int, workspace: int | None) -> int:
    """Rank a request by the priorities of its route and workspace."""
    return rank_request(
        msgspec.structs.replace(ROUTE, priority=route),
        msgspec.structs.replace(WORKSPACE, priority=workspace),
    )


class RankTest(unittest.TestCase):
    """The workspace's priority counts first, then the route's."""

    def test_routes_differ_within_one_priority_of_workspaces(self) -> None:
        """Else the least urgent route competes with the most urgent one."""
        self.assertLess(rank(0, 1), rank(1, 1))
        self.assertLess(rank(1, 1), rank(2, 1))

    def test_priority_of_the_workspace_counts_before_the_route(self) -> None:
        self.assertLess(rank(2, 0), rank(0, 1))
        self.assertLess(rank(MAX_RANK, 0), rank(-MAX_RANK, 1))

    def test_route_stands_in_for_a_workspace_without_priority(self) -> None:
        self.assertEqual(rank(1, None), rank(1, 1))
        self.assertEqual(rank_request(ROUTE, None), rank(0, 0))

    def test_nested_calls_go_before_any_request(self) -> None:
        self.assertLess(NESTED_CALL_RANK, rank(-MAX_RANK, -MAX_RANK))
