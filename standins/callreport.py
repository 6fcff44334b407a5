"""Results of callers: final answers, latency histograms and the outcome of each booking."""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any, Self

from hdrh.histogram import HdrHistogram

__all__ = ["Fate", "Outcome", "Report", "Verdict", "check_bookings", "new_histogram"]

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3


class Outcome(Enum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "outcome unknown"
    FAILED = "failed"
    WRONG = "wrong answer"
    NONE = "no final answer"


class Fate(Enum):
    """Whether a booking ran, as far as its caller knows."""

    CONFIRMED = "confirmed"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


def new_histogram() -> Any:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Report:
    """Counts of one caller process, or the sum of several.

    Attributes
    ----------
    codes_by_load : dict of str to Counter
        Final answers by result code; 0 counts calls without one.
    attempt_codes : Counter
        Answers to all attempts by result code, including attempts that were retried.
    fates_by_key : dict of str to str
        Value of :class:`Fate` for each key.
    histories : list of str
        The attempts of calls that were not answered; a process keeps only its first ones.
    repeated_calls : int
        Calls that needed more than one attempt.
    """

    codes_by_load: dict[str, Counter[str]] = field(default_factory=dict)
    outcomes_by_load: dict[str, Counter[str]] = field(default_factory=dict)
    attempt_codes: Counter[str] = field(default_factory=Counter)
    fates_by_key: dict[str, str] = field(default_factory=dict)
    histograms_by_load: dict[str, Any] = field(default_factory=dict)
    histories: list[str] = field(default_factory=list)
    lookups: int = 0
    repeated_calls: int = 0

    def record_latency(self, load: str, seconds: float) -> None:
        """Record the latency of a complete answer."""
        histogram = self.histograms_by_load.setdefault(load, new_histogram())
        histogram.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1_000_000))))

    def count_final(self, load: str, code: int, outcome: Outcome) -> None:
        """Count how a call ended."""
        self.codes_by_load.setdefault(load, Counter())[str(code)] += 1
        self.outcomes_by_load.setdefault(load, Counter())[outcome.value] += 1

    def failed_histories(self) -> list[str]:
        """Return the histories of calls without a final answer, or with a wrong one."""
        prefixes = (Outcome.NONE.value, Outcome.WRONG.value)
        return [history for history in self.histories if history.startswith(prefixes)]

    def total(self, outcome: Outcome, load: str | None = None) -> int:
        """Return how many calls had this outcome, of one load or of all."""
        counters = self.outcomes_by_load
        return sum(c[outcome.value] for name, c in counters.items() if load in (None, name))

    def calls(self) -> int:
        """Return how many calls ended, whatever their outcome."""
        return sum(sum(c.values()) for c in self.outcomes_by_load.values())

    def add(self, other: Self) -> None:
        """Add another caller's counts."""
        for own, added in (
            (self.codes_by_load, other.codes_by_load),
            (self.outcomes_by_load, other.outcomes_by_load),
        ):
            for load, counter in added.items():
                own.setdefault(load, Counter()).update(counter)
        for load, histogram in other.histograms_by_load.items():
            self.histograms_by_load.setdefault(load, new_histogram()).add(histogram)
        self.attempt_codes.update(other.attempt_codes)
        self.fates_by_key.update(other.fates_by_key)
        self.histories.extend(other.histories)
        self.lookups += other.lookups
        self.repeated_calls += other.repeated_calls

    def latency_ms(self, load: str, percentile: float) -> float:
        """Return a percentile of the latency of complete answers in ms; 0 without answers."""
        histogram = self.histograms_by_load.get(load)
        if histogram is None:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    def dump(self) -> str:
        """Return the report as JSON."""
        document: dict[str, Any] = {item.name: getattr(self, item.name) for item in fields(self)}
        document["histograms_by_load"] = {
            load: histogram.encode().decode() for load, histogram in self.histograms_by_load.items()
        }
        return json.dumps(document)

    @classmethod
    def load(cls, text: str) -> Self:
        """Return the report that ``dump`` wrote."""
        document = json.loads(text)
        histograms = document.pop("histograms_by_load")
        report = cls(**document)
        report.codes_by_load = {k: Counter(v) for k, v in report.codes_by_load.items()}
        report.outcomes_by_load = {k: Counter(v) for k, v in report.outcomes_by_load.items()}
        report.attempt_codes = Counter(report.attempt_codes)
        report.histograms_by_load = {
            load: HdrHistogram.decode(encoded) for load, encoded in histograms.items()
        }
        return report


@dataclass(frozen=True, slots=True)
class Verdict:
    """Comparison of the ledgers with the callers' bookings; each list holds keys."""

    recorded: int
    confirmed: int
    doubled: list[str]
    lost: list[str]
    run_though_refused: list[str]

    @property
    def is_ok(self) -> bool:
        """Whether no booking was lost, run twice, or run although it was refused."""
        return not (self.doubled or self.lost or self.run_though_refused)


def check_bookings(report: Report, ledgers: Iterable[dict[str, Any]]) -> Verdict:
    """Compare the outcomes that callers received with the runs that backend servers recorded.

    The runs of a key are summed over all ledgers, because two targets in different processes may
    each have run it once.
    """
    runs: Counter[str] = Counter()
    for ledger in ledgers:
        for key, targets in ledger["runs_by_key"].items():
            runs[key] += len(targets)
    fates = report.fates_by_key
    confirmed = [key for key, fate in fates.items() if fate == Fate.CONFIRMED.value]
    refused = [key for key, fate in fates.items() if fate == Fate.NOT_RUN.value]
    return Verdict(
        recorded=len(runs),
        confirmed=len(confirmed),
        doubled=[key for key, count in runs.items() if count > 1],
        lost=[key for key in confirmed if runs[key] == 0],
        run_though_refused=[key for key in refused if runs[key] > 0],
    )
