"""Allocated ports stay free until the started process listens on them."""

import socket
import subprocess
import sys
import unittest
from pathlib import Path

from standins.launcher import ROOT
from standins.ports import BLOCK_PORTS, PortBlock, free_port

HOST = "127.0.0.1"
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
ALLOCATE_PORTS = f"""
import sys
from standins.ports import free_port
print(*(free_port("{HOST}") for _ in range(40)), flush=True)
sys.stdin.read()
"""
RUNS = 4


class FreePortTest(unittest.TestCase):
    """Ports are neither ephemeral nor allocated twice."""

    def test_allocated_ports_are_not_ephemeral(self) -> None:
        """Guards against a server that can't listen because a connection uses its port."""
        first, last = (int(text) for text in EPHEMERAL_RANGE.read_text().split())
        for port in [free_port(HOST) for _ in range(3 * BLOCK_PORTS)]:
            self.assertFalse(first <= port <= last, port)

    def test_a_connection_on_a_port_prevents_listening(self) -> None:
        """Demonstrates the failure that the range of ports avoids."""
        with socket.create_server((HOST, 0)) as peer, socket.socket() as connection:
            connection.connect(peer.getsockname())
            port = connection.getsockname()[1]
            with socket.socket() as server, self.assertRaises(OSError):
                server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                server.bind((HOST, port))

    def test_concurrent_runs_get_different_ports(self) -> None:
        """Guards against two runs that allocate the same port before either listens on it."""
        runs = [
            subprocess.Popen(
                [sys.executable, "-c", ALLOCATE_PORTS],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for _ in range(RUNS)
        ]
        ports: list[str] = []
        for run in runs:
            assert run.stdout is not None
            ports += run.stdout.readline().split()
        for run in runs:
            run.communicate()
        self.assertEqual(len(ports), 40 * RUNS)
        self.assertEqual(len(set(ports)), len(ports))

    def test_a_port_in_use_is_skipped(self) -> None:
        block = PortBlock()
        self.addCleanup(block.close)
        port = block.port(HOST)
        assert port is not None
        with socket.create_server((HOST, port + 1)):
            self.assertEqual(block.port(HOST), port + 2)

    def test_no_port_is_allocated_twice(self) -> None:
        """Guards against two servers that are assigned the same port before either listens."""
        ports = [free_port(HOST) for _ in range(3 * BLOCK_PORTS)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_an_exhausted_block_returns_none(self) -> None:
        block = PortBlock()
        self.addCleanup(block.close)
        ports = [block.port(HOST) for _ in range(BLOCK_PORTS)]
        self.assertIsNone(ports[-1])
        self.assertNotIn(None, ports[:-1])
