"""Runs a fleet on loopback: the platform stand-in, nodes and upstreams.

Each is a separate process, and only processes that the fleet has started are
signalled. The temporary directory with logs, secrets and the ledger is removed
when the fleet stops; set `KUMQUATHOLD_KEEP_LOGS` to a directory to keep the
logs.
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
PORT_LIMIT = 32_000
"""Exclusive."""

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 15.0
POLL_INTERVAL_SECONDS = 0.05
STORE = 'store'
"""Receiver name of the links from nodes to the platform."""

GRANT_EXPIRY_MARGIN_SECONDS = 0.3
"""Added to the lifetime of grants that earlier holders gave."""

FLEET_SECRET = 'fleet-secret-of-the-stand-in-fleet'
OPERATOR_SECRET = 'operator-secret-of-the-stand-in-fleet'

_first_offset = random.SystemRandom().randrange(PORT_LIMIT - FIRST_PORT)
_ports = itertools.cycle(
    FIRST_PORT + (_first_offset + step) % (PORT_LIMIT - FIRST_PORT)
    for step in range(PORT_LIMIT - FIRST_PORT)
)


class FleetError(Exception):
    """The fleet cannot be started or does not reach a state."""


class WaitTimeout(FleetError):
    """The fleet did not reach a state within the timeout."""


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


class Process:
    """A child process with its log file."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Start the process; standard output and error go to the log."""
        self.name = name
        self.arguments = arguments
        self.log = log
        self.popen = self._start()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    def signal(self, number: int) -> None:
        """Send a signal to the process unless it has exited."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_SECONDS)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait for the exit and return the exit code."""
        return self.popen.wait(seconds)

    def restart(self) -> None:
        """Start the process again with the same arguments."""
        self.popen = self._start()

    def stop(self) -> None:
        """Kill the process, also while it is suspended."""
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
    """A running upstream stand-in."""

    def __init__(self, address: str, service: str, process: Process) -> None:
        """Store the address, the service and the process."""
        self.address = address
        self.service = service
        self.process = process

    def behave(self, **fields: Any) -> None:
        """Set the behaviour; fields not given take their defaults."""
        body = msgspec.json.encode(Behaviour(**fields))
        call_http(self.address, 'POST', '/_control', body)

    def state(self) -> dict[str, int]:
        """Fetch the counts that the upstream keeps."""
        return msgspec.json.decode(call_http(self.address, 'GET', '/_state'))


class Node:
    """A running node."""

    def __init__(self, vm: Vm, ports: list[int], process: Process) -> None:
        """Store the process and the addresses of its four listeners."""
        self.vm = vm
        self.peer, self.callers, self.admin, self.announce = (
            loopback_address(port) for port in ports
        )
        self.process = process
        self.upstreams: list[Upstream] = []

    @property
    def client(self) -> Client:
        """Client of this node's administration API."""
        return Client(self.admin, 'tester', OPERATOR_SECRET.encode())

    def metrics(self) -> dict[str, float]:
        """Fetch all metrics of the node."""
        body = call_http(self.admin, 'GET', '/metrics')
        return msgspec.json.decode(body)

    def log_lines(self) -> list[dict[str, Any]]:
        """Return all structured lines of the node's log."""
        lines = self.process.log.read_bytes().splitlines()
        return [
            msgspec.json.decode(line) for line in lines if line.startswith(b'{')
        ]


