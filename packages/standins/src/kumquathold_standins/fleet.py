"""Runs a fleet on loopback: the platform stand-in, nodes and upstreams.

Each is a separate process, and only processes that the fleet has started are
signalled. The temporary directory with logs, secrets and the ledger is removed
when the fleet stops; set `KUMQUATHOLD_KEEP_LOGS` to a directory to keep the
logs.
"""

from __future__ import annotations

import os
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgspec

from kumquathold_cli import changes
from kumquathold_cli.client import Client, ClientError
from kumquathold_core.token_bucket import GRANT_LIFETIME_SECONDS
from kumquathold_standins import platform as platform_standin
from kumquathold_standins.fleet_spec import Spec, Vm
from kumquathold_standins.loopback import (
    call_http,
    is_open,
    loopback_address,
    wait_until,
)
from kumquathold_standins.ports import free_port
from kumquathold_standins.processes import (
    OPERATOR_SECRET,
    Node,
    Process,
    Upstream,
)
from kumquathold_standins.relay import Link, Relay
from kumquathold_standins.upstream import Run

STORE = 'store'
"""Receiver name of the links from nodes to the platform."""

GRANT_EXPIRY_MARGIN_SECONDS = 0.3
"""Added to the lifetime of grants that earlier holders gave."""

FLEET_SECRET = 'fleet-secret-of-the-stand-in-fleet'


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

    def post_platform(self, action: str) -> None:
        """Let the platform `copy` what it holds, or `restore` that copy."""
        call_http(self.platform_address, 'POST', f'/{action}')

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


def _copy_logs(directory: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in directory.glob('*.log'):
        (target / log.name).write_bytes(log.read_bytes())
