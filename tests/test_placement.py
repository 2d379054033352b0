"""New and slow upstreams: who gets a request, who is spared one."""

from __future__ import annotations

import random
import unittest

import msgspec

from kumquathold_core import placement
from kumquathold_core.candidates import Candidate
from kumquathold_core.placement import LoadEstimate, PlacementRequest
from kumquathold_core.rules import ZoneScope

SLOTS = 4
OBJECTIVE_SECONDS = 1.2
USUAL_SECONDS = 0.3
KNOWN_RISK = 0.03
NOW = 100.0
LOAD = 1.3
FLOOR_WINDOW_SECONDS = 2.0
CALL = PlacementRequest(
    zone='a',
    region='r',
    kilobytes=2,
    objective=OBJECTIVE_SECONDS,
    usual_seconds=USUAL_SECONDS,
    idempotent=True,
    may_send_trial=True,
)
NOTE = msgspec.structs.replace(CALL, idempotent=False, may_send_trial=False)


def in_zone(name: str, zone: str = 'a') -> Candidate:
    """An upstream of a zone of the region."""
    return Candidate(name, f'owner-{name}', zone, 'r', SLOTS)


def known(now: float = NOW) -> LoadEstimate:
    """What is known of a sound and idle upstream."""
    report = LoadEstimate()
    report.record_report(0, KNOWN_RISK, now)
    return report


def choose(
    candidates: list[Candidate],
    reports: dict[str, LoadEstimate],
    errand: PlacementRequest,
    now: float = NOW,
    rng: random.Random | None = None,
) -> str:
    """The name of the cheapest upstream."""
    chosen = placement.choose_cheapest(
        candidates,
        reports,
        errand,
        ZoneScope.any,
        now,
        rng or random.Random(1),
    )
    assert chosen is not None  # noqa: S101
    return chosen.upstream


class NewUpstreamTest(unittest.TestCase):
    """An upstream that joins gets a request though others are known good."""

    def test_new_upstream_of_the_zone_gets_one_idempotent_request(
        self,
    ) -> None:
        candidates = [in_zone('old'), in_zone('new')]
        reports = {'old': known()}
        self.assertEqual(choose(candidates, reports, CALL), 'new')
        self.assertEqual(choose(candidates, reports, NOTE), 'old')
        reports['new'] = LoadEstimate(in_flight=1)
        self.assertEqual(choose(candidates, reports, CALL), 'old')

    def test_upstream_of_the_zone_that_was_idle_gets_a_request(self) -> None:
        """Else less than the floor of a service's upstreams get any."""
        candidates = [in_zone(f'u{number}') for number in range(6)]
        reports = {one.upstream: known(NOW - 6) for one in candidates}
        reports['u0'] = known()
        last_sent = dict.fromkeys(reports, NOW)
        rng = random.Random(3)
        longest = 0.0
        for step in range(400):
            now = NOW + step / 10
            name = choose(candidates, reports, CALL, now, rng)
            last_sent[name] = now
            longest = max(longest, now - min(last_sent.values()))
            reports[name].record_report(0, KNOWN_RISK, now)
        self.assertLessEqual(longest, FLOOR_WINDOW_SECONDS)

    def test_new_upstream_elsewhere_is_left_to_its_own_zone(self) -> None:
        candidates = [in_zone('old'), in_zone('new', 'b')]
        self.assertEqual(choose(candidates, {'old': known()}, CALL), 'old')

    def test_without_a_retry_left_nothing_is_tried(self) -> None:
        careful = msgspec.structs.replace(CALL, may_send_trial=False)
        candidates = [in_zone('old'), in_zone('new')]
        self.assertEqual(choose(candidates, {'old': known()}, careful), 'old')

    def test_new_upstream_serves_unsafe_requests_once_it_is_known(
        self,
    ) -> None:
        candidates = [in_zone('old'), in_zone('new')]
        reports = {'old': known(), 'new': known()}
        reports['old'].backlog = SLOTS
        self.assertEqual(choose(candidates, reports, NOTE), 'new')


class SlowUpstreamTest(unittest.TestCase):
    """A slow upstream is avoided for a while, and then tried again."""

    def slow_report(self) -> LoadEstimate:
        report = known()
        for _ in range(5):
            report.record_duration(6 * USUAL_SECONDS, USUAL_SECONDS, NOW)
        return report

    def test_slow_upstream_is_avoided_for_a_spell(self) -> None:
        candidates = [in_zone('sound'), in_zone('slow')]
        reports = {'sound': known(), 'slow': self.slow_report()}
        reports['sound'].backlog = SLOTS - 1
        self.assertEqual(choose(candidates, reports, NOTE), 'sound')
        later = NOW + 60
        reports['sound'].record_report(SLOTS - 1, KNOWN_RISK, later)
        reports['slow'].record_report(0, KNOWN_RISK, later)
        self.assertEqual(choose(candidates, reports, NOTE, later), 'slow')

    def test_long_routes_make_no_upstream_slow(self) -> None:
        report = known()
        for _ in range(20):
            report.record_duration(2.0, 2.0, NOW)
        self.assertAlmostEqual(report.slowness_at(NOW), 1.0)

    def test_played_load_has_fewer_late_answers_than_without(self) -> None:
        """Three upstreams, one of them six times slower than the others."""
        self.assertLess(play(heeds=True) * 3, play(heeds=False))


def play(*, heeds: bool) -> int:
    """Late answers of a played load, with or without heeding slowness."""
    rng = random.Random(5)
    factors = {'one': 1.0, 'two': 1.0, 'slow': 6.0}
    candidates = [in_zone(name) for name in factors]
    reports = {name: known() for name in factors}
    busy: dict[str, list[float]] = {name: [] for name in factors}
    late = 0
    for number in range(600):
        now = NOW + number * USUAL_SECONDS / SLOTS / LOAD
        name = choose(candidates, reports, NOTE, now, rng)
        running = [end for end in busy[name] if end > now]
        seconds = factors[name] * USUAL_SECONDS * rng.uniform(0.5, 1.5)
        starts_at = now
        if len(running) >= SLOTS:
            starts_at = sorted(running)[-SLOTS]
        running.append(starts_at + seconds)
        busy[name] = running
        late += running[-1] - now > OBJECTIVE_SECONDS
        reports[name].record_report(len(running), KNOWN_RISK, now)
        if heeds:
            reports[name].record_duration(seconds, USUAL_SECONDS, now)
    return late


if __name__ == '__main__':
    unittest.main()
