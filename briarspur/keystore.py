"""Claims of keys, and recorded outcomes, in the object store."""

import math
import time
from collections.abc import Callable

from briarspur.coord.claims import (
    ClaimAcquired,
    Claims,
    ClaimTaken,
    ClaimUnsettled,
    ClaimWithheld,
)
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

UNSETTLED_PAUSE_S = 1.0
"""Seconds without new claims after a claim whose outcome is unknown."""

SLOW_CLAIM_S = 0.5
"""Seconds after which a pending claim shows that the store hangs: a quarter of the default timeout
of a store call, and about fifty times the duration of a claim at an idle store."""


class ObjectKeyStore:
    """Implements the key store over the object store.

    Parameters
    ----------
    store : ObjectStore
        Contains the outcomes recorded by other incarnations.
    claims : Claims
        Claims of this incarnation.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self, store: ObjectStore, claims: Claims, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._store = store
        self._claims = claims
        self._clock = clock
        self._unsettled_until = -math.inf
        self._claim_started_by_key: dict[str, float] = {}

    async def claim(self, key: str, body_digest: bytes) -> SettledClaim:
        """Claim a foreign key, which its caller generated."""
        parsed = parse_key(key)
        if parsed.is_error():
            return SettledClaim(ClaimResult.UNSETTLED)
        if self._is_store_unavailable():
            return SettledClaim(ClaimResult.UNSETTLED)
        self._claim_started_by_key[key] = self._clock()
        try:
            outcome = await self._claims.claim(parsed.ok, body_digest)
        finally:
            self._claim_started_by_key.pop(key, None)
        if isinstance(outcome, ClaimUnsettled):
            self._unsettled_until = self._clock() + UNSETTLED_PAUSE_S
        if isinstance(outcome, ClaimAcquired):
            return SettledClaim(ClaimResult.ACQUIRED)
        if isinstance(outcome, ClaimTaken):
            return SettledClaim(ClaimResult.TAKEN, outcome.incarnation)
        if isinstance(outcome, ClaimWithheld):
            return SettledClaim(ClaimResult.UNSETTLED, retry_after=outcome.retry_after)
        return SettledClaim(ClaimResult.UNSETTLED)

    def _is_store_unavailable(self) -> bool:
        """Return whether a claim started now would time out.

        During an outage of the store each claim waits for a timeout, often until its caller's
        deadline. Once the oldest pending claim is slow, or the outcome of one is unknown, other
        claims are refused immediately. The pending claim, or one claim after each pause, shows when
        the store is available again.
        """
        now = self._clock()
        if now < self._unsettled_until:
            return True
        oldest = next(iter(self._claim_started_by_key.values()), now)
        return now - oldest > SLOW_CLAIM_S

    async def fetch(self, incarnation: str, key: str) -> FetchedOutcome:
        """Read the outcome that a former incarnation recorded for a key."""
        parsed = parse_key(key)
        if parsed.is_error():
            return FetchedOutcome(found=False)
        outcome = await self._read(page_name(incarnation), parsed.ok)
        if isinstance(outcome, OnOtherPage):
            outcome = await self._read(outcome.name, parsed.ok)
        if not isinstance(outcome, FinishedOutcome):
            return FetchedOutcome(found=False)
        recorded = outcome.answer
        answer = (
            Answer(recorded.status, recorded.headers, recorded.body)
            if recorded is not None
            else None
        )
        return FetchedOutcome(found=True, answer=answer)

    async def _read(self, name: str, key: Key) -> Outcome | None:
        found = await self._store.get(name)
        return read_outcome(found.value, key) if found is not None else None
