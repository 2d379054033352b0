"""A node on the users' platform beside a sound and a faulty target.

The resident memory of its process is sampled while callers send requests.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.client import HTTPException

import psutil

from kumquathold_standins.loopback import wait_until
from tests.test_site_node import SiteNode, call, running_node
from tests.test_upstream_trouble import RawUpstream, Serve, raw_upstream

FAULTY = 'i-faulty'
SAMPLE_SECONDS = 0.005
HEARTBEAT_SECONDS = 1.0
BYTES_PER_MEGABYTE = 1_000_000
DEADLINE_MILLISECONDS = 4000
NO_ANSWER = 0


def make_configuration() -> bytes:
    """Return a configuration with a sound and a faulty service."""
    services = {'sound': 'catalog', 'faulty': 'broken'}
    routes = [
        {
            'host': 'shop.example',
            'pathPrefix': f'/{name}/',
            'routeType': 'unsafe',
            'timeoutMs': DEADLINE_MILLISECONDS,
            'service': service,
            'maxAttempts': 1,
            'authExempt': True,
        }
        for name, service in services.items()
    ]
    content = {'configVersion': '000000f0', 'routes': routes}
    return json.dumps(content).encode()


class MemoryStage:
    """The node, and the highest memory that its process has had."""

    def __init__(self, node: SiteNode, faulty: RawUpstream) -> None:
        self.node = node
        self.faulty = faulty
        self.process = psutil.Process(node.process.pid)
        self.peak = 0
        self.is_over = threading.Event()
        self.statuses: Counter[tuple[str, int]] = Counter()
        self.slowest = 0.0
        """Longest time of a request to the sound service, in seconds."""

    @property
    def peak_megabytes(self) -> float:
        """The highest memory so far."""
        return self.peak / BYTES_PER_MEGABYTE

    def sample(self) -> None:
        """Sample the memory until the stage is over."""
        while not self.is_over.wait(SAMPLE_SECONDS):
            self.peak = max(self.peak, self.process.memory_info().rss)

    def announce(self) -> None:
        """Send the heartbeats of both targets until the stage is over."""
        while not self.is_over.wait(HEARTBEAT_SECONDS):
            self.announce_once()

    def announce_once(self) -> None:
        """Send a heartbeat of each target."""
        self.node.send_heartbeat()
        body = {
            'address': self.faulty.address,
            'born': int(time.time() * 1000),
            'info': {'service': 'broken', 'slots': 64},
            'status': {'state': 'ready', 'sequence': 1},
        }
        raw = json.dumps(body).encode()
        path = f'/api/instances/{FAULTY}/heartbeat'
        call(self.node.addresses['announce'], 'POST', path, raw)

    def send(self, service: str, body: bytes = b'') -> int:
        """Send a request; return its status, `NO_ANSWER` without one."""
        started_at = time.monotonic()
        headers = {'X-Kumquathold-Deadline-Ms': str(DEADLINE_MILLISECONDS)}
        try:
            reply = self.node.send('POST', f'/{service}/x', body, headers)
        except (OSError, HTTPException):
            self.statuses[service, NO_ANSWER] += 1
            return NO_ANSWER
        self.statuses[service, reply.status] += 1
        if service == 'sound':
            self.slowest = max(self.slowest, time.monotonic() - started_at)
        return reply.status

    def run_callers(
        self, count: int, seconds: float, send: Callable[[], object]
    ) -> None:
        """Let callers send one request after another for a while."""
        end_at = time.monotonic() + seconds

        def run() -> None:
            while time.monotonic() < end_at:
                send()

        threads = [threading.Thread(target=run) for _ in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


@contextmanager
def memory_stage(serve: Serve) -> Iterator[MemoryStage]:
    """Run a node beside a sound target, and one that serves by a function."""
    with raw_upstream(serve) as faulty, running_node() as node:
        node.store.put('op/config', make_configuration())
        stage = MemoryStage(node, faulty)
        stage.announce_once()
        wait_until(lambda: stage.send('sound') == 200, 'new configuration')
        stage.statuses.clear()
        threads = [
            threading.Thread(target=one, daemon=True)
            for one in (stage.sample, stage.announce)
        ]
        for thread in threads:
            thread.start()
        try:
            yield stage
        finally:
            stage.is_over.set()
            for thread in threads:
                thread.join()
