"""Logs: one JSON object a line on standard error."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Message

LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


def _write_line(message: Message) -> None:
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
    encoded = msgspec.json.encode(line, enc_hook=str)
    sys.stderr.write(f'{encoded.decode()}\n')


def set_up_logs(level: str, node: str) -> None:
    """Send all logs of this process to standard error as JSON lines."""
    logger.remove()
    logger.add(_write_line, level=level, format='{message}')
    logger.configure(extra={'node': node})
