"""The metrics page in the Prometheus text format."""

from collections.abc import Iterable, Mapping

from briarspur.gateway.histogram import BUCKET_BOUNDS_S, Histogram

__all__ = ["GATEWAY_METRICS", "Exposition"]

PREFIX = "briarspur_"

GATEWAY_METRICS: dict[str, str] = {
    "requests_total": "counter by code: final responses, by result code",
    "attempts_total": "counter by outcome: attempts at backend servers",
    "attempts_repeated_total": (
        "counter by service and reason: attempts after the first one of a request that failed,"
        " was overdue (hedge), or wasn't sent (unsent, not charged to the retry budget)"
    ),
    "answer_seconds": "histogram by route: from a request's arrival to its final response",
    "attempt_seconds": "histogram: from an attempt's start to its end",
    "open_requests": "gauge: requests without a final response yet",
    "target_connections_total": "counter: connections made to backend servers",
    "targets": "gauge by service: backend servers that accept new work",
    "targets_suspected": "gauge by service: those whose last attempt failed",
    "targets_limited": "gauge by service: those that advertise a limit of requests per second",
    "targets_leaving": "gauge by service: those that announced in a response that they are leaving",
    "targets_resting": "gauge by service: those that asked this entry to back off",
    "forwards_total": "counter by outcome: requests passed on to other entries",
    "not_run_responses_total": "counter by proof: final responses that state that the request was "
    "not run, by who established it; none if nobody did",
    "in_flight": "gauge by service: requests at backend servers, of all entries",
    "retries_used": "gauge by service: retries in the window that allows the fewest more",
    "retries_unanswered": "gauge by service: those that may not have arrived at a server yet",
    "retries_allowed": "gauge by service: this entry's share of the retry budget in that window",
    "retry_refusals_total": "counter by service: retries that the budget did not allow",
    "requests_suspended": "gauge: requests that are not sent since they seem to crash servers",
    "retry_entries": "gauge: entries by which the slack of the retry budgets is divided",
    "entries_live": "gauge: live entries, this one included",
    "configuration_version": "gauge: version of the configuration in force",
    "servers_unreachable": "gauge: 1 if this entry reaches no backend server",
    "store_age_seconds": "gauge by kind: time since the store last responded about this kind",
    "departure_age_seconds": (
        "histogram by way: maximum age of a backend server's departure when it took effect"
    ),
    "store_era": "gauge by kind: era of the store that this entry has followed it into",
    "store_calls_total": "counter by kind and result: calls to the store",
    "objects_malformed_total": "counter: stored objects that could not be read",
    "configuration_parts_malformed_total": (
        "counter: routes, services and limits of accepted configurations that could not be read"
    ),
    "quota_refusals_total": "counter by customer: requests beyond the customer's quota",
    "news_malformed_total": "counter: datagrams that were not news",
    "unhandled_errors_total": "counter: exceptions that no callback handled",
    "log_lines_dropped_total": "counter: log lines dropped because they were not read in time",
}
"""Every metric of the page with its type and meaning; ``docs/METRICS.md`` lists them."""


class Exposition:
    """Builds one metrics page."""

    def __init__(self) -> None:
        self._lines: list[str] = []

    def value(self, name: str, value: float, **labels: str) -> None:
        """Add a counter or a gauge."""
        assert name in GATEWAY_METRICS
        self._lines.append(f"{PREFIX}{name}{_format_labels(labels)} {value:g}")

    def values(self, name: str, label: str, values: Mapping[str, float]) -> None:
        """Add a counter or a gauge for each value of a label."""
        for key, value in sorted(values.items()):
            self.value(name, value, **{label: key})

    def histogram(self, name: str, histogram: Histogram, **labels: str) -> None:
        """Add a histogram."""
        assert name in GATEWAY_METRICS
        cumulative_count = 0
        for bound, count in zip((*BUCKET_BOUNDS_S, float("inf")), histogram.counts, strict=True):
            cumulative_count += count
            text = "+Inf" if bound == float("inf") else f"{bound:g}"
            self._lines.append(
                f"{PREFIX}{name}_bucket{_format_labels({**labels, 'le': text})} {cumulative_count}"
            )
        self._lines.append(f"{PREFIX}{name}_sum{_format_labels(labels)} {histogram.sum:.6f}")
        self._lines.append(f"{PREFIX}{name}_count{_format_labels(labels)} {cumulative_count}")

    def text(self) -> bytes:
        """Return the page."""
        type_lines = [
            f"# TYPE {PREFIX}{name} {metric_type}" for name, metric_type in _metric_types()
        ]
        return "\n".join([*type_lines, *self._lines, ""]).encode()


def _metric_types() -> Iterable[tuple[str, str]]:
    for name, meaning in GATEWAY_METRICS.items():
        yield name, meaning.split()[0].rstrip(":")


def _format_labels(labels: Mapping[str, str]) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels.items())
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
