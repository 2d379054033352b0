"""Starts a whole fleet on loopback: platform, nodes and upstreams.

Each is a process of its own. Everything is stopped by the pid that was
started, and the directory with logs, secrets and ledgers goes with the fleet.
"""

from __future__ import annotations

import itertools
import os
import random
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import msgspec

from kumquathold_cli import changes
from kumquathold_cli.client import Client, ClientError
from kumquathold_core.token_bucket import GRANT_LIFETIME_SECONDS
from kumquathold_standins import platform as platform_standin
from kumquathold_standins.relay import Link, Relay
from kumquathold_standins.upstream import Behaviour, Run

FIRST_PORT = 20_000
LAST_PORT = 32_000
START_SECONDS = 30.0
STOP_SECONDS = 15.0
POLL_SECONDS = 0.05
STORE = 'store'
RATE_MARGIN_SECONDS = 0.3
FLEET_SECRET = 'fleet-secret-of-the-stand-in-fleet'
OPERATOR_SECRET = 'operator-secret-of-the-stand-in-fleet'

_start = random.SystemRandom().randrange(LAST_PORT - FIRST_PORT)
_ports = itertools.cycle(
    FIRST_PORT + (_start + step) % (LAST_PORT - FIRST_PORT)
    for step in range(LAST_PORT - FIRST_PORT)
)


class FleetError(Exception):
    """The fleet does not do what was waited for."""


class NotReached(FleetError):
    """A state was not reached in time."""


class Vm(msgspec.Struct, frozen=True):
    """Where a node is to run."""

    zone: str
    """Availability zone."""

    region: str
    """Region of the zone."""

    services: tuple[str, ...]
    """One upstream for each is started beside the node."""


class Spec(msgspec.Struct, frozen=True):
    """What fleet to start."""

    vms: tuple[Vm, ...]
    """One node each."""

    store_region: str = 'north'
    """Region of the platform."""

    slots: int = 4
    """Of each upstream."""

    latency: float = 0.005
    """Seconds that an upstream takes for a request."""

    rate_term: float = 3600.0
    """See the node's flag."""

    rate_groups: int = 8
    """See the node's flag."""

    quiet: float = 1.0
    """See the node's flag."""

    grace: float = 90.0
    """See the node's flag."""

    threads: int = 64
    """See the node's flag."""

    region_delay: float = 0.0
    """One-way seconds between regions; more than 0 needs relays."""

    relayed: bool = False
    """Whether nodes reach each other through relays, so links can fail."""

    cold_start: float = 0.0
    """Seconds before an upstream is ready."""

    skewable: bool = False
    """Whether `Fleet.skew` may set a node's time of day."""

    @property
    def regions(self) -> tuple[str, ...]:
        """All regions."""
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
    """One VM in each of six zones in three regions."""
    return tuple(Vm(zone, region, services) for zone, region in ZONES)


class Process:
    """A started process."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Start it; its error output goes to the log."""
        self.name = name
        self.arguments = arguments
        self.log = log
        self.popen = self._start()

    @property
    def pid(self) -> int:
        """The process's number."""
        return self.popen.pid

    def signal(self, number: int) -> None:
        """Send a signal to this process only."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_SECONDS)

    def freeze(self) -> None:
        """Stop it in its tracks."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it to leave gracefully."""
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float = STOP_SECONDS) -> int:
        """Wait for its end; give its exit code."""
        return self.popen.wait(seconds)

    def restart(self) -> None:
        """Start it anew with the same arguments."""
        self.popen = self._start()

    def stop(self) -> None:
        """End it at once, frozen or not."""
        self.resume()
        self.kill()

    def _start(self) -> subprocess.Popen[bytes]:
        with self.log.open('ab') as log:
            return subprocess.Popen(  # noqa: S603
                self.arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )


