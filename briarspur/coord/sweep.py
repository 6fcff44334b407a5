"""Deletes old claims and outcomes from the object store, a few at a time.

Claims and outcomes are written once, are never changed, and are needed only as long as a caller may
repeat its key. Each contains the time at which it was written. The sweeper stores no state, because
the process that runs it may be replaced long before an object is old.
"""

import contextlib
import json
from collections.abc import Callable, Sequence

from briarspur.coord.errors import StoreConflictError, StoreError
from briarspur.coord.store import ObjectStore, StoredObject

__all__ = ["Sweeper", "hex_prefixes"]

DEFAULT_MAX_DELETIONS = 50


def hex_prefixes(name: str) -> list[str]:
    """Return 256 prefixes that split the objects under ``name`` by the start of a hex digest."""
    return [f"{name}{part:02x}" for part in range(256)]


class Sweeper:
    """Deletes objects whose field ``at`` is older than the retention time, and no others.

    Parameters
    ----------
    store : ObjectStore
    prefixes : sequence of str
        Prefixes to list in turn, one per step, so that no listing grows large.
    retention : float
        Seconds for which objects are kept. This must be many times the difference between the
        clocks of writers and sweeper: if a claim is deleted while its caller still repeats the
        key, the key runs again.
    wall : callable
        Unix seconds.
    max_deletions : int
        Maximum number of deletions per step, to leave write capacity of the store to others.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefixes: Sequence[str],
        retention: float,
        wall: Callable[[], float],
        max_deletions: int = DEFAULT_MAX_DELETIONS,
    ) -> None:
        self._store = store
        self._prefixes = prefixes
        self._retention = retention
        self._wall = wall
        self._max_deletions = max_deletions
        self._step_count = 0

    async def step(self) -> int:
        """List one prefix and delete its old objects; return the number of deleted objects.

        A store error ends the step; a later step continues.
        """
        prefix = self._prefixes[self._step_count % len(self._prefixes)]
        self._step_count += 1
        deleted = 0
        with contextlib.suppress(StoreError):
            for stored in self._select_old(await self._store.list(prefix))[: self._max_deletions]:
                deleted += await self._delete(stored)
        return deleted

    def _select_old(self, found: list[StoredObject]) -> list[StoredObject]:
        with_times = [(_written_at(stored), stored) for stored in found]
        dated = [(at, stored) for at, stored in with_times if at is not None]
        # A sweeper whose clock is days ahead would delete every claim, and each repeat would run
        # again. So an object only counts as old if another object is newer by the retention time.
        now = min(self._wall(), max((at for at, _ in dated), default=0.0))
        return [stored for at, stored in dated if at + self._retention <= now]

    async def _delete(self, stored: StoredObject) -> bool:
        try:
            await self._store.delete(stored.name, stored.version)
        except StoreConflictError:
            # The listing was stale: another sweeper deleted the object, or its name was used again.
            return False
        return True


def _written_at(stored: StoredObject) -> float | None:
    try:
        return float(json.loads(stored.value)["at"])
    except (ValueError, KeyError, TypeError):
        return None
