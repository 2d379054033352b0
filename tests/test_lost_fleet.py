"""What is promised beyond a loss of all nodes: an upstream that left stays out.

One node is the whole fleet. It is killed after it has acknowledged a departure,
and heartbeats that the upstream had sent before arrive afterwards.
"""

from __future__ import annotations

import json
import time
import unittest

from kumquathold_standins.loopback import wait_until
from tests.test_site_node import SiteNode, running_node
from tests.test_site_platform import make_config

UNAVAILABLE = 503
UNAUTHORIZED = 401
LATE_SECONDS = 3.0
"""Time after the start by which a running upstream has sent a heartbeat."""

SERIES_INTERVAL_SECONDS = 1.0


class LostFleetTest(unittest.TestCase):
    """Orders of events around the loss of all nodes."""

    def setUp(self) -> None:
        self.node: SiteNode = self.enterContext(running_node())

    def check_stays_out(self) -> None:
        """Send late heartbeats, and check that the upstream gets nothing."""
        for _ in range(3):
            self.assertEqual(self.node.send_heartbeat(), 200)
            self.check_gets_nothing()
            time.sleep(SERIES_INTERVAL_SECONDS)
        self.check_gets_nothing()

    def check_gets_nothing(self) -> None:
        reply = self.node.send('POST', '/holds/late', b'x')
        self.assertEqual(reply.status, UNAVAILABLE)
        self.assertEqual(self.node.target.list_headers('/holds/late'), [])

    def check_next_process_is_used(self) -> None:
        """Check that the next process gets requests at its first heartbeat."""
        self.node.born = int(time.time() * 1000)
        self.assertEqual(self.node.send_heartbeat(sequence=1), 200)
        wait_until(
            lambda: self.node.send('GET', '/holds/open/next').status == 200,
            'request to the next process',
            1.0,
        )

    def test_deregistration_holds(self) -> None:
        status = self.node.deregister(born=self.node.born)
        self.assertEqual(status, 200)
        self.node.restart()
        self.check_stays_out()
        self.check_next_process_is_used()

    def test_deregistration_without_a_start_holds(self) -> None:
        self.assertEqual(self.node.deregister(), 200)
        self.node.restart()
        self.check_stays_out()

    def test_draining_holds_through_two_losses(self) -> None:
        self.assertEqual(self.node.send_heartbeat(state='draining'), 200)
        self.node.restart()
        self.node.restart()
        self.check_stays_out()

    def test_departure_without_the_store_holds(self) -> None:
        self.node.store.refuse_status = UNAVAILABLE
        self.assertEqual(self.node.deregister(born=self.node.born), 200)
        self.node.process.kill()
        self.node.process.wait()
        self.node.store.refuse_status = 0
        self.node.restart()
        time.sleep(LATE_SECONDS)
        self.check_stays_out()
        self.check_next_process_is_used()

    def test_withdrawn_key_stays_refused(self) -> None:
        """Without the store the node knows no configuration, not an old one."""
        send = self.node.send
        self.assertEqual(send('POST', '/holds/x').status, 200)
        config = json.loads(make_config(configVersion='000000f0'))
        config['tenants'][0]['apiKeys'] = ['another-key']
        self.node.store.put('op/config', json.dumps(config).encode())
        wait_until(
            lambda: send('POST', '/holds/x').status == UNAUTHORIZED,
            'withdrawal of the key',
        )
        self.node.store.refuse_status = UNAVAILABLE
        self.node.process.kill()
        self.node.process.wait()
        self.node.start_process()
        wait_until(
            lambda: send('POST', '/holds/x').status == UNAVAILABLE,
            'refusal without a configuration',
        )
        self.node.store.refuse_status = 0
        statuses: list[int] = []

        def is_refused() -> bool:
            statuses.append(send('POST', '/holds/x').status)
            return statuses[-1] == UNAUTHORIZED

        wait_until(is_refused, 'refusal of the key')
        self.assertLessEqual(set(statuses), {UNAVAILABLE, UNAUTHORIZED})

    def test_upstream_that_stayed_is_used_at_once(self) -> None:
        self.node.restart()
        self.assertEqual(self.node.send_heartbeat(), 200)
        wait_until(
            lambda: self.node.send('GET', '/holds/open/on').status == 200,
            'request after the restart',
            1.0,
        )


if __name__ == '__main__':
    unittest.main()
