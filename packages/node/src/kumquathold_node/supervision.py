"""Supervision of the functions that run on threads of their own.

An error that such a function does not expect would otherwise end its thread,
and nobody would notice: the process goes on without it.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic, sleep

from loguru import logger

MIN_RESTART_SECONDS = 0.1
"""Pause before the first restart; doubles with each further failure."""

MAX_RESTART_SECONDS = 1.0
"""Longest pause before a restart."""

STABLE_SECONDS = 10.0
"""Time without a failure after which earlier failures no longer count."""

MAX_FAILURES = 3
"""Failures in a row from which on the function does not do its work."""


class Supervisor:
    """Runs a function, and starts it again whenever it raises an exception.

    Example:
        supervisor = Supervisor('configuration-watch', watch.follow)
        threading.Thread(target=supervisor.run, daemon=True).start()

    """

    def __init__(
        self,
        name: str,
        action: Callable[[], None],
        on_failure: Callable[[str], object] = bool,
        pause: Callable[[float], None] = sleep,
    ) -> None:
        """Set up the supervision; `run` starts the function.

        `on_failure` is called with the name after each failure. `pause` waits
        for some seconds.
        """
        self.name = name
        self.action = action
        self.on_failure = on_failure
        self.pause = pause
        self.failures = 0
        """Failures in a row."""
        self.started_at = 0.0
        """When the function was last started, by the monotonic clock."""

    @property
    def is_failing(self) -> bool:
        """Whether the function fails again and again."""
        is_stable = monotonic() - self.started_at >= STABLE_SECONDS
        return self.failures >= MAX_FAILURES and not is_stable

    def run(self) -> None:
        """Run the function until it returns."""
        while not self._run_once():
            doublings = min(self.failures - 1, MAX_FAILURES)
            self.pause(
                min(MIN_RESTART_SECONDS * 2**doublings, MAX_RESTART_SECONDS)
            )

    def _run_once(self) -> bool:
        """Run the function; return whether it returned without a failure."""
        self.started_at = monotonic()
        try:
            self.action()
        except Exception:
            if monotonic() - self.started_at >= STABLE_SECONDS:
                self.failures = 0
            self.on_failure(self.name)
            self.failures += 1
            logger.exception(
                'thread failed', thread=self.name, failures=self.failures
            )
            return False
        return True
