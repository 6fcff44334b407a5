"""The service-level burn report: its data, its plain text and its self-contained HTML page."""

from collections.abc import Mapping
from dataclasses import dataclass

from briarspur import pages, plots
from briarspur.latency import Histogram, quantile
from briarspur.levelseries import LevelSeries
from briarspur.plots import Point, Threshold
from briarspur.policy import Objective
from briarspur.windows import (
    ALERT_RULES,
    HOUR_S,
    AlertRule,
    ServiceBurn,
    Severity,
    Slot,
    compute_burn,
    sum_slots,
)

__all__ = [
    "BurnReport",
    "LatencyLine",
    "ServiceReport",
    "make_report",
    "report_html",
    "report_text",
]

QUANTILES = (0.5, 0.9, 0.99, 0.999)
PLOT_QUANTILES = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999)
SEVERITY_ORDER = (Severity.OK, Severity.UNKNOWN, Severity.TICKET, Severity.PAGE)


@dataclass(frozen=True, slots=True)
class LatencyLine:
    """Quantiles of the latencies of complete answers, in seconds; None without answers."""

    window: str
    answers: int
    by_quantile: dict[str, float | None]


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """Burn, latencies and plot data of one service.

    Attributes
    ----------
    rate_points : tuple of Point
        Burn rate by hour; the value is None for hours without counts.
    coverage_points : tuple of Point
        Share of the entries' time that is covered, by hour.
    latency_points : tuple of Point
        Latency in seconds by quantile, over the last three days.
    """

    burn: ServiceBurn
    latencies: tuple[LatencyLine, ...]
    rate_points: tuple[Point, ...]
    coverage_points: tuple[Point, ...]
    latency_points: tuple[Point, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The report at the Unix time ``made_at``, the most severe service first.

    Attributes
    ----------
    note : str
        Remark on the origin of the counts; empty if they come from the collected history.
    """

    user: str
    made_at: float
    services: tuple[ServiceReport, ...]
    note: str = ""

    @property
    def severity(self) -> Severity:
        """The highest severity of all services."""
        severities = [service.burn.severity for service in self.services]
        return max(severities, key=SEVERITY_ORDER.index, default=Severity.UNKNOWN)


def make_report(
    user: str,
    objectives_by_service: Mapping[str, Objective],
    series_by_service: Mapping[str, LevelSeries],
    now: float,
    note: str = "",
) -> BurnReport:
    """Return the report on collected data; a service without data is reported as unknown."""
    services = [
        _service_report(service, objective, series_by_service.get(service, LevelSeries()), now)
        for service, objective in objectives_by_service.items()
    ]
    services.sort(
        key=lambda report: (-SEVERITY_ORDER.index(report.burn.severity), report.burn.service)
    )
    return BurnReport(user, now, tuple(services), note)


def report_text(report: BurnReport) -> str:
    """Return the report as plain text."""
    parts = [report.note] if report.note else []
    parts += [_service_text(service) for service in report.services]
    return "\n\n".join(parts) or "no service"


def report_html(report: BurnReport) -> str:
    """Return the report as one HTML page with inline plots, without scripts or external links."""
    plotted = [(service, make_plots(service)) for service in report.services]
    return pages.render("burn.html", report=report, plotted=plotted, rule_text=rule_text)


def rule_text(rule: AlertRule) -> str:
    """Return a description of an alert rule."""
    return f"{rule.severity.value}: {rule.rate:g} over {rule.long.name} and {rule.short.name}"


def _service_report(
    service: str, objective: Objective, series: LevelSeries, now: float
) -> ServiceReport:
    burn = compute_burn(service, objective, series.slots, now)
    latency_3d = series.latency()
    hours = _by_hour(series.slots)
    return ServiceReport(
        burn=burn,
        latencies=(
            _latency_line("1 h", series.latency_of_last_hour()),
            _latency_line("3 d", latency_3d),
        ),
        rate_points=tuple(Point(hour.start, _rate(hour, objective)) for hour in hours),
        coverage_points=tuple(Point(hour.start, _coverage(hour)) for hour in hours),
        latency_points=tuple(Point(q, quantile(latency_3d, q)) for q in PLOT_QUANTILES),
    )


def _latency_line(window: str, histogram: Histogram) -> LatencyLine:
    by_quantile = {f"p{share * 100:g}": quantile(histogram, share) for share in QUANTILES}
    return LatencyLine(window, histogram.get_total_count(), by_quantile)


def _by_hour(slots: list[Slot]) -> list[Slot]:
    """Return the sums by hour, with an empty slot for each hour in between that has no data."""
    slots_by_hour: dict[int, list[Slot]] = {}
    for slot in slots:
        slots_by_hour.setdefault(slot.start // HOUR_S, []).append(slot)
    if not slots_by_hour:
        return []
    hours = range(min(slots_by_hour), max(slots_by_hour) + 1)
    sums = {hour: sum_slots(slots_by_hour.get(hour, [])) for hour in hours}
    for hour, total in sums.items():
        total.start = hour * HOUR_S
    return list(sums.values())


def _rate(hour: Slot, objective: Objective) -> float | None:
    total = hour.good + hour.bad
    return hour.bad / total / (1.0 - objective.good_share) if total else None


def _coverage(hour: Slot) -> float:
    return min(hour.covered_s / hour.expected_s, 1.0) if hour.expected_s else 0.0


def _service_text(service: ServiceReport) -> str:
    burn = service.burn
    objective = burn.objective
    lines = [
        f"{burn.service}: {burn.severity.value.upper()}",
        f"  objective: {objective.good_share:.3%} whole within {objective.latency * 1000:g} ms",
        f"  budget left over 3 d: {_format_percent(burn.budget_left)}",
    ]
    lines += [f"  fired: {rule_text(rule)}" for rule in burn.fired]
    lines.append("  window      good       bad    burn   data known")
    for window in burn.windows:
        rate = "-" if window.rate is None else f"{window.rate:.2f}"
        lines.append(
            f"  {window.window.name:<6}{window.good:>10}{window.bad:>10}{rate:>8}"
            f"{window.coverage:>12.1%}"
        )
    for line in service.latencies:
        shares = ", ".join(
            f"{name} {_format_ms(value)}" for name, value in line.by_quantile.items()
        )
        lines.append(f"  latency over {line.window}: {shares} ({line.answers} answers)")
    lines += _worst_offender_lines(burn)
    lines += [f"  missing: {reason} ({count} min)" for reason, count in burn.missing]
    return "\n".join(lines)


def _worst_offender_lines(burn: ServiceBurn) -> list[str]:
    worst = {
        "regions": burn.worst_regions,
        "codes": burn.worst_codes,
        "entries": burn.worst_entries,
    }
    return [
        f"  worst {kind}: " + ", ".join(f"{key} {count}" for key, count in counts)
        for kind, counts in worst.items()
        if counts
    ]


def make_plots(service: ServiceReport) -> dict[str, str]:
    """Return the SVG plots of a service by name."""
    thresholds = [Threshold(rule.rate, f"{rule.rate:g}") for rule in ALERT_RULES]
    latency = Threshold(service.burn.objective.latency * 1000, "objective")
    in_ms = [
        Point(point.x * 100, None if point.y is None else point.y * 1000)
        for point in service.latency_points
    ]
    return {
        "rate": plots.time_plot("burn rate by hour", service.rate_points, thresholds),
        "coverage": plots.time_plot("data known, by hour", service.coverage_points, []),
        "latency": plots.value_plot("latency in ms by percentile", in_ms, [latency]),
    }


def _format_percent(share: float | None) -> str:
    return "unknown" if share is None else f"{share:.1%}"


def _format_ms(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.1f} ms"
