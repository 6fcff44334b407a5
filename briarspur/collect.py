"""From the entries' cumulative counts to what was counted in each minute; pure.

A difference is taken only between two documents of one incarnation. Whatever cannot be known (an
entry that did not answer, the last counts of one that restarted, the time before the first answer)
is put down as missing, with its reason.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from briarspur.latency import Histogram, add, decode, new_histogram, subtract
from briarspur.levels import Count, LevelsDocument, ServiceLevelDocument
from briarspur.windows import SLOT_S, Slot

__all__ = ["Collector", "Counted"]

EMPTY = ServiceLevelDocument(counts={})
NONE = Count(0, 0)
NEW_PROCESS_MARGIN = 1.5


@dataclass(slots=True)
class Counted:
    """One service's slot with the latencies of its whole answers."""

    slot: Slot
    latency: Histogram


@dataclass(slots=True)
class _Gathered:
    """The differences of one service, until all entries are in."""

    slot: Slot
    later: Histogram = field(default_factory=new_histogram)
    earlier: Histogram = field(default_factory=new_histogram)


class Collector:
    """Remembers the last document of each entry and turns new ones into slots."""

    def __init__(self) -> None:
        self._last_by_entry: dict[str, LevelsDocument] = {}
        self._last_taken: float | None = None

    def take(
        self,
        now: float,
        services: Iterable[str],
        documents: Iterable[LevelsDocument],
        failures_by_entry: Mapping[str, str],
    ) -> dict[str, Counted]:
        """Return each service's slot for the minute that ended last.

        Parameters
        ----------
        now : float
            Unix time in seconds; one call a minute, shortly after the minute's end.
        services : iterable of str
            The services of the policy in force.
        failures_by_entry : mapping of str to str
            Why an entry that should have answered did not.
        """
        elapsed = float(SLOT_S) if self._last_taken is None else max(now - self._last_taken, 0.0)
        self._last_taken = now
        start = int(now // SLOT_S) * SLOT_S - SLOT_S
        gathered = {service: _Gathered(Slot(start)) for service in services}
        answered = {document.entry_id: document for document in documents}
        for document in answered.values():
            self._take_document(document, elapsed, gathered)
        for entry_id, reason in failures_by_entry.items():
            _miss(gathered, elapsed, f"{entry_id}: {reason}")
        self._forget_gone({*answered, *failures_by_entry}, elapsed, gathered)
        return {service: _counted(found) for service, found in gathered.items()}

    def _take_document(
        self, document: LevelsDocument, elapsed: float, gathered: dict[str, _Gathered]
    ) -> None:
        entry_id = document.entry_id
        last = self._last_by_entry.get(entry_id)
        self._last_by_entry[entry_id] = document
        if last is None and document.uptime_s > elapsed * NEW_PROCESS_MARGIN:
            _miss(gathered, elapsed, f"{entry_id}: first seen, earlier counts unknown")
            return
        covered = min(document.uptime_s, elapsed)
        expected = covered
        reason = None
        if last is not None and last.incarnation != document.incarnation:
            last = None
            expected = elapsed
            reason = f"{entry_id}: restarted, its last counts are lost"
        try:
            self._add(document, last, gathered)
        except ValueError as error:
            _miss(gathered, elapsed, f"{entry_id}: {error}")
            return
        _cover(gathered, expected, covered, reason)

    def _add(
        self,
        document: LevelsDocument,
        last: LevelsDocument | None,
        gathered: dict[str, _Gathered],
    ) -> None:
        """Add what an entry counted since ``last``; all of it or, on a ValueError, nothing."""
        additions = []
        for service, found in gathered.items():
            later = document.services.get(service, EMPTY)
            earlier = last.services.get(service, EMPTY) if last else EMPTY
            slot = _difference(document.entry_id, found.slot.start, later, earlier)
            additions.append((found, slot, decode(later.latency), decode(earlier.latency)))
        for found, slot, later_latency, earlier_latency in additions:
            _merge_into(found.slot, slot)
            add(found.later, later_latency)
            add(found.earlier, earlier_latency)

    def _forget_gone(self, known: set[str], elapsed: float, gathered: dict[str, _Gathered]) -> None:
        for entry_id in sorted(self._last_by_entry.keys() - known):
            del self._last_by_entry[entry_id]
            _miss(gathered, elapsed, f"{entry_id}: gone, its last counts are lost")


def _difference(
    entry_id: str, start: int, later: ServiceLevelDocument, earlier: ServiceLevelDocument
) -> Slot:
    """Return what was counted between two documents of one incarnation."""
    slot = Slot(start)
    for region, code in _keys(earlier) - _keys(later):
        raise ValueError(f"its counts of {code} from {region} are gone without a restart")
    for region, counts in later.counts.items():
        for code, count in counts.items():
            last = earlier.counts.get(region, {}).get(code, NONE)
            good = count.good - last.good
            bad = count.bad - last.bad
            if good < 0 or bad < 0:
                raise ValueError("its counts fell without a restart")
            _count(slot, entry_id, region, code, Count(good, bad))
    return slot


def _keys(document: ServiceLevelDocument) -> set[tuple[str, int]]:
    return {(region, code) for region, counts in document.counts.items() for code in counts}


def _count(slot: Slot, entry_id: str, region: str, code: int, count: Count) -> None:
    slot.good += count.good
    slot.bad += count.bad
    slot.all_by_region[region] += count.good + count.bad
    if count.bad:
        slot.bad_by_region[region] += count.bad
        slot.bad_by_code[code] += count.bad
        slot.bad_by_entry[entry_id] += count.bad


def _merge_into(total: Slot, part: Slot) -> None:
    total.good += part.good
    total.bad += part.bad
    total.all_by_region.update(part.all_by_region)
    total.bad_by_region.update(part.bad_by_region)
    total.bad_by_code.update(part.bad_by_code)
    total.bad_by_entry.update(part.bad_by_entry)


def _miss(gathered: dict[str, _Gathered], elapsed: float, reason: str) -> None:
    _cover(gathered, elapsed, 0.0, reason)


def _cover(
    gathered: dict[str, _Gathered], expected: float, covered: float, reason: str | None
) -> None:
    for found in gathered.values():
        found.slot.expected_s += expected
        found.slot.covered_s += covered
        if reason is not None:
            found.slot.missing[reason] += 1


def _counted(found: _Gathered) -> Counted:
    """Subtract once a service: merging is cheap, subtracting is not."""
    try:
        latency = subtract(found.later, found.earlier)
    except ValueError as error:
        found.slot.missing[f"latencies: {error}"] += 1
        latency = new_histogram()
    return Counted(found.slot, latency)