class Fleet:
    """A fleet and the files, processes and links it owns."""

    def __init__(self, spec: Spec, directory: Path, relay: Relay) -> None:
        """Create the secrets and an empty ledger; start no process."""
        self.spec = spec
        self.directory = directory
        self.relay = relay
        self.nodes: list[Node] = []
        self.processes: list[Process] = []
        self.platform_address = loopback_address(free_port())
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
        """Client of the first node's administration API."""
        return self.nodes[0].client

    @property
    def upstreams(self) -> list[Upstream]:
        """Upstreams of all nodes."""
        return [one for node in self.nodes for one in node.upstreams]

    def start(self) -> None:
        """Start the platform, all nodes and all upstreams, in this order.

        Returns once each node knows every upstream.
        """
        self.platform = self.spawn(
            'platform',
            'kumquathold_standins.platform',
            listen=self.platform_address,
        )
        wait_until(lambda: is_open(self.platform_address), 'platform')
        plans = [(vm, [free_port() for _ in range(4)]) for vm in self.spec.vms]
        peers = [loopback_address(ports[0]) for _, ports in plans]
        for number, (vm, ports) in enumerate(plans):
            dial = self._make_links(number, peers)
            store = self._make_store_link(peers[number])
            self.nodes.append(self._start_node(number, vm, ports, dial, store))
        wait_until(self._are_admin_ports_open, 'administration of all nodes')
        for node in self.nodes:
            for service in node.vm.services:
                self.add_upstream(node, service)
        wait_until(self._are_upstreams_known, 'membership')

    def add_upstream(self, node: Node, service: str) -> Upstream:
        """Start an upstream beside a node."""
        address = loopback_address(free_port())
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
        """Accept a rules text and wait until all nodes enforce it.

        Returns the accepted version.
        """
        base, _ = changes.fetch_accepted_text(self.client)
        version = changes.accept_text(self.client, text, base, 'test')
        self.wait_in_force(version)
        return version

    def wait_in_force(self, version: int) -> None:
        """Wait until all running nodes enforce a version and are fresh."""
        wait_until(
            lambda: all(
                node.client.get_json('/status')['config_version'] >= version
                and node.client.get_json('/status')['freshness'] == 'fresh'
                for node in self.nodes
                if node.process.popen.poll() is None
            ),
            f'version {version} in force',
        )

    def wait_for_rate_holders(self) -> None:
        """Wait until each rate group of each region has a holder.

        Then waits until grants of earlier holders have expired.
        """
        expected = self.spec.rate_groups * len(self.spec.regions)
        wait_until(
            lambda: all(
                sum(
                    len(one['rate_groups'])
                    for one in self._fetch_node_statuses(node)
                )
                == expected
                for node in self.nodes
                if node.process.popen.poll() is None
            ),
            'holders of all rate groups',
        )
        time.sleep(GRANT_LIFETIME_SECONDS + GRANT_EXPIRY_MARGIN_SECONDS)

    def set_platform(self, **faults: Any) -> None:
        """Set the platform's faults; faults not given are cleared."""
        body = msgspec.json.encode(platform_standin.Faults(**faults))
        call_http(self.platform_address, 'POST', '/faults', body)

    def platform_calls(self) -> dict[str, int]:
        """Fetch the platform's count of calls by path."""
        body = call_http(self.platform_address, 'GET', '/')
        return msgspec.json.decode(body)

    def ledger(self) -> list[Run]:
        """Read the runs of all upstreams from the ledger."""
        return read_ledger(self.ledger_file)

    def runs_of(self, operation: str) -> list[Run]:
        """Return the runs of one operation."""
        return [run for run in self.ledger() if run.operation == operation]

    def cut(self, senders: list[Node], receivers: list[Node]) -> None:
        """Cut the links from one set of nodes to another."""
        for link in self._find_links(senders, receivers):
            link.cut()

    def cut_store(self, nodes: list[Node]) -> None:
        """Cut the links from nodes to the platform."""
        for link in self.relay.between({one.peer for one in nodes}, {STORE}):
            link.cut()

    def heal(self) -> None:
        """Restore all cut links."""
        for link in self.relay.links.values():
            if link.is_cut:
                link.heal()

    def silence(self, senders: list[Node], receivers: list[Node]) -> None:
        """Drop data on the open connections from senders to receivers.

        The connections stay open; new ones work.
        """
        for link in self._find_links(senders, receivers):
            link.silence()

    def stall(self, senders: list[Node], receivers: list[Node]) -> None:
        """Hold back data on the open connections to the receivers."""
        for link in self._find_links(senders, receivers):
            link.stall()

    def release(self) -> None:
        """Deliver the data that `stall` held back."""
        for link in self.relay.links.values():
            link.release()

    def in_region(self, region: str) -> list[Node]:
        """Return the nodes of a region."""
        return [node for node in self.nodes if node.vm.region == region]

    def stop(self) -> None:
        """Kill all processes of the fleet, the last started first."""
        for process in reversed(self.processes):
            process.stop()

    def _find_links(
        self, senders: list[Node], receivers: list[Node]
    ) -> list[Link]:
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
            is_other_region = other.region != own.region
            delay = self.spec.region_delay if is_other_region else 0
            link = Link(loopback_address(free_port()), peer, delay)
            self.relay.add((peers[number], peer), link)
            dial[peer] = link.listen
        return dial

    def _make_store_link(self, peer: str) -> str:
        if not self.spec.relayed:
            return self.platform_address
        link = Link(loopback_address(free_port()), self.platform_address, 0)
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
        peer, callers, admin, announce = (
            loopback_address(port) for port in ports
        )
        module, clock = self._choose_node_module(number)
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
        """Run a module with flags as a process that ends with the fleet."""
        arguments = [sys.executable, '-m', module]
        for flag, setting in flags.items():
            arguments.extend((f'--{flag.replace("_", "-")}', str(setting)))
        safe_name = name.replace(':', '-')
        process = Process(
            name,
            arguments,
            self.directory / f'{safe_name}.log',
        )
        self.processes.append(process)
        return process

    def skew(self, number: int, seconds: float) -> None:
        """Shift a node's wall clock by seconds; needs `Spec.skewable`."""
        new_file = self._clock_file(number).with_suffix('.new')
        new_file.write_text(str(seconds), encoding='ascii')
        new_file.replace(self._clock_file(number))

    def _clock_file(self, number: int) -> Path:
        return self.directory / f'clock-{number}'

    def _choose_node_module(self, number: int) -> tuple[str, dict[str, object]]:
        """Return the module that runs a node and its clock flag, if any."""
        if not self.spec.skewable:
            return 'kumquathold_node.main', {}
        self.skew(number, 0)
        clock_file = self._clock_file(number)
        return 'kumquathold_standins.skewed_node', {'clock_file': clock_file}

    def _are_admin_ports_open(self) -> bool:
        return all(is_open(node.admin) for node in self.nodes)

    def _are_upstreams_known(self) -> bool:
        expected = len(self.upstreams)
        return all(
            sum(
                len(one['upstreams']) for one in self._fetch_node_statuses(node)
            )
            == expected
            for node in self.nodes
        )

    def _fetch_node_statuses(self, node: Node) -> list[dict[str, Any]]:
        try:
            return node.client.get_json('/status')['nodes']
        except ClientError:
            return []


