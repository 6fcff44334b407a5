"""A conditional writer that settles lost answers.

The answer to a write can be lost after the write took effect. Each write therefore carries a
unique token. When the answer is lost, the same write is sent again on the same condition: either
it takes effect now, and then the first one never did nor ever will, or the object has moved on,
and its chain of tokens says which write came after the one ours was based on.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from briarspur.coord.envelope import Envelope, open_envelope
from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, ObjectStore, StoredObject

__all__ = ["ConditionalWriter", "Conflict", "Unsettled", "WriteOutcome", "Written"]

DEFAULT_TRIES = 5
DEFAULT_PAUSE = 0.1


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect.

    Attributes
    ----------
    stored : StoredObject
        The object as this write left it; its version is ``ABSENT`` if others have written since,
        so that it is no base for another write.
    """

    stored: StoredObject

    @property
    def version(self) -> int:
        """The version this write made, ``ABSENT`` if it cannot be told."""
        return self.stored.version


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write surely has no effect: another came first.

    Attributes
    ----------
    version : int
        Version the store holds; at least this.
    current : StoredObject or None
        The object that came first, None if it was deleted or could not be read.
    """

    version: int
    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The write may have taken effect, or may yet; ``token`` would be found in the object."""

    token: str


WriteOutcome = Written | Conflict | Unsettled


class ConditionalWriter:
    """Writes objects in envelopes, on the condition of the version they are based on.

    Parameters
    ----------
    store : ObjectStore
    new_token : callable
        Returns a text that no other write ever carries.
    tries : int
        Calls made to settle a lost answer.
    pause : float
        Seconds between them.
    """

    def __init__(
        self,
        store: ObjectStore,
        new_token: Callable[[], str],
        tries: int = DEFAULT_TRIES,
        pause: float = DEFAULT_PAUSE,
    ) -> None:
        self._store = store
        self._new_token = new_token
        self._tries = tries
        self._pause = pause

    async def write(
        self, name: str, body: str, base: StoredObject | None, term: int = 0
    ) -> WriteOutcome:
        """Write ``body`` if the object is still at ``base``; None creates it.

        Raises
        ------
        StoreUnavailableError
            The write surely has no effect.
        """
        written = _on_top_of(base, self._new_token(), term, body)
        value = written.encode()
        version = base.version if base else ABSENT
        try:
            return Written(StoredObject(name, await self._store.put(name, value, version), value))
        except StoreConflictError as error:
            return Conflict(error.current_version, await self._read(name, error.current_version))
        except StoreUnclearError:
            return await self._settle(name, value, base, written.token)

    async def _settle(
        self, name: str, value: bytes, base: StoredObject | None, token: str
    ) -> WriteOutcome:
        version = base.version if base else ABSENT
        for _ in range(self._tries):
            try:
                put = await self._store.put(name, value, version)
                return Written(StoredObject(name, put, value))
            except StoreConflictError as error:
                current = await self._read(name, error.current_version)
                return _judge(error.current_version, current, base, token)
            except StoreError:
                await asyncio.sleep(self._pause)
        return Unsettled(token)

    async def _read(self, name: str, at_least: int) -> StoredObject | None:
        """Read the object no older than version ``at_least``; None if that cannot be had."""
        for _ in range(self._tries):
            try:
                found = await self._store.get(name)
            except StoreUnavailableError:
                found = None
            # A read may be older than the write that beat ours: judged by it, a write that took
            # effect would look as if it had not.
            if found is not None and found.version >= at_least:
                return found
            if at_least == ABSENT:
                return None
            await asyncio.sleep(self._pause)
        return None


def _on_top_of(base: StoredObject | None, token: str, term: int, body: str) -> Envelope:
    opened = open_envelope(base.value).default_value(None) if base else None
    if opened is None:
        return Envelope(token, term, body)
    return opened.follow(token, term, body)


def _judge(
    version: int, current: StoredObject | None, base: StoredObject | None, token: str
) -> WriteOutcome:
    """Say from the object's chain of tokens what became of a write whose answer was lost."""
    envelope = open_envelope(current.value).default_value(None) if current else None
    if current is None or envelope is None:
        return Unsettled(token)
    if envelope.token == token:
        return Written(current)
    if token in envelope.chain:
        return Written(StoredObject(current.name, ABSENT, current.value))
    if _successor_is_known(envelope, base):
        return Conflict(version, current)
    return Unsettled(token)


def _successor_is_known(envelope: Envelope, base: StoredObject | None) -> bool:
    """Whether the chain shows which write came right after ``base``."""
    if base is None:
        return envelope.begins_with_creation
    opened = open_envelope(base.value).default_value(None)
    return opened is not None and opened.token in envelope.chain
