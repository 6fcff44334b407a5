"""Compute the burn of a service's error budget over windows, from counts by time slot.

The module does no I/O. A slot holds the counts of one minute. Missing data is recorded as missing
and shown as coverage; a window that lacks data is never reported as good.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from briarspur.policy import Objective

__all__ = [
    "ALERT_RULES",
    "HOUR_S",
    "REPORT_WINDOWS",
    "SIX_HOURS",
    "SLOT_S",
    "THREE_DAYS",
    "AlertRule",
    "ServiceBurn",
    "Severity",
    "Slot",
    "Window",
    "WindowBurn",
    "coalesce",
    "compute_burn",
    "current_split",
    "sum_slots",
]

SLOT_S = 60
MINUTE_S = 60
HOUR_S = 3_600
DAY_S = 86_400
MIN_OK_COVERAGE_SHARE = 0.99


class Severity(Enum):
    """Action that a report requires of an operator."""

    OK = "ok"
    UNKNOWN = "unknown"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class Window:
    """A period of ``seconds`` that ends now."""

    name: str
    seconds: int


FIVE_MINUTES = Window("5 min", 5 * MINUTE_S)
HALF_HOUR = Window("30 min", 30 * MINUTE_S)
HOUR = Window("1 h", HOUR_S)
SIX_HOURS = Window("6 h", 6 * HOUR_S)
THREE_DAYS = Window("3 d", 3 * DAY_S)

REPORT_WINDOWS = (FIVE_MINUTES, HALF_HOUR, HOUR, SIX_HOURS, THREE_DAYS)


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Fires while the burn rate is at or above ``rate`` over both windows.

    The long window shows that the burn is significant; the short one shows that it continues.
    """

    severity: Severity
    rate: float
    long: Window
    short: Window


ALERT_RULES = (
    AlertRule(Severity.PAGE, 14.4, HOUR, FIVE_MINUTES),
    AlertRule(Severity.PAGE, 6.0, SIX_HOURS, HALF_HOUR),
    AlertRule(Severity.TICKET, 1.0, THREE_DAYS, SIX_HOURS),
)


@dataclass(slots=True)
class Slot:
    """Counts of one service in one or more minutes that begin at ``start``.

    Attributes
    ----------
    start : int
        Unix time in seconds, a multiple of ``SLOT_S``.
    minutes : int
        Number of minutes summed; more than 1 only for hours before the last six.
    expected_s, covered_s : float
        Entry-seconds that passed, and those for which counts are known.
    all_by_region : Counter
        All answers by the region that sent them.
    bad_by_region, bad_by_code, bad_by_entry : Counter
        Bad answers by region, numeric code, and entry.
    missing : Counter
        Reasons why entry-seconds are not covered, such as ``entry-7: no answer``, with their
        number.
    """

    start: int
    minutes: int = 1
    good: int = 0
    bad: int = 0
    expected_s: float = 0.0
    covered_s: float = 0.0
    all_by_region: Counter[str] = field(default_factory=Counter)
    bad_by_region: Counter[str] = field(default_factory=Counter)
    bad_by_code: Counter[int] = field(default_factory=Counter)
    bad_by_entry: Counter[str] = field(default_factory=Counter)
    missing: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """The burn over one window.

    Attributes
    ----------
    rate : float or None
        Share of bad answers divided by the share that the objective allows; 1 uses up the budget
        exactly. None if nothing was counted.
    coverage : float
        Share of the window's entry-seconds for which counts are known.
    """

    window: Window
    good: int
    bad: int
    rate: float | None
    coverage: float


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """A service's burn.

    Attributes
    ----------
    budget_left : float or None
        Unused share of the bad answers allowed over the longest window; negative if overspent,
        None if nothing was counted.
    worst_regions, worst_codes, worst_entries : tuple
        Keys with their number of bad answers over the longest window, the worst first.
    missing : tuple of (str, int)
        Reasons for missing data, with the number of slots, the most frequent first.
    """

    service: str
    objective: Objective
    severity: Severity
    fired: tuple[AlertRule, ...]
    windows: tuple[WindowBurn, ...]
    budget_left: float | None
    worst_regions: tuple[tuple[str, int], ...]
    worst_codes: tuple[tuple[int, int], ...]
    worst_entries: tuple[tuple[str, int], ...]
    missing: tuple[tuple[str, int], ...]


