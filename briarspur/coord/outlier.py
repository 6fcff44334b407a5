"""Outlier ejection: excludes failing servers, based on the outcomes of this member's own requests.

Health reports lag or mislead, so only outcomes count here. A server is ejected after a number of
consecutive failures, or when too large a share of its recent outcomes are failures. The duration
doubles with each ejection. Afterwards the server is on probation: one failure ejects it again, and
a number of consecutive successes ends the probation.

At most half of the servers are excluded. If more than half are ejected at the same time, the cause
is more likely what they have in common (the link, this member, a backing service) than each server.
Excluding them would send all traffic to the few that look healthy, so then none is excluded.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from briarspur.coord.invariants import invariants

__all__ = ["OutlierDetector", "OutlierSettings"]


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Settings of outlier ejection; times in seconds.

    Attributes
    ----------
    consecutive_failures : int
        Number of consecutive failures that ejects a server.
    failure_share : float
        Share of failures among the recent outcomes that ejects a server.
    recent_outcomes : int
        Number of recent outcomes that are kept. With fewer, the share isn't evaluated.
    first_ejection : float
        Duration of the first ejection.
    max_ejection : float
        Maximum duration of an ejection.
    probation_successes : int
        Number of consecutive successes that ends a probation.
    """

    consecutive_failures: int = 5
    failure_share: float = 0.5
    recent_outcomes: int = 20
    first_ejection: float = 5.0
    max_ejection: float = 60.0
    probation_successes: int = 3


@dataclass(slots=True)
class Record:
    """Outcomes of one server."""

    outcomes: deque[bool]
    consecutive_failures: int = 0
    consecutive_successes: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    on_probation: bool = field(default=False)


class OutlierDetector:
    """Detects outliers among the servers of one service in one region.

    Parameters
    ----------
    targets : iterable of str
        All servers, ejected or not.
    """

    def __init__(
        self, targets: Iterable[str] = (), settings: OutlierSettings | None = None
    ) -> None:
        self._settings = settings or OutlierSettings()
        self._record_by_target: dict[str, Record] = {}
        self.set_targets(targets)

    def set_targets(self, targets: Iterable[str]) -> None:
        """Set the list of servers; those that remain keep their outcomes."""
        self._record_by_target = {
            target: self._record_by_target.get(target) or self._new_record() for target in targets
        }

    def record(self, target: str, ok: bool, now: float) -> None:
        """Record the outcome of one attempt; a response that sheds load is ``ok`` too."""
        record = self._record_by_target.get(target)
        if record is None:
            return
        record.outcomes.append(ok)
        record.consecutive_failures = 0 if ok else record.consecutive_failures + 1
        record.consecutive_successes = record.consecutive_successes + 1 if ok else 0
        # Outcomes of attempts that started before the ejection must not extend it.
        if now < record.ejected_until:
            return
        if (
            record.on_probation
            and record.consecutive_successes >= self._settings.probation_successes
        ):
            record.on_probation = False
            record.ejections = 0
        if self._is_unhealthy(record):
            self._eject(record, now)

    def ejected(self, target: str, now: float) -> bool:
        """Return whether the server is excluded at ``now``."""
        return target in self.ejected_targets(now)

    def ejected_targets(self, now: float) -> frozenset[str]:
        """Return all servers that are excluded at ``now``."""
        unhealthy = self.unhealthy_targets(now)
        if self.suspects_common_cause(now):
            return frozenset()
        total = len(self._record_by_target)
        invariants.check("outlier.at-most-half", 2 * len(unhealthy) <= total, (unhealthy, total))
        return unhealthy

    def unhealthy_targets(self, now: float) -> frozenset[str]:
        """Return the servers whose outcomes call for ejection, however many they are."""
        records = self._record_by_target.items()
        return frozenset(target for target, record in records if now < record.ejected_until)

    def suspects_common_cause(self, now: float) -> bool:
        """Return whether so many servers are unhealthy that a common cause is more likely."""
        return 2 * len(self.unhealthy_targets(now)) > len(self._record_by_target)

    def _is_unhealthy(self, record: Record) -> bool:
        if record.on_probation:
            return record.consecutive_failures >= 1
        if record.consecutive_failures >= self._settings.consecutive_failures:
            return True
        failures = sum(1 for ok in record.outcomes if not ok)
        is_full = len(record.outcomes) == self._settings.recent_outcomes
        return is_full and failures >= self._settings.failure_share * self._settings.recent_outcomes

    def _eject(self, record: Record, now: float) -> None:
        duration = min(
            self._settings.max_ejection, self._settings.first_ejection * 2**record.ejections
        )
        record.ejected_until = now + duration
        record.ejections += 1
        record.on_probation = True
        record.consecutive_failures = 0
        record.outcomes.clear()

    def _new_record(self) -> Record:
        return Record(deque(maxlen=self._settings.recent_outcomes))
