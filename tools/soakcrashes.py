"""Fault soak: a caller repeats a request that crashes each backend server that runs it."""

import asyncio
import itertools
import random
import time
from collections.abc import Iterator

from standins.launcher import Launcher
from tools.soakparts import MAX_ATTEMPT_S, REPEAT, CallResult, SoakDeployment

__all__ = ["CrashFaults"]

CRASHING_PATH = "poison"
"""End of the path of the request that crashes servers."""
REPEAT_INTERVAL_S = 0.35
CRASHES_TO_LEARN = 3
PROPAGATION_S = 3.0
"""Time after the third crash from which the request must reach hardly any server."""
MAX_LATE_ARRIVALS = 3
RECOVERY_S = 4.0
"""Time after the last copy for which servers may be down."""


class CrashFaults:
    """Repeats requests that crash servers, and counts how often they reach servers later on.

    Attributes
    ----------
    results : list of CallResult
        The results of these requests.
    """

    def __init__(self, rng: random.Random, deployment: SoakDeployment, launcher: Launcher) -> None:
        self._rng = rng
        self._deployment = deployment
        self._launcher = launcher
        self._names = itertools.count(1)
        self._unchecked: set[str] = set()
        self._spans: list[tuple[float, float]] = []
        self.results: list[CallResult] = []

    def enable(self) -> None:
        """Let the servers crash on the request; must be called before they start."""
        for items in self._deployment.targets_by_process.values():
            for item in items:
                item["crashes_on"] = CRASHING_PATH

    async def repeat_crashing_request(self) -> None:
        """Repeat a new request for some seconds, unchecked: all gateways may restart meanwhile."""
        started_at = time.time()
        until = started_at + self._rng.uniform(2.0, 5.0)
        self._unchecked.add(f"{CRASHING_PATH}-{await self.repeat(until)}")
        self._spans.append((started_at, time.time() + RECOVERY_S))

    def were_crashing(self, at: float) -> bool:
        """Return whether servers crashed at a Unix time, or shortly before it."""
        return any(start <= at <= end for start, end in self._spans)

    async def repeat(self, until: float, copies: int = 1) -> int:
        """Repeat a new request that crashes servers at each entry in turn; return its number."""
        request_number = next(self._names)
        name = f"{CRASHING_PATH}-{request_number}"
        numbers = itertools.count(1)
        tasks = []
        while time.time() < until:
            for _ in range(copies):
                tasks.append(asyncio.ensure_future(self._send(name, next(numbers))))
            await asyncio.sleep(REPEAT_INTERVAL_S)
        await asyncio.gather(*tasks)
        return request_number

    def check(self) -> Iterator[str]:
        """Yield the requests that still reached servers after they had crashed three of them."""
        names = {_name(result.request_id) for result in self.results}
        for name in sorted(names - self._unchecked):
            crashes = [at for at, request_id in self._rows("crash") if _name(request_id) == name]
            if len(crashes) < CRASHES_TO_LEARN:
                continue
            learned_at = sorted(crashes)[CRASHES_TO_LEARN - 1] + PROPAGATION_S
            late = {
                request_id
                for at, request_id in self._rows("arrival")
                if _name(request_id) == name and at > learned_at
            }
            if len(late) > MAX_LATE_ARRIVALS:
                yield (
                    f"{name} crashed {len(crashes)} servers and reached servers {len(late)} times "
                    f"later than {PROPAGATION_S:g} s after the third crash"
                )

    def _rows(self, kind: str) -> Iterator[tuple[float, str]]:
        return ((row["at"], row["id"]) for row in self._deployment.rows(kind))

    async def _send(self, name: str, number: int) -> None:
        gateways = list(self._deployment.gateways)
        gateway = gateways[number % len(gateways)]
        result = CallResult(
            f"{name}-{number}",
            f"/base/{REPEAT}/{name}/{CRASHING_PATH}",
            False,
            gateway,
            time.time(),
        )
        self.results.append(result)
        try:
            async with asyncio.timeout(MAX_ATTEMPT_S):
                result.status = await self._call(result)
        except (OSError, TimeoutError, EOFError, ValueError, IndexError):
            result.truncated = True
        result.ended = time.time()

    async def _call(self, result: CallResult) -> int:
        gateway = self._deployment.gateways[result.gateway]
        reader, writer = await asyncio.open_connection(gateway["host"], gateway["caller"])
        try:
            writer.write(
                f"GET {result.path} HTTP/1.1\r\nHost: quay.example\r\n"
                f"X-Request-Id: {result.request_id}\r\nX-Affinity-Key: 5\r\n"
                "X-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n".encode()
            )
            return int((await reader.readline()).split()[1])
        finally:
            writer.close()


def _name(request_id: str) -> str:
    """Return the name of a repeated request; each repeat has an id of its own."""
    return request_id.rpartition("-")[0]
