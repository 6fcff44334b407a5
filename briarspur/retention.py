"""How long past revisions of the policy are kept.

The object ``history/policy-versions`` lists the versions whose revisions are kept, so that the
oldest can be deleted without listing the history, whose values may be a megabyte each. A version
that a crash left out is added with the next one.
"""

import json

from briarspur.coord.errors import StoreConflictError, StoreError, StoreUnclearError
from briarspur.coord.store import ABSENT, ObjectStore
from briarspur.revision import history_name

__all__ = ["INDEX_NAME", "KEPT_REVISIONS", "Retention"]

INDEX_NAME = "history/policy-versions"
KEPT_REVISIONS = 1_000
WRITE_ATTEMPTS = 3


class Retention:
    """Keeps the newest revisions and deletes older ones.

    Parameters
    ----------
    keep : int
        How many past revisions to keep; at least 1.
    """

    def __init__(self, store: ObjectStore, keep: int = KEPT_REVISIONS) -> None:
        self._store = store
        self._keep = keep

    async def added(self, versions: set[int]) -> None:
        """List versions that were stored just now, and delete what is too old.

        It is best effort: after any failure more is kept, never less, and the next call goes on.
        """
        for _ in range(WRITE_ATTEMPTS):
            try:
                await self._add(versions)
            except (StoreConflictError, StoreUnclearError):
                continue
            except StoreError:
                return
            return

    async def _add(self, versions: set[int]) -> None:
        found = await self._store.get(INDEX_NAME)
        listed = set(json.loads(found.value)) if found else set()
        ordered = sorted(listed | versions)
        # Deleted before the list is written: a crash between the two leaves a listed version
        # without an object, and deleting that again does no harm. The other order would leave an
        # object that nothing lists, for ever.
        for version in ordered[: -self._keep]:
            await self._delete(history_name(version))
        value = json.dumps(ordered[-self._keep :]).encode()
        await self._store.put(INDEX_NAME, value, found.version if found else ABSENT)

    async def _delete(self, name: str) -> None:
        found = await self._store.get(name)
        if found is not None:
            await self._store.delete(name, found.version)
