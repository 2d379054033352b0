"""Odd announcements by another writer, and those of the upstream after them."""

from __future__ import annotations

import json
import time
import unittest
from typing import Any

from kumquathold_core.announcement_tracker import (
    AnnouncementStamp,
    AnnouncementTracker,
)
from tests.site_announcements import AnnouncementsCase

NOW_MILLISECONDS = int(time.time() * 1000)
NESTED = b'[' * 7900 + b']' * 7900
"""Deeper than can be decoded, and within the size of an announcement."""

HEARTBEAT = '/api/instances/i-7f/heartbeat'
DEREGISTER = '/api/instances/i-7f/deregister'


class OddHeartbeatTest(AnnouncementsCase):
    """Heartbeats and deregistrations with values that no later step takes."""

    def test_values_out_of_range_are_refused(self) -> None:
        heartbeat = self.make_heartbeat()
        for field, number in (
            ('born', 2**64),
            ('born', 2**62),
            ('born', -1),
            ('born', NOW_MILLISECONDS + 10**9),
        ):
            odd: dict[str, Any] = {**heartbeat, field: number}
            self.assertEqual(self.call(HEARTBEAT, odd), 400, number)
        for number in (-1, 2**64, 10**399):
            odd = self.make_heartbeat(sequence=number)
            self.assertEqual(self.call(HEARTBEAT, odd), 400)
        for port in (0, 65_536, 10**30):
            odd = {**heartbeat, 'address': f'10.1.0.41:{port}'}
            self.assertEqual(self.call(HEARTBEAT, odd), 400, port)
        self.assertEqual(self.task.posted, [])

    def test_nesting_in_a_field_that_nobody_reads_is_refused(self) -> None:
        raw = json.dumps(self.make_heartbeat()).encode()
        odd = b'{"extra":' + NESTED + b',' + raw[1:]
        self.assertEqual(self.call(HEARTBEAT, odd[:16_384]), 400)
        self.assertEqual(
            self.call(DEREGISTER, b'{"extra":' + NESTED + b'}'), 400
        )
        self.assertEqual(self.task.posted, [])

    def test_name_that_fits_no_header_is_refused(self) -> None:
        for name in ('i\r\nX-Other: 1', 'i j', 'x' * 300, 'é'):
            path = f'/api/instances/{name}/heartbeat'
            self.assertEqual(self.call(path, self.make_heartbeat()), 400, name)
        self.assertEqual(self.task.posted, [])

    def test_deregistration_by_a_process_of_the_future_is_refused(self) -> None:
        odd = {'born': NOW_MILLISECONDS + 10**9}
        self.assertEqual(self.call(DEREGISTER, odd), 400)
        self.assertEqual(self.task.posted, [])


class OddSequenceTest(unittest.TestCase):
    """Sequence numbers that are not the upstream's own."""

    def test_number_far_ahead_does_not_hide_those_that_follow(self) -> None:
        tracker = AnnouncementTracker()
        tracker.admit('i', AnnouncementStamp(100, 5), leaving=False)
        odd = AnnouncementStamp(100, 2**62)
        self.assertFalse(tracker.admit('i', odd, leaving=False))
        drain = AnnouncementStamp(100, 6)
        self.assertTrue(tracker.admit('i', drain, leaving=True))

    def test_number_far_ahead_that_came_first_is_given_up(self) -> None:
        tracker = AnnouncementTracker()
        tracker.admit('i', AnnouncementStamp(100, 2**62), leaving=False)
        drain = AnnouncementStamp(100, 6)
        self.assertTrue(tracker.admit('i', drain, leaving=True))

    def test_late_number_of_an_earlier_process_is_ignored(self) -> None:
        tracker = AnnouncementTracker()
        tracker.admit('i', AnnouncementStamp(200, 10**6), leaving=False)
        late = AnnouncementStamp(100, 3)
        self.assertFalse(tracker.admit('i', late, leaving=False))
