"""Actor-style service kernel: a registry of services and their threads.

A service that has state runs as a task: one thread that owns the state and
handles the messages of its inbox one at a time. Other threads reach it only by
messages, sent with `post`.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future
from contextlib import contextmanager
from time import monotonic
from typing import Any

from loguru import logger

from kumquathold_core.wire import Envelope
from kumquathold_node.supervision import Supervisor

STOP_SECONDS = 0.5


class KernelError(Exception):
    """Services are registered or looked up inconsistently."""


class UnknownService(KernelError):
    """No service is registered under this name."""


class DuplicateService(KernelError):
    """A service is already registered under this name."""


class HandlerFailed(KernelError):
    """The handler of a message raised an exception; its log has the cause."""


class _Stop:
    """Inbox message that ends a task."""


class Task:
    """A thread that handles the messages of an inbox and calls a periodic tick.

    An exception in a handler or in the tick is logged; the task goes on. Who
    waits for the `reply` of the message is told at once.
    """

    def __init__(
        self,
        name: str,
        handlers: Mapping[type, Callable[[Any], None]],
        tick: Callable[[], None] | None = None,
        tick_seconds: float = 1.0,
        on_failure: Callable[[Any], None] | None = None,
    ) -> None:
        """Set up the task; `start` starts its thread.

        `handlers` maps message classes to their handlers; a message from a
        peer is looked up by the class inside its `Envelope`. `tick` is called
        on the task's thread, `tick_seconds` or more after the last call: a
        message that is being handled delays it. `on_failure` is called with a
        message whose handler raised an exception.
        """
        self.name = name
        self.handlers = dict(handlers)
        self.tick = tick
        self.tick_seconds = tick_seconds
        self.on_failure = on_failure
        self.inbox: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def post(self, message: Any) -> None:
        """Put a message into the inbox without blocking."""
        self.inbox.put(message)

    def ask_to_stop(self) -> None:
        """End the task once it has handled the messages already queued."""
        self.inbox.put(_Stop())

    def _run(self) -> None:
        next_tick = monotonic() + self.tick_seconds
        while True:
            message = self._receive(next_tick)
            if isinstance(message, _Stop):
                return
            if message is not None:
                self._handle(message)
            if monotonic() >= next_tick:
                next_tick = monotonic() + self.tick_seconds
                self._run_guarded(self.tick or _do_nothing)

    def _receive(self, next_tick: float) -> Any:
        timeout = max(0, next_tick - monotonic())
        try:
            return self.inbox.get(timeout=timeout)
        except queue.Empty:
            return None

    def _handle(self, message: Any) -> None:
        is_from_peer = isinstance(message, Envelope)
        kind = type(message.message if is_from_peer else message)
        handler = self.handlers.get(kind)
        if handler is None:
            logger.error('message without handler', kind=kind.__name__)
            return
        is_handled = self._run_guarded(lambda: handler(message))
        if not is_handled:
            self._run_guarded(lambda: self._report_failure(message))

    def _report_failure(self, message: Any) -> None:
        reply = getattr(message, 'reply', None)
        if isinstance(reply, Future) and not reply.done():
            reply.set_exception(HandlerFailed(self.name))
        if self.on_failure is not None:
            self.on_failure(message)

    def _run_guarded(self, action: Callable[[], None]) -> bool:
        """Return whether the action ended without an exception."""
        try:
            action()
        except Exception:
            logger.exception('task failed on a message', task=self.name)
            return False
        return True


class Kernel:
    """Registry of the services of one process, and of their threads."""

    def __init__(self) -> None:
        """Start without services."""
        self.services: dict[str, Any] = {}
        self.tasks: list[Task] = []
        self.supervisors: list[Supervisor] = []

    def register(self, name: str, service: Any) -> None:
        """Register a service; raises `DuplicateService` for a name in use."""
        if name in self.services:
            raise DuplicateService(name)
        self.services[name] = service

    def add_task(self, task: Task) -> None:
        """Add a task that starts and stops with the kernel."""
        self.tasks.append(task)

    def add_background_thread(
        self, name: str, action: Callable[[], None]
    ) -> None:
        """Add a function that runs on a daemon thread of its own.

        The thread starts with the kernel and is not stopped: it ends with the
        process. If the function raises an exception, it is started again.
        """
        supervisor = Supervisor(name, action, self._count_failure)
        self.supervisors.append(supervisor)

    def list_failing_threads(self) -> list[str]:
        """List the background threads whose function keeps failing."""
        return [one.name for one in self.supervisors if one.is_failing]

    def find(self, name: str) -> Any:
        """Return a service by name; raises `UnknownService`."""
        try:
            return self.services[name]
        except KeyError:
            raise UnknownService(name) from None

    @contextmanager
    def running(self) -> Iterator[None]:
        """Start all threads, and stop the tasks in reverse order at the end.

        Waits `STOP_SECONDS` in all for the tasks to end.
        """
        for task in self.tasks:
            task.start()
        for supervisor in self.supervisors:
            threading.Thread(
                target=supervisor.run, name=supervisor.name, daemon=True
            ).start()
        try:
            yield
        finally:
            for task in reversed(self.tasks):
                task.ask_to_stop()
            deadline = monotonic() + STOP_SECONDS
            for task in self.tasks:
                task.thread.join(max(0, deadline - monotonic()))

    def _count_failure(self, name: str) -> None:
        metrics = self.services.get('metrics')
        if metrics is not None:
            metrics.count(f'kernel.thread_failures.{name}')


def _do_nothing() -> None:
    """Default tick."""
