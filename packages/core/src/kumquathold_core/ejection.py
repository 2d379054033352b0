"""Outlier detection: finds gray upstreams by request outcomes and ejects them.

An outcome is bad if the request failed, or took far longer than the same route
takes on the service's other upstreams. A cumulative sum (CUSUM) test adds up
the outcomes of an upstream as log-likelihood ratios of "fails far more often
than the others" against "fails like the others". If all upstreams fail or slow
down together, the sum does not grow and no upstream is ejected. The module
reads no clock; the caller passes the time in.
"""

from __future__ import annotations

import math
import statistics
from collections import deque

import msgspec

FALSE_EJECTION_ODDS = 1_000_000
EJECT_SCORE = math.log(FALSE_EJECTION_ODDS)
"""Log-likelihood ratio from which an upstream is ejected."""

MAX_SCORE = 2 * EJECT_SCORE
SUSPECT_SCORE = EJECT_SCORE / 4
"""Score from which an upstream is suspected; trials reinstate it with this."""

MIN_BASE_RATE = 0.01
"""Lowest share of bad outcomes that is expected of an upstream."""

SERVICE_FAILURE_BASE_RATE = 0.3
"""Share of bad outcomes from which the service as a whole counts as failing."""

CONFIRMATION_FACTOR = 2.0
MIN_BAD_SHARE = 0.15
"""Least share of bad outcomes that confirms a score.

If higher, `CONFIRMATION_FACTOR` times the others' share of failures is used.
"""

MIN_COMPARED_OUTCOMES = 3
MAX_OUTCOME_SAMPLES = 48
DECAY_SECONDS = (10.0, 1.0)
"""Time constants of the long-term and the short-term counter."""

PRIOR_OUTCOMES = (50.0, 5.0)
"""Outcomes at `MIN_BASE_RATE` that are assumed in addition, by counter."""

GRAY_RATE_FACTOR = 3.0
MIN_GRAY_RATE = 0.4
MAX_GRAY_RATE = 0.9
"""Limits of the share of bad outcomes that is expected of a gray upstream.

Between them, it is `GRAY_RATE_FACTOR` times the share of the others.
"""

MAX_LATENCY_SAMPLES = 16
MIN_LATENCY_SAMPLES = 3
SLOW_FACTOR = 3.0
SLOW_DEVIATIONS = 6.0
"""Median absolute deviations above the usual latency that are not slow yet."""

MIN_SLOW_EXCESS_SECONDS = 0.02
"""Excess over the usual latency below which no response is slow."""

WARM_UP_SECONDS = 10.0
"""Time from first seeing an upstream until its slow responses count as bad."""

TRIAL_INTERVAL_SECONDS = 0.5
TRIALS_TO_REINSTATE = 8
FLAP_WINDOW_SECONDS = 300.0
MAX_FLAP_DOUBLINGS = 4


class DecayingCounter(msgspec.Struct):
    """Counts of good and bad outcomes that decay exponentially with age."""

    decay_seconds: float
    """Time constant, after which about a third (1/e) of the weight is left."""

    decayed_at: float
    """Time of the latest decay, in seconds of the monotonic clock."""

    good: float = 0.0
    """Decayed number of good outcomes."""

    bad: float = 0.0
    """Decayed number of bad outcomes."""

    def decay(self, now: float) -> None:
        """Decay the counts up to `now`."""
        elapsed = max(0, now - self.decayed_at)
        factor = math.exp(-elapsed / self.decay_seconds)
        self.good *= factor
        self.bad *= factor
        self.decayed_at = now

    def add(self, now: float, *, is_bad: bool) -> None:
        """Count one outcome."""
        self.decay(now)
        if is_bad:
            self.bad += 1
        else:
            self.good += 1


class OutcomeSample(msgspec.Struct, frozen=True):
    """Outcome of one request."""

    observed_at: float
    """Time of the observation, in seconds of the monotonic clock."""

    route: str
    """Name of the route."""

    seconds: float
    """Duration of the request, or its age if it is still running."""

    failed: bool
    """Whether the request failed."""


