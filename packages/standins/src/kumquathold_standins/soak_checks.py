"""Checks of the fleet's guarantees on the history of a soak test.

Each check is a pure function that takes a history and yields a description of
each violation. A check covers only what is guaranteed under any fault, so that
each violation is a bug in the fleet: outcomes that a fault may cause are
excluded, as the docstring of the check states.
"""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

import msgspec

from kumquathold_core.forwarding import Outcome
from kumquathold_standins.soak_history import (
    NO_NODE_PROCESS,
    History,
    VersionRecord,
)

MAX_ACTIVATION_SECONDS = 5.0
MAX_DRAIN_NOTICE_SECONDS = 3.0
ANNOUNCEMENT_INTERVAL_SECONDS = 0.5
GRACE_SECONDS = 10.0
MAX_RECOVERY_SECONDS = 15.0
RECOVERED_SHARE = 0.95
LIMITED_WORKSPACE = 'small'
LIMITED_RATE = 20.0
LIMITED_BURST = 20
LIMITED_DEADLINE_SECONDS = 1.0
CLOCK_TOLERANCE_SECONDS = 0.05
BOUND_KIND = 'bound'
BOUND_REGIONS = frozenset(('north', 'east'))
NON_IDEMPOTENT_KINDS = frozenset(('note', 'hold', 'guest', BOUND_KIND))
PROBE_KIND = 'probe'
GUEST_KIND = 'guest'
NO_ROUTE = 'no-route'
OK = 200
KEY_PREFIX = 'kq_'


class Violation(msgspec.Struct, frozen=True):
    """Violation of a guarantee."""

    check: str = msgspec.field(name='promise')
    """Name of the check that found it."""

    detail: str
    """Description of what was observed."""


Check = Callable[[History], Iterator[str]]


def runs_at_most_once(history: History) -> Iterator[str]:
    """Check that a request that is not idempotent runs at most once."""
    runs = Counter(run.operation for run in history.runs)
    for sent in history.sent:
        if sent.kind in NON_IDEMPOTENT_KINDS and runs[sent.operation] > 1:
            yield f'{sent.operation} ran {runs[sent.operation]} times'


def refusals_are_true(history: History) -> Iterator[str]:
    """Check that a request reported as not run has not run.

    Repeated holds are excluded, as another request for the same hold may have
    run.
    """
    runs = Counter(run.operation for run in history.runs)
    requests = Counter(sent.operation for sent in history.sent)
    for sent in history.sent:
        is_single = requests[sent.operation] == 1
        is_refused = sent.outcome == Outcome.not_run and is_single
        if is_refused and runs[sent.operation]:
            yield f'{sent.operation} was refused ({sent.reason}) but ran'


def answers_are_own(history: History) -> Iterator[str]:
    """Check that callers get complete responses to their own requests."""
    runs = {run.operation for run in history.runs}
    for sent in history.sent:
        if sent.status != OK:
            continue
        if not sent.is_own_answer:
            yield f'{sent.operation} got the response to another request'
        if sent.operation not in runs:
            yield f'{sent.operation} was answered with 200 but did not run'


def keys_stay_inside(history: History) -> Iterator[str]:
    """Check that requests run for their key's workspace and keys stay hidden.

    No upstream may receive a key.
    """
    owners = {sent.operation: sent.workspace for sent in history.sent}
    for run in history.runs:
        if any(KEY_PREFIX in text for text in run.headers.values()):
            yield f'{run.operation} exposed a key to upstream {run.upstream}'
        owner = owners.get(run.operation)
        ran_for = run.headers.get('Kumquathold-Workspace', '')
        if owner and ran_for != owner:
            yield f'{run.operation} of {owner} ran for {ran_for or "nobody"}'


def bound_requests_stay_inside(history: History) -> Iterator[str]:
    """Check that bound requests run in the regions of their route only."""
    for run in history.runs:
        region = history.regions.get(run.upstream)
        is_bound = run.operation.startswith(f'{BOUND_KIND}-')
        if is_bound and region is not None and region not in BOUND_REGIONS:
            yield f'{run.operation} ran in {region}'


def rates_hold(history: History) -> Iterator[str]:
    """Check that the runs in any period stay within rate and burst.

    A token may be used until the deadline of its request, so the runs of a
    period may use the tokens of a period that is longer by that deadline.
    """
    limited = {
        sent.operation
        for sent in history.sent
        if sent.workspace == LIMITED_WORKSPACE
    }
    times = sorted(run.at for run in history.runs if run.operation in limited)
    tokens = float(LIMITED_BURST)
    slack = (
        LIMITED_RATE * (LIMITED_DEADLINE_SECONDS + CLOCK_TOLERANCE_SECONDS) + 1
    )
    last = times[0] if times else 0.0
    for at in times:
        tokens = min(LIMITED_BURST, tokens + (at - last) * LIMITED_RATE) - 1
        last = at
        if tokens < -slack:
            yield (
                f'workspace {LIMITED_WORKSPACE} exceeded its rate limit by '
                f'{-tokens:.1f} requests at {at:.3f}'
            )
            return


