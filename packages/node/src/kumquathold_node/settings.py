"""Settings of a node, read from flags and environment variables."""

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
DEFAULT_BODY_MEMORY_MEGABYTES = 136
"""Twice the largest body, which is 67.1 MB, and some small ones."""

MIN_BODY_MEMORY_MEGABYTES = 1
MAX_BODY_MEMORY_MEGABYTES = 100_000
MIN_RATE_TERM_SECONDS = 2.0
MAX_RATE_TERM_SECONDS = 86_400.0


class SettingsError(Exception):
    """A setting with an invalid value."""

    def __init__(self, flag: str, given: str, allowed: str) -> None:
        """Set the flag, the value given and a description of valid ones."""
        super().__init__(f'{flag} is {given!r}; it takes {allowed}')
        self.flag = flag
        self.given = given
        self.allowed = allowed


class SettingsErrors(ExceptionGroup[SettingsError]):
    """All settings with invalid values."""


class Settings(msgspec.Struct, frozen=True):
    """Settings of one node, named like its flags."""

    peer: str
    """Address for messages between nodes, `IP:port`."""

    callers: str
    """Address for callers' HTTP, `IP:port`."""

    admin: str
    """Address of the administration API, `IP:port`."""

    announce: str
    """Loopback address where upstreams announce themselves, `IP:port`."""

    platform: str
    """Address of the key-value store, `IP:port`."""

    zone: str
    """Availability zone of the VM."""

    region: str
    """Region of the VM."""

    store_region: str
    """Region of the key-value store."""

    regions: tuple[str, ...]
    """All regions of the fleet; equal on all nodes."""

    fleet_secret: bytes
    """Authenticates messages between nodes."""

    operator_secret: bytes
    """Authenticates operators' calls."""

    dial: dict[str, str] = {}
    """Addresses by which to reach peers, by peer address."""

    join: tuple[str, ...] = ()
    """Peers to contact besides the seeds in the store."""

    statsd: tuple[str, int] | None = None
    """Address of a StatsD server, or none."""

    threads: int = DEFAULT_THREADS
    """Maximum number of callers' requests handled concurrently."""

    rate_groups: int = DEFAULT_RATE_GROUPS
    """Number of workspace groups for rate limits; equal on all nodes.

    The workspaces of a group share a rate holder.
    """

    rate_term: float = DEFAULT_RATE_TERM_SECONDS
    """Seconds that the lease of a rate holder lasts without being renewed."""

    rate_standing: float = DEFAULT_RATE_STANDING_SECONDS
    """Seconds that a rate holder goes on granting without the store.

    Applies while the store does not answer, if longer than `rate_term`.
    """

    quiet: float = DEFAULT_QUIET_SECONDS
    """Idle period, in seconds, that a draining node waits for.

    It goes on taking requests until none arrived for this time.
    """

    service: str = ''
    """Service of the upstreams on this VM; requests that enter here name it."""

    health: str = ''
    """Address of the readiness check, empty for none."""

    metrics: str = ''
    """Address of the Prometheus metrics, empty for none."""

    heartbeat: float = DEFAULT_HEARTBEAT_SECONDS
    """Seconds between heartbeats."""

    far_rounds: int = 1
    """Of this many heartbeats, one goes to another zone; 1 ignores zones."""

    explore_share: float = DEFAULT_EXPLORE_SHARE
    """Share of requests sent to another upstream of the region to compare."""

    body_memory: int = DEFAULT_BODY_MEMORY_MEGABYTES
    """Megabytes of bodies that the process holds at the same time."""

    load_reports: int = 0
    """Most loads of upstreams in one heartbeat; 0 exchanges none."""

    zone_kilobyte_cost: float = 0.0
    """Cost of a kilobyte between zones, as a share of a request's value."""

    region_kilobyte_cost: float = 0.0
    """Cost of a kilobyte between regions, as a share of a request's value."""

    retry_ratio: float = BUDGET_RETRIES_PER_REQUEST
    """Retries that each request adds to the retry budget of this node."""

    retry_extra: float = BUDGET_EXTRA_RETRIES
    """Further retries of one service in the whole fleet, per window."""

    retry_window: float = BUDGET_WINDOW_SECONDS
    """Seconds of the window of `retry_extra`."""

    grace: float = DEFAULT_GRACE_SECONDS
    """Maximum seconds from the shutdown signal to the end of the process."""

    log_level: str = 'INFO'
    """Least severe level that is logged."""


def parse_address(flag: str, given: str) -> tuple[str, int]:
    """Parse `IP:port`; raises `SettingsError`."""
    host, _, port = given.rpartition(':')
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError:
        port_number = 0
    if not 0 < port_number <= MAX_PORT:
        raise SettingsError(
            flag, given, 'an IP address and a port, e.g. 10.0.0.7:7400'
        )
    return host, port_number


def is_address(given: str) -> bool:
    """Whether a text is an address as `parse_address` takes it."""
    try:
        parse_address('', given)
    except SettingsError:
        return False
    return True


def read_secret(flag: str, given: str) -> bytes:
    """Read a secret from a file, without blanks around it.

    Raises `SettingsError` for an unreadable file or a secret of less than
    `SECRET_MIN_BYTES`; one above `SECRET_MAX_BYTES` is truncated.
    """
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


def resolve_secret(flag: str, text: str, path: str) -> bytes:
    """Return the secret given as text, or else read it from a file."""
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
    """Parse comma-separated `PEER=ADDRESS` pairs; raises `SettingsError`."""
    addresses: dict[str, str] = {}
    for pair in filter(None, given.split(',')):
        peer, _, address = pair.partition('=')
        parse_address('--dial', peer)
        parse_address('--dial', address)
        addresses[peer] = address
    return addresses


def parse_statsd(given: str) -> tuple[str, int] | None:
    """Parse the address of a StatsD server; `None` if none is given."""
    return parse_address('--statsd', given) if given else None


def flatten_errors(
    group: BaseExceptionGroup[SettingsError],
) -> list[SettingsError]:
    """Return all errors of a group and its nested groups."""
    errors: list[SettingsError] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors.extend(flatten_errors(error))
        else:
            errors.append(error)
    return errors


def check_settings(settings: Settings) -> Settings:
    """Validate all settings; raises `SettingsErrors` with every error."""
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
        *(('--join', peer) for peer in settings.join),
    ]
    for flag, given in pairs:
        try:
            parse_address(flag, given)
        except SettingsError as error:
            errors.append(error)
    errors.extend(_check_names(settings))
    errors.extend(_check_numbers(settings))
    if errors:
        raise SettingsErrors(f'{len(errors)} settings are invalid', errors)
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
    known_regions = ', '.join(settings.regions)
    errors.extend(
        SettingsError(flag, names[flag], f'one of --regions ({known_regions})')
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
        ('--zone-kilobyte-cost', settings.zone_kilobyte_cost, 0, 10),
        ('--region-kilobyte-cost', settings.region_kilobyte_cost, 0, 10),
        ('--load-reports', settings.load_reports, 0, 1000),
        ('--retry-ratio', settings.retry_ratio, 0, 1),
        ('--retry-extra', settings.retry_extra, 0, 100_000),
        ('--retry-window', settings.retry_window, 1, 600),
        ('--grace', settings.grace, 1, 600),
        (
            '--body-memory',
            settings.body_memory,
            MIN_BODY_MEMORY_MEGABYTES,
            MAX_BODY_MEMORY_MEGABYTES,
        ),
    )
    return [
        SettingsError(flag, str(given), f'a number from {minimum} to {maximum}')
        for flag, given, minimum, maximum in limits
        if not minimum <= given <= maximum
    ]
