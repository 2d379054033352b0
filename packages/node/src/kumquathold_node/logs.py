"""Structured logging: one JSON object per line on standard output.

A writer thread takes the lines from a bounded queue, so that a slow reader of
standard output never blocks a request. Lines are dropped while the queue is
full; the next line that is queued reports their number as `lines_dropped`.
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
MAX_QUEUED_LINES = 2000
FLUSH_SECONDS = 1.0


class LineWriter:
    """Background writer of log lines to standard output."""

    def __init__(self) -> None:
        """Start with an empty queue; the thread is started by the caller."""
        self.lines: queue.Queue[dict[str, Any] | None] = queue.Queue(
            MAX_QUEUED_LINES,
        )
        self.dropped = 0
        self.thread = threading.Thread(
            target=self.run,
            name='logs',
            daemon=True,
        )

    def put(self, message: Message) -> None:
        """Queue a line without blocking, or count it as dropped."""
        line = _make_line(message)
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
        """Write queued lines until `close` is called."""
        while True:
            line = self.lines.get()
            if line is None:
                return
            try:
                self._write(line)
            except (OSError, ValueError, RecursionError):
                # There is nowhere to report it: the next line counts it.
                self.dropped += 1

    def _write(self, line: dict[str, Any]) -> None:
        encoded = msgspec.json.encode(line, enc_hook=str)
        sys.stdout.write(f'{encoded.decode()}\n')
        if self.lines.empty():
            sys.stdout.flush()

    def close(self) -> None:
        """Write the lines still queued and end the thread.

        Waits at most `FLUSH_SECONDS` for room in the queue, and as long again
        for the thread to end.
        """
        try:
            self.lines.put(None, timeout=FLUSH_SECONDS)
        except queue.Full:
            return
        self.thread.join(FLUSH_SECONDS)


def _log_thread_end(ended: threading.ExceptHookArgs) -> None:
    """Log the error that has ended a thread without a supervisor."""
    thread = ended.thread.name if ended.thread else ''
    logger.opt(exception=ended.exc_value).error('thread ended', thread=thread)


def _make_line(message: Message) -> dict[str, Any]:
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
    """Send the logs of this process to standard output as JSON lines.

    `level` is the least severe level that is logged, one of `LEVELS`; `node`,
    the node's peer address, is a field of every line.
    """
    writer = LineWriter()
    writer.thread.start()
    logger.remove()
    logger.add(writer.put, level=level, format='{message}')
    logger.configure(extra={'node': node})
    threading.excepthook = _log_thread_end
    try:
        yield
    finally:
        threading.excepthook = threading.__excepthook__
        writer.close()
