"""Claims of foreign keys: one conditional create in the object store before the dispatch.

Two entries that receive the same foreign key do not know of each other. The store lets only one of
them create the claim; only that entry may dispatch the key, and it records the key in its own
memory. Claims are not deleted here but by :mod:`briarspur.coord.sweep`, long after the last
repeat: a key whose claim is deleted could run again.

A store that returned from an older copy lacks the latest claims. Until their holders have written
them again, :class:`~briarspur.coord.claimhold.ClaimHold` withholds new ones.
"""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from briarspur.coord.claimhold import ClaimHold
from briarspur.coord.claimrecord import ClaimRecord, claim_name
from briarspur.coord.era import era_of
from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.heldclaims import HeldClaims
from briarspur.coord.keys import Key
from briarspur.coord.store import ABSENT, ObjectStore

__all__ = [
    "ClaimAcquired",
    "ClaimOutcome",
    "ClaimTaken",
    "ClaimUnsettled",
    "ClaimWithheld",
    "Claims",
    "claim_name",
]

DEFAULT_MAX_CONCURRENT = 16
DEFAULT_MAX_QUEUED = 200
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_RETRY_DELAY_S = 0.05
MAX_OPEN_CLAIMS = 10_000


@dataclass(frozen=True, slots=True)
class ClaimAcquired:
    """The claim is held by this entry, the only one that may dispatch the key."""


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """Another incarnation holds the claim; ``incarnation`` records the outcome of the key."""

    incarnation: str
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class ClaimUnsettled:
    """It is unknown which entry holds the claim: refuse the key as not run."""

    reason: str


@dataclass(frozen=True, slots=True)
class ClaimWithheld:
    """The store may lack the key's claim, so an earlier copy of the request may have run.

    Attributes
    ----------
    retry_after : float
        Seconds after which the key may be claimed.
    """

    retry_after: float


ClaimOutcome = ClaimAcquired | ClaimTaken | ClaimUnsettled | ClaimWithheld


@dataclass(frozen=True, slots=True)
class _OpenClaim:
    """A claim of this entry that may take effect, and the era that was open when it was begun."""

    token: str
    era: int


