"""Decoding of JSON that comes from outside the fleet, into bounded types.

What is decoded is used in later steps: it is compared, added, taken for a time,
sent to peers. The types therefore say what those steps can take, and whatever
is wrong with the bytes is reported by one error.
"""

from __future__ import annotations

import sys
from typing import Annotated, TypeVar

import msgspec

MAX_INTEGER = sys.maxsize
"""Largest integer that messages between nodes carry with either sign."""

MAX_RANK = 1_000_000
"""Largest priority, of either sign."""

MAX_DURATION_MILLISECONDS = 31_622_400_000
"""A year, far below what clocks and waits can take."""

MAX_RATE_PER_SECOND = 1e9
"""Largest rate limit, in requests a second."""

MAX_NAME_CHARACTERS = 256

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""A number of things, a revision or a point in Unix time."""

Rank = Annotated[int, msgspec.Meta(ge=-MAX_RANK, le=MAX_RANK)]
"""A priority."""

DurationMilliseconds = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_DURATION_MILLISECONDS)
]
"""A timeout or an objective, in milliseconds."""

RatePerSecond = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_SECOND)]
"""A rate limit."""

Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        max_length=MAX_NAME_CHARACTERS,
        pattern=r'^[!-~]+\Z',
    ),
]
"""A name of printable ASCII characters without blanks, as fits a header."""

Decoded = TypeVar('Decoded')


class InvalidContent(ValueError):
    """Bytes that cannot be decoded into the expected type."""


def decode_json(content: bytes | str, content_type: type[Decoded]) -> Decoded:
    """Decode JSON.

    Raises `InvalidContent`, also for nesting that is too deep to decode.

    Example:
        decode_json(b'{"name": "a", "slots": 4}', Upstream)

    """
    try:
        return msgspec.json.decode(content, type=content_type)
    except (ValueError, RecursionError) as error:
        raise InvalidContent(str(error)) from error
