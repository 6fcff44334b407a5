"""Deletes the oldest revisions of the policy.

The object ``history/policy-versions`` lists the versions whose revisions are stored. With it, the
oldest can be deleted without listing the history, whose values may be a megabyte each. A version
that is missing from the list because of a crash is added with the next one.
"""

import json

from briarspur.coord.errors import StoreConflictError, StoreError, StoreUnclearError
from briarspur.coord.store import ABSENT, ObjectStore
from briarspur.revision import history_name

__all__ = ["INDEX_NAME", "MAX_REVISIONS", "Retention"]

INDEX_NAME = "history/policy-versions"
MAX_REVISIONS = 1_000
MAX_WRITE_ATTEMPTS = 3


class Retention:
    """Limits the number of stored revisions.

    Parameters
    ----------
    max_revisions : int
        Number of revisions to keep, the newest ones; at least 1.
    """

    def __init__(self, store: ObjectStore, max_revisions: int = MAX_REVISIONS) -> None:
        self._store = store
        self._max_revisions = max_revisions

    async def record(self, versions: set[int]) -> None:
        """Add stored versions to the list, and delete revisions beyond the limit.

        Best effort: a failure can leave too many revisions, never too few, and the next call
        deletes the rest.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self._update(versions)
            except (StoreConflictError, StoreUnclearError):
                continue
            except StoreError:
                return
            return

    async def _update(self, versions: set[int]) -> None:
        found = await self._store.get(INDEX_NAME)
        listed = set(json.loads(found.value)) if found else set()
        ordered = sorted(listed | versions)
        # Objects are deleted before the list is written: a crash in between leaves a listed version
        # without an object, which the next call can safely delete again. In the other order, it
        # would leave an object that is in no list and is never deleted.
        for version in ordered[: -self._max_revisions]:
            await self._delete(history_name(version))
        value = json.dumps(ordered[-self._max_revisions :]).encode()
        await self._store.put(INDEX_NAME, value, found.version if found else ABSENT)

    async def _delete(self, name: str) -> None:
        found = await self._store.get(name)
        if found is not None:
            await self._store.delete(name, found.version)
