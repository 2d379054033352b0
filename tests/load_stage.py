"""A played load: many small ingresses place requests at shared upstreams.

Each ingress sees few of the requests, as in a fleet of many VMs. There is no
network and no clock; a seed draws arrivals and service times.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.load_table import KnownLoad
from kumquathold_core.placement import PlacementRequest
from kumquathold_core.rules import ZoneScope

START = 100.0
STEP_SECONDS = 0.01
SLOTS = 4
RISK = 0.03
SERVICE_SECONDS = 0.5
OBJECTIVE_SECONDS = 2.0
DEADLINE_SECONDS = 8.0
INGRESSES_PER_ZONE = 30
UPSTREAMS_PER_ZONE = 6
EXCHANGE_SECONDS = 1.0
REGIONS = {'a': 'r', 'b': 'r', 'c': 's'}
"""Region of each zone."""

Shares = dict[str, float]
"""Offered load by zone, as a share of what its upstreams serve."""


class PlayedRequest(msgspec.Struct):
    """A request of the played load."""

    zone: str
    """Zone of its caller."""

    arrived_at: float
    """When it was placed."""

    served_in: str
    """Zone of its upstream."""

    response_seconds: float = DEADLINE_SECONDS
    """Time until its response."""


class PlayedLoad:
    """Three zones with upstreams and ingresses."""

    def __init__(
        self, *, is_exchanged: bool = True, kilobyte_cost: float = 0.0
    ) -> None:
        self.is_exchanged = is_exchanged
        self.rng = random.Random(7)
        self.request = PlacementRequest(
            zone='',
            region='',
            kilobytes=1,
            objective=OBJECTIVE_SECONDS,
            usual_seconds=SERVICE_SECONDS,
            kilobyte_costs=(0.0, kilobyte_cost, 2 * kilobyte_cost),
        )
        self.candidates = [
            Candidate(
                f'{zone}{number}', f'o{zone}{number}', zone, region, SLOTS
            )
            for zone, region in REGIONS.items()
            for number in range(UPSTREAMS_PER_ZONE)
        ]
        self.queues: dict[str, list[PlayedRequest]] = {
            one.upstream: [] for one in self.candidates
        }
        self.running: dict[str, list[float]] = {
            name: [] for name in self.queues
        }
        self.ingresses: dict[str, list[dict[str, LoadEstimate]]] = {
            zone: [
                {name: LoadEstimate() for name in self.queues}
                for _ in range(INGRESSES_PER_ZONE)
            ]
            for zone in REGIONS
        }
        self.requests: list[PlayedRequest] = []
        self.now = START

    def play(self, seconds: float, shares: Callable[[float], Shares]) -> None:
        """Offer a load and serve it; `shares` is given the time since START."""
        capacity = UPSTREAMS_PER_ZONE * SLOTS / SERVICE_SECONDS
        next_exchange = self.now
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for name in self.queues:
                self._serve(name)
            if self.is_exchanged and self.now >= next_exchange:
                next_exchange = self.now + EXCHANGE_SECONDS
                self._exchange()
            for zone, share in shares(self.now - START).items():
                if self.rng.random() < share * capacity * STEP_SECONDS:
                    self._place(zone)

    def count_left(self, zone: str, start: float, end: float) -> float:
        """Return the share of a zone's requests that left it in some time."""
        served = Counter(
            request.served_in == zone
            for request in self.requests
            if request.zone == zone
            and start <= request.arrived_at - START < end
        )
        return served[False] / max(1, served.total())

    def count_in_time(self, zone: str) -> float:
        """Return the share of a zone's requests served in their objective."""
        found = [one for one in self.requests if one.zone == zone]
        in_time = [
            one for one in found if one.response_seconds <= OBJECTIVE_SECONDS
        ]
        return len(in_time) / max(1, len(found))

    def list_response_times(self) -> list[float]:
        """Return the times until all responses, shortest first."""
        return sorted(one.response_seconds for one in self.requests)

    def _serve(self, name: str) -> None:
        running = [end for end in self.running[name] if end > self.now]
        queue = self.queues[name]
        while queue and len(running) < SLOTS:
            request = queue.pop(0)
            if self.now - request.arrived_at >= DEADLINE_SECONDS:
                continue
            end = self.now + self.rng.uniform(0.5, 1.5) * SERVICE_SECONDS
            request.response_seconds = end - request.arrived_at
            running.append(end)
        self.running[name] = running

    def _backlog(self, name: str) -> int:
        return len(self.queues[name]) + len(self.running[name])

    def _exchange(self) -> None:
        every = itertools.chain.from_iterable(self.ingresses.values())
        for loads in every:
            for name, load in loads.items():
                known = KnownLoad(
                    self._backlog(name), RISK, SERVICE_SECONDS, self.now
                )
                load.record_exchanged(known)

    def _place(self, zone: str) -> None:
        loads = self.rng.choice(self.ingresses[zone])
        request = msgspec.structs.replace(
            self.request, zone=zone, region=REGIONS[zone]
        )
        chosen = placement.choose_cheapest(
            self.candidates, loads, request, ZoneScope.any, self.now, self.rng
        )
        assert chosen is not None  # noqa: S101
        name = chosen.upstream
        loads[name].record_send(self.now)
        played = PlayedRequest(zone, self.now, chosen.zone)
        self.requests.append(played)
        self.queues[name].append(played)
        loads[name].record_report(self._backlog(name), RISK, self.now)
