"""Deletes objects that nobody needs any more, a few at a time.

Claims and outcomes are written once, never changed, and needed only as long as a caller may repeat
its key. Each says when it was written. The sweeper keeps nothing itself, because the process that
runs it may be replaced long before an object is old.
"""

import contextlib
import json
from collections.abc import Callable, Sequence

from briarspur.coord.errors import StoreConflictError, StoreError
from briarspur.coord.store import ObjectStore, StoredObject

__all__ = ["Sweeper", "hex_prefixes"]

DEFAULT_DELETIONS = 50


def hex_prefixes(name: str) -> list[str]:
    """Return the 256 parts into which ``name`` is listed, for objects named by a hex digest."""
    return [f"{name}{part:02x}" for part in range(256)]


class Sweeper:
    """Deletes objects whose field ``at`` lies too long ago; others it never touches.

    Parameters
    ----------
    store : ObjectStore
    prefixes : sequence of str
        Listed in turn, one each step, so that no listing grows large.
    keep : float
        Seconds. Clocks of writers and sweeper differ, so this must be many times the difference:
        a claim deleted while its caller still repeats the key lets it run again.
    wall : callable
        Unix seconds.
    deletions : int
        At most this many each step, to leave the store's writes to others.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefixes: Sequence[str],
        keep: float,
        wall: Callable[[], float],
        deletions: int = DEFAULT_DELETIONS,
    ) -> None:
        self._store = store
        self._prefixes = prefixes
        self._keep = keep
        self._wall = wall
        self._deletions = deletions
        self._turn = 0

    async def step(self) -> int:
        """List one prefix and delete what is old there; return how many objects went.

        An error of the store ends the step; a later one goes on.
        """
        prefix = self._prefixes[self._turn % len(self._prefixes)]
        self._turn += 1
        deleted = 0
        with contextlib.suppress(StoreError):
            for stored in self._old(await self._store.list(prefix))[: self._deletions]:
                deleted += await self._delete(stored)
        return deleted

    def _old(self, found: list[StoredObject]) -> list[StoredObject]:
        times = [(_written_at(stored), stored) for stored in found]
        known = [(at, stored) for at, stored in times if at is not None]
        # A sweeper whose clock is days ahead would delete every claim, and each repeat would run
        # again. So an object is old only if another one is younger by as much, too.
        now = min(self._wall(), max((at for at, _ in known), default=0.0))
        return [stored for at, stored in known if at + self._keep <= now]

    async def _delete(self, stored: StoredObject) -> bool:
        try:
            await self._store.delete(stored.name, stored.version)
        except StoreConflictError:
            # The listing was old: another sweeper was quicker, or the name is in use again.
            return False
        return True


def _written_at(stored: StoredObject) -> float | None:
    try:
        return float(json.loads(stored.value)["at"])
    except (ValueError, KeyError, TypeError):
        return None
