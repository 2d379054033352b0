"""Runs a node whose time of day is off by what a file says.

The file holds seconds, and may change while the node runs. The monotonic
clocks stay as they are: no machine sets those.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

from kumquathold_node.main import main as run_node

NANOSECONDS = 1_000_000_000


def skew_clock(offset_file: Path) -> None:
    """Have the time of day read as the file says, in this process only."""
    true_time = time.time
    true_time_ns = time.time_ns

    def offset() -> float:
        return float(offset_file.read_text(encoding='ascii') or 0)

    time.time = lambda: true_time() + offset()
    time.time_ns = lambda: true_time_ns() + int(offset() * NANOSECONDS)


def main() -> None:
    """Run a node; the first two arguments are `--clock-file` and its path."""
    skew_clock(Path(sys.argv[2]))
    sys.argv = [sys.argv[0], *sys.argv[3:]]
    run_node()


if __name__ == '__main__':
    main()
