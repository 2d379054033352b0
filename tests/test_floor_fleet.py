"""Ejection keeps the floor in every node's view, whatever vanishes."""

from __future__ import annotations

import threading
import time
import unittest
from typing import Any

from kumquathold_cli.client import ClientError
from kumquathold_standins.caller import Caller
from kumquathold_standins.fleet import Fleet, Node, running_fleet
from tests.support import KEYS, make_rules, wide_spec

FLOOR = 0.5
SERVICE = 'listings'
STEP_SECONDS = 4.0


class Pressure:
    """Callers at every node, and a look at every node's view."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.is_over = threading.Event()
        self.breaches: list[tuple[str, set[str], set[str]]] = []
        self.most_out = 0
        self.threads = [
            threading.Thread(target=self._press, args=(node,))
            for node in fleet.nodes
        ]
        self.threads.append(threading.Thread(target=self._watch))

    def __enter__(self) -> Pressure:
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def _press(self, node: Node) -> None:
        caller = Caller(KEYS['dealers'])
        while not self.is_over.is_set():
            caller.send(node.callers, 'GET', '/diffs/1')
            time.sleep(0.02)

    def _watch(self) -> None:
        while not self.is_over.is_set():
            for node in self.fleet.nodes:
                try:
                    status = node.client.get_json('/status')
                except ClientError:
                    status = {'nodes': [], 'ejected': {}}
                self._judge(node, status)
            time.sleep(0.05)

    def _judge(self, node: Node, status: dict[str, Any]) -> None:
        present = {
            one['name']
            for member in status['nodes']
            for one in member['upstreams']
            if one['service'] == SERVICE
            and one['ready']
            and not one['leaving']
            and not member['leaving']
        }
        out = set(status['ejected'].get(SERVICE, ()))
        self.most_out = max(self.most_out, len(out))
        if present and len(present - out) < len(present) * FLOOR:
            self.breaches.append((node.peer, present, out))


class FloorTest(unittest.TestCase):
    """All upstreams have the same slots, so names can be counted."""

    def test_floor_holds_while_upstreams_turn_gray_leave_and_vanish(
        self,
    ) -> None:
        with running_fleet(wide_spec()) as fleet:
            fleet.accept(make_rules())
            fleet.wait_for_rate_holders()
            listings = [
                one for one in fleet.upstreams if one.service == SERVICE
            ]
            with Pressure(fleet) as pressure:
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
            self.assertGreater(pressure.most_out, 0)
            self.assertEqual(pressure.breaches, [])
