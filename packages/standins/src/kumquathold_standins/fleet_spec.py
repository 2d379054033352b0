"""What a fleet of stand-ins consists of."""

from __future__ import annotations

import msgspec


class Vm(msgspec.Struct, frozen=True):
    """Placement of a node and the upstreams beside it."""

    zone: str
    """Availability zone."""

    region: str
    """Region of the zone."""

    services: tuple[str, ...]
    """Services; one upstream of each is started beside the node."""


class Spec(msgspec.Struct, frozen=True):
    """Configuration of a fleet."""

    vms: tuple[Vm, ...]
    """VMs, each with one node."""

    store_region: str = 'north'
    """Region that holds the platform's store."""

    slots: int = 4
    """Concurrent requests that each upstream announces it can run."""

    latency: float = 0.005
    """Seconds that an upstream takes to process a request."""

    rate_term: float = 3600.0
    """Value of the node's `--rate-term`."""

    rate_groups: int = 8
    """Value of the node's `--rate-groups`."""

    quiet: float = 1.0
    """Value of the node's `--quiet`."""

    grace: float = 90.0
    """Value of the node's `--grace`."""

    threads: int = 64
    """Value of the node's `--threads`."""

    region_delay: float = 0.0
    """One-way seconds between regions; used only if `relayed`."""

    relayed: bool = False
    """Whether nodes reach peers and the store over the relay's links.

    Without it, links can be neither cut nor delayed.
    """

    cold_start: float = 0.0
    """Seconds that an upstream announces `starting` before `ready`."""

    skewable: bool = False
    """Whether `Fleet.skew` can shift the wall clock of nodes."""

    @property
    def regions(self) -> tuple[str, ...]:
        """Regions of the VMs, sorted."""
        return tuple(sorted({vm.region for vm in self.vms}))


ZONES = (
    ('north-a', 'north'),
    ('north-b', 'north'),
    ('east-a', 'east'),
    ('east-b', 'east'),
    ('south-a', 'south'),
    ('south-b', 'south'),
)


def six_zones(*services: str) -> tuple[Vm, ...]:
    """Return one VM for each of six zones in three regions."""
    return tuple(Vm(zone, region, services) for zone, region in ZONES)
