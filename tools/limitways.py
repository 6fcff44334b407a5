"""Compare ways to keep the limits that backend servers name, in a played fleet.

Callers ask for many times what the servers take, over all entries alike; every request tries some
servers in an order of its own. Printed are the requests in the worst window beside what is allowed
there, and which part of the limits was used. "Changing" limits halve and double every two seconds;
with "cut" a fifth of the entries hears nobody and is not heard; with "lost" three in ten news are.
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

WINDOW, FACTOR, SLACK = 4.0, 1.5, 5.0
"""Seconds of a window, and by how much its requests may exceed a limit: a factor, and requests."""
NAMED_AT, PLAYED_S = 1.0, 21.0
CALM_S = 4.0
"""Seconds after a limit was first named from which it must hold."""
TOLD_S = 0.5
"""Seconds after an answer that names a limit from which the requests of its entry count."""
ANSWER_S = 0.2
NEWS_PERIOD, NEWS_DELAY = 0.1, 0.35
CHANGE_S = 2.0
DEMAND = 3.0
"""Requests that come, as a multiple of the sum of the limits."""
MOST_TRIED = 8
SENDERS = 3
CUT_SHARE, LOST_SHARE = 0.2, 0.3


class Limiter(Protocol):
    """One way to keep the limits, for all entries of a fleet."""

    def has_room(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Tell whether an entry may send a request to a server, and count it if so."""

    def heard(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Take the limit that an answer names."""

    def tell(self, now: float) -> None:
        """Let news travel."""


@dataclass
class EqualShares:
    """Each entry has an equal part of a limit, and begins somewhere within its first request."""

    play: "Play"
    buckets: dict[tuple[int, int], TokenBucket] = field(default_factory=dict)

    def has_room(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Tell whether an entry may send, and count it if so."""
        bucket = self.buckets.get((entry, server))
        return bucket is None or bucket.take(now)

    def heard(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Take the limit that an answer names."""
        bucket = self.buckets.get((entry, server))
        if bucket is not None:
            bucket.available(now)
            bucket.per_s = per_s / self.play.entries
            return
        phase = self.play.rng.random() * self.play.entries / per_s
        bucket = TokenBucket(per_s / self.play.entries, 1.0, now - phase)
        bucket.take(now - phase)
        self.buckets[entry, server] = bucket

    def tell(self, now: float) -> None:
        """Let news travel; there are none."""


@dataclass
class ChosenEntries(EqualShares):
    """A few entries, the same by hash for all, send to a limited server."""

    def has_room(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Tell whether an entry may send, and count it if so."""
        if (entry, server) in self.buckets and not self._is_sender(entry, server):
            return False
        return super().has_room(entry, server, request_id, now)

    def heard(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Take the limit that an answer names."""
        if (entry, server) not in self.buckets:
            self.buckets[entry, server] = TokenBucket(per_s / SENDERS, 1.0, now)
        self.buckets[entry, server].per_s = per_s / min(SENDERS, self.play.entries)

    def _is_sender(self, entry: int, server: int) -> bool:
        return entry in self.play.senders(server)


@dataclass(frozen=True, slots=True)
class _Told:
    """What all entries say at one moment, and when it has reached the others."""

    due: float
    total: Counter[int]
    counts_by_entry: list[Counter[int]]
    limits_by_number: dict[int, tuple[float, float]]


class ToldCounts:
    """What runs: entries tell one another of limits and of what they sent."""

    def __init__(self, play: "Play") -> None:
        self.play = play
        self._targets = {target.number: target for target in play.targets}
        self._limits = [ServerLimits(self._targets) for _ in range(play.entries)]
        for limits in self._limits:
            limits.live = limits.recorded = play.entries
        for entry in play.cut:
            self._limits[entry].live = 1
        self._under_way: deque[_Told] = deque()
        nothing: list[Counter[int]] = [Counter() for _ in range(play.entries)]
        self._told = _Told(0.0, Counter(), nothing, {})
        self._applied: list[Counter[int]] = [Counter() for _ in range(play.entries)]
        self._latest: dict[int, tuple[float, float]] = {}

    def has_room(self, entry: int, server: int, request_id: str, now: float) -> bool:
        """Tell whether an entry may send, and count it if so."""
        limits, target = self._limits[entry], self.play.targets[server]
        if entry not in self.play.cut:
            self._hear(entry, limits, now)
        if not limits.has_room(target, request_id, now):
            return False
        limits.sent(target, now)
        return True

    def heard(self, entry: int, server: int, per_s: float, now: float) -> None:
        """Take the limit that an answer names."""
        target = self.play.targets[server]
        self._limits[entry].answered(target, per_s, now)
        if entry not in self.play.cut:
            self._latest[target.number] = (now, per_s)

    def tell(self, now: float) -> None:
        """Let news travel."""
        counts = [
            Counter() if entry in self.play.cut else limits.counts(now)
            for entry, limits in enumerate(self._limits)
        ]
        if self.play.rng.random() >= self.play.lost:
            total: Counter[int] = Counter()
            for item in counts:
                total.update(item)
            self._under_way.append(_Told(now + NEWS_DELAY, total, counts, dict(self._latest)))
        while self._under_way and self._under_way[0].due <= now:
            self._told = self._under_way.popleft()

    def _hear(self, entry: int, limits: ServerLimits, now: float) -> None:
        told = [
            ReportedLimit(number, per_s, now - at, now - NAMED_AT)
            for number, (at, per_s) in self._told.limits_by_number.items()
        ]
        limits.reported(told, now)
        others = self._told.total - self._told.counts_by_entry[entry]
        known = self._applied[entry]
        for number in others.keys() | known.keys():
            limits.received(number, others[number] - known[number])
        self._applied[entry] = others


WAYS: dict[str, Callable[["Play"], Limiter]] = {
    "equal shares": EqualShares,
    "chosen entries": ChosenEntries,
    "told counts": ToldCounts,
}


class Play:
    """One fleet before some servers.

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
        self.lost = LOST_SHARE if fault == "lost" else 0.0
        cut = round(CUT_SHARE * entries) if fault == "cut" else 0
        self.cut = frozenset(self.rng.sample(range(entries), cut))
        self.targets = [
            Target(Registration(f"t-{n}", 1, "info", "127.0.0.1", 80, "a-1", 3), "a", 0.0)
            for n in range(servers)
        ]
        self.arrivals: list[list[tuple[float, int]]] = [[] for _ in range(servers)]
        self.told_at: dict[tuple[int, int], float] = {}
        self._senders: dict[int, frozenset[int]] = {}

    def senders(self, server: int) -> frozenset[int]:
        """Return the entries that send to a server if only a few do."""
        if server not in self._senders:
            names = [str(entry) for entry in range(self.entries)]
            chosen = rank(f"t-{server}", names)[:SENDERS]
            self._senders[server] = frozenset(int(name) for name in chosen)
        return self._senders[server]

    def limit(self, now: float) -> float:
        """Return what a server takes."""
        low = self.changing and int(now / CHANGE_S) % 2
        return self.per_s / 2.0 if low else self.per_s

    def run(self, way: str) -> None:
        """Let requests come until the end."""
        limiter = WAYS[way](self)
        answers: deque[tuple[float, int, int]] = deque()
        now = next_news = 0.0
        number = 0
        while now < PLAYED_S:
            now += self.rng.expovariate(DEMAND * self.per_s * len(self.targets))
            while next_news <= now:
                limiter.tell(next_news)
                next_news += NEWS_PERIOD
            while answers and answers[0][0] <= now:
                at, entry, server = answers.popleft()
                if at >= NAMED_AT:
                    self.told_at.setdefault((entry, server), at)
                    limiter.heard(entry, server, self.limit(at), at)
            number += 1
            self._send(limiter, f"r-{number}", answers, now)

    def _send(
        self,
        limiter: Limiter,
        request_id: str,
        answers: deque[tuple[float, int, int]],
        now: float,
    ) -> None:
        entry = self.rng.randrange(self.entries)
        tried = min(MOST_TRIED, len(self.targets))
        for server in self.rng.sample(range(len(self.targets)), tried):
            if limiter.has_room(entry, server, request_id, now):
                self.arrivals[server].append((now, entry))
                answers.append((now + ANSWER_S, entry, server))
                return

    def worst(self) -> tuple[float, float]:
        """Return the requests of the worst window and what is allowed in it."""
        return max(self._windows(), key=lambda found: found[0] / found[1])

    def used(self) -> float:
        """Return the part of the limits that was used once they held."""
        begin = NAMED_AT + CALM_S
        got = sum(at >= begin for arrivals in self.arrivals for at, _ in arrivals)
        mean = sum(self.limit(begin + step * 0.1) for step in range(160)) / 160
        return got / (mean * len(self.targets) * (PLAYED_S - begin))

    def _windows(self) -> Iterator[tuple[float, float]]:
        for server, arrivals in enumerate(self.arrivals):
            times = [
                at
                for at, entry in arrivals
                if at >= self.told_at.get((entry, server), PLAYED_S) + TOLD_S
            ]
            for last, at in enumerate(times):
                if at >= NAMED_AT + CALM_S:
                    first = bisect_left(times, at - WINDOW)
                    yield last - first + 1, self._allowed(at - WINDOW)
        yield 0.0, SLACK

    def _allowed(self, begin: float) -> float:
        mean = sum(self.limit(begin + step * 0.1) for step in range(40)) / 40
        return FACTOR * mean * WINDOW + SLACK


def main() -> int:
    """Print a row for each way, fleet, servers and fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="*", default=[10, 89, 300, 1700])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    logs.LOGGER.disabled = True
    print("| way | entries | servers | limit/s | fault | worst window | used |")
    print("|---|---|---|---|---|---|---|")
    for way in WAYS:
        for entries in arguments.entries:
            for servers, per_s, fault in (
                (3, 1.7, "none"),
                (40, 0.3, "none"),
                (5, 50.0, "none"),
                (16, 1.7, "changing"),
                (16, 1.7, "cut"),
                (16, 1.7, "lost"),
            ):
                play = Play(entries, servers, per_s, fault, arguments.seed)
                play.run(way)
                worst, allowed = play.worst()
                broken = " BROKEN" if worst > allowed else ""
                print(
                    f"| {way} | {entries} | {servers} | {per_s:g} | {fault} | "
                    f"{worst:.0f} of {allowed:.0f}{broken} | {play.used():.2f} |",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
