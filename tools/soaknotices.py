"""Fault soak: servers advertise limits, leaving and backoff, and their requests are checked."""

import asyncio
import random
import signal
import time
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from standins.launcher import Launcher
from tools.soakparts import CallResult, SoakDeployment

__all__ = ["AdvertisedLeaving", "AdvertisedLimit", "NoticeFaults"]

WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5.0
"""Length of a window, and the tolerance over a limit in it: a factor and a number of requests."""
SETTLING_TIME_S = 4.0
"""Requests this soon after an advertisement, or this close to a fault, are not checked."""
LIMITS_PER_S = (0.5, 1.5, 4.0)
MAX_DRAIN_S = 2.5
"""How long requests may reach a leaving server after its first response that says so."""
BACKOFF_S, BACKOFF_GRACE_S, MAX_DURING_BACKOFF = 3.0, 0.5, 2
"""Length of a backoff, its start that is not checked, and the requests allowed in the remainder."""
MAX_RELOAD_S, MAX_RESPONSE_S = 0.5, 0.5
"""Longest time until a server has reloaded its settings, and until it has responded."""


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """A rate limit that a server advertised for some time; Unix times in seconds."""

    target_id: str
    process: str
    per_s: float
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class AdvertisedLeaving:
    """A server that advertises in its responses, from a Unix time on, that it is leaving."""

    target_id: str
    process: str
    started_at: float


