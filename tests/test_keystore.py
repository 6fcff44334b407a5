"""Tests of claims and outcomes as the driver asks for them."""

import asyncio
import unittest
from typing import cast

from briarspur.coord.claims import ClaimAcquired, ClaimOutcome, Claims, ClaimUnsettled
from briarspur.coord.keys import Key
from briarspur.coord.memorystore import MemoryStore
from briarspur.keystore import PAUSE_S, SLOW_CLAIM_S, ObjectKeyStore
from briarspur.messages import ClaimResult

KEY = "a-foreign-key"


class ScriptedClaims:
    """Claims whose outcomes are given."""

    def __init__(self, *outcomes: ClaimOutcome) -> None:
        self.outcomes = list(outcomes)

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        return self.outcomes.pop(0)


class HangingClaims:
    """Claims that are settled when the test says so."""

    def __init__(self) -> None:
        self.begun = 0
        self.settled = asyncio.Event()

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        self.begun += 1
        await self.settled.wait()
        return ClaimAcquired()


class ClaimPauseTest(unittest.IsolatedAsyncioTestCase):
    """An outage of the store holds nobody to its deadline."""

    async def test_claims_are_refused_at_once_while_the_store_is_out(self) -> None:
        """A builder with an own key waits 2 s for each 'store unavailable', again and again.

        The store hangs. Every claim waited for its timeout, which was the order's whole deadline.
        """
        now = [100.0]
        claims = ScriptedClaims(ClaimUnsettled("timeout"), ClaimAcquired())
        keys = ObjectKeyStore(MemoryStore(), cast(Claims, claims), clock=lambda: now[0])
        results = [(await keys.claim(KEY, b"")).result for _ in range(3)]
        self.assertEqual(results, [ClaimResult.UNSETTLED] * 3)
        self.assertEqual(len(claims.outcomes), 1)
        now[0] += PAUSE_S
        self.assertIs((await keys.claim(KEY, b"")).result, ClaimResult.ACQUIRED)

    async def test_claims_are_refused_at_once_while_one_hangs(self) -> None:
        """Builders with own keys wait for 2 s each in the first seconds of an outage.

        The store hangs. A claim is tried three times before it counts as unsettled, and until then
        every order after it waited too.
        """
        now = [100.0]
        claims = HangingClaims()
        keys = ObjectKeyStore(MemoryStore(), cast(Claims, claims), clock=lambda: now[0])
        first = asyncio.ensure_future(keys.claim(KEY, b""))
        await asyncio.sleep(0)
        now[0] += SLOW_CLAIM_S + 0.01
        refused = await keys.claim("another-foreign-key", b"")
        self.assertIs(refused.result, ClaimResult.UNSETTLED)
        self.assertEqual(claims.begun, 1)
        claims.settled.set()
        self.assertIs((await first).result, ClaimResult.ACQUIRED)
        again = await keys.claim("another-foreign-key", b"")
        self.assertIs(again.result, ClaimResult.ACQUIRED)
