"""Finds gray upstreams by the outcomes of real requests, and ejects them.

Pure: the time is passed in. An outcome is bad where the request failed, or
took far longer than the same route takes on the service's other upstreams.
Bad and good outcomes add up to a cumulative log-likelihood ratio of "fails
far more often than the others" against "fails like the others". Where all
upstreams fail or slow down together, the ratio has nothing to add, and nobody
is ejected.
"""

from __future__ import annotations

import math
import statistics
from collections import deque

import msgspec

FALSE_EJECTION_ODDS = 1_000_000
EJECT_SCORE = math.log(FALSE_EJECTION_ODDS)
MAX_SCORE = 2 * EJECT_SCORE
MIN_BASE = 0.01
MAX_BASE = 0.5
PRIOR_OUTCOMES = 50.0
GRAY_FACTOR = 3.0
MIN_GRAY = 0.4
MAX_GRAY = 0.9
COUNT_MEMORY_SECONDS = 10.0
LATENCY_SAMPLES = 16
MIN_LATENCY_SAMPLES = 3
SLOW_FACTOR = 3.0
SLOW_DEVIATIONS = 6.0
SLOW_MIN_SECONDS = 0.02
WARM_UP_SECONDS = 10.0
TRIAL_SECONDS = 0.5
TRIALS_TO_RETURN = 5
FLAP_MEMORY_SECONDS = 300.0
MAX_FLAP_DOUBLINGS = 4


class Standing(msgspec.Struct):
    """What is known of one upstream."""

    since: float
    """When it was first seen ready, in seconds of the monotonic clock."""

    score: float = 0.0
    """Evidence that it is gray; `EJECT_SCORE` suffices."""

    good: float = 0.0
    """Good outcomes, faded with age."""

    bad: float = 0.0
    """Bad outcomes, faded with age."""

    counted_at: float = 0.0
    """When the counts were last faded."""

    ejected_at: float = 0.0
    """When it was ejected, 0 while it is in rotation."""

    trial_at: float = 0.0
    """When it last got a trial request."""

    trials_won: int = 0
    """Good trials in a row."""

    ejections: int = 0
    """Ejections lately, which lengthen the way back."""

    last_ejection_at: float = -math.inf
    """When the last of them was."""


