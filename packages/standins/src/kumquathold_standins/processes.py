"""Child processes of a fleet: nodes, upstreams and others."""

from __future__ import annotations

import signal
import subprocess  # noqa: S404
from pathlib import Path
from typing import Any

import msgspec

from kumquathold_cli.client import Client
from kumquathold_standins.fleet_spec import Vm
from kumquathold_standins.loopback import call_http, loopback_address
from kumquathold_standins.upstream import Behaviour

STOP_TIMEOUT_SECONDS = 15.0
OPERATOR_SECRET = 'operator-secret-of-the-stand-in-fleet'


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
