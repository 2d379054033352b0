"""Tests that ejection keeps the floor in every node's view under faults."""

from __future__ import annotations

import threading
import time
import unittest
from typing import Any

from kumquathold_cli.client import ClientError
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, running_fleet
from kumquathold_standins.processes import Node
from tests.support import KEYS, make_rules, wide_spec

FLOOR_SHARE = 0.5
SERVICE = 'listings'
STEP_SECONDS = 4.0


class FloorObserver:
    """Sends requests to every node and checks the floor in each one's view."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.is_stopped = threading.Event()
        self.violations: list[tuple[str, set[str], set[str]]] = []
        self.max_ejected = 0
        self.threads = [
            threading.Thread(target=self._send_requests, args=(node,))
            for node in fleet.nodes
        ]
        self.threads.append(threading.Thread(target=self._poll_views))

    def __enter__(self) -> FloorObserver:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_stopped.set()
        for thread in self.threads:
            thread.join()

    def _send_requests(self, node: Node) -> None:
        caller = Caller(KEYS['dealers'])
        while not self.is_stopped.is_set():
            caller.send(node.callers, 'GET', '/diffs/1')
            time.sleep(0.02)

    def _poll_views(self) -> None:
        while not self.is_stopped.is_set():
            for node in self.fleet.nodes:
                try:
                    status = node.client.get_json('/status')
                except ClientError:
                    status = {'nodes': [], 'ejected': {}}
                self._check_floor(node, status)
            time.sleep(0.05)

    def _check_floor(self, node: Node, status: dict[str, Any]) -> None:
        present = {
            upstream['name']
            for member in status['nodes']
            for upstream in member['upstreams']
            if upstream['service'] == SERVICE
            and upstream['ready']
            and not upstream['leaving']
            and not member['leaving']
        }
        ejected = set(status['ejected'].get(SERVICE, ()))
        self.max_ejected = max(self.max_ejected, len(ejected))
        if present and len(present - ejected) < len(present) * FLOOR_SHARE:
            self.violations.append((node.peer, present, ejected))


class FloorTest(unittest.TestCase):
    """All upstreams have equal slots, so the floor is counted in upstreams."""

    def test_floor_holds_while_upstreams_turn_gray_drain_and_crash(
        self,
    ) -> None:
        with running_fleet(wide_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            listings = [
                upstream
                for upstream in fleet.upstreams
                if upstream.service == SERVICE
            ]
            with FloorObserver(fleet) as observer:
                time.sleep(STEP_SECONDS / 2)
                for upstream in listings[:2]:
                    upstream.behave(fail_share=1.0)
                time.sleep(STEP_SECONDS)
                listings[5].behave(state='leaving')
                time.sleep(STEP_SECONDS / 2)
                listings[4].process.kill()
                time.sleep(STEP_SECONDS)
                for upstream in listings[:4]:
                    upstream.behave(latency=0.2)
                time.sleep(STEP_SECONDS)
            self.assertGreater(observer.max_ejected, 0)
            self.assertEqual(observer.violations, [])
