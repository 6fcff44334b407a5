"""Tests of claims and outcomes as the carrier asks for them."""

import unittest
from typing import cast

from briarspur.coord.claims import ClaimOurs, ClaimOutcome, Claims, ClaimUnsettled
from briarspur.coord.keys import Key
from briarspur.coord.memorystore import MemoryStore
from briarspur.keystore import PAUSE_S, ObjectKeyStore
from briarspur.messages import ClaimResult

KEY = "a-foreign-key"


class ScriptedClaims:
    """Claims whose outcomes are given."""

    def __init__(self, *outcomes: ClaimOutcome) -> None:
        self.outcomes = list(outcomes)

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        return self.outcomes.pop(0)


class ClaimPauseTest(unittest.IsolatedAsyncioTestCase):
    """An outage of the store holds nobody to its deadline."""

    async def test_claims_are_refused_at_once_while_the_store_is_out(self) -> None:
        """A builder with an own key waits 2 s for each 'store unavailable', again and again.

        The store hangs. Every claim waited for its timeout, which was the order's whole deadline.
        """
        now = [100.0]
        claims = ScriptedClaims(ClaimUnsettled("timeout"), ClaimOurs())
        keys = ObjectKeyStore(MemoryStore(), cast(Claims, claims), clock=lambda: now[0])
        results = [(await keys.claim(KEY, b"")).result for _ in range(3)]
        self.assertEqual(results, [ClaimResult.UNSETTLED] * 3)
        self.assertEqual(len(claims.outcomes), 1)
        now[0] += PAUSE_S
        self.assertIs((await keys.claim(KEY, b"")).result, ClaimResult.OURS)
