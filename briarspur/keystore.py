"""Claims and left outcomes of keys, as the driver of requests asks for them."""

import math
import time
from collections.abc import Callable

from briarspur.coord.claims import ClaimAcquired, Claims, ClaimTaken, ClaimUnsettled
from briarspur.coord.keys import Key, parse_key
from briarspur.coord.outcomes import (
    FinishedOutcome,
    OnOtherPage,
    Outcome,
    page_name,
    read_outcome,
)
from briarspur.coord.store import ObjectStore
from briarspur.interfaces import FetchedOutcome
from briarspur.messages import ClaimResult, SettledClaim
from briarspur.refusal import Answer

__all__ = ["ObjectKeyStore"]

PAUSE_S = 1.0
"""Seconds without claims after one that the store did not settle."""

SLOW_CLAIM_S = 0.5
"""Seconds after which an open claim tells that the store hangs: a quarter of the default timeout of
a store call, and some fifty times what a claim takes at an idle store."""


class ObjectKeyStore:
    """Keys in the object store.

    Parameters
    ----------
    store : ObjectStore
        Holds the outcomes that other incarnations left.
    claims : Claims
        Claims of this incarnation.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self, store: ObjectStore, claims: Claims, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._claims = claims
        self._clock = clock
        self._unsettled_until = -math.inf
        self._claiming_since_by_key: dict[str, float] = {}

    async def claim(self, key: str, body_digest: bytes) -> SettledClaim:
        """Claim a foreign key."""
        parsed = parse_key(key)
        if parsed.is_error():
            return SettledClaim(ClaimResult.UNSETTLED)
        if self._store_is_out():
            return SettledClaim(ClaimResult.UNSETTLED)
        self._claiming_since_by_key[key] = self._clock()
        try:
            outcome = await self._claims.claim(parsed.ok, body_digest)
        finally:
            self._claiming_since_by_key.pop(key, None)
        if isinstance(outcome, ClaimUnsettled):
            self._unsettled_until = self._clock() + PAUSE_S
        if isinstance(outcome, ClaimAcquired):
            return SettledClaim(ClaimResult.ACQUIRED)
        if isinstance(outcome, ClaimTaken):
            return SettledClaim(ClaimResult.TAKEN, outcome.incarnation)
        return SettledClaim(ClaimResult.UNSETTLED)

    def _store_is_out(self) -> bool:
        """Tell whether a claim begun now would only wait.

        In an outage of the store each claim waits for a timeout, often its caller's whole deadline.
        Once the oldest open claim is slow, or one could not be settled, the others get their
        refusal at once: the open one, or one try in each pause, tells when the store is back.
        """
        now = self._clock()
        if now < self._unsettled_until:
            return True
        oldest = next(iter(self._claiming_since_by_key.values()), now)
        return now - oldest > SLOW_CLAIM_S

    async def fetch(self, incarnation: str, key: str) -> FetchedOutcome:
        """Read what a gone incarnation recorded about a key."""
        parsed = parse_key(key)
        if parsed.is_error():
            return FetchedOutcome(found=False)
        outcome = await self._read(page_name(incarnation), parsed.ok)
        if isinstance(outcome, OnOtherPage):
            outcome = await self._read(outcome.name, parsed.ok)
        if not isinstance(outcome, FinishedOutcome):
            return FetchedOutcome(found=False)
        kept = outcome.answer
        answer = Answer(kept.status, kept.headers, kept.body) if kept is not None else None
        return FetchedOutcome(found=True, answer=answer)

    async def _read(self, name: str, key: Key) -> Outcome | None:
        found = await self._store.get(name)
        return read_outcome(found.value, key) if found is not None else None
