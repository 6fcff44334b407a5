"""Fault soak: gateways are cut off from all servers, while callers and the store reach them."""

import asyncio
import random
import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from standins.loopproxy import Fault
from tools.soakparts import Caller, CallResult, SoakDeployment

__all__ = ["CUT_KINDS", "HALF", "REFUSED", "RESET", "SILENT", "Cut", "CutFaults", "PinnedCaller"]

SILENT, RESET, REFUSED, HALF = "silent", "reset", "refused", "half"
CUT_KINDS = (SILENT, RESET, REFUSED, HALF)
"""All connections hang; open ones are reset and new ones hang; open ones are reset and new ones
refused; open ones live on and new ones are refused."""
DETECTION_S = 3.0
"""Time from the begin of a cut in which requests may fail."""
RECOVERY_S = 3.0
"""Time after a cut within which gateways detect that servers can be reached again."""
MIN_RELATIVE_SHARE = 2.0 / 3.0
ALLOWED_FAILURES, ALLOWED_FAILURE_SHARE = 10, 1.0 / 50.0
"""Requests that may fail at cut gateways: a number, and a share of all requests."""


@dataclass(frozen=True, slots=True)
class Cut:
    """Gateways that were cut off for some time; Unix times in seconds."""

    gateways: frozenset[str]
    kind: str
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class Served:
    """How many of some requests were answered."""

    answered: int
    total: int

    @property
    def share(self) -> float:
        """The share that was answered."""
        return self.answered / max(1, self.total)

    @classmethod
    def of(cls, results: Iterable[CallResult]) -> "Served":
        """Count the answers of requests."""
        statuses = [result.status for result in results]
        return cls(statuses.count(200), len(statuses))


class CutFaults:
    """Cuts gateways off from all servers, and compares what their callers and others get."""

    def __init__(self, rng: random.Random, deployment: SoakDeployment) -> None:
        self._rng = rng
        self._deployment = deployment
        self.cuts: list[Cut] = []
        self._full_spans: list[tuple[float, float]] = []

    async def cut_some(self) -> None:
        """Cut some gateways off, unchecked: other faults may keep the others from serving."""
        names = list(self._deployment.gateways)
        chosen = self._rng.sample(names, self._rng.randint(1, len(names)))
        cut = await self._cut(chosen, self._rng.choice(CUT_KINDS), self._rng.uniform(1.0, 6.0))
        if len(chosen) == len(names):
            self._full_spans.append((cut.began, cut.ended + RECOVERY_S))

    def were_all_cut_off(self, at: float) -> bool:
        """Return whether no gateway reached a server at a Unix time, or shortly before it."""
        return any(start <= at <= end for start, end in self._full_spans)

    async def cut(self, gateways: Sequence[str], kind: str, seconds: float) -> None:
        """Cut gateways off for some time, and check later what their callers got."""
        self.cuts.append(await self._cut(gateways, kind, seconds))

    async def _cut(self, gateways: Sequence[str], kind: str, seconds: float) -> Cut:
        began = time.time()
        sources = [self._deployment.gateways[name]["host"] for name in gateways]
        hangs = kind in (SILENT, RESET)
        fault = Fault(drop_requests=True, drop_responses=True) if hangs else Fault(refuse=True)
        for proxy in self._server_proxies():
            for source in sources:
                proxy.fault_by_source[source] = fault
                if kind in (RESET, REFUSED):
                    proxy.reset(source)
        await asyncio.sleep(seconds)
        for proxy in self._server_proxies():
            for source in sources:
                # An overlapping cut may have ended first.
                proxy.fault_by_source.pop(source, None)
                if hangs:
                    proxy.reset(source)
        return Cut(frozenset(gateways), kind, began, time.time())

    def check(self, results: Sequence[CallResult]) -> Iterator[str]:
        """Yield the cuts whose gateways served their callers far worse than the others did."""
        for cut in self.cuts:
            at_cut, elsewhere = self.served(cut, results)
            failed = at_cut.total - at_cut.answered
            total = at_cut.total + elsewhere.total
            is_worse = at_cut.share < MIN_RELATIVE_SHARE * elsewhere.share
            if is_worse and failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * total:
                yield (
                    f"gateways cut off from all servers ({cut.kind}) answered {at_cut.answered} "
                    f"of {at_cut.total} requests, the others {elsewhere.answered} "
                    f"of {elsewhere.total}"
                )

    def served(self, cut: Cut, results: Sequence[CallResult]) -> tuple[Served, Served]:
        """Return what was served at the gateways that were cut off, and at the others."""
        meanwhile = [r for r in results if cut.began + DETECTION_S <= r.sent < cut.ended]
        return (
            Served.of(r for r in meanwhile if r.gateway in cut.gateways),
            Served.of(r for r in meanwhile if r.gateway not in cut.gateways),
        )

    def _server_proxies(self) -> list[Any]:
        proxies = self._deployment.proxies.items()
        return [proxy for name, proxy in proxies if not name.startswith("store-")]


class PinnedCaller(Caller):
    """A caller that keeps to one gateway, as one does that has a connection or an old look-up."""

    gateway = ""

    async def connect(self) -> tuple[str, asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the gateway without a look-up."""
        plan = self._deployment.gateways[self.gateway]
        reader, writer = await asyncio.open_connection(plan["host"], plan["caller"])
        return self.gateway, reader, writer
