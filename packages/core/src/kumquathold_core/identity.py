"""Identity records of nodes and upstreams, and request ids."""

from __future__ import annotations

import msgspec


class RequestId(msgspec.Struct, frozen=True, array_like=True):
    """Id of one attempt of a request, unique over the life of the fleet."""

    sender: str
    """Peer address of the ingress, `host:port`."""

    incarnation: int
    """Start of the ingress process, in nanoseconds since the epoch."""

    number: int
    """Number of the attempt within that process, from 1."""

    def __str__(self) -> str:
        """Format the id as logs and the `explain` command show it."""
        return f'{self.sender}/{self.incarnation}/{self.number}'


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one upstream announced about itself."""

    name: str
    """Name of the upstream, unique in the fleet."""

    service: str
    """The service that the upstream offers."""

    slots: int
    """Maximum number of concurrent requests."""

    ready: bool
    """False during its cold start."""

    leaving: bool
    """True once it drains, and takes no new requests."""

    address: str = ''
    """Address for requests, `host:port`; if empty, the name is the address."""

    lifetime: int = 0
    """Start of its process in Unix milliseconds, 0 if not reported."""

    limit: float | None = None
    """Requests a second that its responses state it takes, if limited."""


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a node announces about itself, disseminated by gossip."""

    address: str
    """Peer address, `host:port`."""

    incarnation: int
    """Number of the process; higher after a restart on the same address."""

    version: int
    """Counts the changes of this record within the incarnation."""

    zone: str
    """Availability zone of the VM."""

    region: str
    """Region of the zone."""

    admin: str
    """Address of the administration API, `host:port`."""

    leaving: bool
    """True once the node drains, and takes no new requests."""

    upstreams: tuple[UpstreamRecord, ...]
    """The upstreams that announced themselves to this node."""

    rate_groups: tuple[int, ...]
    """Rate groups whose token buckets this node holds in its region."""
