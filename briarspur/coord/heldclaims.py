"""The claims that one entry holds; writes those again that the store lost."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from briarspur.coord.claimrecord import ClaimRecord
from briarspur.coord.era import era_of
from briarspur.coord.errors import StoreConflictError, StoreError, StoreUnclearError
from briarspur.coord.store import ABSENT, ObjectStore

__all__ = ["DEFAULT_LIFETIME_S", "HeldClaims"]

DEFAULT_LIFETIME_S = 86_400.0
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class _HeldClaim:
    """A claim that this entry holds.

    Attributes
    ----------
    version : int
        Its version in the store when it was acquired.
    may_be_rewritten : bool
        It was written again, or may have been, after the store lost it.
    checked_era : int
        The latest era in which it is known to be in the store.
    """

    record: ClaimRecord
    version: int
    may_be_rewritten: bool = False
    checked_era: int = 0


class HeldClaims:
    """Remembers claims as long as callers may repeat their keys.

    Parameters
    ----------
    store : ObjectStore
    lifetime : callable
        Returns the seconds for which a claim is remembered.
    write_interval : callable
        Returns the seconds between two claims that are written again, to leave write capacity of
        the store to others.
    wall : callable
        Returns unix time in seconds.

    Attributes
    ----------
    restored_era : int
        The store has every remembered claim that was acquired before this era.
    rewritten : int
        Number of claims that were written again.
    """

    def __init__(
        self,
        store: ObjectStore,
        lifetime: Callable[[], float] = lambda: DEFAULT_LIFETIME_S,
        write_interval: Callable[[], float] = lambda: 0.0,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.restored_era = 0
        self.rewritten = 0
        self._store = store
        self._lifetime = lifetime
        self._write_interval = write_interval
        self._wall = wall
        self._held_by_name: dict[str, _HeldClaim] = {}

    def __len__(self) -> int:
        return len(self._held_by_name)

    def add(self, name: str, record: ClaimRecord, version: int) -> None:
        """Remember a claim that was acquired at a version of the store."""
        self._drop_expired()
        self._held_by_name[name] = _HeldClaim(record, version, checked_era=era_of(version))

    async def restore(self, era: int) -> bool:
        """Write the claims again that the store lost; return whether it has all of them.

        If False, call it again: a call to the store failed, or the store returned from a copy
        meanwhile.
        """
        self._drop_expired()
        unchecked = [name for name, held in self._held_by_name.items() if held.checked_era < era]
        unchecked.sort(key=lambda name: self._held_by_name[name].version, reverse=True)
        has_older = False
        try:
            for name in unchecked:
                held = self._held_by_name.get(name)
                if held is None or (has_older and not held.may_be_rewritten):
                    continue
                # The copy is one state of the whole store: if it has a claim, it has older ones,
                # but for those that were written again later.
                has_older = await self._restore_one(name, held, era) or has_older
                await asyncio.sleep(self._write_interval())
        except StoreError:
            return False
        if self._store.era > era:
            return False
        self.restored_era = max(self.restored_era, era)
        return True

    async def _restore_one(self, name: str, held: _HeldClaim, era: int) -> bool:
        """Write a claim if the store lost it; return whether the copy had its first write.

        Raises
        ------
        StoreError
            The claim is not known to be in the store.
        """
        self._held_by_name[name] = replace(held, may_be_rewritten=True)
        version, was_found = await self._write(name, held.record)
        if era_of(version) != era:
            raise StoreUnclearError(f"{name}: written in another era of the store")
        self.rewritten += not was_found
        is_in_copy = was_found and not held.may_be_rewritten
        self._held_by_name[name] = replace(held, may_be_rewritten=not is_in_copy, checked_era=era)
        return is_in_copy

    async def _write(self, name: str, record: ClaimRecord) -> tuple[int, bool]:
        """Return the version of a claim in the store, and whether it was found there."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._store.put(name, record.encode(), ABSENT), False
            except StoreConflictError:
                found = await self._store.get(name)
            if found is not None and _is_same_claim(found.value, record):
                return found.version, True
            if found is not None:
                # Another entry created it after the return. Its request was not run, since new
                # claims are withheld until this one is in the store.
                with contextlib.suppress(StoreConflictError):
                    return await self._store.put(name, record.encode(), found.version), False
            await asyncio.sleep(RETRY_DELAY_S)
        raise StoreUnclearError(f"{name}: reads from the store did not return the claim")

    def _drop_expired(self) -> None:
        oldest_kept = self._wall() - self._lifetime()
        while self._held_by_name:
            name = next(iter(self._held_by_name))
            if self._held_by_name[name].record.created_at > oldest_kept:
                return
            del self._held_by_name[name]


def _is_same_claim(value: bytes, record: ClaimRecord) -> bool:
    try:
        return ClaimRecord.decode(value).token == record.token
    except (ValueError, KeyError, TypeError):
        return False
