"""Fault soak: callers disconnect in the middle of long responses, and nothing may stay open."""

import asyncio
import itertools
import random
import time
from collections.abc import AsyncIterator
from pathlib import Path

from standins.launcher import Launcher
from tools.soakparts import MAX_ATTEMPT_S, REPEAT, CallResult, SoakDeployment

__all__ = ["LeavingCallers"]

RESPONSE_BYTES = 3_000_000
MAX_READ_BYTES = 600_000
"""Most that a caller reads before it disconnects."""
CALLERS_AT_ONCE = 10
STAYS_S = 0.3
"""Longest time for which a caller keeps its connection without reading on."""
MAX_MEMORY_MB = 200
"""Memory of the smallest VMs."""
KB_PER_MB = 1_024
OPEN_REQUESTS = b"\nbriarspur_open_requests "


class LeavingCallers:
    """Sends requests whose callers disconnect, and checks what gateways hold at the end.

    Attributes
    ----------
    results : list of CallResult
        These requests; none is answered completely.
    """

    def __init__(self, rng: random.Random, deployment: SoakDeployment, launcher: Launcher) -> None:
        self._rng = rng
        self._deployment = deployment
        self._launcher = launcher
        self._numbers = itertools.count(1)
        self.results: list[CallResult] = []

    async def leave(self) -> None:
        """Let some callers disconnect at about the same time."""
        await asyncio.gather(*(self._leave_one() for _ in range(CALLERS_AT_ONCE)))

    async def _leave_one(self) -> None:
        gateway = self._rng.choice(list(self._deployment.gateways))
        path = f"/base/{REPEAT}/long?bytes={RESPONSE_BYTES}"
        result = CallResult(
            f"leaving-{next(self._numbers)}", path, False, gateway, time.time(), truncated=True
        )
        self.results.append(result)
        plan = self._deployment.gateways[gateway]
        read_bytes, stays_s = self._rng.randrange(MAX_READ_BYTES), self._rng.uniform(0.0, STAYS_S)
        try:
            async with asyncio.timeout(MAX_ATTEMPT_S):
                reader, writer = await asyncio.open_connection(plan["host"], plan["caller"])
                writer.write(
                    f"GET {path} HTTP/1.1\r\nHost: quay.example\r\n"
                    f"X-Request-Id: {result.request_id}\r\nX-Affinity-Key: 3\r\n"
                    "X-Deadline-Ms: 2000\r\n\r\n".encode()
                )
                await reader.readexactly(read_bytes)
                await asyncio.sleep(stays_s)
                writer.transport.abort()
        except (OSError, EOFError):
            # Another fault ended the request first.
            pass
        result.ended = time.time()

    async def check(self) -> AsyncIterator[str]:
        """Yield what gateways still hold after all callers have gone."""
        for name, plan in self._deployment.gateways.items():
            if not self._launcher.is_alive(name):
                continue
            try:
                open_requests = await _open_requests(plan["host"], plan["ready"])
            except OSError:
                # It has just been started again.
                continue
            if open_requests:
                yield f"{name} has {open_requests} open requests after all callers have gone"
            memory = _memory_mb(self._launcher.pid(name))
            if memory > MAX_MEMORY_MB:
                yield f"{name} uses {memory:.0f} MB, allowed {MAX_MEMORY_MB}"


async def _open_requests(host: str, port: int) -> int:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        page = await reader.read()
    finally:
        writer.close()
    return int(float(page.partition(OPEN_REQUESTS)[2].split()[0]))


def _memory_mb(process_id: int) -> float:
    """Return the resident memory of a process, as the kernel reports it."""
    status = Path(f"/proc/{process_id}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / KB_PER_MB
