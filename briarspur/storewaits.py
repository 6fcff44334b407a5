"""Requests that wait for the object store."""

from briarspur.coord.keys import Key
from briarspur.work import Work

__all__ = ["StoreWaits"]


class StoreWaits:
    """Requests that wait for a claim, for another request's claim, or for an outcome."""

    def __init__(self) -> None:
        self._waits_by_id: dict[str, tuple[Work, Key]] = {}

    def __len__(self) -> int:
        return len(self._waits_by_id)

    def add(self, work: Work, key: Key) -> None:
        """Record that ``work`` waits for the store's result for ``key``."""
        self._waits_by_id[work.request.request_id] = (work, key)

    def discard(self, work: Work) -> None:
        """Remove a request that no longer waits."""
        self._waits_by_id.pop(work.request.request_id, None)

    def pop_overdue(self, now: float) -> list[tuple[Work, Key]]:
        """Remove and return the requests whose deadlines have passed, oldest first."""
        overdue = [wait for wait in self._waits_by_id.values() if wait[0].deadline <= now]
        for work, _ in overdue:
            self.discard(work)
        return overdue
