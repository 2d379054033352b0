"""Settings of a node, from flags and environment variables, all checked."""

from __future__ import annotations

import ipaddress
from pathlib import Path

import msgspec

from kumquathold_core.retries import (
    BUDGET_EXTRA_RETRIES,
    BUDGET_RETRIES_PER_REQUEST,
    BUDGET_WINDOW_SECONDS,
)
from kumquathold_core.wire import SECRET_MAX_BYTES, SECRET_MIN_BYTES

MAX_PORT = 65535
DEFAULT_THREADS = 64
DEFAULT_RATE_GROUPS = 32
DEFAULT_RATE_TERM_SECONDS = 14_400.0
DEFAULT_RATE_STANDING_SECONDS = 14_400.0
DEFAULT_QUIET_SECONDS = 3.0
DEFAULT_HEARTBEAT_SECONDS = 0.25
DEFAULT_EXPLORE_SHARE = 0.05
DEFAULT_GRACE_SECONDS = 90.0
MIN_RATE_TERM_SECONDS = 2.0
MAX_RATE_TERM_SECONDS = 86_400.0


class SettingsError(Exception):
    """A setting that cannot be used."""

    def __init__(self, flag: str, given: str, allowed: str) -> None:
        """Say which flag, what it was given, and what it takes."""
        super().__init__(f'{flag} is {given!r}; it takes {allowed}')
        self.flag = flag
        self.given = given
        self.allowed = allowed


class SettingsErrors(ExceptionGroup[SettingsError]):
    """All settings that cannot be used."""


class Settings(msgspec.Struct, frozen=True):
    """How one node runs."""

    peer: str
    """Address for the other nodes, `IP:port`."""

    callers: str
    """Address for callers' HTTP."""

    admin: str
    """Address of the administration API."""

    announce: str
    """Loopback address where upstreams announce themselves."""

    platform: str
    """Address of the platform's key-value service."""

    zone: str
    """Availability zone of the VM."""

    region: str
    """Region of the zone."""

    store_region: str
    """Region of the platform's service."""

    regions: tuple[str, ...]
    """All regions of the fleet; equal on all nodes."""

    fleet_secret: bytes
    """Authenticates messages between nodes."""

    operator_secret: bytes
    """Authenticates the operators' calls."""

    dial: dict[str, str] = {}
    """Other addresses by which to reach peers, for networks with NAT."""

    join: tuple[str, ...] = ()
    """Peers to try besides the platform's seeds."""

    statsd: tuple[str, int] | None = None
    """Where StatsD packets go."""

    threads: int = DEFAULT_THREADS
    """Callers' requests handled at the same time."""

    rate_groups: int = DEFAULT_RATE_GROUPS
    """Groups of workspaces that share a holder; equal on all nodes."""

    rate_term: float = DEFAULT_RATE_TERM_SECONDS
    """Seconds that a holder keeps its groups without the platform."""

    rate_standing: float = DEFAULT_RATE_STANDING_SECONDS
    """Seconds that a holder grants on while the platform is unreachable."""

    quiet: float = DEFAULT_QUIET_SECONDS
    """Seconds that a leaving node goes on taking requests, at the least."""

    service: str = ''
    """Service of the upstreams on this VM, told where its requests go."""

    health: str = ''
    """Address that tells whether the node takes requests, empty for none."""

    metrics: str = ''
    """Address that serves counters and histograms, empty for none."""

    heartbeat: float = DEFAULT_HEARTBEAT_SECONDS
    """Seconds between heartbeats."""

    far_rounds: int = 1
    """One heartbeat in so many goes to another zone, the others stay."""

    explore_share: float = DEFAULT_EXPLORE_SHARE
    """Share of requests that go elsewhere in the region to compare."""

    retry_ratio: float = BUDGET_RETRIES_PER_REQUEST
    """Retries that each request earns this node."""

    retry_extra: float = BUDGET_EXTRA_RETRIES
    """Further retries of a service that the fleet may make in a window."""

    retry_window: float = BUDGET_WINDOW_SECONDS
    """Seconds of that window."""

    grace: float = DEFAULT_GRACE_SECONDS
    """Seconds from the signal to leave until the process must have ended."""

    log_level: str = 'INFO'
    """Least severe level that is logged."""


def parse_address(flag: str, given: str) -> tuple[str, int]:
    """Read `IP:port`."""
    host, _, port = given.rpartition(':')
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        number = 0
    if not 0 < number <= MAX_PORT:
        raise SettingsError(
            flag, given, 'an IP number and a port, e.g. 10.0.0.7:7400'
        )
    return host, number


