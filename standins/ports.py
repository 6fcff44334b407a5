"""Allocation of free ports for processes that tests, demos and experiments start."""

import os
import socket

__all__ = ["BLOCK_PORTS", "FIRST_PORT", "LAST_PORT", "PortBlock", "free_port"]

FIRST_PORT = 16_384
LAST_PORT = 32_767
"""End of the range below the ephemeral ports (usually 32,768 to 60,999). The kernel may assign an
ephemeral port to an outgoing connection between its allocation here and its use."""
BLOCK_PORTS = 128
"""Ports per block. The first one is never allocated, because it locks the block."""
BLOCK_COUNT = (LAST_PORT + 1 - FIRST_PORT) // BLOCK_PORTS
LOCK_HOST = "127.0.0.1"


class PortBlock:
    """A block of ports that is reserved for this process; each port is allocated once.

    A datagram socket bound to the first port of the block locks it while the process runs. This
    keeps two runs that start at the same time from allocating the same port before either listens
    on it.
    """

    def __init__(self) -> None:
        self._lock, first = _lock_block()
        self._unused = iter(range(first + 1, first + BLOCK_PORTS))

    def port(self, host: str) -> int | None:
        """Return the next port that can be bound, or None if the block is exhausted."""
        return next((port for port in self._unused if _is_free(host, port)), None)

    def close(self) -> None:
        """Unlock the block for other processes."""
        self._lock.close()


_blocks: list[PortBlock] = []


def free_port(host: str) -> int:
    """Return a port of ``host`` that is free and not allocated to anyone else.

    Raises
    ------
    OSError
        Other processes have locked all blocks.
    """
    while True:
        port = _blocks[-1].port(host) if _blocks else None
        if port is not None:
            return port
        _blocks.append(PortBlock())


def _lock_block() -> tuple[socket.socket, int]:
    for step in range(BLOCK_COUNT):
        first = FIRST_PORT + (os.getpid() + step) % BLOCK_COUNT * BLOCK_PORTS
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((LOCK_HOST, first))
        except OSError:
            lock.close()
            continue
        return lock, first
    raise OSError(f"all {BLOCK_COUNT} port blocks are in use")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        # Servers set this too; connections in TIME_WAIT don't make a port unusable for them.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
        return True
