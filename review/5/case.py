"""A tenant is locked out by a configuration that gives it no burst.

The operator changes the quota of one tenant: the rate stays, the burst is left
out. From then on each of its requests is refused, at a small part of its rate,
while another tenant is served.
"""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import fleet as fleets  # noqa: E402

RATE_PER_SECOND = 20
BURST = 20
CONFIG_SECONDS = 2.0
SETTLE_SECONDS = 5.0
REQUESTS = 30
INTERVAL_SECONDS = 0.4
SERVED_SHARE = 0.25
ZONES = {'ub-a': 'ulaanbaatar', 'dk-a': 'darkhan', 'er-a': 'erdenet'}
KEYS = {'bozi300': '89anu6wsjnbanfqasnmg', 'kale210': 'x2m8q0v7d4kp1s9ztbca'}


def case(fleet: fleets.Fleet) -> bool:
    nodes = [fleet.add_node(zone) for zone in ZONES]
    _configure(fleet, 7, has_burst=True)
    for node in nodes:
        node.start()
    for node in nodes:
        fleets.Target(node.ip, node.control, fleet.record, zone=node.zone)
    fleet.wait_until(
        lambda: all(
            _send(fleet, node, tenant).status == 200
            for node in nodes
            for tenant in KEYS
        ),
        'answers',
    )
    time.sleep(SETTLE_SECONDS)
    _configure(fleet, 9, has_burst=not fleets.TROUBLE)
    time.sleep(CONFIG_SECONDS + SETTLE_SECONDS)
    shares = {tenant: _measure(fleet, nodes, tenant) for tenant in KEYS}
    for tenant, share in shares.items():
        fleet.record.write(f'judged   tenant {tenant}: served {share:.0%}')
    overall = sum(shares.values()) / len(shares)
    return min(shares.values()) < SERVED_SHARE * overall


def _configure(fleet, version: int, *, has_burst: bool) -> None:
    tenants = [
        {
            'name': name,
            'apiKeys': [key],
            'ratePerS': RATE_PER_SECOND,
            'burstSize': BURST,
        }
        for name, key in KEYS.items()
    ]
    if not has_burst:
        tenants[0].pop('burstSize')
    route = fleets.make_route('list', '/list/', authExempt=False)
    fleet.store.put_configuration(
        fleets.make_configuration(version, [route], tenants=tenants)
    )
    fleet.record.write(f'config   version {version}: {tenants}')


def _measure(fleet, nodes, tenant: str) -> float:
    """Return the share that is served of 2.5 requests a second."""
    served = 0
    for number in range(REQUESTS):
        answer = _send(fleet, nodes[number % len(nodes)], tenant)
        served += answer.status == 200
        time.sleep(INTERVAL_SECONDS)
    return served / REQUESTS


def _send(fleet, node, tenant: str) -> fleets.Answer:
    return fleet.send(
        node, 'GET', '/list/x', deadline_ms=4000,
        headers={'Api-Key': KEYS[tenant]},
    )


fleets.play(case, str(FOLDER), ZONES)
