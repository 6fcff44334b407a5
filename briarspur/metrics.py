"""Metrics over statsd; every name is in one table."""

from types import TracebackType
from typing import Protocol, Self

from briarspur.settings import StatsdSettings

__all__ = ["METRICS", "Metrics", "NullMetrics", "StatsdMetrics"]

METRICS: dict[str, str] = {
    "answers": "counter by code: final answers",
    "answer_ms": "timing by service: from the request's arrival to the answer's last byte",
    "in_flight": "gauge by region: requests dispatched and not ended",
    "queued": "gauge: requests that wait for a slot",
    "headroom": "gauge by service and region: requests per second that could be taken warm",
    "plans_written": "counter: plans that came into the store",
    "entries_reporting": "gauge: entries whose load the planner got in its last round",
    "invariant_violations": "counter by name: properties that did not hold",
    "policy_version": "gauge: version of the policy in force",
    "swept": "counter: claims and outcomes of keys deleted for their age",
    "old_versions_ignored": "counter by object: reads older than what is in force",
}
"""Every metric with its type and meaning; ``docs/METRICS.md`` lists them."""


class Metrics(Protocol):
    """Where counts go."""

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float, label: str = "") -> None:
        """Record a duration."""


class NullMetrics:
    """Metrics that go nowhere."""

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Do nothing."""

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Do nothing."""

    def timing(self, name: str, milliseconds: float, label: str = "") -> None:
        """Do nothing."""


class StatsdMetrics:
    """Metrics sent by UDP, one datagram a value; owns its socket."""

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
        self._client.incr(_full(name, label), amount)

    def gauge(self, name: str, value: float, label: str = "") -> None:
        """Set a gauge."""
        self._client.gauge(_full(name, label), value)

    def timing(self, name: str, milliseconds: float, label: str = "") -> None:
        """Record a duration."""
        self._client.timing(_full(name, label), milliseconds)


def _full(name: str, label: str) -> str:
    return f"{name}.{label}" if label else name
