"""Base of the tests of announcements on the users' platform."""

from __future__ import annotations

import json
import sys
import unittest
from concurrent.futures import Future
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

from kumquathold_node.kernel import Kernel
from kumquathold_node.metrics import Metrics

ROOT = Path(__file__).parent.parent
sys.path.append(str(ROOT / 'platform'))

from kumquathold_platform import announcements  # noqa: E402


class RecordingTask:
    """Task of the owner that records the messages posted by the adapter."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        """Record a message and complete its reply."""
        self.posted.append(message)
        reply: Future[tuple[int, int]] = message.reply
        reply.set_result((0, 0))


class AnnouncementsCase(unittest.TestCase):
    """The application that takes announcements, with a task that records."""

    def setUp(self) -> None:
        self.task = RecordingTask()
        kernel = Kernel()
        kernel.register('owner', SimpleNamespace(task=self.task))
        kernel.register('metrics', Metrics(None))
        self.records = mock.MagicMock()
        kernel.register('departure-records', self.records)
        self.app = announcements.make_announcement_app(kernel)

    def call(self, path: str, body: object, method: str = 'POST') -> int:
        """Call the application, and return the status."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        status: list[str] = []
        environ = {
            'PATH_INFO': path,
            'REQUEST_METHOD': method,
            'wsgi.input': SimpleNamespace(read=lambda size: raw[:size]),
        }
        list(self.app(environ, lambda line, _: status.append(line)))
        return int(status[0].split()[0])

    def make_heartbeat(self, **status: Any) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        return {
            'address': '10.1.0.41:8289',
            'born': 1780339603000,
            'info': {'service': 'holds', 'slots': 4, 'zone': 'ub-a'},
            'status': {
                'state': 'ready',
                'sequence': 4,
                'coldLeftMs': 0,
                **status,
            },
        }
