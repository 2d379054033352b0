"""Fault injection: each response must agree with what the upstreams ran.

Guards against wrong outcomes when faults of the network, the nodes, the
upstreams and the store coincide.
"""

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
FAULT_INJECTION_SECONDS = 20.0
SEED = 20261204
LARGE_BODY_BYTES = 700_000


class SentRequest(msgspec.Struct):
    """A request and the response that its caller got."""

    operation: str
    kind: str
    body: bytes
    response: Response


class FaultInjectionRun:
    """Concurrent callers and random faults, both generated from a seed."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.seed = seed
        self.ends_at = time.monotonic() + FAULT_INJECTION_SECONDS
        self.sent_requests: list[SentRequest] = []

    def run(self) -> None:
        """Send requests and inject faults until the time is over."""
        threads = [
            threading.Thread(target=self._send_requests, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        self._inject_faults()
        for thread in threads:
            thread.join()

    def _send_requests(self, caller_number: int) -> None:
        rng = random.Random(self.seed * 100 + caller_number)
        number = 0
        while time.monotonic() < self.ends_at:
            number += 1
            self._send_request(rng, f'storm-{caller_number}-{number}')

    def _send_request(self, rng: random.Random, operation: str) -> None:
        kind = rng.choice(('read', 'note', 'hold', 'file'))
        body = rng.randbytes(LARGE_BODY_BYTES if kind == 'file' else 200)
        method, path, headers = {
            'read': ('GET', '/diffs/1', {}),
            'note': ('POST', '/notes', {}),
            'hold': ('POST', '/holds', {'Idempotency-Key': operation}),
            'file': ('PUT', f'/files/{operation}', {}),
        }[kind]
        response = Caller(KEYS['dealers']).send(
            rng.choice(self.fleet.nodes).callers,
            method,
            path,
            body=b'' if kind == 'read' else body,
            headers={**headers, 'X-Operation': operation},
        )
        self.sent_requests.append(SentRequest(operation, kind, body, response))

    def _inject_faults(self) -> None:
        rng = random.Random(self.seed)
        faults = (
            self._cut_one_way,
            self._silence,
            self._freeze,
            self._kill_upstream,
            self._truncate_responses,
            self._shed_requests,
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

    def _truncate_responses(self, rng: random.Random) -> None:
        upstream = rng.choice(self.fleet.upstreams)
        self._behave(upstream, cut_share=0.5)
        time.sleep(rng.uniform(0.1, 0.5))
        self._behave(upstream)

    def _shed_requests(self, rng: random.Random) -> None:
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


class FaultInjectionTest(unittest.TestCase):
    """Compare the responses with the ledger after the faults."""

    def test_answers_agree_with_what_ran(self) -> None:
        with running_fleet(small_spec(relayed=True)) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            injection = FaultInjectionRun(fleet, SEED)
            injection.run()
            runs = Counter(run.operation for run in fleet.ledger())
        self.assertGreater(len(injection.sent_requests), 200)
        answered = 0
        for request in injection.sent_requests:
            with self.subTest(operation=request.operation, kind=request.kind):
                self._check_request(request, runs[request.operation])
            answered += request.response.status == 200
        self.assertGreater(answered, len(injection.sent_requests) // 4)

    def _check_request(self, request: SentRequest, runs: int) -> None:
        response = request.response
        if response.outcome == 'not-run':
            self.assertEqual(runs, 0, response)
        if response.outcome == 'ran':
            self.assertGreaterEqual(runs, 1, response)
        if request.kind in {'note', 'hold'}:
            self.assertLessEqual(runs, 1, response)
        if response.status == 200:
            content = response.json()
            self.assertEqual(content['operation'], request.operation)
            if request.kind != 'read':
                digest = hashlib.sha256(request.body).hexdigest()
                self.assertEqual(content['body_digest'], digest)