class Upstream:
    """A started upstream."""

    def __init__(self, address: str, service: str, process: Process) -> None:
        """Keep what is needed to reach it."""
        self.address = address
        self.service = service
        self.process = process

    def behave(self, **fields: Any) -> None:
        """Change its behaviour; what is not named is as by default."""
        body = msgspec.json.encode(Behaviour(**fields))
        call_http(self.address, 'POST', '/_control', body)

    def state(self) -> dict[str, int]:
        """Its own counts."""
        return msgspec.json.decode(call_http(self.address, 'GET', '/_state'))


class Node:
    """A started node."""

    def __init__(self, vm: Vm, ports: list[int], process: Process) -> None:
        """Keep what is needed to reach it."""
        self.vm = vm
        self.peer, self.callers, self.admin, self.announce = (
            local(port) for port in ports
        )
        self.process = process
        self.upstreams: list[Upstream] = []

    @property
    def client(self) -> Client:
        """An operator's client of this node."""
        return Client(self.admin, 'tester', OPERATOR_SECRET.encode())

    def metrics(self) -> dict[str, float]:
        """All counters."""
        body = call_http(self.admin, 'GET', '/metrics')
        return msgspec.json.decode(body)

    def log_lines(self) -> list[dict[str, Any]]:
        """Everything it logged."""
        lines = self.process.log.read_bytes().splitlines()
        return [
            msgspec.json.decode(line) for line in lines if line.startswith(b'{')
        ]


