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
SUSPECT_SCORE = EJECT_SCORE / 4
MIN_BASE = 0.01
SICK_SERVICE_BASE = 0.3
CONFIRM_FACTOR = 2.0
LEAST_BAD_SHARE = 0.15
MIN_COMPARED = 3
KEPT_SAMPLES = 48
MEMORIES_SECONDS = (10.0, 1.0)
PRIOR_OUTCOMES = (50.0, 5.0)
GRAY_FACTOR = 3.0
MIN_GRAY = 0.4
MAX_GRAY = 0.9
LATENCY_SAMPLES = 16
MIN_LATENCY_SAMPLES = 3
SLOW_FACTOR = 3.0
SLOW_DEVIATIONS = 6.0
SLOW_MIN_SECONDS = 0.02
WARM_UP_SECONDS = 10.0
TRIAL_SECONDS = 0.5
TRIALS_TO_RETURN = 8
FLAP_MEMORY_SECONDS = 300.0
MAX_FLAP_DOUBLINGS = 4


class DecayingCounter(msgspec.Struct):
    """Outcomes that fade with age."""

    memory: float
    """Seconds after which a third of the weight is left."""

    counted_at: float
    """When it was last faded, in seconds of the monotonic clock."""

    good: float = 0.0
    """Good outcomes."""

    bad: float = 0.0
    """Bad outcomes."""

    def fade(self, now: float) -> None:
        """Let the counts age."""
        elapsed = max(0, now - self.counted_at)
        factor = math.exp(-elapsed / self.memory)
        self.good *= factor
        self.bad *= factor
        self.counted_at = now

    def add(self, now: float, *, is_bad: bool) -> None:
        """Count one outcome."""
        self.fade(now)
        if is_bad:
            self.bad += 1
        else:
            self.good += 1


class OutcomeSample(msgspec.Struct, frozen=True):
    """One outcome, as it was."""

    at: float
    """When it was known, in seconds of the monotonic clock."""

    route: str
    """The route's name."""

    seconds: float
    """How long it took, or has taken so far."""

    failed: bool
    """Whether it failed."""


class UpstreamStatistics(msgspec.Struct):
    """What is known of one upstream."""

    since: float
    """When it was first seen ready, in seconds of the monotonic clock."""

    score: float = 0.0
    """Evidence that it is gray; `EJECT_SCORE` suffices."""

    tallies: tuple[DecayingCounter, ...] = ()
    """Its outcomes, over a long and a short memory."""

    samples: deque[OutcomeSample] = msgspec.field(
        default_factory=lambda: deque(maxlen=KEPT_SAMPLES),
    )
    """Its latest outcomes."""

    suspected_at: float = 0.0
    """When the evidence began to count, 0 while there is little."""

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


