"""Rules, keys and fleet specifications that several tests share."""

from __future__ import annotations

from kumquathold_core.identity import NodeRecord, UpstreamRecord
from kumquathold_core.rules import digest_key
from kumquathold_standins.fleet_spec import Spec, Vm, six_zones

KEYS = {
    'dealers': 'kq_dealers1_0123456789abcdef',
    'pixels': 'kq_pixels1_fedcba9876543210',
    'small': 'kq_small1_00112233445566778',
}
ASKED = '  # asked by the tests'


def key_line(workspace: str) -> str:
    """Return the rule that declares the key of a workspace."""
    key = KEYS[workspace]
    digest = digest_key(key).hex()
    key_id = key.split('_')[1]
    return f'key {key_id} workspace={workspace} digest=sha256:{digest}{ASKED}'


def make_rules(*extra: str) -> str:
    """Return the rules of a small deployment, followed by `extra` lines."""
    lines = [
        f'service listings floor=50%{ASKED}',
        f'service holds floor=50%{ASKED}',
        f'route GET /listings/* service=listings public{ASKED}',
        f'route GET /diffs/* service=listings deadline=5s{ASKED}',
        f'route POST /notes service=holds deadline=5s{ASKED}',
        f'route POST /open-notes service=holds public deadline=5s{ASKED}',
        f'route POST /holds service=holds once deadline=8s{ASKED}',
        f'route PUT /files/* service=holds idempotent body=16MB{ASKED}',
        f'workspace dealers rate=2000 burst=2000{ASKED}',
        f'workspace pixels rate=2000 burst=2000{ASKED}',
        f'workspace small rate=20 burst=20{ASKED}',
        *(key_line(workspace) for workspace in KEYS),
        *extra,
    ]
    return '\n'.join(lines) + '\n'


def small_spec(**changes: object) -> Spec:
    """Specify three nodes in three regions, with two services."""
    vms = (
        Vm('north-a', 'north', ('listings', 'holds')),
        Vm('east-a', 'east', ('listings', 'holds')),
        Vm('south-a', 'south', ('listings', 'holds')),
    )
    return Spec(vms=vms, **changes)  # type: ignore[arg-type]


def wide_spec(**changes: object) -> Spec:
    """Specify six nodes in six zones of three regions, with two services."""
    vms = six_zones('listings', 'holds')
    return Spec(vms=vms, **changes)  # type: ignore[arg-type]


def make_node_record(
    address: str,
    zone: str = 'a',
    incarnation: int = 1,
    upstreams: tuple[UpstreamRecord, ...] = (),
) -> NodeRecord:
    """Make the record of a node that does not drain."""
    return NodeRecord(
        address=address,
        incarnation=incarnation,
        version=1,
        zone=zone,
        region='r',
        admin='',
        leaving=False,
        upstreams=upstreams,
        rate_groups=(),
    )