class Fleet:
    """A running fleet."""

    def __init__(self, spec: Spec, directory: Path, relay: Relay) -> None:
        """Start nothing yet."""
        self.spec = spec
        self.directory = directory
        self.relay = relay
        self.nodes: list[Node] = []
        self.processes: list[Process] = []
        self.platform_address = local(free_port())
        self.ledger_file = directory / 'ledger.jsonl'
        self.ledger_file.touch()
        self.secret_files = {
            'fleet': directory / 'fleet.secret',
            'operator': directory / 'operator.secret',
        }
        self.secret_files['fleet'].write_text(FLEET_SECRET)
        self.secret_files['operator'].write_text(OPERATOR_SECRET)

    @property
    def client(self) -> Client:
        """An operator's client of the first node."""
        return self.nodes[0].client

    @property
    def upstreams(self) -> list[Upstream]:
        """All upstreams."""
        return [one for node in self.nodes for one in node.upstreams]

    def start(self) -> None:
        """Start the platform, then all nodes, then all upstreams."""
        self.platform = self.spawn(
            'platform',
            'kumquathold_standins.platform',
            listen=self.platform_address,
        )
        wait_until(lambda: is_open(self.platform_address), 'platform')
        plans = [(vm, [free_port() for _ in range(4)]) for vm in self.spec.vms]
        peers = [local(ports[0]) for _, ports in plans]
        for number, (vm, ports) in enumerate(plans):
            dial = self._make_links(number, peers)
            store = self._make_store_link(peers[number])
            self.nodes.append(self._start_node(number, vm, ports, dial, store))
        wait_until(self._all_open, 'administration of all nodes')
        for node in self.nodes:
            for service in node.vm.services:
                self.add_upstream(node, service)
        wait_until(self._all_known, 'membership')

    def add_upstream(self, node: Node, service: str) -> Upstream:
        """Start an upstream beside a node."""
        address = local(free_port())
        process = self.spawn(
            f'upstream-{address}',
            'kumquathold_standins.upstream',
            listen=address,
            node=node.announce,
            service=service,
            slots=self.spec.slots,
            ledger=self.ledger_file,
            seed=len(self.processes),
            cold_start=self.spec.cold_start,
            latency=self.spec.latency,
        )
        upstream = Upstream(address, service, process)
        node.upstreams.append(upstream)
        return upstream

    def accept(self, text: str) -> int:
        """Accept rules, and wait until they are in force on all nodes."""
        base, _ = changes.fetch_accepted_text(self.client)
        version = changes.accept_text(self.client, text, base, 'test')
        self.wait_in_force(version)
        return version

    def wait_in_force(self, version: int) -> None:
        """Wait until a version is in force on all living nodes."""
        wait_until(
            lambda: all(
                node.client.get_json('/status')['config_version'] >= version
                and node.client.get_json('/status')['freshness'] == 'fresh'
                for node in self.nodes
                if node.process.popen.poll() is None
            ),
            f'version {version} in force',
        )

    def wait_rates(self) -> None:
        """Wait until each group of each region has a holder."""
        expected = self.spec.rate_groups * len(self.spec.regions)
        wait_until(
            lambda: all(
                sum(len(one['rate_groups']) for one in self._nodes_of(node))
                == expected
                for node in self.nodes
                if node.process.popen.poll() is None
            ),
            'holders of all rate groups',
        )
        time.sleep(GRANT_LIFETIME_SECONDS + RATE_MARGIN_SECONDS)

    def set_platform(self, **faults: Any) -> None:
        """Set the platform's faults; what is not named is in order."""
        body = msgspec.json.encode(platform_standin.Faults(**faults))
        call_http(self.platform_address, 'POST', '/faults', body)

    def platform_calls(self) -> dict[str, int]:
        """How often each call was made."""
        body = call_http(self.platform_address, 'GET', '/')
        return msgspec.json.decode(body)

    def ledger(self) -> list[Run]:
        """Everything that ran on any upstream."""
        return read_ledger(self.ledger_file)

    def runs_of(self, operation: str) -> list[Run]:
        """The runs of one wish."""
        return [run for run in self.ledger() if run.operation == operation]

    def cut(self, senders: list[Node], receivers: list[Node]) -> None:
        """Lose what one set of nodes sends to another."""
        for link in self._links(senders, receivers):
            link.cut()

    def cut_store(self, nodes: list[Node]) -> None:
        """Keep nodes from the platform."""
        for link in self.relay.between({one.peer for one in nodes}, {STORE}):
            link.cut()

    def heal(self) -> None:
        """Forward everything again."""
        for link in self.relay.links.values():
            if link.is_cut:
                link.heal()

    def silence(self, senders: list[Node], receivers: list[Node]) -> None:
        """Have the open connections between nodes go silent."""
        for link in self._links(senders, receivers):
            link.silence()

    def stall(self, senders: list[Node], receivers: list[Node]) -> None:
        """Hold back what is sent on the open connections between nodes."""
        for link in self._links(senders, receivers):
            link.stall()

    def release(self) -> None:
        """Deliver what was held back."""
        for link in self.relay.links.values():
            link.release()

    def in_region(self, region: str) -> list[Node]:
        """The nodes of a region."""
        return [node for node in self.nodes if node.vm.region == region]

    def stop(self) -> None:
        """End every process that this fleet started."""
        for process in reversed(self.processes):
            process.stop()

    def _links(self, senders: list[Node], receivers: list[Node]) -> list[Link]:
        return self.relay.between(
            {node.peer for node in senders},
            {node.peer for node in receivers},
        )

    def _make_links(self, number: int, peers: list[str]) -> dict[str, str]:
        if not self.spec.relayed:
            return {}
        own = self.spec.vms[number]
        dial = {}
        for other, peer in zip(self.spec.vms, peers, strict=True):
            if peer == peers[number]:
                continue
            is_far = other.region != own.region
            delay = self.spec.region_delay if is_far else 0
            link = Link(local(free_port()), peer, delay)
            self.relay.add((peers[number], peer), link)
            dial[peer] = link.listen
        return dial

    def _make_store_link(self, peer: str) -> str:
        if not self.spec.relayed:
            return self.platform_address
        link = Link(local(free_port()), self.platform_address, 0)
        self.relay.add((peer, STORE), link)
        return link.listen

    def _start_node(
        self,
        number: int,
        vm: Vm,
        ports: list[int],
        dial: dict[str, str],
        store: str,
    ) -> Node:
        peer, callers, admin, announce = (local(port) for port in ports)
        module, clock = self._clock_of(number)
        process = self.spawn(
            f'node-{number}',
            module,
            **clock,
            peer=peer,
            callers=callers,
            admin=admin,
            announce=announce,
            platform=store,
            zone=vm.zone,
            region=vm.region,
            regions=','.join(self.spec.regions),
            store_region=self.spec.store_region,
            fleet_secret_file=self.secret_files['fleet'],
            operator_secret_file=self.secret_files['operator'],
            rate_groups=self.spec.rate_groups,
            rate_term=self.spec.rate_term,
            quiet=self.spec.quiet,
            grace=self.spec.grace,
            threads=self.spec.threads,
            dial=','.join(f'{to}={by}' for to, by in dial.items()),
        )
        return Node(vm, ports, process)

    def spawn(self, name: str, module: str, **flags: object) -> Process:
        """Start a module as a process that ends with the fleet."""
        arguments = [sys.executable, '-m', module]
        for flag, given in flags.items():
            arguments.extend((f'--{flag.replace("_", "-")}', str(given)))
        safe_name = name.replace(':', '-')
        process = Process(
            name,
            arguments,
            self.directory / f'{safe_name}.log',
        )
        self.processes.append(process)
        return process

    def skew(self, number: int, seconds: float) -> None:
        """Set how far a node's time of day is off."""
        written = self._clock_file(number).with_suffix('.new')
        written.write_text(str(seconds), encoding='ascii')
        written.replace(self._clock_file(number))

    def _clock_file(self, number: int) -> Path:
        return self.directory / f'clock-{number}'

    def _clock_of(self, number: int) -> tuple[str, dict[str, object]]:
        """The module that runs a node, and the flag for its clock."""
        if not self.spec.skewable:
            return 'kumquathold_node.main', {}
        self.skew(number, 0)
        clock_file = self._clock_file(number)
        return 'kumquathold_standins.skewed_node', {'clock_file': clock_file}

    def _all_open(self) -> bool:
        return all(is_open(node.admin) for node in self.nodes)

    def _all_known(self) -> bool:
        expected = len(self.upstreams)
        return all(
            sum(len(one['upstreams']) for one in self._nodes_of(node))
            == expected
            for node in self.nodes
        )

    def _nodes_of(self, node: Node) -> list[dict[str, Any]]:
        try:
            return node.client.get_json('/status')['nodes']
        except ClientError:
            return []


