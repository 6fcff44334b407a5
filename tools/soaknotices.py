"""Faults of the soak in which a server says something of itself, and what may reach it then."""

import asyncio
import random
import signal
import time
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from standins.launcher import Launcher
from tools.soakparts import Seen, Site

__all__ = ["Left", "Limited", "NoticeFaults"]

WINDOW, FACTOR, SLACK = 4.0, 1.5, 5.0
"""Seconds of a window, and by how much its requests may exceed a limit: a factor, and requests."""
CALM_S = 4.0
"""Seconds after a word of a server, and after a harm, from which requests count."""
LIMITS = (0.5, 1.5, 4.0)
DRAIN_S = 2.5
"""Seconds after the first answer that says so in which requests may reach a leaving server."""
REST_S, HEARD_S, MOST_IN_REST = 3.0, 0.5, 2
"""Seconds of a rest, seconds of it that don't count, and requests that may come in the others."""
RELOAD_S, WORK_S = 0.5, 0.5
"""Seconds until a server has read its settings anew, and until it has answered, at most."""


@dataclass(frozen=True, slots=True)
class Limited:
    """A server that named a limit for some time; unix times in seconds."""

    target_id: str
    process: str
    per_s: float
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class Left:
    """A server that says in its answers that it leaves, from a unix time on."""

    target_id: str
    process: str
    began: float


class NoticeFaults:
    """Lets servers name limits, leave and ask for rest, and judges by what reached them.

    A gateway that was killed or stood still, and a way that was cut, excuse what comes from there.
    """

    def __init__(self, rng: random.Random, site: Site, launcher: Launcher) -> None:
        self._rng = rng
        self._site = site
        self._launcher = launcher
        self._harms: dict[str, list[float]] = defaultdict(list)
        self._limited: list[Limited] = []
        self._left: list[Left] = []
        self._rested: list[tuple[str, str]] = []

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

    async def leave(self) -> None:
        """Let a server say in its answers only that it leaves, and go on for the whole run."""
        process, item = self._pick()
        if self._left or "leaving" in item:
            return
        item["leaving"] = True
        self._reload(process)
        self._left.append(Left(item["id"], process, time.time()))

    async def rest(self) -> None:
        """Let a server turn all requests away and ask for rest, for a while."""
        process, item = self._pick()
        if "rest_s" in item:
            return
        item["rest_s"] = REST_S
        self._reload(process)
        await asyncio.sleep(self._rng.uniform(1.0, CALM_S))
        self._rested.append((item["id"], process))
        del item["rest_s"]
        self._reload(process)

    def judge(self, seen: Sequence[Seen]) -> Iterator[str]:
        """Yield what was broken."""
        gateways_by_id = {item.request_id: item.gateway for item in seen}
        yield from self._judge_limits(gateways_by_id)
        yield from self._judge_leaving(gateways_by_id)
        yield from self._judge_rests(gateways_by_id)

    def _judge_leaving(self, gateways_by_id: Mapping[str, str]) -> Iterator[str]:
        """Yield what reached a server long after an answer had told the same gateway."""
        for left in self._left:
            told_at: dict[str, float] = {}
            for row in self._site.arrivals(left.target_id):
                gateway = gateways_by_id.get(row["id"], "")
                if row["at"] < left.began + RELOAD_S or not self._is_calm(
                    left.process, left.began - 1.0, row["at"]
                ):
                    continue
                first = told_at.setdefault(gateway, row["at"] + WORK_S)
                harmed = not self._is_calm(gateway, left.began, row["at"])
                if row["at"] > first + DRAIN_S and not harmed:
                    yield f"{left.target_id} leaves and got {row['id']} from {gateway}"

    def _judge_rests(self, gateways_by_id: Mapping[str, str]) -> Iterator[str]:
        """Yield rests in which a gateway sent more than it may."""
        for target_id, process in self._rested:
            arrivals = self._site.arrivals(target_id)
            for asked in self._site.rests(target_id):
                gateway, at = gateways_by_id.get(asked["id"], ""), asked["at"]
                # A target that starts again is another incarnation, which has asked for nothing.
                ways = (gateway, target_id, process)
                if not all(self._is_calm(name, at - 1.0, at + REST_S) for name in ways):
                    continue
                count = sum(
                    at + HEARD_S < row["at"] < at + REST_S
                    and gateways_by_id.get(row["id"]) == gateway
                    for row in arrivals
                )
                if count > MOST_IN_REST:
                    yield f"{target_id} asked {gateway} for rest and got {count} requests in it"

    def _judge_limits(self, gateways_by_id: Mapping[str, str]) -> Iterator[str]:
        """Yield servers that got more than the limit they named."""
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
