"""Ports of test runs beside each other."""

from __future__ import annotations

import subprocess
import sys
import unittest

from kumquathold_standins import ports
from kumquathold_standins.ports import PortBlock, free_port

PRINT_PORTS = (
    'from kumquathold_standins.ports import free_port;'
    'print(*(free_port() for _ in range(50)), flush=True);'
    'input()'
)


class PortsTest(unittest.TestCase):
    """No two processes take the same port."""

    def test_processes_take_ports_of_different_blocks(self) -> None:
        processes = [self.start() for _ in range(3)]
        taken = [self.read_ports(process) for process in processes]
        taken.append({free_port() for _ in range(50)})
        self.assertEqual(sum(map(len, taken)), len(set().union(*taken)))

    def test_block_is_free_again_once_it_is_no_longer_held(self) -> None:
        block = PortBlock()
        first = block.ports[0] - 1
        block.claim.close()
        with ports.socket.socket() as probe:
            self.assertTrue(ports.try_bind(probe, first))

    def test_port_in_use_is_passed_over(self) -> None:
        block = PortBlock()
        self.addCleanup(block.claim.close)
        taken = ports.socket.socket()
        self.addCleanup(taken.close)
        ports.try_bind(taken, block.ports[0])
        self.assertEqual(block.find_free(), block.ports[1])

    def start(self) -> subprocess.Popen[str]:
        """Start a process that takes ports, until its input ends."""
        process = subprocess.Popen(
            [sys.executable, '-c', PRINT_PORTS],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate, '\n')
        return process

    def read_ports(self, process: subprocess.Popen[str]) -> set[int]:
        """Return the ports that a process has taken."""
        assert process.stdout is not None
        return {int(port) for port in process.stdout.readline().split()}


if __name__ == '__main__':
    unittest.main()
