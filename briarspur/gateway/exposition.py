"""The metrics page, in the text form that scrapers read."""

from collections.abc import Iterable, Mapping

from briarspur.gateway.histogram import BOUNDS, Histogram

__all__ = ["GATEWAY_METRICS", "Exposition"]

PREFIX = "briarspur_"

GATEWAY_METRICS: dict[str, str] = {
    "requests_total": "counter by code: final answers, by result code",
    "attempts_total": "counter by outcome: attempts at backend servers",
    "answer_seconds": "histogram by route: from a request's arrival to its final answer",
    "attempt_seconds": "histogram: from an attempt's start to its end",
    "open_requests": "gauge: requests without a final answer yet",
    "target_connections_total": "counter: connections made to backend servers",
    "targets": "gauge by service: backend servers that take new work",
    "targets_suspected": "gauge by service: those whose last attempt failed",
    "targets_limited": "gauge by service: those that name a limit of requests a second",
    "targets_leaving": "gauge by service: those that said in an answer that they leave",
    "targets_resting": "gauge by service: those that want nothing from this entry for a while",
    "in_flight": "gauge by service: requests at backend servers, of all entries",
    "entries_live": "gauge: live entries, this one included",
    "configuration_version": "gauge: version of the configuration in force",
    "store_age_seconds": "gauge by kind: time since the store last answered about it",
    "departure_age_seconds": (
        "histogram by way: how old a departure of a backend server was at most when it took effect"
    ),
    "store_calls_total": "counter by kind and result: calls to the store",
    "objects_malformed_total": "counter: stored objects that could not be read",
    "configuration_parts_malformed_total": (
        "counter: routes, services and limits of accepted configurations that could not be read"
    ),
    "quota_refusals_total": "counter by customer: requests beyond the customer's quota",
    "news_malformed_total": "counter: datagrams that were not news",
    "log_lines_dropped_total": "counter: log lines that nobody read in time",
}
"""Every metric of the page with its type and meaning; ``docs/METRICS.md`` lists them."""


class Exposition:
    """Collects one page."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def value(self, name: str, value: float, **labels: str) -> None:
        """Add a counter or a gauge."""
        assert name in GATEWAY_METRICS
        self._lines.append(f"{PREFIX}{name}{_labels(labels)} {value:g}")

    def values(self, name: str, label: str, values: Mapping[str, float]) -> None:
        """Add a counter or a gauge for each value of a label."""
        for key, value in sorted(values.items()):
            self.value(name, value, **{label: key})

    def histogram(self, name: str, histogram: Histogram, **labels: str) -> None:
        """Add a histogram."""
        assert name in GATEWAY_METRICS
        total = 0
        for bound, count in zip((*BOUNDS, float("inf")), histogram.counts, strict=True):
            total += count
            text = "+Inf" if bound == float("inf") else f"{bound:g}"
            self._lines.append(f"{PREFIX}{name}_bucket{_labels({**labels, 'le': text})} {total}")
        self._lines.append(f"{PREFIX}{name}_sum{_labels(labels)} {histogram.sum:.6f}")
        self._lines.append(f"{PREFIX}{name}_count{_labels(labels)} {total}")

    def text(self) -> bytes:
        """Return the page."""
        heads = [f"# TYPE {PREFIX}{name} {kind}" for name, kind in _types()]
        return "\n".join([*heads, *self._lines, ""]).encode()


def _types() -> Iterable[tuple[str, str]]:
    for name, meaning in GATEWAY_METRICS.items():
        yield name, meaning.split()[0].rstrip(":")


def _labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{_escaped(value)}"' for name, value in labels.items())
    return "{" + inner + "}"


def _escaped(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
