"""Selection of the peers that a node sends heartbeats and updates to.

Traffic between zones is billed, so peers of other zones are selected less often
if `far_rounds` is above 1. With `far_rounds` 1, zones make no difference. Reads
no clock; the randomness is passed in.
"""

from __future__ import annotations

import random

from kumquathold_core.member_table import MemberTable

INDIRECT_HELPERS = 3
"""Nodes that are asked to probe a peer that does not respond."""

URGENT_FANOUT = 16
"""Peers that an urgent update is sent to if `far_rounds` is 1."""

URGENT_FAR_FANOUT = 3
"""Peers of other zones that get an urgent update if `far_rounds` is above 1.

All peers of the own zone get it as well.
"""


class PeerSelector:
    """Draws peers from a member table."""

    def __init__(
        self, table: MemberTable, far_rounds: int, rng: random.Random
    ) -> None:
        """Draw peers of `table`, every `far_rounds`-th of another zone."""
        self.table = table
        self.far_rounds = far_rounds
        self.rng = rng
        self.round_count = 0
        self.probe_queues: dict[bool, list[str]] = {True: [], False: []}
        """Shuffled peers yet to probe; under `True`, those of other zones."""

    def take_probe_target(self) -> str | None:
        """Take the peer of this round; one of the own zone in most rounds."""
        self.round_count += 1
        is_far = self.round_count % self.far_rounds == 0
        peer = self._pop_probe_target(is_far=is_far)
        return peer or self._pop_probe_target(is_far=True)

    def is_far(self, peer: str) -> bool:
        """Whether a peer is in another zone, if that makes a difference."""
        return self.far_rounds > 1 and peer in self.list_peers(is_far=True)

    def list_peers(self, *, is_far: bool) -> list[str]:
        """List the peers of other zones, or those of the own zone.

        With `far_rounds` 1, lists all peers.
        """
        if self.far_rounds == 1:
            return self.table.list_peers()
        own_zone = self.table.own.zone
        return [
            peer
            for peer in self.table.list_peers()
            if (self.table.members[peer].record.zone != own_zone) == is_far
        ]

    def select_helpers(self, subject: str) -> list[str]:
        """Draw the nodes that are to probe a peer indirectly."""
        peers = [one for one in self.table.list_peers() if one != subject]
        return self._sample(peers, INDIRECT_HELPERS)

    def select_urgent_peers(self) -> list[str]:
        """Draw the peers that an urgent update is sent to."""
        if self.far_rounds == 1:
            return self._sample(self.table.list_peers(), URGENT_FANOUT)
        far = self._sample(self.list_peers(is_far=True), URGENT_FAR_FANOUT)
        return [*self.list_peers(is_far=False), *far]

    def _pop_probe_target(self, *, is_far: bool) -> str | None:
        queue = self.probe_queues[is_far]
        if not queue:
            queue.extend(self.list_peers(is_far=is_far))
            self.rng.shuffle(queue)
        return queue.pop() if queue else None

    def _sample(self, peers: list[str], count: int) -> list[str]:
        return self.rng.sample(peers, min(count, len(peers)))