class OutlierDetector:
    """What one ingress knows of the upstreams of one service."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.standings: dict[str, UpstreamStatistics] = {}
        self.latencies: dict[str, dict[str, deque[float]]] = {}

    def see(self, upstream: str, now: float) -> UpstreamStatistics:
        """The standing of an upstream, made where it is new."""
        standing = self.standings.get(upstream)
        if standing is None:
            tallies = tuple(
                DecayingCounter(memory, now) for memory in MEMORIES_SECONDS
            )
            standing = UpstreamStatistics(since=now, tallies=tallies)
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
        return max(limit_of(usual), usual + SLOW_DEVIATIONS * spread)

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
        sample = OutcomeSample(now, route, seconds, failed)
        self.note_outcome(upstream, sample, is_bad=failed or is_slow)
        return failed or is_slow

    def note_outcome(
        self,
        upstream: str,
        sample: OutcomeSample,
        *,
        is_bad: bool,
    ) -> None:
        """Add one outcome to the evidence."""
        now = sample.at
        standing = self.see(upstream, now)
        standing.samples.append(sample)
        base = self._base_rate(upstream, now)
        gray = min(max(base * GRAY_FACTOR, MIN_GRAY), MAX_GRAY)
        weight = _weigh_outcome(base, gray, is_bad=is_bad)
        standing.score = min(max(standing.score + weight, 0), MAX_SCORE)
        if standing.score < SUSPECT_SCORE:
            standing.suspected_at = 0.0
        elif not standing.suspected_at:
            standing.suspected_at = now
        for tally in standing.tallies:
            tally.add(now, is_bad=is_bad)

    def note_trial(self, upstream: str, now: float, *, is_bad: bool) -> None:
        """Take in a trial request's outcome; enough good ones reinstate."""
        standing = self.see(upstream, now)
        if is_bad:
            standing.trials_won = 0
            return
        standing.trials_won += 1
        if standing.trials_won >= _trials_needed(standing, now):
            standing.score = SUSPECT_SCORE
            standing.suspected_at = now
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
        scores = {name: self._confirmed_score(name, now) for name in slots}
        out = choose_ejected(scores, slots, floor)
        for name in slots:
            standing = self.standings[name]
            if name in out and not standing.ejected_at:
                _note_ejection(standing, now)
            elif name not in out:
                standing.ejected_at = 0.0
        return out

    def is_suspected(self, upstream: str) -> bool:
        """Whether others should get some of its requests, to compare."""
        standing = self.standings.get(upstream)
        return standing is not None and bool(standing.suspected_at)

    def take_trial(self, out: set[str], now: float) -> str | None:
        """An ejected upstream that is due for a trial request, if any."""
        for name in sorted(out):
            standing = self.standings[name]
            due_at = max(standing.trial_at, standing.ejected_at)
            if now - due_at >= TRIAL_SECONDS:
                standing.trial_at = now
                return name
        return None

    def _confirmed_score(self, upstream: str, now: float) -> float:
        """The evidence, where it holds against what others did meanwhile.

        Evidence gathers against what the others did earlier. Before it
        counts, at least `MIN_COMPARED` of their outcomes since the suspicion
        began must be better: while a whole service turns bad they are not,
        and the evidence is dropped.
        """
        standing = self.see(upstream, now)
        if standing.score < EJECT_SCORE or standing.ejected_at:
            return standing.score
        own = _samples_since(standing, standing.suspected_at)
        others = [
            sample
            for other, its in self.standings.items()
            if other != upstream and not its.ejected_at
            for sample in _samples_since(its, standing.suspected_at)
        ]
        if len(others) < MIN_COMPARED:
            return 0.0
        if is_worse(own, others):
            return standing.score
        standing.score = 0.0
        standing.suspected_at = 0.0
        return 0.0

    def _base_rate(self, upstream: str, now: float) -> float:
        """How often the others fail, over the long or the short memory.

        The short memory notices within a second that a whole service has
        turned bad, before any one upstream gathers evidence against itself.
        """
        others = [
            standing
            for other, standing in self.standings.items()
            if other != upstream and not standing.ejected_at
        ]
        rates = [
            _bad_share([one.tallies[place] for one in others], now, prior)
            for place, prior in enumerate(PRIOR_OUTCOMES)
        ]
        return max(MIN_BASE, *rates)


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


def is_worse(own: list[OutcomeSample], others: list[OutcomeSample]) -> bool:
    """Whether one upstream's outcomes are far worse than the others'."""
    usual: dict[str, list[float]] = {}
    for sample in others:
        usual.setdefault(sample.route, []).append(sample.seconds)
    limits = {
        route: limit_of(statistics.median(seconds))
        for route, seconds in usual.items()
    }
    bad = sum(
        sample.failed or sample.seconds > limits.get(sample.route, math.inf)
        for sample in own
    )
    failed = sum(sample.failed for sample in others)
    least = max(LEAST_BAD_SHARE, CONFIRM_FACTOR * failed / len(others))
    return bad >= least * len(own)


def limit_of(usual: float) -> float:
    """Seconds that are far above a usual latency."""
    return max(usual * SLOW_FACTOR, usual + SLOW_MIN_SECONDS)


def _samples_since(
    standing: UpstreamStatistics, start: float
) -> list[OutcomeSample]:
    return [sample for sample in standing.samples if sample.at >= start]


def _weigh_outcome(base: float, gray: float, *, is_bad: bool) -> float:
    """The log-likelihood ratio of one outcome; none in a sick service."""
    if base >= SICK_SERVICE_BASE:
        return 0.0 if is_bad else math.log(1 - MIN_GRAY)
    if is_bad:
        return math.log(gray / base)
    return math.log((1 - gray) / (1 - base))


def _bad_share(
    tallies: list[DecayingCounter], now: float, prior: float
) -> float:
    good = 0.0
    bad = 0.0
    for tally in tallies:
        tally.fade(now)
        good += tally.good
        bad += tally.bad
    total = good + bad + prior
    return (bad + prior * MIN_BASE) / total if total else MIN_BASE


def _note_ejection(standing: UpstreamStatistics, now: float) -> None:
    if now - standing.last_ejection_at > FLAP_MEMORY_SECONDS:
        standing.ejections = 0
    standing.ejections += 1
    standing.last_ejection_at = now
    standing.ejected_at = now
    standing.trials_won = 0


def _trials_needed(standing: UpstreamStatistics, now: float) -> int:
    is_recent = now - standing.last_ejection_at <= FLAP_MEMORY_SECONDS
    doublings = min(standing.ejections - 1, MAX_FLAP_DOUBLINGS)
    if not is_recent:
        return TRIALS_TO_RETURN
    return TRIALS_TO_RETURN * 2**doublings
