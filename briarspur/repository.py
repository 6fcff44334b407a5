"""Reads and writes the policy's revisions in the object store.

A revision is written to ``policy`` first and to the history second. A crash between the two writes
leaves the newest revision out of the history. The next writer repairs this: before it overwrites
``policy``, it stores the revision read from there in the history. So every revision older than the
one in force is in the history, and the one in force is in ``policy``.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, ObjectStore
from briarspur.retention import MAX_REVISIONS, Retention
from briarspur.revision import (
    POLICY_NAME,
    Draft,
    Revision,
    decode_revision,
    encode_revision,
    history_name,
)

__all__ = ["Draft", "PolicyConflict", "PolicyRepository"]

RETRY_DELAYS_S = (0.0, 0.1, 0.2, 0.4, 0.8)
"""Delay before each attempt to write, or to find the outcome of a write without a response."""

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class PolicyConflict:
    """Another writer changed the policy first; nothing was written.

    Attributes
    ----------
    current : Revision or None
        The revision in force now; None if the policy was deleted.
    """

    current: Revision | None


class PolicyRepository:
    """Reads revisions and writes new ones.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    sleep : callable
        Waits for a number of seconds; replaced in tests.
    max_revisions : int
        Maximum number of revisions to keep.
    """

    def __init__(
        self, store: ObjectStore, sleep: Sleep = asyncio.sleep, max_revisions: int = MAX_REVISIONS
    ) -> None:
        self._store = store
        self._sleep = sleep
        self._retention = Retention(store, max_revisions)

    async def current(self) -> Revision | None:
        """Read the revision in force. Reads of the store may be stale."""
        found = await self._store.get(POLICY_NAME)
        return decode_revision(found.value, found.version) if found else None

    async def revision(self, version: int) -> Revision | None:
        """Return a past revision or the one in force; None if the version does not exist."""
        past = await self._read_past(version)
        if past is not None:
            return past
        current = await self.current()
        return current if current is not None and current.version == version else None

    async def history(self, limit: int) -> list[Revision]:
        """Return up to ``limit`` revisions that are still stored, newest first."""
        revisions: list[Revision] = []
        found = await self.current()
        while found is not None and len(revisions) < limit:
            revisions.append(found)
            found = await self._read_past(found.previous)
        return revisions

    async def accept(self, draft: Draft, expected_version: int) -> Result[Revision, PolicyConflict]:
        """Put ``draft`` in force if the policy is still at ``expected_version``.

        Raises
        ------
        StoreUnavailableError
            Nothing was written.
        StoreUnclearError
            The write may have taken effect, and the store could not be read to find out.
        """
        await self._complete_history(expected_version)
        value = encode_revision(draft, expected_version)
        try:
            version = await self._write_policy(value, expected_version, draft.token)
        except StoreConflictError as error:
            return Error(PolicyConflict(await self._read_conflicting(error.current_version)))
        await self._store_in_history(version, value)
        await self._retention.record({expected_version, version} - {ABSENT})
        return Ok(decode_revision(value, version))

    async def _read_conflicting(self, version: int) -> Revision | None:
        """Read the revision that was written first.

        Raises StoreUnavailableError if it cannot be read, because the write itself is known to have
        failed.
        """
        try:
            return await self._read_at_least(version)
        except StoreUnclearError as error:
            raise StoreUnavailableError(f"conflict with version {version}; {error}") from error

    async def _complete_history(self, expected_version: int) -> None:
        """Store the revision to be overwritten in the history, if it is missing there.

        Its writer may have crashed between the write of ``policy`` and that of the history; without
        this step nobody could roll back to it. No revision is missed, because the overwriting write
        is conditional on the version stored here, and a read of an older version is repeated.
        """
        if expected_version == ABSENT:
            return
        for delay in RETRY_DELAYS_S:
            await self._sleep(delay)
            found = await self._store.get(POLICY_NAME)
            if found is not None and found.version >= expected_version:
                break
        else:
            raise StoreUnavailableError(f"reads return versions older than {expected_version}")
        if found.version > expected_version:
            return
        try:
            await self._create(history_name(found.version), found.value)
        except StoreUnclearError as error:
            raise StoreUnavailableError(f"cannot write the history: {error}") from error

    async def _store_in_history(self, version: int, value: bytes) -> None:
        """Store the accepted revision; if this fails, the writer of the next revision does it."""
        try:
            await self._create(history_name(version), value)
        except StoreError:
            return

    async def _create(self, name: str, value: bytes) -> None:
        for delay in RETRY_DELAYS_S:
            await self._sleep(delay)
            try:
                await self._store.put(name, value, ABSENT)
            except StoreConflictError:
                return
            except StoreUnclearError:
                # Safe to repeat: if the first attempt took effect, the next one gets a conflict.
                continue
            return
        raise StoreUnclearError(f"{name}: no response to the write")

    async def _write_policy(self, value: bytes, expected_version: int, token: str) -> int:
        """Write ``policy``; after a lost response, repeat the write under the same condition.

        Prevents two wrong results after a lost response: "conflict" although the conflicting write
        is this one, and "not written" although the write takes effect later. A read may be stale
        and can rule out neither. The repeated write is refused if any write took effect at
        ``expected_version``, and the token in that revision shows whose write it was.
        """
        unclear = False
        for delay in RETRY_DELAYS_S:
            await self._sleep(delay)
            try:
                return await self._store.put(POLICY_NAME, value, expected_version)
            except StoreUnclearError:
                unclear = True
            except StoreUnavailableError:
                if not unclear:
                    raise
            except StoreConflictError as error:
                if not unclear:
                    raise
                version = await self._find_own_version(token, expected_version, error)
                if version is None:
                    raise
                return version
        raise StoreUnclearError(f"{POLICY_NAME}: no response to the write; check the history")

    async def _find_own_version(
        self, token: str, expected_version: int, conflict: StoreConflictError
    ) -> int | None:
        """Return the version created by this write; None if another write came first."""
        found = await self._read_at_least(conflict.current_version)
        try:
            while found is not None and found.previous > expected_version:
                found = await self._read_past(found.previous)
        except StoreUnavailableError as error:
            # StoreUnavailableError would mean that nothing was written.
            raise StoreUnclearError(
                f"{POLICY_NAME}: outcome of the write unknown: {error}"
            ) from error
        if found is None:
            raise StoreUnclearError(f"{POLICY_NAME}: the history has a gap; read it again")
        # Only one write replaces the expected version; if it was another, ours never takes effect.
        return found.version if found.token == token else None

    async def _read_past(self, version: int) -> Revision | None:
        found = await self._store.get(history_name(version)) if version != ABSENT else None
        return decode_revision(found.value, version) if found is not None else None

    async def _read_at_least(self, version: int) -> Revision | None:
        """Read until the result is at least as new as ``version``, since reads may be stale."""
        for delay in RETRY_DELAYS_S:
            await self._sleep(delay)
            try:
                current = await self.current()
            except StoreUnavailableError:
                continue
            if version == ABSENT or (current is not None and current.version >= version):
                return current
        raise StoreUnclearError(f"{POLICY_NAME}: reads return versions older than {version}")
