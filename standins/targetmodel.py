"""Settings, cold-start model and counters of stand-in backend servers."""

import random
from dataclasses import asdict, dataclass, field
from typing import Any, Literal

from pydantic import Field

from briarspur.documents import Document

__all__ = [
    "BackendSettings",
    "Counts",
    "Delays",
    "Ledger",
    "ServiceTime",
    "TargetSettings",
    "TargetSwitches",
    "Warmth",
]


class ServiceTime(Document):
    """Distribution of service times, and how much slower a cold target is."""

    median_ms: float = Field(default=20.0, ge=0.0)
    sigma: float = Field(default=0.3, ge=0.0, description="standard deviation of its logarithm")
    cold_factor: float = Field(default=4.0, ge=1.0, description="slowdown of the first request")
    warm_after: int = Field(default=30, ge=1, description="number of requests until it is warm")
    half_warmth_s: float = Field(
        default=30.0, gt=0.0, description="idle time that halves the warm-up"
    )
    connect_ms: float = Field(default=1.0, ge=0.0, description="delay added on a new connection")
    bytes_per_s: int = Field(default=4_000_000, ge=1_000, description="rate of one download")


class TargetSettings(Document):
    """One target that the process hosts."""

    target_id: str
    host: str
    port: int
    service: str
    region: str
    zone: str
    slots: int = Field(default=3, ge=1)
    connections: int = Field(default=350, ge=1)


class Delays(Document):
    """One-way delays in ms; entries are identified by their addresses."""

    zones_by_host: dict[str, str] = Field(default={}, description="zone of each entry's address")
    regions_by_zone: dict[str, str] = Field(default={})
    client_ms: float = Field(
        default=0.0, ge=0.0, description="delay between a caller and its region"
    )
    between_zones_ms: float = Field(default=0.0, ge=0.0)
    between_regions_ms: float = Field(default=0.0, ge=0.0)

    def to_zone(self, host: str, zone: str) -> float:
        """Return the delay from the entry at ``host``; unknown addresses count as the same zone."""
        entry_zone = self.zones_by_host.get(host, zone)
        if entry_zone == zone:
            return 0.0
        same_region = self.regions_by_zone.get(entry_zone) == self.regions_by_zone.get(zone)
        return self.between_zones_ms if same_region else self.between_regions_ms

    def to_caller(self, host: str, region: str) -> float:
        """Return the delay from the entry at ``host`` to a caller in ``region``."""
        entry_region = self.regions_by_zone.get(self.zones_by_host.get(host, ""), region)
        return self.client_ms + (0.0 if entry_region == region else self.between_regions_ms)


class BackendSettings(Document):
    """A process that hosts targets.

    Hosting all targets of a region in one process makes the peak of the region exact.
    """

    host: str = "127.0.0.1"
    control_port: int
    seed: int = 1
    warm: bool = Field(default=False, description="whether targets start warm")
    crash_s: float = Field(
        default=2.0, ge=0.0, description="time without connections after a crash"
    )
    delays: Delays = Delays()
    times_by_service: dict[str, ServiceTime] = Field(default={})
    targets: list[TargetSettings]


class TargetSwitches(Document):
    """Settings that ``POST /control`` can change for one target or for all."""

    draining: bool = False
    slow_factor: float = Field(default=1.0, gt=0.0)
    health: Literal["true", "ok", "bad"] = "true"
    load: Literal["true", "idle", "silent"] = "true"
    lose_answers: int = Field(
        default=0, ge=0, description="requests to run and abort without an answer"
    )
    cut_answers: int = Field(
        default=0, ge=0, description="number of bodies to truncate in the middle"
    )


@dataclass(slots=True)
class Warmth:
    """Cold-start curve: a target speeds up with requests served and slows down when idle."""

    time: ServiceTime
    served: float = 0.0
    last: float = 0.0

    def factor(self, now: float) -> float:
        """Return the service time of a request that starts now, relative to a warm target."""
        if self.last:
            self.served *= 0.5 ** ((now - self.last) / self.time.half_warmth_s)
        coldness = max(0.0, 1.0 - self.served / self.time.warm_after)
        self.served = min(self.served + 1, self.time.warm_after * 2.0)
        self.last = now
        return 1.0 + (self.time.cold_factor - 1.0) * coldness

    def seconds(self, now: float, rng: random.Random) -> float:
        """Return the service time of a request that starts now."""
        warm_ms = self.time.median_ms * rng.lognormvariate(0.0, self.time.sigma)
        return warm_ms * self.factor(now) / 1000


@dataclass(slots=True)
class Counts:
    """Counters of one target or one region."""

    in_flight: int = 0
    peak_in_flight: int = 0
    started: int = 0
    ended: int = 0
    shed: int = 0
    cancelled: int = 0
    expired: int = 0
    crashes: int = 0
    started_draining: int = 0
    last_start_draining_s: float = 0.0
    bytes_sent: int = 0
    connections: int = 0
    peak_connections: int = 0

    def start(self) -> None:
        """Count a request that starts to run."""
        self.started += 1
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def end(self) -> None:
        """Count a request that stopped running."""
        self.in_flight -= 1


@dataclass(slots=True)
class Ledger:
    """Record of runs; duplicate runs are visible because nothing is deduplicated here."""

    runs_by_key: dict[str, list[str]] = field(default_factory=dict)
    starts_by_key: dict[str, list[str]] = field(default_factory=dict)
    crashes_by_request: dict[str, int] = field(default_factory=dict)
    counts_by_target: dict[str, Counts] = field(default_factory=dict)
    counts_by_region: dict[str, Counts] = field(default_factory=dict)

    def record(self, key: str, target_id: str) -> None:
        """Record that a target ran the booking with this key."""
        self.runs_by_key.setdefault(key, []).append(target_id)

    def reset_peaks(self) -> None:
        """Restart the peaks from the current load, and the counts of shed requests from zero."""
        for counts in (*self.counts_by_target.values(), *self.counts_by_region.values()):
            counts.peak_in_flight = counts.in_flight
            counts.shed = 0

    def document(self) -> dict[str, Any]:
        """Return the ledger as a JSON document."""
        return asdict(self)
