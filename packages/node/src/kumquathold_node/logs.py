"""Logs: one JSON object a line on standard output.

Lines pass through a bounded queue to a thread of their own, so that a reader
who does not keep up never holds up a request. A line that finds the queue full
is counted, and the count goes out with the next line that finds room.
"""

from __future__ import annotations

import queue
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
MAX_WAITING_LINES = 2000
FLUSH_SECONDS = 1.0


class LineWriter:
    """Owns standard output; other threads put lines into its queue."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.lines: queue.Queue[dict[str, Any] | None] = queue.Queue(
            MAX_WAITING_LINES,
        )
        self.dropped = 0
        self.thread = threading.Thread(
            target=self.run,
            name='logs',
            daemon=True,
        )

    def put(self, message: Message) -> None:
        """Queue a line; never waits."""
        line = _describe(message)
        dropped = self.dropped
        if dropped:
            line['lines_dropped'] = dropped
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1
            return
        self.dropped -= dropped

    def run(self) -> None:
        """Write lines until told to end."""
        while True:
            line = self.lines.get()
            if line is None:
                return
            encoded = msgspec.json.encode(line, enc_hook=str)
            sys.stdout.write(f'{encoded.decode()}\n')
            if self.lines.empty():
                sys.stdout.flush()

    def close(self) -> None:
        """Write what waits, for a moment at most."""
        try:
            self.lines.put(None, timeout=FLUSH_SECONDS)
        except queue.Full:
            return
        self.thread.join(FLUSH_SECONDS)


def _describe(message: Message) -> dict[str, Any]:
    record = message.record
    line: dict[str, Any] = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    error = record['exception']
    if error is not None and error.value is not None:
        line['error'] = f'{type(error.value).__name__}: {error.value}'
    return line


@contextmanager
def writing_logs(level: str, node: str) -> Iterator[None]:
    """Send all logs of this process to standard output as JSON lines."""
    writer = LineWriter()
    writer.thread.start()
    logger.remove()
    logger.add(writer.put, level=level, format='{message}')
    logger.configure(extra={'node': node})
    try:
        yield
    finally:
        writer.close()