class NoticeFaults:
    """Makes servers advertise limits, leaving and backoff, and checks which requests reach them.

    Requests are not checked around the time at which their gateway was killed or paused, or at
    which the network path to the server was disturbed.
    """

    def __init__(self, rng: random.Random, deployment: SoakDeployment, launcher: Launcher) -> None:
        self._rng = rng
        self._deployment = deployment
        self._launcher = launcher
        self._fault_ends: dict[str, list[float]] = defaultdict(list)
        self._limits: list[AdvertisedLimit] = []
        self._leaving: list[AdvertisedLeaving] = []
        self._backoffs: list[tuple[str, str]] = []

    def record_fault(self, name: str) -> None:
        """Record that a fault in a process or network path has just ended."""
        self._fault_ends[name].append(time.time())

    async def advertise_limit(self) -> None:
        """Make a server advertise a rate limit for some seconds."""
        process, item = self._pick()
        if "limit_per_s" in item:
            return
        per_s = self._rng.choice(LIMITS_PER_S)
        item["limit_per_s"] = per_s
        self._reload(process)
        started_at = time.time()
        await asyncio.sleep(self._rng.uniform(SETTLING_TIME_S, 2.0 * SETTLING_TIME_S))
        self._limits.append(AdvertisedLimit(item["id"], process, per_s, started_at, time.time()))
        del item["limit_per_s"]
        self._reload(process)

    async def advertise_leaving(self) -> None:
        """Make a server advertise leaving, in its responses only, until the run ends."""
        process, item = self._pick()
        if self._leaving or "leaving" in item:
            return
        item["leaving"] = True
        self._reload(process)
        self._leaving.append(AdvertisedLeaving(item["id"], process, time.time()))

    async def request_backoff(self) -> None:
        """Make a server reject all requests and ask for backoff for some seconds."""
        process, item = self._pick()
        if "rest_s" in item:
            return
        item["rest_s"] = BACKOFF_S
        self._reload(process)
        await asyncio.sleep(self._rng.uniform(1.0, SETTLING_TIME_S))
        self._backoffs.append((item["id"], process))
        del item["rest_s"]
        self._reload(process)

    def check(self, results: Sequence[CallResult]) -> Iterator[str]:
        """Yield the violations."""
        gateway_by_request = {result.request_id: result.gateway for result in results}
        yield from self._check_limits(gateway_by_request)
        yield from self._check_leaving(gateway_by_request)
        yield from self._check_backoffs(gateway_by_request)

    def _check_leaving(self, gateway_by_request: Mapping[str, str]) -> Iterator[str]:
        """Yield requests that reached a server too long after it advertised leaving."""
        for leaving in self._leaving:
            notified_at: dict[str, float] = {}
            for row in self._deployment.arrivals(leaving.target_id):
                gateway = gateway_by_request.get(row["id"], "")
                if row["at"] < leaving.started_at + MAX_RELOAD_S or not self.is_undisturbed(
                    leaving.process, leaving.started_at - 1.0, row["at"]
                ):
                    continue
                notified = notified_at.setdefault(gateway, row["at"] + MAX_RESPONSE_S)
                disturbed = not self.is_undisturbed(gateway, leaving.started_at, row["at"])
                if row["at"] > notified + MAX_DRAIN_S and not disturbed:
                    yield f"{leaving.target_id} leaves and got {row['id']} from {gateway}"

    def _check_backoffs(self, gateway_by_request: Mapping[str, str]) -> Iterator[str]:
        """Yield backoffs during which a gateway sent too many requests."""
        for target_id, process in self._backoffs:
            arrivals = self._deployment.arrivals(target_id)
            for backoff in self._deployment.backoffs(target_id):
                gateway, at = gateway_by_request.get(backoff["id"], ""), backoff["at"]
                # A restarted target is a new incarnation, which has not asked for backoff.
                sources = (gateway, target_id, process)
                if not all(self.is_undisturbed(name, at - 1.0, at + BACKOFF_S) for name in sources):
                    continue
                count = sum(
                    at + BACKOFF_GRACE_S < row["at"] < at + BACKOFF_S
                    and gateway_by_request.get(row["id"]) == gateway
                    for row in arrivals
                )
                if count > MAX_DURING_BACKOFF:
                    yield f"{target_id} asked {gateway} to back off and got {count} requests"

    def _check_limits(self, gateway_by_request: Mapping[str, str]) -> Iterator[str]:
        """Yield servers that got more requests than their advertised limit allows."""
        for limit in self._limits:
            if not self.is_undisturbed(limit.process, limit.started_at - 1.0, limit.ended_at):
                continue
            times = [
                row["at"]
                for row in self._deployment.arrivals(limit.target_id)
                if limit.started_at <= row["at"] < limit.ended_at
                and self._is_checked(gateway_by_request.get(row["id"], ""), limit, row["at"])
            ]
            allowed = LIMIT_FACTOR * WINDOW_S * limit.per_s + LIMIT_SLACK
            highest = _max_in_window(times, limit.started_at + SETTLING_TIME_S)
            if highest > allowed:
                yield (
                    f"{limit.target_id} advertised a limit of {limit.per_s}/s and got "
                    f"{highest} requests in {WINDOW_S:g} s, allowed {allowed:g}"
                )

    def _pick(self) -> tuple[str, dict[str, Any]]:
        process = self._rng.choice(list(self._deployment.targets_by_process))
        return process, self._rng.choice(self._deployment.targets_by_process[process])

    def _reload(self, process: str) -> None:
        self._deployment.write_targets(process)
        self._launcher.signal(process, signal.SIGHUP)

    def _is_checked(self, gateway: str, limit: AdvertisedLimit, at: float) -> bool:
        sources = (gateway, limit.target_id)
        return all(
            self.is_undisturbed(name, at - SETTLING_TIME_S, at + SETTLING_TIME_S)
            for name in sources
        )

    def is_undisturbed(self, name: str, begin: float, end: float) -> bool:
        """Return whether no fault of a process or network path ended between two Unix times."""
        return not any(begin <= at <= end for at in self._fault_ends.get(name, ()))


def _max_in_window(times: Sequence[float], begin: float) -> int:
    """Return the largest number of the sorted times in any window that ends after ``begin``."""
    return max(
        (sum(at - WINDOW_S < other <= at for other in times) for at in times if at >= begin),
        default=0,
    )
