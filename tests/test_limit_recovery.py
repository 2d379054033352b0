"""An upstream whose limit has ended gets its share of the requests again."""

from __future__ import annotations

import random
import unittest

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate
from kumquathold_core.identity import UpstreamRecord
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.placement import PlacementRequest
from kumquathold_core.rules import ZoneScope
from kumquathold_core.upstream_statements import (
    KnownStatement,
    UpstreamStatement,
)
from kumquathold_node import owner_statements
from kumquathold_node.dialect import UpstreamDialect
from kumquathold_node.owner_requests import Upstream

LIMIT_PER_SECOND = 1.0
LIMIT_ENDS_AT = 20.0
PLAY_SECONDS = 40.0
RECOVERY_SECONDS = 6.0
STEP_SECONDS = 0.05
REQUESTS_PER_SECOND = 12
SERVICE_SECONDS = 0.3
SLOTS = 4
INGRESSES = 6
UPSTREAMS = 3
OBJECTIVE_SECONDS = 1.2
IDEMPOTENT_SHARE = 0.5


class SimulatedUpstream:
    """An upstream with its owner: starts, responses and what is published."""

    def __init__(self, name: str) -> None:
        record = UpstreamRecord(name, 's', SLOTS, ready=True, leaving=False)
        self.owner_side = Upstream(record, 1e9, UpstreamDialect())
        self.owner_side.record_service_time(SERVICE_SECONDS)
        self.published: float | None = None
        self.running: list[float] = []
        self.starts: list[float] = []

    def stated_limit(self, now: float) -> float | None:
        """Return the limit that a response states."""
        is_limited = self.owner_side.record.name == 'u0'
        return LIMIT_PER_SECOND if is_limited and now < LIMIT_ENDS_AT else None

    def try_start(self, now: float) -> bool:
        """Start a request, if slots and limit leave room."""
        if not self.owner_side.may_start(now):
            return False
        self.owner_side.in_use += 1
        self.owner_side.limiter.record_start(now)
        self.running.append(now + SERVICE_SECONDS)
        self.starts.append(now)
        return True

    def finish_due(self, now: float) -> None:
        """End the requests whose time is over, each with a response."""
        ended = [end for end in self.running if end <= now]
        self.running = [end for end in self.running if end > now]
        for _ in ended:
            limit = self.stated_limit(now)
            self.owner_side.in_use -= 1
            self.owner_side.known_statement = KnownStatement(
                UpstreamStatement(limit=limit), now
            )
            self.owner_side.limiter.set_limit(limit, now)
            self.published = limit

    def publish(self, now: float) -> None:
        """Withdraw the published limit once it is unconfirmed."""
        if owner_statements.is_limit_unconfirmed(self.owner_side, now):
            self.published = None

    def make_candidate(self) -> Candidate:
        """Return what the fleet knows of it."""
        name = self.owner_side.record.name
        return Candidate(name, name, 'a', 'r', SLOTS, limit=self.published)


class Play:
    """Ingresses that place a steady load on a few upstreams."""

    def __init__(self) -> None:
        self.upstreams = {
            f'u{number}': SimulatedUpstream(f'u{number}')
            for number in range(UPSTREAMS)
        }
        self.loads = [
            {name: LoadEstimate() for name in self.upstreams}
            for _ in range(INGRESSES)
        ]
        self.rng = random.Random(7)

    def run(self) -> None:
        """Play the whole load."""
        for step in range(round(PLAY_SECONDS / STEP_SECONDS)):
            now = step * STEP_SECONDS
            for upstream in self.upstreams.values():
                upstream.finish_due(now)
                upstream.publish(now)
            if self.rng.random() < REQUESTS_PER_SECOND * STEP_SECONDS:
                self.place(self.rng.choice(self.loads), now)

    def place(self, loads: dict[str, LoadEstimate], now: float) -> None:
        """Place a request of one ingress; a refused one is rerouted."""
        is_idempotent = self.rng.random() < IDEMPOTENT_SHARE
        request = PlacementRequest(
            'a',
            'r',
            1.0,
            objective=OBJECTIVE_SECONDS,
            idempotent=is_idempotent,
            may_send_trial=is_idempotent,
        )
        left = dict(self.upstreams)
        while left:
            candidates = [one.make_candidate() for one in left.values()]
            chosen = placement.choose_cheapest(
                candidates, loads, request, ZoneScope.any, now, self.rng
            )
            if chosen is None:
                return
            upstream = left.pop(chosen.upstream)
            load = loads[chosen.upstream]
            load.record_send(now)
            is_started = upstream.try_start(now)
            owner_side = upstream.owner_side
            load.record_report(owner_side.in_use, 0.0, now)
            known = owner_side.known_statement
            limit = known.statement.limit if known else None
            wait = owner_side.limiter.estimate_wait(0, now)
            load.record_limit(limit, wait, now)
            if is_started:
                return


class LimitRecoveryTest(unittest.TestCase):
    """No node believes in a limit for longer than the upstream states it."""

    def test_upstream_gets_its_share_after_its_limit_has_ended(self) -> None:
        play = Play()
        play.run()
        share = REQUESTS_PER_SECOND / UPSTREAMS
        for name, upstream in play.upstreams.items():
            late = [
                at
                for at in upstream.starts
                if at >= LIMIT_ENDS_AT + RECOVERY_SECONDS
            ]
            seconds = PLAY_SECONDS - LIMIT_ENDS_AT - RECOVERY_SECONDS
            with self.subTest(name):
                self.assertGreater(len(late), share * seconds / 2)

    def test_limit_is_confirmed_while_responses_come(self) -> None:
        upstream = SimulatedUpstream('u0').owner_side
        upstream.known_statement = KnownStatement(
            UpstreamStatement(limit=2.0), 10.0
        )
        upstream.limiter.set_limit(2.0, 10.0)
        self.assertFalse(owner_statements.is_limit_unconfirmed(upstream, 12.4))
        self.assertTrue(owner_statements.is_limit_unconfirmed(upstream, 12.6))
        upstream.in_use = 1
        self.assertFalse(owner_statements.is_limit_unconfirmed(upstream, 12.6))
        upstream.in_use = 0
        upstream.limiter.set_limit(None, 12.6)
        self.assertFalse(owner_statements.is_limit_unconfirmed(upstream, 99.0))


if __name__ == '__main__':
    unittest.main()
