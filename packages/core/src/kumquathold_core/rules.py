"""The operators' rules: services, routes, workspaces and keys.

`rules_file.parse_rules` parses them from a text file with one rule a line.
Each line ends in a comment that names the person who asked for it:

    service holds floor=50%               # asked by Batbayar
    route POST /holds service=holds once  # asked by Batbayar
"""

from __future__ import annotations

import enum
import hashlib
import hmac

import msgspec

DEFAULT_DEADLINE_SECONDS = 10.0
DEFAULT_BODY_LIMIT_BYTES = 8_388_608
DEFAULT_ATTEMPTS = 4
OPAQUE_ID_HEX_DIGITS = 16


class StalePolicy(enum.StrEnum):
    """What a keyed route does while its configuration may be stale."""

    refuse = 'refuse'
    serve = 'serve'


class ZoneScope(enum.StrEnum):
    """Which upstreams of a service an ingress may use, by location."""

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
    """Scope from which upstreams are chosen."""

    cold_rate: float = 0.0
    """Requests a second that each upstream takes while it is cold; 0 for any.

    The limit holds over all nodes together.
    """


class WeightedService(msgspec.Struct, frozen=True, gc=False):
    """A service that gets a share of a route's requests."""

    service: str
    """Name of the service."""

    weight: int
    """Its share, relative to the weights of the other services."""


class Route(msgspec.Struct, frozen=True):
    """Maps requests to a service and says how they are handled."""

    method: str
    """HTTP method, or `*` for any."""

    path: str
    """Exact path, or a prefix that ends in `*`."""

    service: str
    """Name of the service."""

    public: bool = False
    """Whether callers need no key."""

    idempotent: bool = False
    """Whether a request can safely run more than once."""

    once: bool = False
    """Whether requests are once-only: callers must send an Idempotency-Key."""

    deadline: float = DEFAULT_DEADLINE_SECONDS
    """Seconds from the arrival of the request to its response."""

    body_limit: int = DEFAULT_BODY_LIMIT_BYTES
    """Largest request body, in bytes."""

    stale: StalePolicy = StalePolicy.refuse
    """What to do while the configuration may be stale."""

    host: str = ''
    """Host that requests must name, in lower case; empty for any."""

    split: tuple[WeightedService, ...] = ()
    """Services among which requests are split; empty if `service` gets all."""

    attempts: int = DEFAULT_ATTEMPTS
    """Maximum number of upstreams that one request may be sent to."""

    objective: float = 0.0
    """Latency objective in seconds; 0 for none."""

    priority: int = 0
    """Priority of queued requests; 0 goes first."""

    regions: tuple[str, ...] = ()
    """Regions that may serve and store its requests; empty for all."""

    @property
    def name(self) -> str:
        """The route's stable name: method, host and path."""
        return f'{self.method} {self.host}{self.path}'

    @property
    def services(self) -> tuple[str, ...]:
        """Names of all services to which its requests may go."""
        if not self.split:
            return (self.service,)
        return tuple(part.service for part in self.split)


class Workspace(msgspec.Struct, frozen=True, gc=False):
    """A tenant."""

    name: str
    """Unique name."""

    rate: float
    """Rate limit over the whole fleet, in requests a second; 0 for none."""

    burst: int
    """Burst over the whole fleet, in requests."""

    weight: int = 1
    """Weight in the fair queue of an upstream."""

    priority: int | None = None
    """Priority of queued requests, which counts before the route's."""

    regions: tuple[str, ...] = ()
    """Regions that may serve and store its requests; empty for all."""


class Key(msgspec.Struct, frozen=True, gc=False):
    """A caller's API key, of which only the digest is kept."""

    id: str
    """Id of the key, which is not secret."""

    workspace: str
    """Name of the workspace that the key belongs to."""

    digest: bytes
    """SHA-256 of the whole key."""


class Rules(msgspec.Struct, frozen=True):
    """All rules of one accepted configuration."""

    services: dict[str, Service]
    """By name."""

    routes: tuple[Route, ...]
    """In the order of the file."""

    workspaces: dict[str, Workspace]
    """By name."""

    keys: dict[str, Key]
    """By id."""

    evacuated_zones: frozenset[str] = frozenset()
    """Zones whose upstreams get no new requests."""


EMPTY_RULES = Rules(services={}, routes=(), workspaces={}, keys={})
KEY_PREFIX = 'kq'


def digest_key(key: str) -> bytes:
    """Compute the digest of a key; keys are random, so no salt is needed."""
    return hashlib.sha256(key.encode()).digest()


def make_opaque_key_id(digest: bytes) -> str:
    """Make the id of a key that contains none from the start of its digest."""
    return f'sha256-{digest.hex()[:OPAQUE_ID_HEX_DIGITS]}'


def parse_key_id(key: str) -> str | None:
    """Parse the id in a key `kq_ID_SECRET`; None for other text."""
    parts = key.split('_')
    if len(parts) != 3 or parts[0] != KEY_PREFIX or not all(parts):
        return None
    return parts[1]


def authenticate_key(rules: Rules, key: str) -> Key | None:
    """Find the key that a caller presented, or None.

    The digests are compared in constant time.
    """
    digest = digest_key(key)
    known = rules.keys.get(parse_key_id(key) or make_opaque_key_id(digest))
    expected = known.digest if known else bytes(hashlib.sha256().digest_size)
    is_equal = hmac.compare_digest(digest, expected)
    return known if is_equal else None