@contextmanager
def running_fleet(spec: Spec) -> Iterator[Fleet]:
    """Run a fleet for the duration of the block."""
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
    """Read the runs of a ledger, without an incomplete last line."""
    content = ledger_file.read_bytes()
    complete_lines = content[: content.rfind(b'\n') + 1]
    return [
        msgspec.json.decode(line, type=Run)
        for line in complete_lines.splitlines()
    ]


def wait_until(
    is_reached: Callable[[], bool],
    state_name: str,
    seconds: float = START_TIMEOUT_SECONDS,
) -> float:
    """Poll until a state is reached and return the seconds it took.

    Failed calls count as not reached. Raises `WaitTimeout` after `seconds`.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        with suppress(ClientError, OSError):
            if is_reached():
                return time.monotonic() - started_at
        time.sleep(POLL_INTERVAL_SECONDS)
    raise WaitTimeout(f'{state_name} was not reached within {seconds:.0f} s')


def call_http(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
) -> bytes:
    """Send an HTTP request and return the response body of any status."""
    connection = HTTPConnection(address, timeout=10)
    try:
        connection.request(method, path, body)
        return connection.getresponse().read()
    finally:
        connection.close()


def loopback_address(port: int) -> str:
    """Return the loopback address with a port."""
    return f'127.0.0.1:{port}'


def free_port() -> int:
    """Find a port on loopback that no process has bound."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
    raise FleetError(
        f'no free port on loopback from {FIRST_PORT} to {PORT_LIMIT - 1}',
    )


def is_open(address: str) -> bool:
    """Check whether a connection to an address succeeds."""
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
