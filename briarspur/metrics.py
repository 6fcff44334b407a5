"""Metrics over statsd, with a table of all their names."""

from types import TracebackType
from typing import Protocol, Self

from briarspur.settings import StatsdSettings

__all__ = ["METRICS", "Metrics", "NullMetrics", "StatsdMetrics"]

METRICS: dict[str, str] = {
    "answers": "counter by code: final responses",
    "answer_ms": "timing by service: from the request's arrival to the last byte of the response",
    "in_flight": "gauge by region: requests dispatched and not finished",
    "queued": "gauge: requests waiting for a slot",
    "headroom": "gauge by service and region: additional requests per second possible when warm",
    "plans_written": "counter: plans written to the store",
    "entries_reporting": "gauge: entries whose load the planner received in its last round",
    "invariant_violations": "counter by name: violations of an invariant",
    "policy_version": "gauge: version of the policy in force",
    "swept": "counter: expired claims and outcomes of keys that were deleted",
    "old_versions_ignored": "counter by object: reads older than the version in force",
}
"""Every metric with its type and meaning; ``docs/METRICS.md`` lists them."""


class Metrics(Protocol):
    """A sink of counters, gauges and timings."""

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float, label: str = "") -> None:
        """Record a duration."""


class NullMetrics:
    """Metrics that are discarded."""

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float, label: str = "") -> None:
        """Do nothing."""


class StatsdMetrics:
    """Metrics sent over UDP, one datagram per value; owns its socket."""

    def __init__(self, settings: StatsdSettings) -> None:
        import statsd

        self._client = statsd.StatsClient(settings.host, settings.port, prefix=settings.prefix)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._client.close()

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(_labelled(name, label), amount)

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._client.gauge(_labelled(name, label), value)

    def timing(self, name: str, milliseconds: float, label: str = "") -> None:
        """Record a duration."""
        self._client.timing(_labelled(name, label), milliseconds)


def _labelled(name: str, label: str) -> str:
    return f"{name}.{label}" if label else name
