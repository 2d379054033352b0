"""Ranks of requests, by which they are admitted and queued; lower goes first.

The workspace's priority counts first. Among its requests, and those of
workspaces of the same priority, the route's decides. A workspace without a
priority takes that of the route.
"""

from __future__ import annotations

from kumquathold_core.decoding import MAX_RANK
from kumquathold_core.rules import Route, Workspace

PRIORITIES = 2 * MAX_RANK + 1
"""Number of different priorities."""

NESTED_CALL_RANK = -(MAX_RANK + 1) * PRIORITIES
"""Rank of requests that upstreams make while they run a request.

A refusal wastes that run, so they go first.
"""


def rank_request(route: Route, workspace: Workspace | None) -> int:
    """Return the rank of a request that is not a nested call."""
    first = route.priority
    if workspace is not None and workspace.priority is not None:
        first = workspace.priority
    return first * PRIORITIES + route.priority