class UpstreamStatistics(msgspec.Struct):
    """Outcomes and ejection state of one upstream."""

    first_seen_at: float
    """When it was first seen ready, in seconds of the monotonic clock."""

    score: float = 0.0
    """Log-likelihood ratio that it is gray; `EJECT_SCORE` ejects it."""

    counters: tuple[DecayingCounter, ...] = ()
    """Its outcomes, by the time constants of `DECAY_SECONDS`."""

    samples: deque[OutcomeSample] = msgspec.field(
        default_factory=lambda: deque(maxlen=MAX_OUTCOME_SAMPLES),
    )
    """Its latest outcomes."""

    suspected_at: float = 0.0
    """When `score` reached `SUSPECT_SCORE`, 0 while it is below."""

    ejected_at: float = 0.0
    """When it was ejected, 0 while it is in rotation."""

    last_trial_at: float = 0.0
    """When it last got a trial request, 0 if it never did."""

    good_trials: int = 0
    """Consecutive good trial requests."""

    recent_ejections: int = 0
    """Ejections within `FLAP_WINDOW_SECONDS` of each other.

    Each after the first doubles the good trial requests that reinstatement
    needs, up to `MAX_FLAP_DOUBLINGS` times.
    """

    last_ejection_at: float = -math.inf
    """When it was last ejected."""