class Claims:
    """Claims keys for one entry incarnation.

    Parameters
    ----------
    store : ObjectStore
    incarnation : str
        Stored in each claim, so that other entries can forward repeats to this one.
    new_token : callable
        Returns a string that is unique among all claims.
    max_concurrent : int
        Maximum number of concurrent store calls.
    max_queued : int
        Maximum number of claims that wait for a store call. Further claims are unsettled
        immediately, so that their callers are not refused only after the store's timeout.
    max_attempts : int
        Maximum number of calls to settle a claim whose answer was lost.
    retry_delay : float
        Seconds between these calls.
    wall : callable
        Returns unix time in seconds, stored in each claim as its creation time for the sweeper
        that deletes old claims.
    hold : ClaimHold or None
        Decides whether new claims are given out. By default they are in the store's era 0, or once
        the record of the hold says so.
    held : HeldClaims or None
        Remembers the claims that this entry acquires.
    """

    def __init__(
        self,
        store: ObjectStore,
        incarnation: str,
        new_token: Callable[[], str],
        max_concurrent: int = DEFAULT_MAX_CONCURRENT,
        max_queued: int = DEFAULT_MAX_QUEUED,
        max_attempts: int = DEFAULT_MAX_ATTEMPTS,
        retry_delay: float = DEFAULT_RETRY_DELAY_S,
        wall: Callable[[], float] = time.time,
        hold: ClaimHold | None = None,
        held: HeldClaims | None = None,
    ) -> None:
        self._hold = ClaimHold(store, open_era=0, wall=wall) if hold is None else hold
        self._held = HeldClaims(store, wall=wall) if held is None else held
        self._wall = wall
        self._store = store
        self._incarnation = incarnation
        self._new_token = new_token
        self._max_pending = max_concurrent + max_queued
        self._semaphore = asyncio.Semaphore(max_concurrent)
        self._pending = 0
        self._max_attempts = max_attempts
        self._retry_delay = retry_delay
        self._open_by_name: OrderedDict[str, _OpenClaim] = OrderedDict()

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        """Claim a foreign key. There must be only one call at a time for each key."""
        if self._pending >= self._max_pending:
            return ClaimUnsettled("too many claims are waiting for the store")
        self._pending += 1
        try:
            async with self._semaphore:
                return await self._claim(claim_name(key), body_digest)
        finally:
            self._pending -= 1

    async def _claim(self, name: str, body_digest: bytes) -> ClaimOutcome:
        is_open = await self._hold.is_open()
        # An earlier claim of this entry whose answer was lost may still take effect. With a new
        # token it would look like the claim of another entry, and the key could never be run.
        begun = self._open_by_name.pop(name, None)
        if begun is None and not is_open:
            return await self._look_up(name, token=None)
        begun = begun or _OpenClaim(self._new_token(), self._hold.era)
        claim = ClaimRecord(begun.token, self._incarnation, body_digest, self._wall())
        if is_open:
            outcome = await self._create(name, claim, begun.era)
        else:
            outcome = await self._look_up(name, begun.token)
        if isinstance(outcome, ClaimUnsettled | ClaimWithheld):
            self._keep_open(name, begun)
        return outcome

    async def _create(self, name: str, claim: ClaimRecord, era: int) -> ClaimOutcome:
        for _ in range(self._max_attempts):
            try:
                version = await self._store.put(name, claim.encode(), ABSENT)
                return await self._accept(name, claim, version, era)
            except StoreConflictError:
                return await self._read_back(name, claim, era)
            except StoreUnavailableError as error:
                return ClaimUnsettled(str(error))
            except StoreUnclearError:
                await asyncio.sleep(self._retry_delay)
        return ClaimUnsettled("no answer from the store was received")

    async def _read_back(self, name: str, claim: ClaimRecord, era: int) -> ClaimOutcome:
        for _ in range(self._max_attempts):
            try:
                found = await self._store.get(name)
            except StoreError as error:
                return ClaimUnsettled(str(error))
            # The claim exists; a read that does not find it is stale.
            if found is not None:
                stored_claim = ClaimRecord.decode(found.value)
                if stored_claim.token == claim.token:
                    return await self._accept(name, claim, found.version, era)
                return ClaimTaken(stored_claim.incarnation, stored_claim.body_digest)
            await asyncio.sleep(self._retry_delay)
        return ClaimUnsettled("reads from the store did not return the claim")

    async def _look_up(self, name: str, token: str | None) -> ClaimOutcome:
        """Return the holder of a key while new claims are withheld.

        ``token`` is that of an earlier claim of this entry, which may have taken effect.
        """
        try:
            found = await self._store.get(name)
        except StoreError as error:
            return ClaimUnsettled(str(error))
        if found is not None:
            stored_claim = ClaimRecord.decode(found.value)
            if stored_claim.token != token:
                return ClaimTaken(stored_claim.incarnation, stored_claim.body_digest)
        return ClaimWithheld(self._hold.retry_after)

    async def _accept(self, name: str, claim: ClaimRecord, version: int, era: int) -> ClaimOutcome:
        """Hold a claim that is in the store, if no other entry can have held the key before.

        ``era`` was open when this entry began the claim.
        """
        if self._acquire(name, claim, version, era):
            return ClaimAcquired()
        if not await self._hold.is_open():
            return ClaimWithheld(self._hold.retry_after)
        return await self._confirm(name, claim, version)

    async def _confirm(self, name: str, claim: ClaimRecord, version: int) -> ClaimOutcome:
        """Write a claim again that was begun before its era was open.

        An earlier holder may have replaced it. Only a write shows that, since reads may be stale.
        """
        era = self._hold.era
        try:
            version = await self._store.put(name, claim.encode(), version)
        except StoreConflictError:
            return await self._look_up(name, claim.token)
        except StoreError as error:
            return ClaimUnsettled(str(error))
        if self._acquire(name, claim, version, era):
            return ClaimAcquired()
        return ClaimWithheld(self._hold.retry_after)

    def _acquire(self, name: str, claim: ClaimRecord, version: int, era: int) -> bool:
        """Hold a claim if it was begun and written in the era that is open now."""
        self._hold.record_era(era_of(version))
        if self._hold.is_active or not era_of(version) == era == self._hold.era:
            return False
        self._held.add(name, claim, version)
        return True

    def _keep_open(self, name: str, begun: _OpenClaim) -> None:
        self._open_by_name[name] = begun
        while len(self._open_by_name) > MAX_OPEN_CLAIMS:
            self._open_by_name.popitem(last=False)
