"""Ramp: a server that starts cold gets more requests at once only as fast as its answers allow.

Traffic moved in bulk meets cold caches. A ramp starts at one request at a time. After each few
answers it compares their median with that of a warm server: if about as fast, it allows one request
more; if slower, one less. The median keeps one long answer among short ones from counting as cold.
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
    factor : float
        A median up to this many times the usual one is fast.
    fall_factor : float
        A median above this many times the usual one takes a request back, also once warm.
    answers : int
        Answers in a median.
    patience : int
        Answers after which a server that does not reach the service's reference is measured by its
        own best: it is a slow machine, not a cold one.
    best_rise : float
        Part by which the best median rises with each slower one, so that a lucky one is forgotten.
    handover_share : float
        Part of the slots that a new owner may use while the old owner's requests may still run.
    """

    factor: float = 2.0
    fall_factor: float = 4.0
    answers: int = 5
    patience: int = 50
    best_rise: float = 0.05
    handover_share: float = 0.5


class Ramp:
    """How many requests at once one server may get.

    Parameters
    ----------
    slots : int
        What it may get once warm.
    reference : float or None
        Usual latency of warm servers of the service, in seconds; None until known.
    """

    def __init__(
        self, slots: int, reference: float | None = None, settings: RampSettings | None = None
    ) -> None:
        self._slots = max(1, slots)
        self._reference = reference
        self._settings = settings or RampSettings()
        self._limit = 1
        self._latencies: list[float] = []
        self._seen = 0
        self._best = math.inf
        self._reduced_until = -math.inf

    def limit(self, now: float) -> int:
        """Return the requests at once allowed now, from 1 to the slots."""
        limit = min(self._limit, self._slots)
        if now < self._reduced_until:
            limit = min(limit, max(1, int(self._slots * self._settings.handover_share)))
        invariants.check("ramp.within-slots", 1 <= limit <= self._slots, (limit, self._slots))
        return limit

    @property
    def warm(self) -> bool:
        """Whether answers have shown that the server carries all its slots."""
        return self._limit >= self._slots

    def answered(self, latency: float, now: float) -> None:
        """Learn from one whole answer; ``latency`` in seconds."""
        self._seen += 1
        self._latencies.append(latency)
        if len(self._latencies) < self._settings.answers:
            return
        middle = median(self._latencies)
        self._latencies.clear()
        self._best = min(self._best * (1.0 + self._settings.best_rise), middle)
        usual = self._usual()
        if middle <= self._settings.factor * usual:
            self._limit = min(self._slots, self._limit + 1)
        elif not self.warm or middle > self._settings.fall_factor * usual:
            self._limit = max(1, self._limit - 1)

    def restart(self, now: float) -> None:
        """Begin again at one request: the server is new, or came back."""
        self._limit = 1
        self._latencies.clear()
        self._seen = 0
        self._best = math.inf

    def handover(self, now: float, until: float) -> None:
        """Use reduced slots until ``until``: requests of the owner before may still run."""
        self._reduced_until = max(self._reduced_until, until)

    def assume_warm(self) -> None:
        """Skip the ramp, because the owner before said that the server is warm."""
        self._limit = self._slots

    def set_slots(self, slots: int) -> None:
        """Follow a new number of slots."""
        self._slots = max(1, slots)

    def set_reference(self, reference: float | None) -> None:
        """Follow the usual latency of warm servers of the service."""
        self._reference = reference

    def _usual(self) -> float:
        if self._reference is None or self._seen > self._settings.patience:
            return self._best
        return self._reference
