"""Settings of the property tests."""

from __future__ import annotations

from functools import partial

from hypothesis import settings

# Draws the same examples in each run. The duration of an example is not
# limited, as it depends on what else the machine does.
repeatable = partial(settings, derandomize=True, deadline=None)
