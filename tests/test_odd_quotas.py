"""Quotas with little or no burst: they are served, and they hold."""

from __future__ import annotations

import json
import random
import unittest
from concurrent.futures import Future
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec

from kumquathold_core import distribution
from kumquathold_core.distribution import GrantUsage
from kumquathold_core.forwarding import FailureResponse, Outcome, Refusal
from kumquathold_core.rules import Rules, Workspace
from kumquathold_core.token_bucket import TokenBucket, region_limit_of
from kumquathold_core.wire import Envelope
from kumquathold_node.kernel import HandlerFailed, Task
from kumquathold_node.rate_holder import HoldGroupsCommand
from kumquathold_standins.fleet import running_fleet
from kumquathold_standins.load import Stream, run_load
from tests.owner_stage import INGRESS, OwnerStage
from tests.support import KEYS, make_rules, small_spec
from tests.test_buckets import REGIONS, naive_excess
from tests.test_jobs import WORK
from tests.test_rate_holder import HolderStage
from tests.test_rates_fleet import (
    CLOCK_TOLERANCE_SECONDS,
    compute_max_excess,
    list_caller_addresses,
)
from tests.test_site_platform import configuration, make_config

RATES = (1e-3, 0.9, 20.0, 1e9)
BURSTS = (0, 1, 2, 3, 2**62)
LONG_SECONDS = 1e4
LOAD_SECONDS = 12.0


def make_workspace(rate: float, burst: int) -> Workspace:
    return Workspace(name='w', rate=rate, burst=burst)


class RegionShareTest(unittest.TestCase):
    """Each quota that the decoder takes has a region that grants tokens."""

    def test_each_quota_grants_tokens_somewhere(self) -> None:
        for rate in RATES:
            for burst in BURSTS:
                with self.subTest(rate=rate, burst=burst):
                    self.assertTrue(any(self.grant(rate, burst)))

    def grant(self, rate: float, burst: int) -> list[int]:
        """Return what full buckets of the regions grant."""
        workspace = make_workspace(rate, burst)
        granted = []
        for region in REGIONS:
            limit = region_limit_of(workspace, region, REGIONS)
            bucket = TokenBucket(limit, 0.0)
            granted.append(bucket.grant(('a', 1, 1), 1, LONG_SECONDS))
            bucket.estimate_token_wait(LONG_SECONDS)
        return granted

    def test_no_burst_means_one_request_and_the_whole_rate(self) -> None:
        parts = [
            region_limit_of(make_workspace(20.0, 0), one, REGIONS)
            for one in REGIONS
        ]
        self.assertEqual(sorted(part.burst for part in parts), [0, 0, 1])
        self.assertEqual(sum(part.rate for part in parts), 20.0)

    def test_single_token_serves_most_of_the_rate(self) -> None:
        """Usage is reported after a while; the wait told is worth waiting."""
        rng = random.Random(1)
        limit = region_limit_of(make_workspace(20.0, 0), 'north', ('north',))
        bucket = TokenBucket(limit, 0.0)
        now, used = 0.0, []
        for number in range(400):
            tokens = bucket.grant(('a', 1, number), 1, now)
            if not tokens:
                now += bucket.estimate_token_wait(now)
                continue
            now += rng.uniform(0.001, 0.02)
            used.append(now)
            now += rng.uniform(0.001, 0.02)
            report = GrantUsage(number, 'w', tokens, 0)
            bucket.apply_usage(('a', 1, number), report, now)
        self.assertLessEqual(naive_excess(used, 20.0, 1), 1e-6)
        self.assertGreaterEqual(len(used) / now, 10.0)


class DecodedQuotaTest(unittest.TestCase):
    """Quotas as operators write them."""

    def decode(self, **fields: Any) -> Rules:
        config = json.loads(make_config())
        for name, content in fields.items():
            config['tenants'][0].pop(name, None)
            if content is not None:
                config['tenants'][0][name] = content
        decoded = configuration.decode_configuration(json.dumps(config))
        rules: Rules = decoded.rules
        return rules

    def test_each_spelling_is_read(self) -> None:
        for stated, burst in ((None, 0), (0, 0), (20.0, 20), (2.5, 2)):
            with self.subTest(stated):
                rules = self.decode(ratePerS=20.0, burstSize=stated)
                workspace = next(iter(rules.workspaces.values()))
                self.assertEqual((workspace.rate, workspace.burst), (20, burst))


class HolderFailureTest(HolderStage):
    """A holder whose handler raises an exception still replies."""

    def test_asker_is_told_at_once(self) -> None:
        done: Future[None] = Future()
        self.holder.on_hold_groups(HoldGroupsCommand({0: 0.0}, 1e9, done))
        request = distribution.GrantRequest(7, 'small', 3, ())
        message = Envelope('10.0.0.9:1', 1, request)
        with mock.patch.object(
            self.holder, '_get_bucket', side_effect=ZeroDivisionError
        ):
            self.holder.task._handle(message)  # noqa: SLF001
        expected = distribution.GrantResponse(7, 'small', 0, 0.0, False)
        self.assertEqual(self.transport.sent, [expected])


class FailedHandlerTest(unittest.TestCase):
    """Who waits for a handler that raised an exception is told."""

    def test_reply_gets_the_failure(self) -> None:
        def fail(_: object) -> None:
            raise ValueError

        message = SimpleNamespace(reply=Future())
        task = Task('t', {SimpleNamespace: fail})
        task._handle(message)  # noqa: SLF001
        with self.assertRaises(HandlerFailed):
            message.reply.result(0)

    def test_request_that_an_owner_fails_on_gets_a_response(self) -> None:
        stage = OwnerStage.for_test(self)
        stage.announce()
        message = msgspec.structs.replace(WORK, owner_incarnation=2)
        with mock.patch.object(
            stage.owner.intake, 'begin', side_effect=ValueError
        ):
            stage.owner.task._handle(  # noqa: SLF001
                Envelope(INGRESS, 1, message)
            )
        failures: list[FailureResponse] = stage.list_failures()
        self.assertEqual(
            [(one.outcome, one.reason) for one in failures],
            [(Outcome.unknown, Refusal.internal_error)],
        )


class SmallBurstFleetTest(unittest.TestCase):
    """Three regions that share a burst of one request."""

    def test_load_below_the_rate_is_served_and_the_limit_holds(self) -> None:
        rules = make_rules().replace('rate=20 burst=20', 'rate=20 burst=1')
        with running_fleet(small_spec()) as fleet:
            fleet.accept(rules)
            for rate, is_below in ((5.0, True), (60.0, False)):
                stream = Stream(
                    f'rate-{rate:.0f}',
                    KEYS['small'],
                    list_caller_addresses(fleet),
                    rate,
                    path='/diffs/{n}',
                    headers={'X-Operation': 'op-{n}', 'X-Work': '0.001'},
                    workers=32,
                )
                (result,) = run_load([stream], LOAD_SECONDS)
                served = result.good / result.sent
                with self.subTest(rate=rate):
                    self.assertGreaterEqual(served, 0.9 if is_below else 0.0)
            times = [run.at for run in fleet.ledger() if run.operation]
        tolerance = 20.0 * CLOCK_TOLERANCE_SECONDS + 1
        self.assertLessEqual(compute_max_excess(times, 20.0, 1), tolerance)


if __name__ == '__main__':
    unittest.main()
