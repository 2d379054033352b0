"""Decisions on upstreams that are older than the node beside them."""

from __future__ import annotations

import unittest

from kumquathold_core.first_announcements import FirstAnnouncements

NODE_START = 5000
OLDER = 1000
INTERVAL_SECONDS = 2.0
LATE = 3.0
"""Later than a running process would have announced itself."""


class FirstAnnouncementTest(unittest.TestCase):
    """A node that listens from second 0 on, and has read the departures."""

    def setUp(self) -> None:
        self.heard = FirstAnnouncements(NODE_START, 0.0)
        self.heard.are_departures_known = True

    def may_use(self, now: float, lifetime: int = OLDER) -> bool:
        return self.heard.may_use('u', lifetime, INTERVAL_SECONDS, now)

    def test_running_process_is_used_at_once(self) -> None:
        self.assertTrue(self.may_use(1.0))
        self.assertTrue(self.may_use(60.0))

    def test_late_ones_alone_and_in_a_series_are_not_believed(self) -> None:
        used = [self.may_use(LATE + delay) for delay in (0.0, 1.0, 2.0)]
        self.assertEqual(used, [False] * 3)
        self.assertFalse(self.may_use(30.0))

    def test_steady_announcements_are_believed_in_the_end(self) -> None:
        used = [self.may_use(LATE + 1.5 * count) for count in range(6)]
        self.assertEqual(used, [False] * 4 + [True] * 2)

    def test_process_that_is_younger_than_the_node_is_used(self) -> None:
        self.assertTrue(self.may_use(LATE, lifetime=NODE_START))
        self.assertTrue(self.may_use(LATE, lifetime=0))

    def test_next_process_of_a_late_one_is_used(self) -> None:
        self.assertFalse(self.may_use(LATE))
        self.assertTrue(self.may_use(LATE, lifetime=NODE_START + 1))

    def test_peer_that_knows_the_process_confirms_it(self) -> None:
        self.heard.confirm('u', OLDER, 0.0)
        self.assertTrue(self.may_use(LATE))
        self.assertFalse(self.may_use(LATE, lifetime=OLDER + 1))

    def test_nothing_is_believed_before_the_departures_are_read(self) -> None:
        self.heard.are_departures_known = False
        self.assertFalse(self.may_use(1.0))
        self.heard.are_departures_known = True
        self.assertTrue(self.may_use(2.5))

    def test_memory_is_bounded(self) -> None:
        for number in range(1000):
            self.heard.may_use(f'u{number}', OLDER, INTERVAL_SECONDS, LATE)
        self.assertLessEqual(len(self.heard.processes), 256)