def versions_never_revert(history: History) -> Iterator[str]:
    """Check that a node process never returns to an older version."""
    probes_by_process = defaultdict(list)
    for sent in history.sent:
        if sent.kind == PROBE_KIND and sent.status == OK:
            probes_by_process[sent.node_process].append(sent)
    for node_process, probes in probes_by_process.items():
        for newer, older in itertools.permutations(probes, 2):
            is_after = older.sent_at > newer.ended_at
            if is_after and older.version < newer.version:
                yield (
                    f'node {node_process[0]} served version {older.version} '
                    f'after {newer.version}'
                )


def versions_come_into_force(history: History) -> Iterator[str]:
    """Check that without faults a version is in force within a time limit.

    Requests that ended after a newer version was requested are excluded.
    """
    for sent in history.sent:
        if sent.kind != PROBE_KIND or sent.reason != NO_ROUTE:
            continue
        newest = _find_newest_requested(history, sent.ended_at)
        since = max(newest.accepted_at, history.healed_at)
        is_due = sent.sent_at > since + MAX_ACTIVATION_SECONDS
        if is_due and newest.version == sent.version:
            yield f'node {sent.node_process[0]} lacks version {newest.version}'


def withdrawn_keys_stop(history: History) -> Iterator[str]:
    """Check that requests with a withdrawn key do not run after a time limit.

    Each version withdraws the guests' key of the version before.
    """
    withdrawn_at = {}
    for before, after in zip(
        history.accepted,
        history.accepted[1:],
        strict=False,
    ):
        withdrawn_at[before.version] = after.accepted_at
    ran = {run.operation for run in history.runs}
    for sent in history.sent:
        ends_at = withdrawn_at.get(sent.version, float('inf'))
        is_late = sent.sent_at > ends_at + MAX_ACTIVATION_SECONDS
        if sent.kind == GUEST_KIND and is_late and sent.operation in ran:
            late = sent.sent_at - ends_at
            yield f'{sent.operation} ran {late:.1f} s after its key ended'


def leaving_upstreams_get_nothing(history: History) -> Iterator[str]:
    """Check that an upstream soon gets no requests after its shutdown began."""
    bound = ANNOUNCEMENT_INTERVAL_SECONDS + MAX_DRAIN_NOTICE_SECONDS
    for ended in history.ended:
        for run in history.runs:
            is_same_upstream = ended.name == f'upstream-{run.upstream}'
            if (
                is_same_upstream
                and ended.asked_at + bound < run.at < ended.gone_at
            ):
                yield f'{run.operation} reached {ended.name} during shutdown'


def leaving_nodes_answer(history: History) -> Iterator[str]:
    """Check that a node that shuts down answers the requests that it ran.

    Repeated holds are excluded: an earlier request may have run, while a later
    one arrived as the node closed its connections.
    """
    shutdowns = {ended.node_process: ended for ended in history.ended}
    runs = {run.operation for run in history.runs}
    requests = Counter(sent.operation for sent in history.sent)
    for sent in history.sent:
        ended = shutdowns.get(sent.node_process)
        has_run = sent.operation in runs and requests[sent.operation] == 1
        if ended is None or sent.status or not has_run:
            continue
        if (
            ended.asked_at
            < sent.ended_at
            <= ended.gone_at + CLOCK_TOLERANCE_SECONDS
        ):
            yield f'{sent.operation} ran but got no response during shutdown'


def leaving_nodes_end(history: History) -> Iterator[str]:
    """Check that a node exits within its grace period, whatever callers do."""
    for ended in history.ended:
        took = ended.gone_at - ended.asked_at
        if ended.node_process != NO_NODE_PROCESS and took > GRACE_SECONDS:
            yield f'{ended.name} took {took:.1f} s to shut down'


def fleet_recovers(history: History) -> Iterator[str]:
    """Check that requests succeed again after all faults are undone."""
    since = history.healed_at + MAX_RECOVERY_SECONDS
    late = [
        sent
        for sent in history.sent
        if sent.sent_at > since and sent.kind in {'read', 'note', 'file'}
    ]
    served = sum(sent.status == OK for sent in late)
    if late and served < RECOVERED_SHARE * len(late):
        reasons = Counter(sent.reason for sent in late if sent.status != OK)
        yield f'{served} of {len(late)} served after recovery: {dict(reasons)}'


CHECKS: tuple[Check, ...] = (
    runs_at_most_once,
    refusals_are_true,
    answers_are_own,
    keys_stay_inside,
    bound_requests_stay_inside,
    rates_hold,
    versions_never_revert,
    versions_come_into_force,
    withdrawn_keys_stop,
    leaving_upstreams_get_nothing,
    leaving_nodes_answer,
    leaving_nodes_end,
    fleet_recovers,
)


def find_violations(history: History) -> list[Violation]:
    """Run all checks and return the violations that they find."""
    return [
        Violation(check.__name__, detail)
        for check in CHECKS
        for detail in check(history)
    ]


def _find_newest_requested(history: History, until: float) -> VersionRecord:
    """Return the newest accepted version that was requested by a given time."""
    requested = [
        version for version in history.accepted if version.sent_at <= until
    ]
    return requested[-1]