@contextmanager
def running_fleet(spec: Spec) -> Iterator[Fleet]:
    """Run a fleet while the block runs."""
    relay = Relay()
    with (
        tempfile.TemporaryDirectory(prefix='kumquathold-') as directory,
        relay.running(),
    ):
        fleet = Fleet(spec, Path(directory), relay)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.stop()
            keep_logs = os.environ.get('KUMQUATHOLD_KEEP_LOGS')
            if keep_logs:
                _copy_logs(Path(directory), Path(keep_logs))


def read_ledger(ledger_file: Path) -> list[Run]:
    """The runs of a ledger; a line that is still being written is left out."""
    written = ledger_file.read_bytes()
    whole = written[: written.rfind(b'\n') + 1]
    return [msgspec.json.decode(line, type=Run) for line in whole.splitlines()]


def wait_until(
    is_reached: Callable[[], bool],
    what: str,
    seconds: float = START_SECONDS,
) -> float:
    """Wait for a state; give the seconds that it took."""
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        with suppress(ClientError, OSError):
            if is_reached():
                return time.monotonic() - started_at
        time.sleep(POLL_SECONDS)
    raise NotReached(f'{what} was not reached within {seconds:.0f} s')


def call_http(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
) -> bytes:
    """A plain HTTP call; gives the body."""
    connection = HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body)
        return connection.getresponse().read()
    finally:
        connection.close()


def local(port: int) -> str:
    """An address on loopback."""
    return f'127.0.0.1:{port}'


def free_port() -> int:
    """A port that nobody listens on."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise FleetError('no free port')


def is_open(address: str) -> bool:
    """Whether somebody listens."""
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


def _copy_logs(directory: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in directory.glob('*.log'):
        (target / log.name).write_bytes(log.read_bytes())
