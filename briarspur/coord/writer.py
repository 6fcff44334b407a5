"""A conditional writer that determines the outcome of writes whose answer was lost.

The answer to a write can be lost after the write took effect. Each write therefore carries a unique
token. When the answer is lost, the same write is sent again with the same condition. Either it
takes effect now, and then the first one did not and never will; or the object has another version,
and its chain of tokens shows which write followed the version that this write was based on.
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

DEFAULT_MAX_ATTEMPTS = 5
DEFAULT_RETRY_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect.

    Attributes
    ----------
    stored : StoredObject
        The object after this write. Its version is ``ABSENT`` if others have written since; then
        it cannot be the base of another write.
    """

    stored: StoredObject

    @property
    def version(self) -> int:
        """The version that this write created, or ``ABSENT`` if it is not known."""
        return self.stored.version


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write certainly has no effect, because another write came first.

    Attributes
    ----------
    version : int
        Lower bound of the current version in the store.
    current : StoredObject or None
        The object of the other write, or None if it was deleted or could not be read.
    """

    version: int
    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unsettled:
    """The write may have taken effect or may still do so; then the object contains ``token``."""

    token: str


WriteOutcome = Written | Conflict | Unsettled


class ConditionalWriter:
    """Writes objects in envelopes, conditional on the version that they are based on.

    Parameters
    ----------
    store : ObjectStore
    new_token : callable
        Returns a string that is unique among all writes.
    max_attempts : int
        Maximum number of calls to settle a write whose answer was lost.
    retry_delay : float
        Seconds between these calls.
    """

    def __init__(
        self,
        store: ObjectStore,
        new_token: Callable[[], str],
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        retry_delay: float = DEFAULT_RETRY_DELAY_S,
    ) -> None:
        self._store = store
        self._new_token = new_token
        self._max_attempts = max_attempts
        self._retry_delay = retry_delay

    async def write(
        self, name: str, body: str, base: StoredObject | None, term: int = 0
    ) -> WriteOutcome:
        """Write ``body`` if the object is still at ``base``; create the object if ``base`` is None.

        Raises
        ------
        StoreUnavailableError
            The write certainly has no effect.
        """
        envelope = _make_envelope(base, self._new_token(), term, body)
        value = envelope.encode()
        version = base.version if base else ABSENT
        try:
            return Written(StoredObject(name, await self._store.put(name, value, version), value))
        except StoreConflictError as error:
            return Conflict(
                error.current_version, await self._read_current(name, error.current_version)
            )
        except StoreUnclearError:
            return await self._settle(name, value, base, envelope.token)

    async def _settle(
        self, name: str, value: bytes, base: StoredObject | None, token: str
    ) -> WriteOutcome:
        version = base.version if base else ABSENT
        for _ in range(self._max_attempts):
            try:
                new_version = await self._store.put(name, value, version)
                return Written(StoredObject(name, new_version, value))
            except StoreConflictError as error:
                current = await self._read_current(name, error.current_version)
                return _outcome_from_chain(error.current_version, current, base, token)
            except StoreError:
                await asyncio.sleep(self._retry_delay)
        return Unsettled(token)

    async def _read_current(self, name: str, min_version: int) -> StoredObject | None:
        """Read the object at ``min_version`` or newer; return None if that is not possible."""
        for _ in range(self._max_attempts):
            try:
                found = await self._store.get(name)
            except StoreUnavailableError:
                found = None
            # A read may be older than the write that came first. From such a read, a write that
            # took effect would seem not to have done so.
            if found is not None and found.version >= min_version:
                return found
            if min_version == ABSENT:
                return None
            await asyncio.sleep(self._retry_delay)
        return None


def _make_envelope(base: StoredObject | None, token: str, term: int, body: str) -> Envelope:
    previous = open_envelope(base.value).default_value(None) if base else None
    if previous is None:
        return Envelope(token, term, body)
    return previous.successor(token, term, body)


def _outcome_from_chain(
    version: int, current: StoredObject | None, base: StoredObject | None, token: str
) -> WriteOutcome:
    """Determine the outcome of a write whose answer was lost from the chain of tokens."""
    envelope = open_envelope(current.value).default_value(None) if current else None
    if current is None or envelope is None:
        return Unsettled(token)
    if envelope.token == token:
        return Written(current)
    if token in envelope.chain:
        return Written(StoredObject(current.name, ABSENT, current.value))
    if _shows_successor(envelope, base):
        return Conflict(version, current)
    return Unsettled(token)


def _shows_successor(envelope: Envelope, base: StoredObject | None) -> bool:
    """Whether the chain shows which write directly followed ``base``."""
    if base is None:
        return envelope.reaches_creation
    previous = open_envelope(base.value).default_value(None)
    return previous is not None and previous.token in envelope.chain
