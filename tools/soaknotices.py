"""Faults of the soak in which a server says something of itself, and what may reach it then."""

import asyncio
import random
import signal
import time
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from standins.launcher import Launcher
from tools.soakparts import Seen, Site

__all__ = ["Limited", "NoticeFaults"]

WINDOW, FACTOR, SLACK = 4.0, 1.5, 5.0
"""Seconds of a window, and by how much its requests may exceed a limit: a factor, and requests."""
CALM_S = 4.0
"""Seconds after a word of a server, and after a harm, from which requests count."""
LIMITS = (0.5, 1.5, 4.0)


@dataclass(frozen=True, slots=True)
class Limited:
    """A server that named a limit for some time; unix times in seconds."""

    target_id: str
    process: str
    per_s: float
    began: float
    ended: float


class NoticeFaults:
    """Lets servers name limits, and judges by what reached them.

    A gateway that was killed or stood still, and a way that was cut, excuse what comes from there.
    """

    def __init__(self, rng: random.Random, site: Site, launcher: Launcher) -> None:
        self._rng = rng
        self._site = site
        self._launcher = launcher
        self._harms: dict[str, list[float]] = defaultdict(list)
        self._limited: list[Limited] = []

    def harmed(self, name: str) -> None:
        """Note that a process or a way was harmed until now."""
        self._harms[name].append(time.time())

    async def limit(self) -> None:
        """Let a server name a limit for some seconds."""
        process, item = self._pick()
        if "limit_per_s" in item:
            return
        per_s = self._rng.choice(LIMITS)
        item["limit_per_s"] = per_s
        self._reload(process)
        began = time.time()
        await asyncio.sleep(self._rng.uniform(CALM_S, 2.0 * CALM_S))
        self._limited.append(Limited(item["id"], process, per_s, began, time.time()))
        del item["limit_per_s"]
        self._reload(process)

    def judge(self, seen: Sequence[Seen]) -> Iterator[str]:
        """Yield what was broken."""
        gateways_by_id = {item.request_id: item.gateway for item in seen}
        for limited in self._limited:
            if not self._is_calm(limited.process, limited.began - 1.0, limited.ended):
                continue
            times = [
                row["at"]
                for row in self._site.arrivals(limited.target_id)
                if limited.began <= row["at"] < limited.ended
                and self._counts(gateways_by_id.get(row["id"], ""), limited, row["at"])
            ]
            allowed = FACTOR * WINDOW * limited.per_s + SLACK
            worst = _worst_window(times, limited.began + CALM_S)
            if worst > allowed:
                yield (
                    f"{limited.target_id} named a limit of {limited.per_s} a second and got "
                    f"{worst} requests in {WINDOW:g} s, allowed {allowed:g}"
                )

    def _pick(self) -> tuple[str, dict[str, Any]]:
        process = self._rng.choice(list(self._site.targets_by_process))
        return process, self._rng.choice(self._site.targets_by_process[process])

    def _reload(self, process: str) -> None:
        self._site.write_targets(process)
        self._launcher.signal(process, signal.SIGHUP)

    def _counts(self, gateway: str, limited: Limited, at: float) -> bool:
        ways = (gateway, limited.target_id)
        return all(self._is_calm(name, at - CALM_S, at + CALM_S) for name in ways)

    def _is_calm(self, name: str, begin: float, end: float) -> bool:
        return not any(begin <= at <= end for at in self._harms.get(name, ()))


def _worst_window(times: Sequence[float], begin: float) -> int:
    """Return the most of some times in order in a window that ends after a moment."""
    return max(
        (sum(at - WINDOW < other <= at for other in times) for at in times if at >= begin),
        default=0,
    )
