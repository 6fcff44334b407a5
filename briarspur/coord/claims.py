"""Claims of foreign keys: one conditional create in the object store before the dispatch.

Two entries that are given the same foreign key cannot know of each other. The store lets one of
them create the claim; only that one may dispatch the key, and it does so under its own memory.
Claims are not deleted here but by :mod:`briarspur.coord.sweep`, long after the last repeat: a key
whose claim is gone could run again.
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

__all__ = ["ClaimOutcome", "ClaimOurs", "ClaimTaken", "ClaimUnsettled", "Claims", "claim_name"]

DEFAULT_CONCURRENCY = 16
DEFAULT_QUEUE = 200
DEFAULT_TRIES = 3
DEFAULT_PAUSE = 0.05
UNSETTLED_TOKENS = 10_000


@dataclass(frozen=True, slots=True)
class ClaimOurs:
    """The claim is ours: this entry, and no other, may dispatch the key."""


@dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The key belongs to another; ``incarnation`` remembers what became of it."""

    incarnation: str
    body_digest: bytes


@dataclass(frozen=True, slots=True)
class ClaimUnsettled:
    """The store did not say whose the claim is: refuse the key as not run."""

    reason: str


ClaimOutcome = ClaimOurs | ClaimTaken | ClaimUnsettled


@dataclass(frozen=True, slots=True)
class _Claim:
    token: str
    incarnation: str
    body_digest: bytes
    at: float

    def encode(self) -> bytes:
        fields = {
            "token": self.token,
            "incarnation": self.incarnation,
            "digest": self.body_digest.hex(),
            "at": self.at,
        }
        return json.dumps(fields, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> "_Claim":
        fields = json.loads(value)
        digest = bytes.fromhex(fields["digest"])
        return cls(fields["token"], fields["incarnation"], digest, float(fields.get("at", 0.0)))


def claim_name(key: Key) -> str:
    """Return the name of the object that is the claim of ``key``."""
    return f"claims/{key.digest}"


class Claims:
    """Claims keys for one entry incarnation.

    Parameters
    ----------
    store : ObjectStore
    incarnation : str
        Written into each claim, so that other entries can send repeats to it.
    new_token : callable
        Returns a text that no other claim ever carries.
    concurrency : int
        Store calls at once.
    queue : int
        Claims that wait for a call; beyond it a claim is unsettled at once, so that callers get
        their refusal now and not after the store's timeout.
    tries : int
        Calls made to settle a lost answer.
    pause : float
        Seconds between them.
    wall : callable
        Unix seconds; says in each claim when it was made, for the one who deletes old claims.
    """

    def __init__(
        self,
        store: ObjectStore,
        incarnation: str,
        new_token: Callable[[], str],
        concurrency: int = DEFAULT_CONCURRENCY,
        queue: int = DEFAULT_QUEUE,
        tries: int = DEFAULT_TRIES,
        pause: float = DEFAULT_PAUSE,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._wall = wall
        self._store = store
        self._incarnation = incarnation
        self._new_token = new_token
        self._limit = concurrency + queue
        self._slots = asyncio.Semaphore(concurrency)
        self._open = 0
        self._tries = tries
        self._pause = pause
        self._unsettled_tokens_by_name: OrderedDict[str, str] = OrderedDict()

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        """Claim a foreign key; call it once at a time for each key."""
        if self._open >= self._limit:
            return ClaimUnsettled("too many claims wait for the store")
        self._open += 1
        try:
            async with self._slots:
                return await self._claim(claim_name(key), body_digest)
        finally:
            self._open -= 1

    async def _claim(self, name: str, body_digest: bytes) -> ClaimOutcome:
        # An earlier claim of ours whose answer was lost may take effect even now. Under a new
        # token we would take it for another entry's, and the key could never be run.
        token = self._unsettled_tokens_by_name.pop(name, None) or self._new_token()
        claim = _Claim(token, self._incarnation, body_digest, self._wall())
        outcome = await self._create(name, claim)
        if isinstance(outcome, ClaimUnsettled):
            self._remember(name, token)
        return outcome

    async def _create(self, name: str, claim: _Claim) -> ClaimOutcome:
        for _ in range(self._tries):
            try:
                await self._store.put(name, claim.encode(), ABSENT)
                return ClaimOurs()
            except StoreConflictError:
                return await self._read_back(name, claim)
            except StoreUnavailableError as error:
                return ClaimUnsettled(str(error))
            except StoreUnclearError:
                await asyncio.sleep(self._pause)
        return ClaimUnsettled("the store's answers were lost")

    async def _read_back(self, name: str, claim: _Claim) -> ClaimOutcome:
        for _ in range(self._tries):
            try:
                found = await self._store.get(name)
            except StoreError as error:
                return ClaimUnsettled(str(error))
            # The claim is there; a read that does not find it is old.
            if found is not None:
                held = _Claim.decode(found.value)
                ours = held.token == claim.token
                return ClaimOurs() if ours else ClaimTaken(held.incarnation, held.body_digest)
            await asyncio.sleep(self._pause)
        return ClaimUnsettled("the store does not show the claim")

    def _remember(self, name: str, token: str) -> None:
        self._unsettled_tokens_by_name[name] = token
        while len(self._unsettled_tokens_by_name) > UNSETTLED_TOKENS:
            self._unsettled_tokens_by_name.popitem(last=False)
