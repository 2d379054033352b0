"""The promises of the fleet, checked on what a soak saw.

Pure. Each check takes a history and gives what breaks its promise. A check
counts only what the promise covers under any fault, so that one finding is one
fault of the fleet: where a fault may excuse an outcome, the check says so.
"""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

import msgspec

from kumquathold_core.forwarding import Outcome
from kumquathold_standins.soak_history import NO_LIFE, Accepted, History

FORCE_SECONDS = 5.0
LEAVING_SECONDS = 3.0
ANNOUNCE_SECONDS = 0.5
GRACE_SECONDS = 10.0
RECOVERY_SECONDS = 15.0
RECOVERED_SHARE = 0.95
LIMITED = 'small'
LIMITED_RATE = 20.0
LIMITED_BURST = 20
LIMITED_DEADLINE_SECONDS = 1.0
CLOCK_SECONDS = 0.05
ONCE_KINDS = frozenset(('note', 'hold', 'guest'))
PROBE = 'probe'
GUEST = 'guest'
NO_ROUTE = 'no-route'
OK = 200
KEY_MARK = 'kq_'


class Violation(msgspec.Struct, frozen=True):
    """A promise that was broken."""

    promise: str
    """Name of the check."""

    detail: str
    """What was seen."""


Check = Callable[[History], Iterator[str]]


def runs_at_most_once(history: History) -> Iterator[str]:
    """A request that is not idempotent runs at most once."""
    runs = Counter(run.operation for run in history.runs)
    for sent in history.sent:
        if sent.kind in ONCE_KINDS and runs[sent.operation] > 1:
            yield f'{sent.operation} ran {runs[sent.operation]} times'


def refusals_are_true(history: History) -> Iterator[str]:
    """What was said not to have run never runs.

    A hold that was repeated may have run by another of its sendings.
    """
    runs = Counter(run.operation for run in history.runs)
    sendings = Counter(sent.operation for sent in history.sent)
    for sent in history.sent:
        is_single = sendings[sent.operation] == 1
        is_refused = sent.outcome == Outcome.not_run and is_single
        if is_refused and runs[sent.operation]:
            yield f'{sent.operation} was refused for {sent.reason} and ran'


def answers_are_own(history: History) -> Iterator[str]:
    """A caller gets the whole answer to its own request."""
    runs = {run.operation for run in history.runs}
    for sent in history.sent:
        if sent.status != OK:
            continue
        if not sent.is_own_answer:
            yield f'{sent.operation} got an answer that is not its own'
        if sent.operation not in runs:
            yield f'{sent.operation} was answered and did not run'


def keys_stay_inside(history: History) -> Iterator[str]:
    """A request runs for its key's workspace, and no upstream sees a key."""
    owners = {sent.operation: sent.workspace for sent in history.sent}
    for run in history.runs:
        if any(KEY_MARK in text for text in run.headers.values()):
            yield f'{run.operation} carried a key to {run.upstream}'
        owner = owners.get(run.operation)
        ran_for = run.headers.get('Kumquathold-Workspace', '')
        if owner and ran_for != owner:
            yield f'{run.operation} of {owner} ran for {ran_for or "nobody"}'


def rates_hold(history: History) -> Iterator[str]:
    """No window has more runs than rate and burst allow.

    A token may be used until its request's deadline, so a window of runs may
    hold the tokens of a window that is longer by that much.
    """
    limited = {
        sent.operation for sent in history.sent if sent.workspace == LIMITED
    }
    times = sorted(run.at for run in history.runs if run.operation in limited)
    level = float(LIMITED_BURST)
    slack = LIMITED_RATE * (LIMITED_DEADLINE_SECONDS + CLOCK_SECONDS) + 1
    last = times[0] if times else 0.0
    for at in times:
        level = min(LIMITED_BURST, level + (at - last) * LIMITED_RATE) - 1
        last = at
        if level < -slack:
            yield f'{LIMITED} is {-level:.1f} over its rate at {at:.3f}'
            return