class OutlierDetector:
    """Detects outliers among the upstreams of one service, at one ingress."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self.upstreams: dict[str, UpstreamStatistics] = {}
        self.latencies: dict[str, dict[str, deque[float]]] = {}

    def get_statistics(self, upstream: str, now: float) -> UpstreamStatistics:
        """Return the statistics of an upstream; start them if it is new."""
        stats = self.upstreams.get(upstream)
        if stats is None:
            counters = tuple(
                DecayingCounter(seconds, now) for seconds in DECAY_SECONDS
            )
            stats = UpstreamStatistics(first_seen_at=now, counters=counters)
            self.upstreams[upstream] = stats
        return stats

    def remove_absent(self, present: set[str]) -> None:
        """Drop the upstreams that are not among the present ones."""
        for upstream in set(self.upstreams) - present:
            self.upstreams.pop(upstream)
            for by_upstream in self.latencies.values():
                by_upstream.pop(upstream, None)

    def slow_limit(self, route: str, upstream: str) -> float:
        """Return the seconds above which a response counts as bad.

        Infinite until another upstream has `MIN_LATENCY_SAMPLES` of the route
        to compare with.
        """
        medians = [
            statistics.median(samples)
            for other, samples in self.latencies.get(route, {}).items()
            if other != upstream and len(samples) >= MIN_LATENCY_SAMPLES
        ]
        if not medians:
            return math.inf
        usual = statistics.median_low(medians)
        spread = statistics.median(abs(one - usual) for one in medians)
        return max(slow_limit_of(usual), usual + SLOW_DEVIATIONS * spread)

    def record_latency(self, route: str, upstream: str, seconds: float) -> None:
        """Record the latency of a response."""
        by_upstream = self.latencies.setdefault(route, {})
        samples = by_upstream.setdefault(
            upstream,
            deque(maxlen=MAX_LATENCY_SAMPLES),
        )
        samples.append(seconds)

    def record_response(
        self,
        route: str,
        upstream: str,
        seconds: float,
        now: float,
        *,
        failed: bool,
    ) -> bool:
        """Record a response; return whether it counts as bad."""
        stats = self.get_statistics(upstream, now)
        is_warm = now - stats.first_seen_at >= WARM_UP_SECONDS
        is_slow = is_warm and seconds > self.slow_limit(route, upstream)
        self.record_latency(route, upstream, seconds)
        sample = OutcomeSample(now, route, seconds, failed)
        self.record_outcome(upstream, sample, is_bad=failed or is_slow)
        return failed or is_slow

    def record_outcome(
        self,
        upstream: str,
        sample: OutcomeSample,
        *,
        is_bad: bool,
    ) -> None:
        """Add one outcome to the score and the counters of an upstream."""
        now = sample.observed_at
        stats = self.get_statistics(upstream, now)
        stats.samples.append(sample)
        base = self._base_rate(upstream, now)
        gray = min(max(base * GRAY_RATE_FACTOR, MIN_GRAY_RATE), MAX_GRAY_RATE)
        weight = _score_outcome(base, gray, is_bad=is_bad)
        stats.score = min(max(stats.score + weight, 0), MAX_SCORE)
        if stats.score < SUSPECT_SCORE:
            stats.suspected_at = 0.0
        elif not stats.suspected_at:
            stats.suspected_at = now
        for counter in stats.counters:
            counter.add(now, is_bad=is_bad)

    def record_trial(self, upstream: str, now: float, *, is_bad: bool) -> None:
        """Record a trial request; enough good ones reinstate the upstream."""
        stats = self.get_statistics(upstream, now)
        if is_bad:
            stats.good_trials = 0
            return
        stats.good_trials += 1
        if stats.good_trials >= _trials_needed(stats, now):
            stats.score = SUSPECT_SCORE
            stats.suspected_at = now
            stats.ejected_at = 0.0
            stats.good_trials = 0

    def update_ejections(
        self,
        slots: dict[str, int],
        floor: float,
        now: float,
    ) -> set[str]:
        """Eject and reinstate upstreams; return the names of the ejected ones.

        `slots` holds the number of slots of each upstream that is ready and not
        draining. The highest scores are ejected first. An upstream stays in
        rotation, or returns to it, if its ejection would leave less than
        `floor` of all slots in rotation.
        """
        scores = {name: self._confirmed_score(name, now) for name in slots}
        ejected = choose_ejected(scores, slots, floor)
        for name in slots:
            stats = self.upstreams[name]
            if name in ejected and not stats.ejected_at:
                _record_ejection(stats, now)
            elif name not in ejected:
                stats.ejected_at = 0.0
        return ejected

    def keep_floor(
        self, ejected: set[str], slots: dict[str, int], floor: float
    ) -> set[str]:
        """Return those of the ejected that stay so among some upstreams.

        `slots` holds the slots of the upstreams that a request may go to. The
        floor of the whole service may leave none of them in rotation.
        """
        scores = {
            name: self.upstreams[name].score if name in ejected else 0.0
            for name in slots
        }
        return choose_ejected(scores, slots, floor)

    def is_suspected(self, upstream: str) -> bool:
        """Whether to send some of its requests elsewhere, for comparison."""
        stats = self.upstreams.get(upstream)
        return stats is not None and bool(stats.suspected_at)

    def take_trial(self, ejected: set[str], now: float) -> str | None:
        """Return an ejected upstream that is due for a trial request, if any.

        The trial request counts as sent.
        """
        for name in sorted(ejected):
            stats = self.upstreams[name]
            due_at = max(stats.last_trial_at, stats.ejected_at)
            if now - due_at >= TRIAL_INTERVAL_SECONDS:
                stats.last_trial_at = now
                return name
        return None

    def _confirmed_score(self, upstream: str, now: float) -> float:
        """Return the score if the others' recent outcomes confirm it, else 0.

        The score accumulates against the others' earlier outcomes, so it also
        grows when the whole service turns bad. Before an upstream is ejected,
        the outcomes since the suspicion began are compared. The result is 0
        while fewer than `MIN_COMPARED_OUTCOMES` of the others' are known. If
        the upstream's own are not far worse than these, the score is reset.
        """
        stats = self.get_statistics(upstream, now)
        if stats.score < EJECT_SCORE or stats.ejected_at:
            return stats.score
        own = _samples_since(stats, stats.suspected_at)
        others = [
            sample
            for other, other_stats in self.upstreams.items()
            if other != upstream and not other_stats.ejected_at
            for sample in _samples_since(other_stats, stats.suspected_at)
        ]
        if len(others) < MIN_COMPARED_OUTCOMES:
            return 0.0
        if is_worse(own, others):
            return stats.score
        stats.score = 0.0
        stats.suspected_at = 0.0
        return 0.0

    def _base_rate(self, upstream: str, now: float) -> float:
        """Return the others' share of bad outcomes.

        It is the higher of the long-term and the short-term share, and at
        least `MIN_BASE_RATE`. The short-term share shows within a second that
        the whole service has turned bad, before the score of any single
        upstream grows.
        """
        others = [
            stats
            for other, stats in self.upstreams.items()
            if other != upstream and not stats.ejected_at
        ]
        rates = [
            _bad_share([one.counters[index] for one in others], now, prior)
            for index, prior in enumerate(PRIOR_OUTCOMES)
        ]
        return max(MIN_BASE_RATE, *rates)


def choose_ejected(
    scores: dict[str, float],
    slots: dict[str, int],
    floor: float,
) -> set[str]:
    """Choose the upstreams to eject, highest score first, down to the floor."""
    kept = sum(slots.values())
    minimum = kept * floor
    ejected: set[str] = set()
    worst_first = sorted(scores, key=lambda name: (-scores[name], name))
    for name in worst_first:
        if scores[name] < EJECT_SCORE:
            break
        if kept - slots[name] >= minimum and kept > slots[name]:
            kept -= slots[name]
            ejected.add(name)
    return ejected


def is_worse(own: list[OutcomeSample], others: list[OutcomeSample]) -> bool:
    """Whether the outcomes of one upstream are far worse than the others'."""
    usual: dict[str, list[float]] = {}
    for sample in others:
        usual.setdefault(sample.route, []).append(sample.seconds)
    limits = {
        route: slow_limit_of(statistics.median(seconds))
        for route, seconds in usual.items()
    }
    bad = sum(
        sample.failed or sample.seconds > limits.get(sample.route, math.inf)
        for sample in own
    )
    failed = sum(sample.failed for sample in others)
    minimum = max(MIN_BAD_SHARE, CONFIRMATION_FACTOR * failed / len(others))
    return bad >= minimum * len(own)


