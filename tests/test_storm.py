"""Many faults at once: what answers say must agree with what ran."""

from __future__ import annotations

import hashlib
import random
import threading
import time
import unittest
from collections import Counter

import msgspec

from kumquathold_standins.caller import Caller, Response
from kumquathold_standins.fleet import Fleet, running_fleet
from tests.support import KEYS, make_rules, small_spec

CALLERS = 8
STORM_SECONDS = 20.0
SEED = 20261204
LARGE_BYTES = 700_000


class Sent(msgspec.Struct):
    """One request and its answer."""

    operation: str
    kind: str
    body: bytes
    answer: Response


class Storm:
    """Callers and faults, drawn from a seed."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.ends_at = time.monotonic() + STORM_SECONDS
        self.sent: list[Sent] = []

    def run(self) -> None:
        """Send and break things until the time is over."""
        threads = [
            threading.Thread(target=self._call, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        self._break_things()
        for thread in threads:
            thread.join()

    def _call(self, caller_number: int) -> None:
        rng = random.Random(self.seed * 100 + caller_number)
        number = 0
        while time.monotonic() < self.ends_at:
            number += 1
            self._send(rng, f'storm-{caller_number}-{number}')

    def _send(self, rng: random.Random, operation: str) -> None:
        kind = rng.choice(('read', 'note', 'hold', 'file'))
        body = rng.randbytes(LARGE_BYTES if kind == 'file' else 200)
        method, path, headers = {
            'read': ('GET', '/diffs/1', {}),
            'note': ('POST', '/notes', {}),
            'hold': ('POST', '/holds', {'Idempotency-Key': operation}),
            'file': ('PUT', f'/files/{operation}', {}),
        }[kind]
        answer = Caller(KEYS['dealers']).send(
            rng.choice(self.fleet.nodes).callers,
            method,
            path,
            body=b'' if kind == 'read' else body,
            headers={**headers, 'X-Operation': operation},
        )
        self.sent.append(Sent(operation, kind, body, answer))

    def _break_things(self) -> None:
        rng = random.Random(self.seed)
        faults = (
            self._cut_one_way,
            self._silence,
            self._freeze,
            self._kill_upstream,
            self._cut_answers,
            self._shed,
            self._lose_replies,
            self._stop_platform,
        )
        while time.monotonic() < self.ends_at:
            rng.choice(faults)(rng)
            time.sleep(rng.uniform(0.1, 0.5))

    def _cut_one_way(self, rng: random.Random) -> None:
        sender, receiver = rng.sample(self.fleet.nodes, 2)
        self.fleet.cut([sender], [receiver])
        time.sleep(rng.uniform(0.1, 1.5))
        self.fleet.heal()

    def _silence(self, rng: random.Random) -> None:
        sender, receiver = rng.sample(self.fleet.nodes, 2)
        self.fleet.silence([sender], [receiver])

    def _freeze(self, rng: random.Random) -> None:
        node = rng.choice(self.fleet.nodes)
        node.process.freeze()
        time.sleep(rng.uniform(0.1, 1.5))
        node.process.resume()

    def _kill_upstream(self, rng: random.Random) -> None:
        upstream = rng.choice(self.fleet.upstreams)
        upstream.process.kill()
        upstream.process.restart()

    def _cut_answers(self, rng: random.Random) -> None:
        upstream = rng.choice(self.fleet.upstreams)
        self._behave(upstream, cut_share=0.5)
        time.sleep(rng.uniform(0.1, 0.5))
        self._behave(upstream)

    def _shed(self, rng: random.Random) -> None:
        upstream = rng.choice(self.fleet.upstreams)
        self._behave(upstream, shed=True)
        time.sleep(rng.uniform(0.1, 0.5))
        self._behave(upstream)

    def _behave(self, upstream: object, **fields: object) -> None:
        try:
            upstream.behave(**fields)  # type: ignore[attr-defined]
        except OSError:
            return

    def _lose_replies(self, rng: random.Random) -> None:
        self.fleet.set_platform(lose_replies=rng.randint(1, 3))

    def _stop_platform(self, rng: random.Random) -> None:
        self.fleet.set_platform(down=True)
        time.sleep(rng.uniform(0.1, 1.5))
        self.fleet.set_platform()


class StormTest(unittest.TestCase):
    """What must hold, checked after the storm."""

    def test_answers_agree_with_what_ran(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            storm = Storm(fleet, SEED)
            storm.run()
            runs = Counter(run.operation for run in fleet.ledger())
        self.assertGreater(len(storm.sent), 200)
        answered = 0
        for sent in storm.sent:
            with self.subTest(operation=sent.operation, kind=sent.kind):
                self._check(sent, runs[sent.operation])
            answered += sent.answer.status == 200
        self.assertGreater(answered, len(storm.sent) // 4)

    def _check(self, sent: Sent, runs: int) -> None:
        answer = sent.answer
        if answer.outcome == 'not-run':
            self.assertEqual(runs, 0, answer)
        if answer.outcome == 'ran':
            self.assertGreaterEqual(runs, 1, answer)
        if sent.kind in {'note', 'hold'}:
            self.assertLessEqual(runs, 1, answer)
        if answer.status == 200:
            content = answer.json()
            self.assertEqual(content['operation'], sent.operation)
            if sent.kind != 'read':
                digest = hashlib.sha256(sent.body).hexdigest()
                self.assertEqual(content['body_digest'], digest)
