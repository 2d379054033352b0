"""Who a process is, and how its requests are numbered."""

from __future__ import annotations

import msgspec


class RequestId(msgspec.Struct, frozen=True, array_like=True):
    """One sending of one request, unique over the life of the fleet."""

    sender: str
    """Peer address of the ingress, `host:port`."""

    incarnation: int
    """The ingress process: its start in nanoseconds since the epoch."""

    number: int
    """Counts the sendings of that process, from 1."""

    def __str__(self) -> str:
        """The form that logs and the `explain` command use."""
        return f'{self.sender}/{self.incarnation}/{self.number}'


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one upstream announced about itself."""

    name: str
    """Unique in the fleet."""

    service: str
    """The service that the upstream offers."""

    slots: int
    """Requests that it runs at the same time."""

    ready: bool
    """False while it starts cold."""

    leaving: bool
    """True once it asked for no further work."""

    address: str = ''
    """Where it takes requests, `host:port`; the name where empty."""

    lifetime: int = 0
    """Its start in Unix milliseconds, 0 where it does not say."""


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node says about itself, spread by gossip."""

    address: str
    """Peer address, `host:port`."""

    incarnation: int
    """The process: a restart on the same address has a higher one."""

    version: int
    """Counts the changes of this record within the incarnation."""

    zone: str
    """Availability zone of the VM."""

    region: str
    """Region of the zone."""

    admin: str
    """Address of the administration API, `host:port`."""

    leaving: bool
    """True once the node takes no new work."""

    upstreams: tuple[UpstreamRecord, ...]
    """The upstreams that announced themselves to this node."""

    rate_groups: tuple[int, ...]
    """Groups of workspaces whose rate this node holds in its region."""