def compute_burn(
    service: str, objective: Objective, slots: Sequence[Slot], now: float
) -> ServiceBurn:
    """Return the burn of a service at the Unix time ``now``.

    The minute that contains ``now`` has not ended and is left out.
    """
    end = int(now // SLOT_S) * SLOT_S
    burns = {w.name: _window_burn(w, objective, slots, end) for w in REPORT_WINDOWS}
    fired = tuple(rule for rule in ALERT_RULES if _fires(rule, burns))
    total = sum_slots(_slots_in_window(slots, THREE_DAYS, end))
    return ServiceBurn(
        service=service,
        objective=objective,
        severity=_severity(fired, burns),
        fired=fired,
        windows=tuple(burns.values()),
        budget_left=_budget_left(total, objective),
        worst_regions=tuple(total.bad_by_region.most_common(5)),
        worst_codes=tuple(total.bad_by_code.most_common(5)),
        worst_entries=tuple(total.bad_by_entry.most_common(5)),
        missing=tuple(total.missing.most_common(10)),
    )


def sum_slots(slots: Iterable[Slot]) -> Slot:
    """Return one slot with the sums of all slots; its start is that of the first one."""
    total = Slot(0, minutes=0)
    for slot in slots:
        total.start = total.start or slot.start
        total.minutes += slot.minutes
        total.good += slot.good
        total.bad += slot.bad
        total.expected_s += slot.expected_s
        total.covered_s += slot.covered_s
        total.all_by_region.update(slot.all_by_region)
        total.bad_by_region.update(slot.bad_by_region)
        total.bad_by_code.update(slot.bad_by_code)
        total.bad_by_entry.update(slot.bad_by_entry)
        total.missing.update(slot.missing)
    return total


def coalesce(slots: Sequence[Slot], now: float) -> list[Slot]:
    """Return the slots of the last six hours by minute and older ones by hour, three days in all.

    This bounds the memory of a reader to 360 and 72 slots per service; without it there are 4,320.
    """
    end = int(now // SLOT_S) * SLOT_S
    recent = end - SIX_HOURS.seconds
    by_hour: dict[int, list[Slot]] = {}
    result = []
    for slot in sorted(slots, key=lambda slot: slot.start):
        if slot.start < end - THREE_DAYS.seconds:
            continue
        if slot.start >= recent:
            result.append(slot)
        else:
            by_hour.setdefault(slot.start // HOUR_S, []).append(slot)
    return [sum_slots(group) for _, group in sorted(by_hour.items())] + result


def current_split(slots: Sequence[Slot], now: float) -> dict[str, float]:
    """Return each region's share of the answers in the last five complete minutes."""
    end = int(now // SLOT_S) * SLOT_S
    counts = sum_slots(_slots_in_window(slots, FIVE_MINUTES, end)).all_by_region
    total = counts.total()
    return {region: count / total for region, count in sorted(counts.items())} if total else {}


def _slots_in_window(slots: Sequence[Slot], window: Window, end: int) -> list[Slot]:
    return [slot for slot in slots if end - window.seconds <= slot.start < end]


def _window_burn(
    window: Window, objective: Objective, slots: Sequence[Slot], end: int
) -> WindowBurn:
    total = sum_slots(_slots_in_window(slots, window, end))
    counted = total.good + total.bad
    allowed_bad_share = 1.0 - objective.good_share
    rate = total.bad / counted / allowed_bad_share if counted else None
    return WindowBurn(window, total.good, total.bad, rate, _coverage(window, total))


def _coverage(window: Window, total: Slot) -> float:
    """Return the covered share of a window; a minute without a slot counts as not covered."""
    if total.expected_s <= 0.0:
        return 0.0
    present_share = min(total.minutes * SLOT_S / window.seconds, 1.0)
    return min(total.covered_s / total.expected_s, 1.0) * present_share


def _fires(rule: AlertRule, burns: dict[str, WindowBurn]) -> bool:
    long = burns[rule.long.name].rate
    short = burns[rule.short.name].rate
    return long is not None and short is not None and min(long, short) >= rule.rate


def _severity(fired: Sequence[AlertRule], burns: dict[str, WindowBurn]) -> Severity:
    """Return the highest severity of the alerts fired.

    Without complete data over the shortest window the result is "unknown" and not "ok", so that a
    report cannot look healthy while entries do not respond.
    """
    if any(rule.severity is Severity.PAGE for rule in fired):
        return Severity.PAGE
    if fired:
        return Severity.TICKET
    if burns[FIVE_MINUTES.name].coverage < MIN_OK_COVERAGE_SHARE:
        return Severity.UNKNOWN
    return Severity.OK


def _budget_left(total: Slot, objective: Objective) -> float | None:
    counted = total.good + total.bad
    if counted == 0:
        return None
    return 1.0 - total.bad / (counted * (1.0 - objective.good_share))
