"""The nodes of a region that a rate holder asks whether they still hear it.

They answer heartbeats; see `holder_validity` for what that shows.
"""

from __future__ import annotations

from time import monotonic

from kumquathold_core import holder_validity, member_table
from kumquathold_node.membership import Membership
from kumquathold_node.membership_messages import WatchPeersCommand
from kumquathold_node.settings import Settings

MAX_CONTACTS = 16
"""Most nodes of a region that are asked."""


class HolderContacts:
    """A sample of the region's nodes, the same for as long as the region is."""

    __slots__ = ('membership', 'own', 'peers', 'region')

    def __init__(self, membership: Membership, settings: Settings) -> None:
        """Start without any."""
        self.membership = membership
        self.own = settings.peer
        self.region = settings.region
        self.peers: tuple[str, ...] = ()

    def watch(self, *, is_needed: bool) -> None:
        """Have the region's nodes answer heartbeats, or no longer."""
        peers = self._select() if is_needed else ()
        if peers != self.peers:
            self.peers = peers
            self.membership.task.post(WatchPeersCommand(peers))

    def measure_silence(self) -> float:
        """Return the seconds since most of the region heard this node."""
        now = monotonic()
        answered_at = [
            self.membership.get_last_answer_time(peer) for peer in self.peers
        ]
        return now - holder_validity.find_quorum_time(answered_at, now)

    def _select(self) -> tuple[str, ...]:
        """Select other nodes of the region, also dead ones.

        A node that this one believes dead may live on the other side of a cut.
        """
        view = self.membership.view
        others = [
            node
            for node in (*view.nodes, *view.lost)
            if node.region == self.region
            and node.address != self.own
            and not node.leaving
        ]
        purpose = f'contacts {self.own}'
        ranked = member_table.rank_by_rendezvous(others, purpose)
        return tuple(node.address for node in ranked[:MAX_CONTACTS])
