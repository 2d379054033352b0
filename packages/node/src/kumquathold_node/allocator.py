"""Settings of the C library's allocator, where it has them.

By default it keeps large blocks that were freed, and each thread has a heap of
its own: after a burst of large bodies the process would keep their memory.
"""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
"""Parameters of `mallopt` in the GNU C library."""

MMAP_THRESHOLD_BYTES = 65_536
"""Size from which a block is given back to the system as it is freed."""

ARENAS = 2


def limit_retained_memory() -> bool:
    """Give large blocks back to the system as they are freed.

    Returns false if the C library has no such setting.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return False
    is_threshold_set = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    is_count_set = mallopt(M_ARENA_MAX, ARENAS)
    return bool(is_threshold_set and is_count_set)