def slow_limit_of(usual: float) -> float:
    """Return the seconds above which a response is slow.

    `usual` is the usual latency in seconds.
    """
    return max(usual * SLOW_FACTOR, usual + MIN_SLOW_EXCESS_SECONDS)


def _samples_since(
    stats: UpstreamStatistics, start: float
) -> list[OutcomeSample]:
    return [sample for sample in stats.samples if sample.observed_at >= start]


def _score_outcome(base: float, gray: float, *, is_bad: bool) -> float:
    """Return the log-likelihood ratio of one outcome.

    Bad outcomes add nothing while the whole service is failing.
    """
    if base >= SERVICE_FAILURE_BASE_RATE:
        return 0.0 if is_bad else math.log(1 - MIN_GRAY_RATE)
    if is_bad:
        return math.log(gray / base)
    return math.log((1 - gray) / (1 - base))


def _bad_share(
    counters: list[DecayingCounter], now: float, prior: float
) -> float:
    good = 0.0
    bad = 0.0
    for counter in counters:
        counter.decay(now)
        good += counter.good
        bad += counter.bad
    total = good + bad + prior
    return (bad + prior * MIN_BASE_RATE) / total if total else MIN_BASE_RATE


def _record_ejection(stats: UpstreamStatistics, now: float) -> None:
    if now - stats.last_ejection_at > FLAP_WINDOW_SECONDS:
        stats.recent_ejections = 0
    stats.recent_ejections += 1
    stats.last_ejection_at = now
    stats.ejected_at = now
    stats.good_trials = 0


def _trials_needed(stats: UpstreamStatistics, now: float) -> int:
    is_recent = now - stats.last_ejection_at <= FLAP_WINDOW_SECONDS
    doublings = min(stats.recent_ejections - 1, MAX_FLAP_DOUBLINGS)
    if not is_recent:
        return TRIALS_TO_REINSTATE
    return TRIALS_TO_REINSTATE * 2**doublings
