"""When requests leave their zone, and how many of them.

Played loads of three zones, two of which share a region; no network.
"""

from __future__ import annotations

import unittest

from tests.load_stage import OBJECTIVE_SECONDS, PlayedLoad, Shares

LOAD_SECONDS = 30.0
WARM_UP_SECONDS = 5.0
KILOBYTE_COST = 0.05
OVERLOAD = 1.7
CALM = 0.4
WAVE_SECONDS = 10.0


def find_shares(**shares: float) -> Shares:
    """Return the load of all zones; those not named have a calm one."""
    return {'a': CALM, 'b': CALM, 'c': CALM, **shares}


class ZoneTrafficTest(unittest.TestCase):
    """A zone sends away what it cannot serve in time, and not more."""

    def test_calm_zones_keep_their_requests(self) -> None:
        """Load answered: each zone has room for its own callers."""
        load = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        load.play(LOAD_SECONDS, lambda _: find_shares())
        for zone in 'abc':
            self.assertEqual(load.count_left(zone, 0, LOAD_SECONDS), 0)

    def test_zone_beyond_its_room_sends_the_rest_away(self) -> None:
        """Load answered: one zone at 1.7 times its room, the others calm."""
        load = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        load.play(LOAD_SECONDS, lambda _: find_shares(a=OVERLOAD))
        left = load.count_left('a', WARM_UP_SECONDS, LOAD_SECONDS)
        excess = (OVERLOAD - 1) / OVERLOAD
        self.assertGreater(left, 0.8 * excess)
        self.assertLess(left, 1.3 * excess)
        near = [one for one in load.requests if one.served_in == 'b']
        far = [one for one in load.requests if one.served_in == 'c']
        moved = [one for one in near if one.zone == 'a']
        moved_far = [one for one in far if one.zone == 'a']
        self.assertGreater(len(moved), len(moved_far))

    def test_callers_of_a_short_zone_are_served_better_than_at_home(
        self,
    ) -> None:
        """The same load, with and without the knowledge of other zones."""
        known = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        known.play(LOAD_SECONDS, lambda _: find_shares(a=OVERLOAD))
        unknown = PlayedLoad(is_exchanged=False, kilobyte_cost=KILOBYTE_COST)
        unknown.play(LOAD_SECONDS, lambda _: find_shares(a=OVERLOAD))
        gain = known.count_in_time('a') - unknown.count_in_time('a')
        self.assertGreater(gain, 0.1)

    def test_little_leaves_where_all_zones_are_short(self) -> None:
        """Load answered: nobody gains by leaving, and traffic would double."""
        load = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        load.play(LOAD_SECONDS, lambda _: find_shares(a=1.3, b=1.3, c=1.3))
        for zone in 'abc':
            self.assertLess(load.count_left(zone, 0, LOAD_SECONDS), 0.2)

    def test_requests_come_home_once_the_zone_has_room(self) -> None:
        """Load answered: an overload that ends."""
        load = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        load.play(
            LOAD_SECONDS,
            lambda now: find_shares(a=OVERLOAD if now < 15 else CALM),
        )
        self.assertGreater(load.count_left('a', 5, 15), 0.3)
        home = 15 + 2 * OBJECTIVE_SECONDS
        self.assertLess(load.count_left('a', home, LOAD_SECONDS), 0.02)

    def test_share_that_leaves_does_not_swing(self) -> None:
        """A constant overload: the share differs little between seconds."""
        load = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        load.play(LOAD_SECONDS, lambda _: find_shares(a=OVERLOAD))
        shares = [
            load.count_left('a', second, second + 2)
            for second in range(6, int(LOAD_SECONDS) - 2, 2)
        ]
        self.assertLess(max(shares) - min(shares), 0.4)

    def test_crests_in_turn_are_served_by_the_zones_in_their_trough(
        self,
    ) -> None:
        """Load answered: zones of one region that crest one after the other."""

        def wave(now: float) -> Shares:
            is_first = now % (2 * WAVE_SECONDS) < WAVE_SECONDS
            crest, trough = (1.4, CALM) if is_first else (CALM, 1.4)
            return find_shares(a=crest, b=trough)

        load = PlayedLoad(kilobyte_cost=KILOBYTE_COST)
        before = PlayedLoad(is_exchanged=False, kilobyte_cost=KILOBYTE_COST)
        for played in (load, before):
            played.play(4 * WAVE_SECONDS, wave)
        for zone in 'ab':
            gain = load.count_in_time(zone) - before.count_in_time(zone)
            self.assertGreater(gain, 0.15)
        self.assertLess(load.count_left('c', 0, 4 * WAVE_SECONDS), 0.05)

    def test_cost_of_traffic_keeps_more_at_home(self) -> None:
        """A deployment that pays for traffic lets callers wait longer."""
        free = PlayedLoad(kilobyte_cost=0.0)
        dear = PlayedLoad(kilobyte_cost=4 * KILOBYTE_COST)
        for load in (free, dear):
            load.play(LOAD_SECONDS, lambda _: find_shares(a=1.0))
        self.assertLess(
            dear.count_left('a', 0, LOAD_SECONDS),
            free.count_left('a', 0, LOAD_SECONDS),
        )
