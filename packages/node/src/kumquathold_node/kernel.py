"""The micro-kernel: services that find each other by name.

A service is a task: one thread that owns its state and handles the messages
of its inbox one by one. Others talk to it by `post` only.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from time import monotonic
from typing import Any

from loguru import logger

from kumquathold_core.wire import Envelope

STOP_SECONDS = 0.5


class KernelError(Exception):
    """A mistake in how services are put together."""


class UnknownService(KernelError):
    """No service has this name."""


class DuplicateService(KernelError):
    """Two services have the same name."""


class _Stop:
    """Ends a task."""


class Task:
    """One thread with an inbox, and a tick in regular intervals."""

    def __init__(
        self,
        name: str,
        handlers: Mapping[type, Callable[[Any], None]],
        tick: Callable[[], None] | None = None,
        tick_seconds: float = 1.0,
    ) -> None:
        """Take the handlers; `start` sets the thread going."""
        self.name = name
        self.handlers = dict(handlers)
        self.tick = tick
        self.tick_seconds = tick_seconds
        self.inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Begin to handle messages."""
        self.thread.start()

    def post(self, message: Any) -> None:
        """Put a message into the inbox; never waits."""
        self.inbox.put(message)

    def ask_to_stop(self) -> None:
        """Have the task end after the messages that are in its inbox now."""
        self.inbox.put(_Stop())

    def _run(self) -> None:
        next_tick = monotonic() + self.tick_seconds
        while True:
            message = self._take(next_tick)
            if isinstance(message, _Stop):
                return
            if message is not None:
                self._handle(message)
            if monotonic() >= next_tick:
                next_tick = monotonic() + self.tick_seconds
                self._guard(self.tick or _do_nothing)

    def _take(self, next_tick: float) -> Any:
        patience = max(0, next_tick - monotonic())
        try:
            return self.inbox.get(timeout=patience)
        except queue.Empty:
            return None

    def _handle(self, message: Any) -> None:
        is_from_peer = isinstance(message, Envelope)
        kind = type(message.message if is_from_peer else message)
        handler = self.handlers.get(kind)
        if handler is None:
            logger.error('message without handler', kind=kind.__name__)
            return
        self._guard(lambda: handler(message))

    def _guard(self, action: Callable[[], None]) -> None:
        try:
            action()
        except Exception:
            logger.exception('task failed on a message', task=self.name)


class Kernel:
    """The services of one process, by name."""

    def __init__(self) -> None:
        """Start with none."""
        self.services: dict[str, Any] = {}
        self.tasks: list[Task] = []
        self.followers: list[threading.Thread] = []

    def register(self, name: str, service: Any) -> None:
        """Make a service known."""
        if name in self.services:
            raise DuplicateService(name)
        self.services[name] = service

    def add_task(self, task: Task) -> None:
        """Have a task started and stopped with the kernel."""
        self.tasks.append(task)

    def add_follower(self, name: str, follow: Callable[[], None]) -> None:
        """Have a function run beside the tasks until the process ends."""
        thread = threading.Thread(target=follow, name=name, daemon=True)
        self.followers.append(thread)

    def find(self, name: str) -> Any:
        """Look a service up."""
        try:
            return self.services[name]
        except KeyError:
            raise UnknownService(name) from None

    @contextmanager
    def running(self) -> Iterator[None]:
        """Run all tasks; stop them in reverse order at the end."""
        for task in self.tasks:
            task.start()
        for thread in self.followers:
            thread.start()
        try:
            yield
        finally:
            for task in reversed(self.tasks):
                task.ask_to_stop()
            give_up_at = monotonic() + STOP_SECONDS
            for task in self.tasks:
                task.thread.join(max(0, give_up_at - monotonic()))


def _do_nothing() -> None:
    """Stands in for a missing tick."""
