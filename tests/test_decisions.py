"""Routing, queueing, registry, reassembly and wire against naive versions."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from kumquathold_core import (
    crash_tracker,
    distribution,
    fair_queue,
    operator_auth,
    placement,
    reassembly,
    retries,
    routing,
    wire,
)
from kumquathold_core.candidates import Candidate, rank_distance
from kumquathold_core.forwarding import Outcome, Refusal
from kumquathold_core.identity import RequestId
from kumquathold_core.load_estimates import LoadEstimate
from kumquathold_core.operator_auth import SignedCall
from kumquathold_core.placement import PlacementRequest
from kumquathold_core.request_registry import (
    RETENTION_SECONDS,
    RequestRegistry,
    RequestState,
)
from kumquathold_core.rules import Route, Rules, ZoneScope
from tests.properties import repeatable

PLACEMENT_REQUEST = PlacementRequest(zone='z0', region='r0', kilobytes=2.0)
METHODS = ('GET', 'HEAD', 'POST', '*')
SECRET = b'a secret of the fleet'


def match_route_naively(rules: Rules, method: str, path: str) -> Route | None:
    """Scan every route, most specific path first."""

    def matches(route: Route) -> bool:
        if route.path.endswith('*'):
            return path.startswith(route.path[:-1])
        return route.path == path

    def rank(route: Route) -> tuple[bool, int]:
        return not route.path.endswith('*'), len(route.path)

    matching = sorted(filter(matches, rules.routes), key=rank, reverse=True)
    for best in matching:
        same = [one for one in matching if one.path == best.path]
        for wanted in (method, *(('GET',) if method == 'HEAD' else ()), '*'):
            for route in same:
                if route.method == wanted:
                    return route
    return None


class RoutingTest(unittest.TestCase):
    """The indexed table finds the same route as a scan."""

    def test_agrees_with_a_scan(self) -> None:
        for seed in range(200):
            rng = random.Random(seed)

            def draw_path(rng: random.Random = rng) -> str:
                parts = rng.choices(('a', 'b', 'ab'), k=rng.randint(0, 3))
                return f'/{"/".join(parts)}'

            routes: dict[str, Route] = {}
            for _ in range(12):
                star = rng.choice(('', '*', '/*'))
                route = Route(
                    method=rng.choice(METHODS),
                    path=f'{draw_path()}{star}',
                    service='s',
                )
                routes[route.name] = route
            rules = Rules(
                services={},
                routes=tuple(routes.values()),
                workspaces={},
                keys={},
            )
            table = routing.RouteTable.from_rules(rules)
            for _ in range(40):
                method = rng.choice(METHODS[:3])
                path = draw_path()
                match = routing.match_route(table, method, path)
                expected = match_route_naively(rules, method, path)
                self.assertEqual(match.route, expected, (method, path))


class PlacementTest(unittest.TestCase):
    """Near, free and healthy upstreams are preferred."""

    def test_never_leaves_the_zone_while_it_has_room(self) -> None:
        rng = random.Random(1)
        candidates = [
            Candidate(f'u{number}', 'o', f'z{number % 4}', f'r{number % 2}', 4)
            for number in range(16)
        ]
        for _ in range(500):
            reports = {
                one.upstream: LoadEstimate(backlog=rng.randint(0, 12))
                for one in candidates
            }
            chosen = self.choose(candidates, reports, rng)
            assert chosen is not None  # noqa: S101
            spare = [
                rank_distance(one, 'z0', 'r0')
                for one in candidates
                if reports[one.upstream].backlog < one.slots
            ]
            distance = rank_distance(chosen, 'z0', 'r0')
            if 0 in spare:
                self.assertEqual(distance, 0)
                self.assertLess(reports[chosen.upstream].backlog, 4)
            # Waiting here never costs more than reaching a free slot elsewhere.
            highest_network_cost = PLACEMENT_REQUEST.estimate_network_cost(
                Candidate('far', 'o', 'z1', 'r1', 4)
            )
            cost = placement.estimate_cost(
                chosen, reports[chosen.upstream], PLACEMENT_REQUEST, 0
            )
            risk = LoadEstimate().risk * placement.FAILURE_COST
            if spare:
                limit = (
                    highest_network_cost + risk + 2 * placement.TIE_BREAK_COST
                )
                self.assertLessEqual(cost, limit)

    def test_suspect_upstream_is_avoided_for_one_in_another_zone(
        self,
    ) -> None:
        near = Candidate('near', 'o', 'z0', 'r0', 4)
        far = Candidate('far', 'o', 'z2', 'r0', 4)
        report = LoadEstimate()
        report.record_report(0, 0.9, 0.0)
        rng = random.Random(1)
        chosen = self.choose([near, far], {'near': report}, rng)
        self.assertEqual(chosen, far)
        alone = self.choose([near], {'near': report}, rng)
        self.assertEqual(alone, near)

    def test_upstreams_out_of_scope_are_not_chosen(self) -> None:
        far = [Candidate('u', 'o', 'z9', 'r9', 4)]
        for scope in (ZoneScope.zone, ZoneScope.region):
            chosen = self.choose(far, {}, random.Random(1), scope)
            self.assertIsNone(chosen)

    def choose(
        self,
        candidates: list[Candidate],
        reports: dict[str, LoadEstimate],
        rng: random.Random,
        scope: ZoneScope = ZoneScope.any,
    ) -> Candidate | None:
        return placement.choose_cheapest(
            candidates, reports, PLACEMENT_REQUEST, scope, 0.0, rng
        )


class FairQueueTest(unittest.TestCase):
    """Workspaces are served by weight, whatever their backlog."""

    def test_light_workspace_waits_for_at_most_one_round(self) -> None:
        queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
        for number in range(fair_queue.MAX_QUEUED_REQUESTS):
            queue.push('heavy', 3, f'h{number}')
        self.assertFalse(queue.push('heavy', 3, 'one too many'))
        self.assertTrue(queue.push('light', 1, 'l0'))
        order = [queue.pop() for _ in range(5)]
        self.assertIn('l0', order[:4])

    def test_nothing_is_lost_or_doubled(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            queue: fair_queue.FairQueue[int] = fair_queue.FairQueue()
            queued: list[tuple[str, int]] = []
            for number in range(300):
                workspace = rng.choice('abc')
                step = rng.random()
                if step < 0.5 and queue.push(workspace, 2, number):
                    queued.append((workspace, number))
                elif step < 0.9:
                    popped = queue.pop()
                    self.assertEqual(popped is None, not queued)
                    queued = [one for one in queued if one[1] != popped]
                elif queued:
                    removed = queued.pop(rng.randrange(len(queued)))
                    self.assertTrue(queue.remove(*removed))
                self.assertEqual(queue.size, len(queued))


class RequestRegistryTest(unittest.TestCase):
    """A request is admitted once, and never after it was refused."""

    def test_agrees_with_a_set(self) -> None:
        for seed in range(50):
            rng = random.Random(seed)
            registry = RequestRegistry()
            naive: set[int] = set()
            for step in range(200):
                number = rng.randrange(40)
                request = RequestId('a', 1, number)
                now = step * RETENTION_SECONDS / 400
                if rng.random() < 0.3:
                    registry.refuse_forever(request, now)
                else:
                    is_new = registry.admit(request, now) is None
                    self.assertEqual(is_new, number not in naive)
                naive.add(number)
                registry.expire(now)

    def test_running_requests_are_not_forgotten(self) -> None:
        registry = RequestRegistry()
        request = RequestId('a', 1, 1)
        registry.admit(request, 0.0)
        registry.start(request)
        registry.expire(10 * RETENTION_SECONDS)
        self.assertEqual(registry.entries[request].state, RequestState.running)


class AssemblyTest(unittest.TestCase):
    """A body is delivered whole or not at all."""

    def test_examples_of_property_tests_have_no_time_limit(self) -> None:
        self.assertIsNone(repeatable().deadline)

    @repeatable(max_examples=60)
    @given(st.binary(max_size=50), st.integers(0, 3), st.randoms())
    def test_any_order_and_doubles_give_the_body(
        self,
        seed: bytes,
        pieces: int,
        rng: random.Random,
    ) -> None:
        body = (seed or b'x') * (pieces * reassembly.BODY_CHUNK_BYTES // 20 + 1)
        first, rest = reassembly.split_body(body)
        parts = list(rest) * 2
        rng.shuffle(parts)
        assembler = reassembly.Reassembler()
        digest = wire.digest_body(body)
        place = rng.randint(0, len(parts))
        found = []
        for number in range(len(parts) + 1):
            if number == place:
                found.append(
                    assembler.announce('r', len(body), digest, first, 0.0),
                )
            if number < len(parts):
                found.append(assembler.add_chunk('r', *parts[number], 0.0))
        whole = [one for one in found if one is not None]
        self.assertEqual(whole[0], body)

    def test_wrong_bytes_are_refused(self) -> None:
        assembler = reassembly.Reassembler()
        with self.assertRaises(reassembly.DigestMismatch):
            assembler.announce('r', 3, wire.digest_body(b'abc'), b'abd', 0.0)
        self.assertEqual(assembler.partial, {})

    def test_body_with_missing_chunks_expires(self) -> None:
        assembler = reassembly.Reassembler()
        assembler.announce('r', 9, wire.digest_body(b'x' * 9), b'x', 0.0)
        late = reassembly.CHUNK_TIMEOUT_SECONDS
        self.assertEqual(assembler.expire(late), ['r'])


class WireTest(unittest.TestCase):
    """Only frames of the fleet that are addressed to the receiver decode."""

    @repeatable(max_examples=300)
    @given(st.binary(max_size=300))
    def test_any_bytes_give_a_wire_error(self, frame: bytes) -> None:
        with self.assertRaises(wire.WireError):
            wire.decode_frame(frame, 'b', SECRET)

    @repeatable(max_examples=200)
    @given(st.integers(0, 5000), st.integers(1, 255))
    def test_any_changed_byte_is_noticed(self, place: int, flip: int) -> None:
        asked = distribution.GrantRequest(
            number=1, workspace='w', wanted=2, reports=()
        )
        envelope = wire.Envelope('a', 1, asked)
        frame = bytearray(wire.encode_frame(envelope, 'b', SECRET))
        same = wire.decode_frame(bytes(frame), 'b', SECRET)
        self.assertEqual(same, envelope)
        frame[place % len(frame)] ^= flip
        with self.assertRaises(wire.ForgedFrame):
            wire.decode_frame(bytes(frame), 'b', SECRET)


class RetriesTest(unittest.TestCase):
    """Only requests that are safe to repeat are retried, within a budget."""

    def test_unknown_outcome_is_not_repeated_unless_safe(self) -> None:
        for reason in Refusal:
            failure = retries.AttemptFailure(Outcome.unknown, reason)
            self.assertFalse(
                retries.is_repeatable(failure, idempotent=False, claimed=False),
            )

    def test_budget_is_one_in_ten(self) -> None:
        budget = retries.RetryBudget()
        budget.set_limits(10, retries.BUDGET_WINDOW_SECONDS, settled=True)
        spent = 0
        for step in range(1000):
            budget.earn(step * 0.01)
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 / 10 + 10)
        self.assertGreaterEqual(spent, 99)

    def test_outcomes_combine(self) -> None:
        not_run, ran, unknown = Outcome.not_run, Outcome.ran, Outcome.unknown
        combine = retries.combine_outcomes
        self.assertEqual(combine([not_run, not_run]), not_run)
        self.assertEqual(combine([unknown, not_run]), unknown)
        self.assertEqual(combine([unknown, ran]), ran)


class CrashTrackerTest(unittest.TestCase):
    """Only the request that crashed upstreams is refused, and not for ever."""

    def test_crash_of_a_second_upstream_refuses_the_request(self) -> None:
        tracker = crash_tracker.CrashTracker()
        bad = crash_tracker.fingerprint_request('w', 'GET', '/x', b'1')
        other = crash_tracker.fingerprint_request('w', 'GET', '/x', b'2')
        tracker.record_crash(bad, 'u1', 0.0)
        tracker.record_crash(bad, 'u1', 1.0)
        self.assertFalse(tracker.is_refused(bad, 1.0))
        tracker.record_crash(bad, 'u2', 2.0)
        self.assertTrue(tracker.is_refused(bad, 2.0))
        self.assertFalse(tracker.is_refused(other, 2.0))
        late = 2.0 + crash_tracker.REFUSAL_SECONDS
        self.assertFalse(tracker.is_refused(bad, late))


class OperatorAuthTest(unittest.TestCase):
    """A signature covers the whole call, and is valid once and for a time."""

    def test_each_changed_part_is_refused(self) -> None:
        call = SignedCall('oyun', 'GET', '/x', b'b', '1000', 'n')
        signature = operator_auth.sign_call(call, SECRET)
        verifier = operator_auth.SignatureVerifier(SECRET)
        verifier.check(call, signature, 1000.0)
        with self.assertRaises(operator_auth.SignatureReplayed):
            verifier.check(call, signature, 1000.0)
        late = 1001 + operator_auth.MAX_SKEW_SECONDS
        with self.assertRaises(operator_auth.SignatureExpired):
            operator_auth.SignatureVerifier(SECRET).check(call, signature, late)
        parts = ('oyun', 'GET', '/x', b'b', '1000', 'n')
        for place, part in enumerate(parts):
            longer: object = f'{part}1'
            if isinstance(part, bytes):
                longer = b'%bx' % part
            changed = (*parts[:place], longer, *parts[place + 1 :])
            with self.assertRaises(operator_auth.SignatureInvalid):
                verifier.check(
                    SignedCall(*changed),  # type: ignore[arg-type]
                    signature,
                    1000.0,
                )
