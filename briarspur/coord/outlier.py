"""Outlier ejection: servers that fail are left out, judged by the outcomes of own traffic.

Reports of health lag or mislead, so only outcomes count here. A server is bad after some failures
in a row, or when too large a share of its recent outcomes failed. A bad server is left out for a
time that doubles with each ejection, then it is on probation: one failure ejects it again, some
successes clear it.

Never more than half of the servers are left out. If more than half are bad at once, the cause is
more likely what measures them (the link, this member, a backing service) than each of them; leaving
them out would push all traffic on the few that look well, so then none is left out.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from briarspur.coord.invariants import invariants

__all__ = ["OutlierSettings", "Outliers"]


@dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Settings of outlier ejection; times in seconds.

    Attributes
    ----------
    in_a_row : int
        Failures in a row that make a server bad.
    share : float
        Share of failures among the recent outcomes that makes it bad.
    recent : int
        How many outcomes are recent; fewer give no share.
    ejection : float
        Length of the first ejection.
    longest : float
        Length of the longest ejection.
    probation : int
        Successes in a row that end a probation.
    """

    in_a_row: int = 5
    share: float = 0.5
    recent: int = 20
    ejection: float = 5.0
    longest: float = 60.0
    probation: int = 3


@dataclass(slots=True)
class Record:
    """Outcomes of one server."""

    outcomes: deque[bool]
    failures_in_a_row: int = 0
    successes_in_a_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    on_probation: bool = field(default=False)


class Outliers:
    """The servers of one service in one region.

    Parameters
    ----------
    targets : iterable of str
        All of them, ejected or not.
    """

    def __init__(
        self, targets: Iterable[str] = (), settings: OutlierSettings | None = None
    ) -> None:
        self._settings = settings or OutlierSettings()
        self._record_by_target: dict[str, Record] = {}
        self.set_targets(targets)

    def set_targets(self, targets: Iterable[str]) -> None:
        """Follow a new list of servers; those that stay keep their outcomes."""
        self._record_by_target = {
            target: self._record_by_target.get(target) or self._fresh() for target in targets
        }

    def record(self, target: str, ok: bool, now: float) -> None:
        """Count the outcome of one attempt; ``ok`` also for answers that shed load."""
        record = self._record_by_target.get(target)
        if record is None:
            return
        record.outcomes.append(ok)
        record.failures_in_a_row = 0 if ok else record.failures_in_a_row + 1
        record.successes_in_a_row = record.successes_in_a_row + 1 if ok else 0
        # Outcomes of attempts that began before the ejection must not lengthen it.
        if now < record.ejected_until:
            return
        if record.on_probation and record.successes_in_a_row >= self._settings.probation:
            record.on_probation = False
            record.ejections = 0
        if self._is_bad(record):
            self._eject(record, now)

    def ejected(self, target: str, now: float) -> bool:
        """Return whether to leave the server out now."""
        return target in self.ejected_targets(now)

    def ejected_targets(self, now: float) -> frozenset[str]:
        """Return all servers that are left out now."""
        bad = self.bad_targets(now)
        if self.suspects_measurement(now):
            return frozenset()
        total = len(self._record_by_target)
        invariants.check("outlier.at-most-half", 2 * len(bad) <= total, (bad, total))
        return bad

    def bad_targets(self, now: float) -> frozenset[str]:
        """Return the servers whose own outcomes speak against them."""
        records = self._record_by_target.items()
        return frozenset(target for target, record in records if now < record.ejected_until)

    def suspects_measurement(self, now: float) -> bool:
        """Return whether so many servers are bad that the fault must lie elsewhere."""
        return 2 * len(self.bad_targets(now)) > len(self._record_by_target)

    def _is_bad(self, record: Record) -> bool:
        if record.on_probation:
            return record.failures_in_a_row >= 1
        if record.failures_in_a_row >= self._settings.in_a_row:
            return True
        failures = sum(1 for ok in record.outcomes if not ok)
        full = len(record.outcomes) == self._settings.recent
        return full and failures >= self._settings.share * self._settings.recent

    def _eject(self, record: Record, now: float) -> None:
        length = min(self._settings.longest, self._settings.ejection * 2**record.ejections)
        record.ejected_until = now + length
        record.ejections += 1
        record.on_probation = True
        record.failures_in_a_row = 0
        record.outcomes.clear()

    def _fresh(self) -> Record:
        return Record(deque(maxlen=self._settings.recent))