def versions_never_revert(history: History) -> Iterator[str]:
    """A process that has shown a version goes by no older one later."""
    shown = defaultdict(list)
    for sent in history.sent:
        if sent.kind == PROBE and sent.status == OK:
            shown[sent.life].append(sent)
    for life, sents in shown.items():
        for newer, older in itertools.permutations(sents, 2):
            is_after = older.sent_at > newer.ended_at
            if is_after and older.version < newer.version:
                yield (
                    f'node {life[0]} served version {older.version} '
                    f'after {newer.version}'
                )


def versions_come_into_force(history: History) -> Iterator[str]:
    """Where nothing is amiss, a version is in force within seconds.

    A request is judged only while no newer version had been asked for.
    """
    for sent in history.sent:
        if sent.kind != PROBE or sent.reason != NO_ROUTE:
            continue
        newest = _newest_asked(history, sent.ended_at)
        since = max(newest.accepted_at, history.calm_since)
        is_due = sent.sent_at > since + FORCE_SECONDS
        if is_due and newest.version == sent.version:
            yield f'node {sent.life[0]} lacks version {newest.version}'


def withdrawn_keys_stop(history: History) -> Iterator[str]:
    """A withdrawn key runs nothing that was sent seconds later.

    The key of version N is withdrawn by the next version.
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
        is_late = sent.sent_at > ends_at + FORCE_SECONDS
        if sent.kind == GUEST and is_late and sent.operation in ran:
            late = sent.sent_at - ends_at
            yield f'{sent.operation} ran {late:.1f} s after its withdrawal'


def leaving_upstreams_get_nothing(history: History) -> Iterator[str]:
    """An upstream that leaves gets no new work after a few seconds."""
    bound = ANNOUNCE_SECONDS + LEAVING_SECONDS
    for ended in history.ended:
        for run in history.runs:
            is_its = ended.name == f'upstream-{run.upstream}'
            if is_its and ended.asked_at + bound < run.at < ended.gone_at:
                yield f'{run.operation} reached {ended.name} too late'


def leaving_nodes_answer(history: History) -> Iterator[str]:
    """A node that leaves gracefully answers what it had run.

    A hold that was sent more than once may have run by an earlier sending,
    while a later one crossed the node's close.
    """
    left = {one.life: one for one in history.ended}
    runs = {run.operation for run in history.runs}
    sendings = Counter(sent.operation for sent in history.sent)
    for sent in history.sent:
        ended = left.get(sent.life)
        has_run = sent.operation in runs and sendings[sent.operation] == 1
        if ended is None or sent.status or not has_run:
            continue
        if ended.asked_at < sent.ended_at <= ended.gone_at + CLOCK_SECONDS:
            yield f'{sent.operation} ran and was cut off by a graceful end'


def leaving_nodes_end(history: History) -> Iterator[str]:
    """A node that leaves is gone within its grace, whatever callers do."""
    for ended in history.ended:
        took = ended.gone_at - ended.asked_at
        if ended.life != NO_LIFE and took > GRACE_SECONDS:
            yield f'{ended.name} took {took:.1f} s to leave'


def fleet_recovers(history: History) -> Iterator[str]:
    """Once all is healed, requests are served again."""
    since = history.calm_since + RECOVERY_SECONDS
    late = [
        sent
        for sent in history.sent
        if sent.sent_at > since and sent.kind in {'read', 'note', 'file'}
    ]
    good = sum(sent.status == OK for sent in late)
    if late and good < RECOVERED_SHARE * len(late):
        reasons = Counter(sent.reason for sent in late if sent.status != OK)
        yield f'{good} of {len(late)} served after recovery: {dict(reasons)}'


CHECKS: tuple[Check, ...] = (
    runs_at_most_once,
    refusals_are_true,
    answers_are_own,
    keys_stay_inside,
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
    """Everything that breaks a promise."""
    return [
        Violation(check.__name__, detail)
        for check in CHECKS
        for detail in check(history)
    ]


def _newest_asked(history: History, until: float) -> Accepted:
    """The newest version that was asked for, as soon as it was accepted."""
    asked = [one for one in history.accepted if one.sent_at <= until]
    return asked[-1]
