"""Fault soak: servers fail requests, and the repeated arrivals are counted."""

import asyncio
import random
import signal
import time
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from standins.launcher import Launcher
from tools.soakparts import SERVICES, CallResult, SoakDeployment

__all__ = ["ERROR", "LOST", "RetryBound", "RetryFaults", "WindowUsage"]

RECOVERY_S = 4.0
"""Time for which gateways may avoid servers after these have failed."""
LOST, ERROR = "lose_share", "error_share"
"""Settings of a server: shares of its requests whose connection it closes without a response, or
which it answers with status 500."""


@dataclass(frozen=True, slots=True)
class RetryBound:
    """The most arrivals beyond the first of each request that a service may get in a window.

    Attributes
    ----------
    ratio, slack : float
        Allowed per request for the service, and in addition to that.
    window : float
        Seconds.
    """

    ratio: float = 0.2
    slack: float = 60.0
    window: float = 10.0

    def allowed(self, requests: Sequence[float], end: float) -> float:
        """Return what is allowed in the window that ends at a time.

        Requests count that were sent in this window, the one before or the one between them,
        whichever has most.

        Parameters
        ----------
        requests : sequence of float
            Times at which requests for the service were sent, in order.
        """
        ends = (end, end - self.window / 2.0, end - self.window)
        return self.ratio * max(self._count(requests, e) for e in ends) + self.slack

    def worst_window(
        self, requests: Sequence[float], repeats: Sequence[float]
    ) -> tuple[float, int, float] | None:
        """Return the window with the most repeats relative to what is allowed.

        Returns
        -------
        tuple or None
            The window's end, its repeats and what is allowed; None if nothing was repeated.
        """
        # A window that begins at a repeat may have less cover than one that ends at a repeat.
        ends = sorted([*repeats, *(at + self.window for at in repeats)])
        windows = [(end, self._count(repeats, end), self.allowed(requests, end)) for end in ends]
        return max(windows, key=lambda window: window[1] / window[2], default=None)

    def _count(self, times: Sequence[float], end: float) -> int:
        return bisect_right(times, end) - bisect_left(times, end - self.window)


@dataclass(frozen=True, slots=True)
class WindowUsage:
    """Repeated arrivals at one service in the window that ends at a Unix time in seconds."""

    service: str
    end: float
    repeats: int
    allowed: float


class RetryFaults:
    """Makes servers fail requests, and compares the repeated arrivals with the retry budget."""

    def __init__(
        self,
        rng: random.Random,
        deployment: SoakDeployment,
        launcher: Launcher,
        bound: RetryBound | None = None,
    ) -> None:
        self._rng = rng
        self._deployment = deployment
        self._launcher = launcher
        self._bound = bound or RetryBound()
        self._failure_spans: list[tuple[float, float]] = []

    async def fail_requests(self) -> None:
        """Let all servers of one process fail a share of their requests for some seconds."""
        started_at = time.time()
        process = self._rng.choice(list(self._deployment.targets_by_process))
        failure = self._rng.choice((LOST, ERROR))
        self.set_failures(process, failure, self._rng.uniform(0.1, 0.8))
        await asyncio.sleep(self._rng.uniform(1.0, 6.0))
        self.set_failures(process, failure, 0.0)
        self.record_failing(started_at)

    def record_failing(self, started_at: float) -> None:
        """Record that servers failed requests from a Unix time until now."""
        self._failure_spans.append((started_at, time.time() + RECOVERY_S))

    def were_failing(self, at: float) -> bool:
        """Return whether servers failed requests at a Unix time, or shortly before it."""
        return any(start <= at <= end for start, end in self._failure_spans)

    def set_failures(self, process: str, failure: str, share: float) -> None:
        """Let the servers of a process lose responses (:data:`LOST`) or fail (:data:`ERROR`)."""
        for item in self._deployment.targets_by_process[process]:
            item[failure] = share
        self._deployment.write_targets(process)
        self._launcher.signal(process, signal.SIGHUP)

    def worst_windows(self, results: Sequence[CallResult]) -> list[WindowUsage]:
        """Return for each service the window with the most repeats relative to the bound."""
        requests: dict[str, list[float]] = defaultdict(list)
        for result in results:
            requests[service_of_path(result.path)].append(result.sent)
        worst = []
        for service in SERVICES:
            repeats = self._repeats(service)
            window = self._bound.worst_window(sorted(requests[service]), sorted(repeats))
            if window is not None:
                worst.append(WindowUsage(service, *window))
        return worst

    def check(self, results: Sequence[CallResult]) -> Iterator[str]:
        """Yield the services whose repeated arrivals exceeded the budget."""
        for usage in self.worst_windows(results):
            if usage.repeats > usage.allowed:
                yield (
                    f"{usage.service} got {usage.repeats} repeated requests in "
                    f"{self._bound.window:g} s up to {usage.end:.3f}, allowed {usage.allowed:.1f}"
                )

    def _repeats(self, service: str) -> list[float]:
        """Return the times of all arrivals at a service but the first of each request."""
        seen: set[str] = set()
        repeats = []
        for row in self._deployment.arrivals_of_service(service):
            if row["id"] in seen:
                repeats.append(row["at"])
            seen.add(row["id"])
        return repeats


def service_of_path(path: str) -> str:
    """Return the service to which the policy of the fault soak routes a path."""
    prefix = path.split("/")[1]
    number = 0 if prefix == "base" else int(prefix.removeprefix("v")) - 1
    return SERVICES[number % len(SERVICES)]
