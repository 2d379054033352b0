"""Runs a node whose wall clock is shifted by an offset from a file.

The file holds seconds and may change while the node runs. The monotonic clocks
are not shifted, since setting a machine's time does not change them.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

from kumquathold_node.main import main as run_node

NANOSECONDS_PER_SECOND = 1_000_000_000


def skew_clock(offset_file: Path) -> None:
    """Add the file's offset to `time.time` and `time.time_ns`.

    Applies to this process only.
    """
    true_time = time.time
    true_time_ns = time.time_ns

    def read_offset_seconds() -> float:
        return float(offset_file.read_text(encoding='ascii') or 0)

    time.time = lambda: true_time() + read_offset_seconds()
    time.time_ns = lambda: (
        true_time_ns() + int(read_offset_seconds() * NANOSECONDS_PER_SECOND)
    )


def main() -> None:
    """Run a node; the first two arguments are `--clock-file` and its path."""
    skew_clock(Path(sys.argv[2]))
    sys.argv = [sys.argv[0], *sys.argv[3:]]
    run_node()


if __name__ == '__main__':
    main()
