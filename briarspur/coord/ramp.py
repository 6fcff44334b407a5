"""Ramp: raises the concurrency limit of a cold server as its latency falls to that of a warm one.

Traffic that is moved in bulk meets cold caches. A ramp starts with a limit of one concurrent
request. After each sample of a few responses it compares their median latency with that of a warm
server. If it is about as fast, the limit rises by one; if it is slower, the limit falls by one. The
median prevents one slow response among fast ones from counting as cold.
"""

import math
from dataclasses import dataclass
from statistics import median

from briarspur.coord.invariants import invariants

__all__ = ["Ramp", "RampSettings"]


@dataclass(frozen=True, slots=True)
class RampSettings:
    """Settings of a ramp.

    Attributes
    ----------
    max_rise_factor : float
        A median up to this many times the expected one raises the limit.
    min_fall_factor : float
        A median above this many times the expected one lowers the limit, even of a warm server.
    sample_size : int
        Number of responses in a sample.
    reference_responses : int
        Number of responses after which a server is compared with its own best median instead of the
        service's reference: if it is still slower, it is a slow machine, not a cold one.
    best_growth : float
        Fraction by which the best median rises with each sample, so that an exceptionally low one
        is forgotten.
    handover_share : float
        Fraction of the slots that a new owner may use while the old owner's requests may still run.
    """

    max_rise_factor: float = 2.0
    min_fall_factor: float = 4.0
    sample_size: int = 5
    reference_responses: int = 50
    best_growth: float = 0.05
    handover_share: float = 0.5


class Ramp:
    """Limits the concurrent requests to one server.

    Parameters
    ----------
    slots : int
        Concurrent requests that the server may get once warm.
    reference : float or None
        Typical latency of warm servers of the service, in seconds; None until known.
    """

    def __init__(
        self, slots: int, reference: float | None = None, settings: RampSettings | None = None
    ) -> None:
        self._slots = max(1, slots)
        self._reference = reference
        self._settings = settings or RampSettings()
        self._limit = 1
        self._latencies: list[float] = []
        self._responses = 0
        self._best = math.inf
        self._reduced_until = -math.inf

    def limit(self, now: float) -> int:
        """Return the concurrent requests allowed at ``now``, from 1 to the number of slots."""
        limit = min(self._limit, self._slots)
        if now < self._reduced_until:
            limit = min(limit, max(1, int(self._slots * self._settings.handover_share)))
        invariants.check("ramp.within-slots", 1 <= limit <= self._slots, (limit, self._slots))
        return limit

    @property
    def warm(self) -> bool:
        """Whether the limit has reached the number of slots."""
        return self._limit >= self._slots

    def record_latency(self, latency: float, now: float) -> None:
        """Record the latency of one complete response, in seconds."""
        self._responses += 1
        self._latencies.append(latency)
        if len(self._latencies) < self._settings.sample_size:
            return
        median_latency = median(self._latencies)
        self._latencies.clear()
        self._best = min(self._best * (1.0 + self._settings.best_growth), median_latency)
        expected = self._expected_latency()
        if median_latency <= self._settings.max_rise_factor * expected:
            self._limit = min(self._slots, self._limit + 1)
        elif not self.warm or median_latency > self._settings.min_fall_factor * expected:
            self._limit = max(1, self._limit - 1)

    def restart(self, now: float) -> None:
        """Restart at one concurrent request, because the server is new or has recovered."""
        self._limit = 1
        self._latencies.clear()
        self._responses = 0
        self._best = math.inf

    def handover(self, now: float, until: float) -> None:
        """Limit the slots until ``until``, because requests of the previous owner may still run."""
        self._reduced_until = max(self._reduced_until, until)

    def assume_warm(self) -> None:
        """Skip the ramp, because the previous owner reported that the server is warm."""
        self._limit = self._slots

    def set_slots(self, slots: int) -> None:
        """Set the number of slots."""
        self._slots = max(1, slots)

    def set_reference(self, reference: float | None) -> None:
        """Set the typical latency of warm servers of the service, in seconds."""
        self._reference = reference

    def _expected_latency(self) -> float:
        if self._reference is None or self._responses > self._settings.reference_responses:
            return self._best
        return self._reference
