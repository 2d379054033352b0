"""Starts a node on the users' platform whose threads do not stop in time."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from unittest import mock

sys.path.append(str(Path(__file__).parent.parent / 'platform'))

from kumquathold_node import caller_connections  # noqa: E402
from kumquathold_node.main import make_command  # noqa: E402
from kumquathold_platform.adapter import platform_adapter  # noqa: E402

STOP_SECONDS = 60.0


def close_slowly(*_: object) -> bool:
    """Take the place of what closes the connections of a server."""
    time.sleep(STOP_SECONDS)
    return False


if __name__ == '__main__':
    with mock.patch.object(caller_connections, 'close_all', close_slowly):
        make_command(platform_adapter())()
