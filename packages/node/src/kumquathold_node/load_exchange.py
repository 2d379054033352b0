"""Exchanges the loads of upstreams with peers, on the heartbeats.

Within the zone, a heartbeat carries the newest loads of all upstreams. One to
another zone carries those of the sender's zone only, as traffic between zones
is billed. Any thread may call the methods.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable
from time import monotonic
from typing import TYPE_CHECKING

from kumquathold_core.load_table import (
    KnownLoad,
    LoadReport,
    LoadTable,
    hash_name,
)
from kumquathold_node.kernel import Kernel
from kumquathold_node.settings import Settings

if TYPE_CHECKING:
    from kumquathold_core.route_reports import RouteReport
    from kumquathold_node.balancer import Balancer
    from kumquathold_node.membership import FleetView
    from kumquathold_node.owner import Owner

FAR_LIMIT_SHARE = 0.1
"""Share of the most loads in a heartbeat that goes to another zone."""


class LoadExchange:
    """The loads that this node knows; empty without `--load-reports`."""

    def __init__(self, kernel: Kernel, settings: Settings) -> None:
        """Register itself."""
        self.kernel = kernel
        self.limit = settings.load_reports
        self.zone = settings.zone
        self.lock = threading.Lock()
        self.table = LoadTable()
        self.zone_keys: frozenset[int] = frozenset()
        self.seen_changes = -1
        kernel.register('load-exchange', self)

    def find(self, upstream: str) -> KnownLoad | None:
        """Return the newest load of an upstream, if any is known."""
        if not self.limit:
            return None
        with self.lock:
            return self.table.find(upstream)

    def merge(self, reports: Iterable[LoadReport]) -> None:
        """Record the loads that a peer reported."""
        if not self.limit:
            return
        with self.lock:
            self.table.merge(reports, monotonic())

    def merge_routes(self, reports: tuple[RouteReport, ...]) -> None:
        """Pass on what a peer has measured of routes."""
        if self.limit and reports:
            self.kernel.find('balancer').apply_route_reports(reports)

    def make_route_reports(
        self, view: FleetView, peer: str
    ) -> tuple[RouteReport, ...]:
        """Return what this ingress has measured of routes, for its zone."""
        if not self.limit or _find_zone(view, peer) != self.zone:
            return ()
        balancer: Balancer = self.kernel.find('balancer')
        return balancer.make_route_reports()

    def make_reports(
        self, view: FleetView, peer: str
    ) -> tuple[LoadReport, ...]:
        """Return the loads to report to a peer.

        One that may be lost gets none: most heartbeats to such peers go
        astray, and there are many of them while a region is cut off.
        """
        zone = _find_zone(view, peer)
        if not self.limit or not zone:
            return ()
        now = monotonic()
        with self.lock:
            self._record_own(now)
            self.table.forget_old(now)
            if zone == self.zone:
                return self.table.make_reports(now, self.limit, _is_any)
            self._update_zone_keys(view)
            limit = max(1, round(self.limit * FAR_LIMIT_SHARE))
            return self.table.make_reports(
                now, limit, self.zone_keys.__contains__
            )

    def _record_own(self, now: float) -> None:
        owner: Owner = self.kernel.find('owner')
        for name, load in owner.list_loads(now):
            self.table.record(hash_name(name), load)

    def _update_zone_keys(self, view: FleetView) -> None:
        if view.change_count == self.seen_changes:
            return
        self.seen_changes = view.change_count
        self.zone_keys = frozenset(
            hash_name(upstream.name)
            for node in view.nodes
            if node.zone == self.zone
            for upstream in node.upstreams
        )


def _find_zone(view: FleetView, peer: str) -> str:
    """Return the zone of a peer, empty if it may be lost."""
    node = view.by_address.get(peer)
    if node is None or peer in view.suspects:
        return ''
    return node.zone


def _is_any(_: int) -> bool:
    return True
