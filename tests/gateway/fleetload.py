"""Several entries under load in three regions, simulated without a network.

Each entry is a real decision core. Servers have slots, a queue and warm objects. The entries learn
of each other's requests in flight and warmed objects with a delay.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from briarspur.gateway.outcome import Outcome
from briarspur.gateway.steering import Steering
from briarspur.gateway.work import Arrival, Attempt, Bounds, Work
from tests.gateway.samples import configuration, registration, route

__all__ = ["FleetLoad", "Run", "region_changes"]

WARM, COLD = 0.59, 2.35
"""Seconds of work for a warm object and for a cold one."""
GOAL, TIMEOUT = 1.25, 10.0
SLOTS, QUEUE = 4, 12
NEWS_PERIOD_S = 0.25
SERVERS_BY_REGION = {"north": 9, "south": 10, "west": 2}
"""Servers in each of the three zones of a region; all regions have equally many callers."""
ZONES = {f"{region}-{n}": region for region in SERVERS_BY_REGION for n in range(3)}
ROUND_TRIPS_S = (0.001, 0.004, 0.041)
"""Round-trip times within a zone, within a region and between regions."""


@dataclass(slots=True)
class Run:
    """A request: the region of its caller, the region where it ran and when it was answered."""

    at: float
    home: str
    region: str = ""
    ended: float | None = None
    cold: bool = False

    @property
    def in_time(self) -> bool:
        """Whether the answer met the goal."""
        return self.ended is not None and self.ended - self.at <= GOAL


@dataclass(slots=True)
class _Server:
    name: str
    zone: str
    free: list[float] = field(default_factory=lambda: [0.0] * SLOTS)
    known: set[int] = field(default_factory=set)
    starts: deque[float] = field(default_factory=deque)


class FleetLoad:
    """Nine entries, one per zone, in front of 63 servers of one service.

    Parameters
    ----------
    size : int
        Size of an answer in bytes.
    """

    def __init__(self, objects: int = 61, size: int = 400, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._objects = objects
        self._size = size
        self._route = replace(route(timeout=TIMEOUT), goal=GOAL)
        self._servers: dict[str, _Server] = {}
        self._entries: dict[str, Steering] = {}
        self._reported_in_flight: dict[str, Counter[int]] = {}
        self._warmed: list[tuple[str, int, int]] = []
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.runs: list[Run] = []
        self.refused = 0
        for zone in ZONES:
            self._entries[zone] = self._entry(zone)
        for zone, region in ZONES.items():
            for number in range(SERVERS_BY_REGION[region]):
                self.add_server(f"{zone}-s{number}", zone, 0.0)

    def _entry(self, zone: str) -> Steering:
        core = Steering(f"entry-{zone}", zone, ZONES[zone], ZONES, Bounds())
        core.apply_configuration(configuration(1, [self._route]))
        core.set_live_entries([f"entry-{name}" for name in ZONES])
        return core

    def add_server(self, name: str, zone: str, now: float) -> None:
        """Register a new server at all entries."""
        self._servers[name] = _Server(name, zone)
        for entry in self._entries.values():
            entry.targets.registered(registration(name, zone=zone, slots=SLOTS), now)

    def remove_zone(self, zone: str) -> None:
        """Remove all servers of a zone."""
        for name in [name for name, server in self._servers.items() if server.zone == zone]:
            for entry in self._entries.values():
                entry.targets.removed(name)

    def simulate(
        self, start: float, end: float, per_s: float, weights: dict[str, float] | None = None
    ) -> None:
        """Simulate callers' requests; ``weights`` are the zones' shares, equal by default."""
        zones = list(ZONES)
        parts = [(weights or {}).get(zone, 1.0) for zone in zones]
        now = start
        tick = start
        while now < end:
            now += self._rng.expovariate(per_s)
            while tick <= now:
                self._run_events(tick)
                self._exchange_news(tick)
                tick += NEWS_PERIOD_S
            self._run_events(now)
            self._arrive(self._rng.choices(zones, parts)[0], now)
        self._run_events(end)

    def finish(self) -> None:
        """Run until all requests have ended."""
        self._run_events(float("inf"))

    def in_time(self, start: float, end: float) -> float:
        """Return the share of the requests of a time span that were answered in time."""
        asked = [run for run in self.runs if start <= run.at < end]
        return sum(run.in_time for run in asked) / max(1, len(asked))

    def _arrive(self, zone: str, now: float) -> None:
        run = Run(now, ZONES[zone])
        self.runs.append(run)
        key = b"%d" % self._rng.randrange(self._objects)
        work = self._entries[zone].begin(
            Arrival(f"r-{len(self.runs)}", "quay.example", "/times/x", key, TIMEOUT), now
        )
        assert isinstance(work, Work)
        self._send(zone, work, run, now)

    def _send(self, zone: str, work: Work, run: Run, now: float) -> None:
        step = self._entries[zone].next_attempt(work, now)
        if not isinstance(step, Attempt):
            self.refused += 1
            return
        work.sent += 1
        server = self._servers[step.target.registration.target_id]
        run.region = ZONES[server.zone]
        transit = self._round_trip(zone, server.zone)
        if step.warms_object:
            self._warmed.append((zone, step.target.number, work.key or 0))
        self._schedule(now + transit / 2.0, lambda at: self._reach(zone, server, step, run, at))

    def _reach(self, zone: str, server: _Server, attempt: Attempt, run: Run, now: float) -> None:
        while server.starts and server.starts[0] <= now:
            server.starts.popleft()
        transit = self._round_trip(zone, server.zone) / 2.0
        if len(server.starts) >= QUEUE:
            self._schedule(now + transit, lambda at: self._rejected(zone, attempt, run, at))
            return
        key = attempt.work.key or 0
        run.cold = key not in server.known
        server.known.add(key)
        began = max(now, server.free[0])
        ended = began + (COLD if run.cold else WARM)
        heapq.heapreplace(server.free, ended)
        server.starts.append(began)
        self._schedule(ended + transit, lambda at: self._answered(zone, attempt, run, at))

    def _rejected(self, zone: str, attempt: Attempt, run: Run, now: float) -> None:
        entry = self._entries[zone]
        entry.attempt_ended(attempt, Outcome.REJECTED, now)
        step = entry.retry(attempt.work, Outcome.REJECTED, now)
        if isinstance(step, Attempt):
            step.target.in_flight -= 1
            self._send(zone, attempt.work, run, now)

    def _answered(self, zone: str, attempt: Attempt, run: Run, now: float) -> None:
        run.ended = now
        self._entries[zone].record_answer_size(attempt.work, self._size)
        self._entries[zone].attempt_ended(attempt, Outcome.ANSWERED, now)

    def _exchange_news(self, now: float) -> None:
        """Deliver the reports that entries sent a period ago, and collect their new ones."""
        total: Counter[int] = Counter()
        for counts in self._reported_in_flight.values():
            total.update(counts)
        warmed, self._warmed = self._warmed, []
        for zone, entry in self._entries.items():
            own = self._reported_in_flight.get(zone, Counter())
            for number, target in entry.targets.by_number.items():
                target.elsewhere = total[number] - own[number]
            entry.loads.record_warmed_elsewhere(
                [(n, key) for origin, n, key in warmed if origin != zone]
            )
        self._reported_in_flight = {
            zone: Counter({n: t.in_flight for n, t in entry.targets.by_number.items()})
            for zone, entry in self._entries.items()
        }

    def _round_trip(self, zone: str, other: str) -> float:
        if zone == other:
            return ROUND_TRIPS_S[0]
        return ROUND_TRIPS_S[1] if ZONES[zone] == ZONES[other] else ROUND_TRIPS_S[2]

    def _schedule(self, moment: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (moment, next(self._numbers), event))

    def _run_events(self, now: float) -> None:
        while self._events and self._events[0][0] <= now:
            moment, _, event = heapq.heappop(self._events)
            event(moment)


def region_changes(
    runs: list[Run], window: float, start: float, end: float
) -> dict[tuple[str, float], float]:
    """Return by region and time the share of its requests that moved to another region.

    The windows before and after each time are compared; the times are half a second apart.
    """
    changes: dict[tuple[str, float], float] = {}
    moment = start + window
    while moment <= end - window:
        for home in SERVERS_BY_REGION:
            before = _shares(runs, home, moment - window, moment)
            after = _shares(runs, home, moment, moment + window)
            names = before.keys() | after.keys()
            moved = sum(abs(after.get(n, 0.0) - before.get(n, 0.0)) for n in names)
            changes[home, moment] = moved / 2.0
        moment += 0.5
    return changes


def _shares(runs: list[Run], home: str, start: float, end: float) -> dict[str, float]:
    found = Counter(r.region for r in runs if r.home == home and r.region and start <= r.at < end)
    return {region: count / max(1, found.total()) for region, count in found.items()}