def read_secret(flag: str, given: str) -> bytes:
    """Read a secret from a file."""
    try:
        secret = Path(given).read_bytes().strip()
    except OSError as error:
        raise SettingsError(
            flag,
            given,
            f'a readable file ({error.strerror})',
        ) from error
    if len(secret) < SECRET_MIN_BYTES:
        raise SettingsError(
            flag,
            given,
            f'a file with {SECRET_MIN_BYTES} bytes or more',
        )
    return secret[:SECRET_MAX_BYTES]


def take_secret(flag: str, text: str, path: str) -> bytes:
    """Take a secret from a value, or else from a file."""
    if not text:
        return read_secret(f'{flag}-file', path)
    secret = text.encode()
    if len(secret) < SECRET_MIN_BYTES:
        raise SettingsError(
            flag,
            '(hidden)',
            f'{SECRET_MIN_BYTES} bytes or more',
        )
    return secret[:SECRET_MAX_BYTES]


def parse_dial(given: str) -> dict[str, str]:
    """Read `PEER=ADDRESS` pairs, separated by commas."""
    addresses: dict[str, str] = {}
    for pair in filter(None, given.split(',')):
        peer, _, address = pair.partition('=')
        parse_address('--dial', peer)
        parse_address('--dial', address)
        addresses[peer] = address
    return addresses


def read_statsd(given: str) -> tuple[str, int] | None:
    """Read the address of a StatsD server, where one is given."""
    return parse_address('--statsd', given) if given else None


def flatten(group: BaseExceptionGroup[SettingsError]) -> list[SettingsError]:
    """All errors of a group, whatever its nesting."""
    found: list[SettingsError] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(flatten(error))
        else:
            found.append(error)
    return found


def check_settings(settings: Settings) -> Settings:
    """Check every setting; raises `SettingsErrors` with all that fail."""
    errors: list[SettingsError] = []
    addresses = {
        '--peer': settings.peer,
        '--callers': settings.callers,
        '--admin': settings.admin,
        '--announce': settings.announce,
        '--platform': settings.platform,
    }
    optional = {'--health': settings.health, '--metrics': settings.metrics}
    pairs = [
        *addresses.items(),
        *((flag, given) for flag, given in optional.items() if given),
        *(('--join', one) for one in settings.join),
    ]
    for flag, given in pairs:
        try:
            parse_address(flag, given)
        except SettingsError as error:
            errors.append(error)
    errors.extend(_check_names(settings))
    errors.extend(_check_numbers(settings))
    if errors:
        raise SettingsErrors(f'{len(errors)} settings cannot be used', errors)
    return settings


def _check_names(settings: Settings) -> list[SettingsError]:
    names = {
        '--zone': settings.zone,
        '--region': settings.region,
        '--store-region': settings.store_region,
    }
    errors = [
        SettingsError(flag, given, 'a name without spaces')
        for flag, given in names.items()
        if not given or not given.isprintable() or ' ' in given
    ]
    known = ', '.join(settings.regions)
    errors.extend(
        SettingsError(flag, names[flag], f'one of --regions ({known})')
        for flag in ('--region', '--store-region')
        if names[flag] not in settings.regions
    )
    return errors


def _check_numbers(settings: Settings) -> list[SettingsError]:
    limits = (
        ('--threads', settings.threads, 1, 1024),
        ('--rate-groups', settings.rate_groups, 1, 4096),
        (
            '--rate-term',
            settings.rate_term,
            MIN_RATE_TERM_SECONDS,
            MAX_RATE_TERM_SECONDS,
        ),
        ('--rate-standing', settings.rate_standing, 1, MAX_RATE_TERM_SECONDS),
        ('--quiet', settings.quiet, 0, 60),
        ('--heartbeat', settings.heartbeat, 0.05, 10),
        ('--far-rounds', settings.far_rounds, 1, 100),
        ('--explore-share', settings.explore_share, 0, 1),
        ('--retry-ratio', settings.retry_ratio, 0, 1),
        ('--retry-extra', settings.retry_extra, 0, 100_000),
        ('--retry-window', settings.retry_window, 1, 600),
        ('--grace', settings.grace, 1, 600),
    )
    return [
        SettingsError(flag, str(given), f'a number from {least} to {most}')
        for flag, given, least, most in limits
        if not least <= given <= most
    ]
