"""The limits that backend servers name in their answers, which hold over all entries."""

from collections.abc import Iterable
from dataclasses import dataclass

from briarspur import logs
from briarspur.gateway.servernotice import NO_LIMIT
from briarspur.gateway.target import Target

__all__ = ["ServerLimits"]

LEAST_PER_S = 0.25
"""Requests per second that a server gets which takes fewer: only an answer can end its limit."""
FROM_ANSWER = "answer"


@dataclass(slots=True)
class _Limit:
    """What one incarnation of a server takes, in requests per second, and since when it is known.

    Attributes
    ----------
    said_at : float
        When the latest answer came that says so, on this entry's clock in seconds.
    """

    target: Target
    per_s: float
    said_at: float


class ServerLimits:
    """What each incarnation of a backend server says it takes."""

    def __init__(self) -> None:
        self._by_number: dict[int, _Limit] = {}

    def answered(self, target: Target, per_s: float, now: float) -> None:
        """Take the limit of an answer that came at this entry; :data:`NO_LIMIT` for none."""
        self._take(target, per_s, now, now, FROM_ANSWER)

    def limited(self, targets: Iterable[Target]) -> int:
        """Count the servers that have a limit."""
        found = (self._by_number.get(target.number) for target in targets)
        return sum(limit is not None and limit.per_s < NO_LIMIT for limit in found)

    def _take(self, target: Target, per_s: float, said_at: float, now: float, source: str) -> None:
        per_s = max(LEAST_PER_S, per_s)
        limit = self._by_number.get(target.number)
        if limit is None:
            if per_s == NO_LIMIT:
                return
            limit = self._by_number[target.number] = _Limit(target, NO_LIMIT, said_at)
        limit.said_at = said_at
        if per_s == limit.per_s:
            return
        limit.per_s = per_s
        logs.event(
            "target-limit",
            target=target.registration.target_id,
            service=target.registration.service,
            per_s="none" if per_s == NO_LIMIT else f"{per_s:.2f}",
            source=source,
            age_s=f"{now - said_at:.3f}",
        )