class Evidence:
    """What one ingress knows of the upstreams of one service."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.standings: dict[str, Standing] = {}
        self.latencies: dict[str, dict[str, deque[float]]] = {}

    def see(self, upstream: str, now: float) -> Standing:
        """The standing of an upstream, made where it is new."""
        standing = self.standings.get(upstream)
        if standing is None:
            standing = Standing(since=now, counted_at=now)
            self.standings[upstream] = standing
        return standing

    def forget(self, present: set[str]) -> None:
        """Drop upstreams that are gone."""
        for upstream in set(self.standings) - present:
            self.standings.pop(upstream)
            for by_upstream in self.latencies.values():
                by_upstream.pop(upstream, None)

    def slow_limit(self, route: str, upstream: str) -> float:
        """Seconds above which an answer counts as bad."""
        medians = [
            statistics.median(samples)
            for other, samples in self.latencies.get(route, {}).items()
            if other != upstream and len(samples) >= MIN_LATENCY_SAMPLES
        ]
        if not medians:
            return math.inf
        usual = statistics.median_low(medians)
        spread = statistics.median(abs(one - usual) for one in medians)
        return max(
            usual * SLOW_FACTOR,
            usual + SLOW_DEVIATIONS * spread,
            usual + SLOW_MIN_SECONDS,
        )

    def note_latency(self, route: str, upstream: str, seconds: float) -> None:
        """Keep how long an answer took."""
        by_upstream = self.latencies.setdefault(route, {})
        samples = by_upstream.setdefault(
            upstream,
            deque(maxlen=LATENCY_SAMPLES),
        )
        samples.append(seconds)

    def note_answer(
        self,
        route: str,
        upstream: str,
        seconds: float,
        now: float,
        *,
        failed: bool,
    ) -> bool:
        """Take in an answer; true where it counts as bad."""
        standing = self.see(upstream, now)
        is_warm = now - standing.since >= WARM_UP_SECONDS
        is_slow = is_warm and seconds > self.slow_limit(route, upstream)
        self.note_latency(route, upstream, seconds)
        self.note_outcome(upstream, now, is_bad=failed or is_slow)
        return failed or is_slow

    def note_outcome(self, upstream: str, now: float, *, is_bad: bool) -> None:
        """Add one outcome to the evidence."""
        standing = self.see(upstream, now)
        base = self._base_rate(upstream, now)
        gray = min(max(base * GRAY_FACTOR, MIN_GRAY), MAX_GRAY)
        if gray <= base:
            weight = 0.0
        elif is_bad:
            weight = math.log(gray / base)
        else:
            weight = math.log((1 - gray) / (1 - base))
        standing.score = min(max(standing.score + weight, 0), MAX_SCORE)
        _fade(standing, now)
        if is_bad:
            standing.bad += 1
            standing.trials_won = 0
        else:
            standing.good += 1

    def note_trial(self, upstream: str, now: float, *, is_bad: bool) -> None:
        """Take in a trial request's outcome; enough good ones reinstate."""
        standing = self.see(upstream, now)
        if is_bad:
            standing.trials_won = 0
            return
        standing.trials_won += 1
        if standing.trials_won >= _trials_needed(standing, now):
            standing.score = 0.0
            standing.ejected_at = 0.0
            standing.trials_won = 0

    def settle(
        self,
        slots: dict[str, int],
        floor: float,
        now: float,
    ) -> set[str]:
        """Decide which upstreams are out, and give their names.

        `slots` are those of the members that are present, ready and not
        leaving. The worst go first; whoever would take the slots in rotation
        below `floor` of all stays in, also where it was out before.
        """
        out = choose_ejected(
            {name: self.see(name, now).score for name in slots},
            slots,
            floor,
        )
        for name in slots:
            standing = self.standings[name]
            if name in out and not standing.ejected_at:
                _note_ejection(standing, now)
            elif name not in out:
                standing.ejected_at = 0.0
        return out

    def take_trial(self, out: set[str], now: float) -> str | None:
        """An ejected upstream that is due for a trial request, if any."""
        for name in sorted(out):
            standing = self.standings[name]
            due_at = max(standing.trial_at, standing.ejected_at)
            if now - due_at >= TRIAL_SECONDS:
                standing.trial_at = now
                return name
        return None

    def _base_rate(self, upstream: str, now: float) -> float:
        good = 0.0
        bad = 0.0
        for other, standing in self.standings.items():
            if other != upstream and not standing.ejected_at:
                _fade(standing, now)
                good += standing.good
                bad += standing.bad
        prior_bad = PRIOR_OUTCOMES * MIN_BASE
        base = (bad + prior_bad) / (good + bad + PRIOR_OUTCOMES)
        return min(max(base, MIN_BASE), MAX_BASE)


def choose_ejected(
    scores: dict[str, float],
    slots: dict[str, int],
    floor: float,
) -> set[str]:
    """The upstreams to keep out, worst first, down to the floor."""
    kept = sum(slots.values())
    least = kept * floor
    out: set[str] = set()
    worst_first = sorted(scores, key=lambda name: (-scores[name], name))
    for name in worst_first:
        if scores[name] < EJECT_SCORE:
            break
        if kept - slots[name] >= least and kept > slots[name]:
            kept -= slots[name]
            out.add(name)
    return out


def _fade(standing: Standing, now: float) -> None:
    elapsed = max(0, now - standing.counted_at)
    factor = math.exp(-elapsed / COUNT_MEMORY_SECONDS)
    standing.good *= factor
    standing.bad *= factor
    standing.counted_at = now


def _note_ejection(standing: Standing, now: float) -> None:
    if now - standing.last_ejection_at > FLAP_MEMORY_SECONDS:
        standing.ejections = 0
    standing.ejections += 1
    standing.last_ejection_at = now
    standing.ejected_at = now
    standing.trials_won = 0


def _trials_needed(standing: Standing, now: float) -> int:
    is_recent = now - standing.last_ejection_at <= FLAP_MEMORY_SECONDS
    doublings = min(standing.ejections - 1, MAX_FLAP_DOUBLINGS)
    if not is_recent:
        return TRIALS_TO_RETURN
    return TRIALS_TO_RETURN * 2**doublings
