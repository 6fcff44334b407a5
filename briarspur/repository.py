"""The policy's revisions in the object store: reading them, and accepting a new one.

A revision is written to ``policy`` first and to its place in the history second. A crash between
the two leaves the newest revision out of the history. It is mended by whoever accepts the next
one: before it overwrites ``policy`` it stores the revision it has read there. So every revision
below the one in force is in the history, and the one in force is in ``policy``.
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
from briarspur.retention import KEPT_REVISIONS, Retention
from briarspur.revision import (
    POLICY_NAME,
    Draft,
    Revision,
    decode_revision,
    encode_revision,
    history_name,
)

__all__ = ["Draft", "PolicyRepository", "Raced"]

SETTLE_PAUSES = (0.0, 0.1, 0.2, 0.4, 0.8)
"""Seconds before each attempt to write or to settle a write whose answer was lost."""

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Raced:
    """The policy was changed by somebody else; nothing was written.

    Attributes
    ----------
    current : Revision or None
        What is in force now; None if the policy was deleted.
    """

    current: Revision | None


class PolicyRepository:
    """Reads and accepts revisions.

    Parameters
    ----------
    store : ObjectStore
        The platform's object API.
    sleep : callable
        Waits some seconds; tests pass one that returns at once.
    keep : int
        How many past revisions to keep.
    """

    def __init__(
        self, store: ObjectStore, sleep: Sleep = asyncio.sleep, keep: int = KEPT_REVISIONS
    ) -> None:
        self._store = store
        self._sleep = sleep
        self._retention = Retention(store, keep)

    async def current(self) -> Revision | None:
        """Return the revision in force as the store reads it, which may be old."""
        found = await self._store.get(POLICY_NAME)
        return decode_revision(found.value, found.version) if found else None

    async def revision(self, version: int) -> Revision | None:
        """Return one revision, in force or past; None if there is none of that version."""
        kept = await self._kept(version)
        if kept is not None:
            return kept
        current = await self.current()
        return current if current is not None and current.version == version else None

    async def history(self, limit: int) -> list[Revision]:
        """Return at most ``limit`` revisions, the newest first, as far as they are kept."""
        revisions: list[Revision] = []
        found = await self.current()
        while found is not None and len(revisions) < limit:
            revisions.append(found)
            found = await self._kept(found.previous)
        return revisions

    async def accept(self, draft: Draft, expected_version: int) -> Result[Revision, Raced]:
        """Make ``draft`` the revision in force if the policy is still at ``expected_version``.

        Raises
        ------
        StoreUnavailableError
            Nothing was written.
        StoreUnclearError
            The write may have taken effect and the store could not be asked.
        """
        await self._complete_history(expected_version)
        value = encode_revision(draft, expected_version)
        try:
            version = await self._put(value, expected_version, draft.token)
        except StoreConflictError as error:
            return Error(Raced(await self._read_winner(error.current_version)))
        await self._keep(version, value)
        await self._retention.added({expected_version, version} - {ABSENT})
        return Ok(decode_revision(value, version))

    async def _read_winner(self, version: int) -> Revision | None:
        """Read the revision that came first; a failure must not make our own write look unclear."""
        try:
            return await self._read_at_least(version)
        except StoreUnclearError as error:
            raise StoreUnavailableError(f"conflict with version {version}; {error}") from error

    async def _complete_history(self, expected_version: int) -> None:
        """Store the revision that is about to be overwritten, if its author did not get to it.

        Guards against a revision that nobody can roll back to: its author crashed between the
        write of ``policy`` and that of the history. It holds because the overwriting write is
        conditional on the version that is stored here, and a read older than it is repeated.
        """
        if expected_version == ABSENT:
            return
        for pause in SETTLE_PAUSES:
            await self._sleep(pause)
            found = await self._store.get(POLICY_NAME)
            if found is not None and found.version >= expected_version:
                break
        else:
            raise StoreUnavailableError(f"reads are older than version {expected_version}")
        if found.version > expected_version:
            return
        try:
            await self._create(history_name(found.version), found.value)
        except StoreUnclearError as error:
            raise StoreUnavailableError(f"the history cannot be written: {error}") from error

    async def _keep(self, version: int, value: bytes) -> None:
        """Store the accepted revision; the next one mends it if this cannot be done now."""
        try:
            await self._create(history_name(version), value)
        except StoreError:
            return

    async def _create(self, name: str, value: bytes) -> None:
        for pause in SETTLE_PAUSES:
            await self._sleep(pause)
            try:
                await self._store.put(name, value, ABSENT)
            except StoreConflictError:
                return
            except StoreUnclearError:
                # Creating again is harmless: the object is there or it is not.
                continue
            return
        raise StoreUnclearError(f"{name}: no answer to the write")

    async def _put(self, value: bytes, expected_version: int, token: str) -> int:
        """Write ``policy``; settle a lost answer by writing again under the same condition.

        Guards against two wrong reports after a lost answer: "conflict" for a write that was our
        own, and "not written" for one that takes effect later. A read alone may be old and shows
        neither. The repeated write is refused if any write took effect at ``expected_version``,
        and the token in the revision that did tells whose it was.
        """
        unclear = False
        for pause in SETTLE_PAUSES:
            await self._sleep(pause)
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
                version = await self._version_written(token, expected_version, error)
                if version is None:
                    raise
                return version
        raise StoreUnclearError(f"{POLICY_NAME}: no answer to the write; ask for the history")

    async def _version_written(
        self, token: str, expected_version: int, conflict: StoreConflictError
    ) -> int | None:
        """Return the version that our write made; None if another write came first."""
        found = await self._read_at_least(conflict.current_version)
        try:
            while found is not None and found.previous > expected_version:
                found = await self._kept(found.previous)
        except StoreUnavailableError as error:
            # Passed on as it is, it would say that nothing was written.
            raise StoreUnclearError(f"{POLICY_NAME}: not settled: {error}") from error
        if found is None:
            raise StoreUnclearError(f"{POLICY_NAME}: the history has a gap; ask for it again")
        # The revision that replaced the expected one decides: ours came first or never.
        return found.version if found.token == token else None

    async def _kept(self, version: int) -> Revision | None:
        found = await self._store.get(history_name(version)) if version != ABSENT else None
        return decode_revision(found.value, version) if found is not None else None

    async def _read_at_least(self, version: int) -> Revision | None:
        """Read until the answer is as new as ``version``, since reads may be old."""
        for pause in SETTLE_PAUSES:
            await self._sleep(pause)
            try:
                current = await self.current()
            except StoreUnavailableError:
                continue
            if version == ABSENT or (current is not None and current.version >= version):
                return current
        raise StoreUnclearError(f"{POLICY_NAME}: reads are older than version {version}")
