"""Claims of foreign keys: one conditional create in the object store before the dispatch.

Two entries that receive the same foreign key do not know of each other. The store lets only one of
them create the claim; only that entry may dispatch the key, and it records the key in its own
memory. Claims are not deleted here but by :mod:`briarspur.coord.sweep`, long after the last
repeat: a key whose claim is deleted could run again.
"""

import asyncio
import json
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.keys import Key
from briarspur.coord.store import ABSENT, ObjectStore

__all__ = ["ClaimOutcome", "ClaimAcquired", "ClaimTaken", "ClaimUnsettled", "Claims", "claim_name"]

DEFAULT_MAX_CONCURRENT = 16
DEFAULT_MAX_QUEUED = 200
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_RETRY_DELAY_S = 0.05
MAX_UNSETTLED_TOKENS = 10_000


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


ClaimOutcome = ClaimAcquired | ClaimTaken | ClaimUnsettled


@dataclass(frozen=True, slots=True)
class _Claim:
    token: str
    incarnation: str
    body_digest: bytes
    created_at: float

    def encode(self) -> bytes:
        fields = {
            "token": self.token,
            "incarnation": self.incarnation,
            "digest": self.body_digest.hex(),
            "at": self.created_at,
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "_Claim":
        fields = json.loads(value)
        digest = bytes.fromhex(fields["digest"])
        return cls(fields["token"], fields["incarnation"], digest, float(fields.get("at", 0.0)))


def claim_name(key: Key) -> str:
    """Return the name of the object that holds the claim of ``key``."""
    return f"claims/{key.digest}"


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
    ) -> None:
        self._wall = wall
        self._store = store
        self._incarnation = incarnation
        self._new_token = new_token
        self._max_pending = max_concurrent + max_queued
        self._semaphore = asyncio.Semaphore(max_concurrent)
        self._pending = 0
        self._max_attempts = max_attempts
        self._retry_delay = retry_delay
        self._unsettled_tokens_by_name: OrderedDict[str, str] = OrderedDict()

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
        # An earlier claim of this entry whose answer was lost may still take effect. With a new
        # token it would look like the claim of another entry, and the key could never be run.
        token = self._unsettled_tokens_by_name.pop(name, None) or self._new_token()
        claim = _Claim(token, self._incarnation, body_digest, self._wall())
        outcome = await self._create(name, claim)
        if isinstance(outcome, ClaimUnsettled):
            self._keep_token(name, token)
        return outcome

    async def _create(self, name: str, claim: _Claim) -> ClaimOutcome:
        for _ in range(self._max_attempts):
            try:
                await self._store.put(name, claim.encode(), ABSENT)
                return ClaimAcquired()
            except StoreConflictError:
                return await self._read_back(name, claim)
            except StoreUnavailableError as error:
                return ClaimUnsettled(str(error))
            except StoreUnclearError:
                await asyncio.sleep(self._retry_delay)
        return ClaimUnsettled("no answer from the store was received")

    async def _read_back(self, name: str, claim: _Claim) -> ClaimOutcome:
        for _ in range(self._max_attempts):
            try:
                found = await self._store.get(name)
            except StoreError as error:
                return ClaimUnsettled(str(error))
            # The claim exists; a read that does not find it is stale.
            if found is not None:
                stored_claim = _Claim.decode(found.value)
                is_ours = stored_claim.token == claim.token
                return (
                    ClaimAcquired()
                    if is_ours
                    else ClaimTaken(stored_claim.incarnation, stored_claim.body_digest)
                )
            await asyncio.sleep(self._retry_delay)
        return ClaimUnsettled("reads from the store did not return the claim")

    def _keep_token(self, name: str, token: str) -> None:
        self._unsettled_tokens_by_name[name] = token
        while len(self._unsettled_tokens_by_name) > MAX_UNSETTLED_TOKENS:
            self._unsettled_tokens_by_name.popitem(last=False)
