"""The operators' rules: services, routes, workspaces and keys.

`parse_rules` reads the plain text file, one rule a line. Each line ends in a
comment that names who asked for it:

    service holds floor=50%               # asked by Batbayar
    route POST /holds service=holds once  # asked by Batbayar
"""

from __future__ import annotations

import enum
import hashlib
import hmac

import msgspec

DEFAULT_DEADLINE_SECONDS = 10.0
DEFAULT_BODY_BYTES = 8_388_608
DEFAULT_ATTEMPTS = 4
OPAQUE_ID_DIGITS = 16


class StalePolicy(enum.StrEnum):
    """What a keyed route does while no proof of freshness is to be had."""

    refuse = 'refuse'
    serve = 'serve'


class ZoneScope(enum.StrEnum):
    """How far from the ingress a service's upstreams may be."""

    any = 'any'
    region = 'region'
    zone = 'zone'


class Service(msgspec.Struct, frozen=True, gc=False):
    """A group of interchangeable upstreams."""

    name: str
    """Unique name."""

    floor: float = 0.5
    """Share of the slots that ejection leaves in rotation, 0 to 1."""

    zones: ZoneScope = ZoneScope.any
    """How far requests may travel."""


class WeightedService(msgspec.Struct, frozen=True, gc=False):
    """A service that gets a part of a route's requests."""

    service: str
    """Name of the service."""

    weight: int
    """Its part, relative to the weights beside it."""


class Route(msgspec.Struct, frozen=True):
    """Which requests go to which service, and how."""

    method: str
    """HTTP method, or `*` for all."""

    path: str
    """Exact path, or a prefix that ends in `*`."""

    service: str
    """Name of the service."""

    public: bool = False
    """Whether it is open to callers without a key."""

    idempotent: bool = False
    """Whether a second run does no harm."""

    once: bool = False
    """Whether callers must send an Idempotency-Key."""

    deadline: float = DEFAULT_DEADLINE_SECONDS
    """Seconds from the request's arrival to its answer."""

    body_limit: int = DEFAULT_BODY_BYTES
    """Largest request body, in bytes."""

    stale: StalePolicy = StalePolicy.refuse
    """What to do while no proof of freshness is to be had."""

    host: str = ''
    """Host that the request must name, in lower case; empty for any."""

    split: tuple[WeightedService, ...] = ()
    """Services that share the requests; empty where `service` gets all."""

    attempts: int = DEFAULT_ATTEMPTS
    """Most upstreams that one request may be sent to."""

    objective: float = 0.0
    """Seconds within which an answer is worth most; 0 where unknown."""

    priority: int = 0
    """Rank while requests queue; 0 goes first."""

    @property
    def name(self) -> str:
        """The route's stable name: method, host and path."""
        return f'{self.method} {self.host}{self.path}'

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services that may get its requests."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)


class Workspace(msgspec.Struct, frozen=True, gc=False):
    """A tenant."""

    name: str
    """Unique name."""

    rate: float
    """Requests a second over the whole fleet; 0 for no limit."""

    burst: int
    """Requests at once over the whole fleet."""

    weight: int = 1
    """Share of an upstream's turns while requests queue."""

    priority: int | None = None
    """Rank while requests queue, in place of the route's where given."""


class Key(msgspec.Struct, frozen=True, gc=False):
    """A caller's credential, known by digest only."""

    id: str
    """The part of the key before the secret."""

    workspace: str
    """Name of the workspace that the key speaks for."""

    digest: bytes
    """SHA-256 of the whole key."""


class Rules(msgspec.Struct, frozen=True):
    """Everything that one accepted configuration says."""

    services: dict[str, Service]
    """By name."""

    routes: tuple[Route, ...]
    """In the order of the file."""

    workspaces: dict[str, Workspace]
    """By name."""

    keys: dict[str, Key]
    """By id."""


EMPTY_RULES = Rules(services={}, routes=(), workspaces={}, keys={})
KEY_PREFIX = 'kq'


def digest_key(key: str) -> bytes:
    """The digest under which a key is kept; keys are random, so no salt."""
    return hashlib.sha256(key.encode()).digest()


def opaque_key_id(digest: bytes) -> str:
    """The id of a key that does not carry one: the start of its digest."""
    return f'sha256-{digest.hex()[:OPAQUE_ID_DIGITS]}'


def key_id_of(key: str) -> str | None:
    """The id inside a key `kq_ID_SECRET`, or nothing for other text."""
    parts = key.split('_')
    if len(parts) != 3 or parts[0] != KEY_PREFIX or not all(parts):
        return None
    return parts[1]


def authenticate_key(rules: Rules, key: str) -> Key | None:
    """The known key that a caller presented, compared in constant time."""
    digest = digest_key(key)
    known = rules.keys.get(key_id_of(key) or opaque_key_id(digest))
    expected = known.digest if known else bytes(hashlib.sha256().digest_size)
    is_equal = hmac.compare_digest(digest, expected)
    return known if is_equal else None
