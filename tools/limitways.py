"""Compare strategies to enforce the limits that backend servers advertise, in a simulated fleet.

Callers send several times as many requests as the servers allow, evenly over all entries; each
request tries some servers in random order. The table has the requests in the worst window with the
number allowed there, and the share of the limits that was used. With the fault "changing", limits
halve and double every two seconds; with "cut", a fifth of the entries is isolated from the others;
with "lost", 30 % of the news between entries is lost.
"""

import argparse
import random
import sys
from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

ROOT = Path(__file__).resolve().parent.parent
if __name__ == "__main__":
    sys.path.insert(0, str(ROOT))

from briarspur import logs  # noqa: E402
from briarspur.coord.rendezvous import rank  # noqa: E402
from briarspur.gateway.registration import Registration  # noqa: E402
from briarspur.gateway.serverlimits import ServerLimits  # noqa: E402
from briarspur.gateway.servernotice import ReportedLimit  # noqa: E402
from briarspur.gateway.target import Target  # noqa: E402
from briarspur.gateway.tokens import TokenBucket  # noqa: E402

WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5.0
"""Length of a window, and the tolerance over a limit in it: a factor and a number of requests."""
FIRST_LIMIT_AT_S, DURATION_S = 1.0, 21.0
SETTLING_TIME_S = 4.0
"""Time after the first advertisement of a limit from which the limit must hold."""
REACTION_TIME_S = 0.5
"""Requests of an entry count from this time after the first response that advertises the limit."""
RESPONSE_TIME_S = 0.2
NEWS_PERIOD_S, NEWS_DELAY_S = 0.1, 0.35
CHANGE_PERIOD_S = 2.0
DEMAND_FACTOR = 3.0
"""Rate of arriving requests, as a multiple of the sum of the limits."""
MAX_TRIED = 8
SENDER_COUNT = 3
ISOLATED_SHARE, LOST_NEWS_SHARE = 0.2, 0.3


