"""Tests of claims of keys during an outage of the store."""

import asyncio
import unittest
from typing import cast

from briarspur.coord.claims import (
    ClaimAcquired,
    ClaimOutcome,
    Claims,
    ClaimUnsettled,
    ClaimWithheld,
)
from briarspur.coord.keys import Key
from briarspur.coord.keystates import KeptAnswer
from briarspur.coord.memorystore import MemoryStore
from briarspur.coord.outcomes import close_and_export
from briarspur.coord.store import ABSENT
from briarspur.keystore import SLOW_CLAIM_S, UNSETTLED_PAUSE_S, ObjectKeyStore
from briarspur.messages import ClaimResult, SettledClaim
from tests.coord.test_once import WALL, make_memory

KEY = "a-foreign-key"


class ScriptedClaims:
    """Claims with predefined outcomes."""

    def __init__(self, *outcomes: ClaimOutcome) -> None:
        self.outcomes = list(outcomes)

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        return self.outcomes.pop(0)


class HangingClaims:
    """Claims that hang until the test sets an event."""

    def __init__(self) -> None:
        self.started = 0
        self.settled = asyncio.Event()

    async def claim(self, key: Key, body_digest: bytes) -> ClaimOutcome:
        self.started += 1
        await self.settled.wait()
        return ClaimAcquired()


class ClaimPauseTest(unittest.IsolatedAsyncioTestCase):
    """During an outage of the store, requests are refused without waiting for their deadline."""

    async def test_claims_are_refused_at_once_after_an_unsettled_claim(self) -> None:
        """Callers with their own keys must not wait 2 s for each 'store unavailable'.

        When the store hung, every claim waited for its timeout, which was the request's whole
        deadline.
        """
        now = [100.0]
        claims = ScriptedClaims(ClaimUnsettled("timeout"), ClaimAcquired())
        keys = ObjectKeyStore(MemoryStore(), cast(Claims, claims), clock=lambda: now[0])
        results = [(await keys.claim(KEY, b"")).result for _ in range(3)]
        self.assertEqual(results, [ClaimResult.UNSETTLED] * 3)
        self.assertEqual(len(claims.outcomes), 1)
        now[0] += UNSETTLED_PAUSE_S
        self.assertIs((await keys.claim(KEY, b"")).result, ClaimResult.ACQUIRED)

    async def test_a_withheld_claim_does_not_stop_others(self) -> None:
        """Guards against repeats of keys with a claim that are refused since a new key was."""
        claims = ScriptedClaims(ClaimWithheld(7.0), ClaimAcquired())
        keys = ObjectKeyStore(MemoryStore(), cast(Claims, claims), clock=lambda: 100.0)
        withheld = SettledClaim(ClaimResult.UNSETTLED, retry_after=7.0)
        self.assertEqual(withheld, await keys.claim(KEY, b""))
        self.assertIs((await keys.claim("another-key", b"")).result, ClaimResult.ACQUIRED)

    async def test_a_claim_whose_outcome_page_was_lost_has_an_unknown_outcome(self) -> None:
        """Guards against a key that runs again since a planned stop's pages went with the copy."""
        memory = make_memory()
        memory.admit_request(Key(KEY), b"", "r1", 0.0, WALL)
        memory.mark_claimed(Key(KEY))
        memory.mark_dispatched(Key(KEY), 1)
        memory.mark_finished(Key(KEY), KeptAnswer(200, (), b"booked"), 0.0)
        store = MemoryStore()
        keys = ObjectKeyStore(store, cast(Claims, ScriptedClaims()))
        for page in close_and_export(memory):
            await store.put(page.name, page.value, ABSENT)
        self.assertTrue((await keys.fetch(memory.incarnation, KEY)).found)
        store.restore(1)
        self.assertFalse((await keys.fetch(memory.incarnation, KEY)).found)

    async def test_claims_are_refused_at_once_while_another_claim_hangs(self) -> None:
        """Callers with their own keys must not wait 2 s each at the start of an outage.

        When the store hangs, a claim is tried three times before it counts as unsettled. Until
        then, every later request waited too.
        """
        now = [100.0]
        claims = HangingClaims()
        keys = ObjectKeyStore(MemoryStore(), cast(Claims, claims), clock=lambda: now[0])
        first = asyncio.ensure_future(keys.claim(KEY, b""))
        await asyncio.sleep(0)
        now[0] += SLOW_CLAIM_S + 0.01
        refused = await keys.claim("another-foreign-key", b"")
        self.assertIs(refused.result, ClaimResult.UNSETTLED)
        self.assertEqual(claims.started, 1)
        claims.settled.set()
        self.assertIs((await first).result, ClaimResult.ACQUIRED)
        again = await keys.claim("another-foreign-key", b"")
        self.assertIs(again.result, ClaimResult.ACQUIRED)
