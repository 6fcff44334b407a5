"""Convert the cumulative counts of entries into counts per minute, without I/O.

Differences are computed only between two documents of one incarnation. Data that can't be obtained
(an entry that did not answer, the last counts before a restart, the time before the first answer)
is recorded as missing, with the reason.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from briarspur.latency import Histogram, add, decode, new_histogram, subtract
from briarspur.levels import Count, LevelsDocument, ServiceLevelDocument
from briarspur.windows import SLOT_S, Slot

__all__ = ["Collector", "MinuteCounts"]

NO_COUNTS = ServiceLevelDocument(counts={})
ZERO_COUNT = Count(0, 0)
NEW_PROCESS_UPTIME_FACTOR = 1.5


@dataclass(slots=True)
class MinuteCounts:
    """A service's counts of one minute with the latencies of its complete answers."""

    slot: Slot
    latency: Histogram


@dataclass(slots=True)
class _ServiceTotals:
    """Sums of one service over the entries processed so far."""

    slot: Slot
    latest: Histogram = field(default_factory=new_histogram)
    previous: Histogram = field(default_factory=new_histogram)


class Collector:
    """Keeps the last document of each entry and computes slots from the differences."""

    def __init__(self) -> None:
        self._last_by_entry: dict[str, LevelsDocument] = {}
        self._last_collected_at: float | None = None

    def collect(
        self,
        now: float,
        services: Iterable[str],
        documents: Iterable[LevelsDocument],
        failures_by_entry: Mapping[str, str],
    ) -> dict[str, MinuteCounts]:
        """Return each service's counts for the last complete minute.

        Parameters
        ----------
        now : float
            Unix time in seconds; call it once a minute, shortly after the end of the minute.
        services : iterable of str
            Services of the policy in force.
        failures_by_entry : mapping of str to str
            By entry id, the reason why an entry did not answer.
        """
        elapsed = (
            float(SLOT_S)
            if self._last_collected_at is None
            else max(now - self._last_collected_at, 0.0)
        )
        self._last_collected_at = now
        start = int(now // SLOT_S) * SLOT_S - SLOT_S
        totals_by_service = {service: _ServiceTotals(Slot(start)) for service in services}
        answered = {document.entry_id: document for document in documents}
        for document in answered.values():
            self._add_document(document, elapsed, totals_by_service)
        for entry_id, reason in failures_by_entry.items():
            _add_missing(totals_by_service, elapsed, f"{entry_id}: {reason}")
        self._remove_gone_entries({*answered, *failures_by_entry}, elapsed, totals_by_service)
        return {service: _to_minute_counts(totals) for service, totals in totals_by_service.items()}

    def _add_document(
        self, document: LevelsDocument, elapsed: float, totals_by_service: dict[str, _ServiceTotals]
    ) -> None:
        entry_id = document.entry_id
        last = self._last_by_entry.get(entry_id)
        self._last_by_entry[entry_id] = document
        if last is None and document.uptime_s > elapsed * NEW_PROCESS_UPTIME_FACTOR:
            _add_missing(
                totals_by_service, elapsed, f"{entry_id}: first seen, earlier counts unknown"
            )
            return
        covered = min(document.uptime_s, elapsed)
        expected = covered
        reason = None
        if last is not None and last.incarnation != document.incarnation:
            last = None
            expected = elapsed
            reason = f"{entry_id}: restarted, its last counts are lost"
        try:
            self._add_difference(document, last, totals_by_service)
        except ValueError as error:
            _add_missing(totals_by_service, elapsed, f"{entry_id}: {error}")
            return
        _add_coverage(totals_by_service, expected, covered, reason)

    def _add_difference(
        self,
        document: LevelsDocument,
        last: LevelsDocument | None,
        totals_by_service: dict[str, _ServiceTotals],
    ) -> None:
        """Add the counts of an entry since ``last``; on a ValueError nothing is added."""
        additions = []
        for service, totals in totals_by_service.items():
            later = document.services.get(service, NO_COUNTS)
            earlier = last.services.get(service, NO_COUNTS) if last else NO_COUNTS
            slot = _difference(document.entry_id, totals.slot.start, later, earlier)
            additions.append((totals, slot, decode(later.latency), decode(earlier.latency)))
        for totals, slot, later_latency, earlier_latency in additions:
            _merge_into(totals.slot, slot)
            add(totals.latest, later_latency)
            add(totals.previous, earlier_latency)

    def _remove_gone_entries(
        self, known: set[str], elapsed: float, totals_by_service: dict[str, _ServiceTotals]
    ) -> None:
        for entry_id in sorted(self._last_by_entry.keys() - known):
            del self._last_by_entry[entry_id]
            _add_missing(totals_by_service, elapsed, f"{entry_id}: gone, its last counts are lost")


def _difference(
    entry_id: str, start: int, later: ServiceLevelDocument, earlier: ServiceLevelDocument
) -> Slot:
    """Return the counts between two documents of one incarnation."""
    slot = Slot(start)
    for region, code in _region_code_pairs(earlier) - _region_code_pairs(later):
        raise ValueError(f"its counts of {code} from {region} are gone without a restart")
    for region, counts in later.counts.items():
        for code, count in counts.items():
            last = earlier.counts.get(region, {}).get(code, ZERO_COUNT)
            good = count.good - last.good
            bad = count.bad - last.bad
            if good < 0 or bad < 0:
                raise ValueError("its counts fell without a restart")
            _add_count(slot, entry_id, region, code, Count(good, bad))
    return slot


def _region_code_pairs(document: ServiceLevelDocument) -> set[tuple[str, int]]:
    return {(region, code) for region, counts in document.counts.items() for code in counts}


def _add_count(slot: Slot, entry_id: str, region: str, code: int, count: Count) -> None:
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


def _add_missing(totals_by_service: dict[str, _ServiceTotals], elapsed: float, reason: str) -> None:
    _add_coverage(totals_by_service, elapsed, 0.0, reason)


def _add_coverage(
    totals_by_service: dict[str, _ServiceTotals],
    expected: float,
    covered: float,
    reason: str | None,
) -> None:
    for totals in totals_by_service.values():
        totals.slot.expected_s += expected
        totals.slot.covered_s += covered
        if reason is not None:
            totals.slot.missing[reason] += 1


def _to_minute_counts(totals: _ServiceTotals) -> MinuteCounts:
    """Subtract the histograms once per service, because subtracting is more costly than merging."""
    try:
        latency = subtract(totals.latest, totals.previous)
    except ValueError as error:
        totals.slot.missing[f"latencies: {error}"] += 1
        latency = new_histogram()
    return MinuteCounts(totals.slot, latency)
