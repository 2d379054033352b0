"""Threads of the node's HTTP servers."""

from __future__ import annotations

import http.client
import threading
import time
import unittest
from collections.abc import Iterable
from typing import Any

from kumquathold_node.http_server import serving

MAX_THREADS = 8
WORK_SECONDS = 0.3
THREAD_NAME = 'http 127.0.0.1:0_'


class ThreadsTest(unittest.TestCase):
    """A server has as many threads as it runs requests, up to its limit."""

    def setUp(self) -> None:
        server: Any = self.enterContext(
            serving(self.respond, '127.0.0.1:0', MAX_THREADS)
        )
        self.port = int(server.effective_port)
        self.work_seconds = 0.0
        self.running = 0
        self.most_running = 0
        self.lock = threading.Lock()

    def respond(
        self, _: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request, and count those that run."""
        with self.lock:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
        time.sleep(self.work_seconds)
        with self.lock:
            self.running -= 1
        start_response('200 OK', [('Content-Length', '0')])
        return []

    def call(self) -> None:
        """Send a request and read the response."""
        connection = http.client.HTTPConnection('127.0.0.1', self.port)
        connection.request('GET', '/')
        self.assertEqual(connection.getresponse().status, 200)
        connection.close()

    def call_at_once(self, count: int) -> None:
        """Send several requests at the same time."""
        callers = [threading.Thread(target=self.call) for _ in range(count)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def count_threads(self) -> int:
        """Return the number of threads that run requests."""
        names = [thread.name for thread in threading.enumerate()]
        return sum(name.startswith(THREAD_NAME) for name in names)

    def test_idle_server_has_no_thread_for_requests(self) -> None:
        self.assertEqual(self.count_threads(), 0)

    def test_requests_in_turn_share_a_thread(self) -> None:
        for _ in range(20):
            self.call()
            time.sleep(0.01)
        self.assertLessEqual(self.count_threads(), 2)

    def test_requests_at_once_run_side_by_side_up_to_the_limit(self) -> None:
        self.work_seconds = WORK_SECONDS
        self.call_at_once(3 * MAX_THREADS)
        self.assertEqual(self.most_running, MAX_THREADS)
        self.assertEqual(self.count_threads(), MAX_THREADS)


if __name__ == '__main__':
    unittest.main()