class Limiter(Protocol):
    """A strategy to enforce the limits, for all entries of a fleet."""

    def try_send(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Return whether an entry may send a request to a server; count the request if so."""

    def record_limit(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Record the limit that a response advertises to an entry."""

    def advertise(self, now: float) -> None:
        """Send the news that is due between entries."""


@dataclass
class EqualShares:
    """Each entry has an equal share of a limit, with a random phase for its first request."""

    simulation: "Simulation"
    buckets: dict[tuple[int, int], TokenBucket] = field(default_factory=dict)

    def try_send(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Return whether an entry may send a request; count the request if so."""
        bucket = self.buckets.get((entry, server))
        return bucket is None or bucket.take(now)

    def record_limit(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Record the limit that a response advertises to an entry."""
        bucket = self.buckets.get((entry, server))
        if bucket is not None:
            bucket.available(now)
            bucket.per_s = per_s / self.simulation.entries
            return
        phase = self.simulation.rng.random() * self.simulation.entries / per_s
        bucket = TokenBucket(per_s / self.simulation.entries, 1.0, now - phase)
        bucket.take(now - phase)
        self.buckets[entry, server] = bucket

    def advertise(self, now: float) -> None:
        """Do nothing; entries with equal shares send no news."""


@dataclass
class FewSenders(EqualShares):
    """Only a few entries, selected by hash, send to a server with a limit."""

    def try_send(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Return whether an entry may send a request; count the request if so."""
        if (entry, server) in self.buckets and not self._is_sender(entry, server):
            return False
        return super().try_send(entry, server, request_id, now)

    def record_limit(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Record the limit that a response advertises to an entry."""
        if (entry, server) not in self.buckets:
            self.buckets[entry, server] = TokenBucket(per_s / SENDER_COUNT, 1.0, now)
        self.buckets[entry, server].per_s = per_s / min(SENDER_COUNT, self.simulation.entries)

    def _is_sender(self, entry: int, server: int) -> bool:
        return entry in self.simulation.senders(server)


@dataclass(frozen=True, slots=True)
class _Report:
    """The counts and limits that all entries report at one time, received at ``due``."""

    due: float
    total: Counter[int]
    counts_by_entry: list[Counter[int]]
    limits_by_number: dict[int, tuple[float, float]]


class ReportedCounts:
    """The strategy of the gateway: entries report limits and their sent requests to one another."""

    def __init__(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self._targets = {target.number: target for target in simulation.targets}
        self._limits = [ServerLimits(self._targets) for _ in range(simulation.entries)]
        for limits in self._limits:
            limits.live = limits.recorded = simulation.entries
        for entry in simulation.isolated:
            self._limits[entry].live = 1
        self._in_transit: deque[_Report] = deque()
        no_counts: list[Counter[int]] = [Counter() for _ in range(simulation.entries)]
        self._current_report = _Report(0.0, Counter(), no_counts, {})
        self._applied: list[Counter[int]] = [Counter() for _ in range(simulation.entries)]
        self._latest: dict[int, tuple[float, float]] = {}

    def try_send(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Return whether an entry may send a request; count the request if so."""
        limits, target = self._limits[entry], self.simulation.targets[server]
        if entry not in self.simulation.isolated:
            self._apply_report(entry, limits, now)
        if not limits.has_room(target, request_id, now):
            return False
        limits.sent(target, now)
        return True

    def record_limit(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Record the limit that a response advertises to an entry."""
        target = self.simulation.targets[server]
        self._limits[entry].answered(target, per_s, now)
        if entry not in self.simulation.isolated:
            self._latest[target.number] = (now, per_s)

    def advertise(self, now: float) -> None:
        """Send the news that is due between entries."""
        counts = [
            Counter() if entry in self.simulation.isolated else limits.counts(now)
            for entry, limits in enumerate(self._limits)
        ]
        if self.simulation.rng.random() >= self.simulation.lost_share:
            total: Counter[int] = Counter()
            for item in counts:
                total.update(item)
            self._in_transit.append(_Report(now + NEWS_DELAY_S, total, counts, dict(self._latest)))
        while self._in_transit and self._in_transit[0].due <= now:
            self._current_report = self._in_transit.popleft()

    def _apply_report(self, entry: int, limits: ServerLimits, now: float) -> None:
        reported_limits = [
            ReportedLimit(number, per_s, now - at, now - FIRST_LIMIT_AT_S)
            for number, (at, per_s) in self._current_report.limits_by_number.items()
        ]
        limits.reported(reported_limits, now)
        others = self._current_report.total - self._current_report.counts_by_entry[entry]
        applied = self._applied[entry]
        for number in others.keys() | applied.keys():
            limits.received(number, others[number] - applied[number])
        self._applied[entry] = others


STRATEGIES: dict[str, Callable[["Simulation"], Limiter]] = {
    "equal shares": EqualShares,
    "chosen entries": FewSenders,
    "told counts": ReportedCounts,
}


class Simulation:
    """Simulates a fleet of entries in front of some servers.

    Parameters
    ----------
    fault : str
        ``none``, ``changing``, ``cut`` or ``lost``.
    """

    def __init__(self, entries: int, servers: int, per_s: float, fault: str, seed: int) -> None:
        self.rng = random.Random(seed)
        self.entries = entries
        self.per_s = per_s
        self.changing = fault == "changing"
        self.lost_share = LOST_NEWS_SHARE if fault == "lost" else 0.0
        isolated_count = round(ISOLATED_SHARE * entries) if fault == "cut" else 0
        self.isolated = frozenset(self.rng.sample(range(entries), isolated_count))
        self.targets = [
            Target(Registration(f"t-{n}", 1, "info", "127.0.0.1", 80, "a-1", 3), "a", 0.0)
            for n in range(servers)
        ]
        self.arrivals: list[list[tuple[float, int]]] = [[] for _ in range(servers)]
        self.first_limit_at: dict[tuple[int, int], float] = {}
        self._senders: dict[int, frozenset[int]] = {}

    def senders(self, server: int) -> frozenset[int]:
        """Return the entries that send to a server under the strategy with few senders."""
        if server not in self._senders:
            entry_names = [str(entry) for entry in range(self.entries)]
            chosen = rank(f"t-{server}", entry_names)[:SENDER_COUNT]
            self._senders[server] = frozenset(int(name) for name in chosen)
        return self._senders[server]

    def limit_at(self, now: float) -> float:
        """Return the limit of a server at a time, in requests per second."""
        halved = self.changing and int(now / CHANGE_PERIOD_S) % 2
        return self.per_s / 2.0 if halved else self.per_s

    def run(self, strategy: str) -> None:
        """Simulate requests under a strategy until the end."""
        limiter = STRATEGIES[strategy](self)
        responses: deque[tuple[float, int, int]] = deque()
        now = next_news = 0.0
        number = 0
        while now < DURATION_S:
            now += self.rng.expovariate(DEMAND_FACTOR * self.per_s * len(self.targets))
            while next_news <= now:
                limiter.advertise(next_news)
                next_news += NEWS_PERIOD_S
            while responses and responses[0][0] <= now:
                at, entry, server = responses.popleft()
                if at >= FIRST_LIMIT_AT_S:
                    self.first_limit_at.setdefault((entry, server), at)
                    limiter.record_limit(entry, server, self.limit_at(at), at)
            number += 1
            self._send(limiter, f"r-{number}", responses, now)

    def _send(
        self,
        limiter: Limiter,
        request_id: str,
        responses: deque[tuple[float, int, int]],
        now: float,
    ) -> None:
        entry = self.rng.randrange(self.entries)
        try_count = min(MAX_TRIED, len(self.targets))
        for server in self.rng.sample(range(len(self.targets)), try_count):
            if limiter.try_send(entry, server, request_id, now):
                self.arrivals[server].append((now, entry))
                responses.append((now + RESPONSE_TIME_S, entry, server))
                return

    def worst_window(self) -> tuple[float, float]:
        """Return the number of requests in the worst window, and the number allowed in it."""
        return max(self._windows(), key=lambda window: window[0] / window[1])

    def used_share(self) -> float:
        """Return the share of the limits that was used after they had settled."""
        begin = FIRST_LIMIT_AT_S + SETTLING_TIME_S
        request_count = sum(at >= begin for arrivals in self.arrivals for at, _ in arrivals)
        mean = sum(self.limit_at(begin + step * 0.1) for step in range(160)) / 160
        return request_count / (mean * len(self.targets) * (DURATION_S - begin))

    def _windows(self) -> Iterator[tuple[float, float]]:
        for server, arrivals in enumerate(self.arrivals):
            times = [
                at
                for at, entry in arrivals
                if at >= self.first_limit_at.get((entry, server), DURATION_S) + REACTION_TIME_S
            ]
            for last, at in enumerate(times):
                if at >= FIRST_LIMIT_AT_S + SETTLING_TIME_S:
                    first = bisect_left(times, at - WINDOW_S)
                    yield last - first + 1, self._allowed(at - WINDOW_S)
        yield 0.0, LIMIT_SLACK

    def _allowed(self, begin: float) -> float:
        mean = sum(self.limit_at(begin + step * 0.1) for step in range(40)) / 40
        return LIMIT_FACTOR * mean * WINDOW_S + LIMIT_SLACK


def main() -> int:
    """Print one row per strategy, fleet size, servers and fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="*", default=[10, 89, 300, 1700])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    logs.LOGGER.disabled = True
    print("| way | entries | servers | limit/s | fault | worst window | used |")
    print("|---|---|---|---|---|---|---|")
    for strategy in STRATEGIES:
        for entries in arguments.entries:
            for servers, per_s, fault in (
                (3, 1.7, "none"),
                (40, 0.3, "none"),
                (5, 50.0, "none"),
                (16, 1.7, "changing"),
                (16, 1.7, "cut"),
                (16, 1.7, "lost"),
            ):
                simulation = Simulation(entries, servers, per_s, fault, arguments.seed)
                simulation.run(strategy)
                highest, allowed = simulation.worst_window()
                broken = " BROKEN" if highest > allowed else ""
                print(
                    f"| {strategy} | {entries} | {servers} | {per_s:g} | {fault} | "
                    f"{highest:.0f} of {allowed:.0f}{broken} | {simulation.used_share():.2f} |",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
