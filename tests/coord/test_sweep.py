"""Tests of the deletion of old claims and outcomes."""

import json
import unittest

from briarspur.coord.claims import Claims
from briarspur.coord.keys import Key
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.outcomes import close_and_export
from briarspur.coord.store import ABSENT
from briarspur.coord.sweep import Sweeper, hex_prefixes
from tests.coord.test_once import DIGEST, WALL, make_key, make_memory

KEEP = 7 * 86_400.0


class SweeperTest(unittest.IsolatedAsyncioTestCase):
    """Nothing goes that a caller may still ask for."""

    def setUp(self) -> None:
        self.wall = WALL
        self.store = MemoryStore()

    def sweeper(self, *prefixes: str, deletions: int = 50) -> Sweeper:
        return Sweeper(self.store, prefixes, KEEP, lambda: self.wall, deletions)

    async def claim(self, count: int) -> None:
        claims = Claims(self.store, "a", lambda: "t", wall=lambda: self.wall)
        for n in range(count):
            await claims.claim(Key(f"foreign-key-{self.wall}-{n}"), DIGEST)

    async def mark(self, name: str) -> None:
        """Write an object that is as young as the clock will be."""
        await self.store.put(name, json.dumps({"at": self.wall + KEEP}).encode(), ABSENT)

    async def test_only_old_claims_go(self) -> None:
        await self.claim(3)
        self.wall += KEEP - 1.0
        await self.claim(2)
        sweeper = self.sweeper("claims/")
        self.assertEqual(await sweeper.step(), 0)
        self.wall += 1.0
        await self.claim(1)
        self.assertEqual(await sweeper.step(), 3)
        self.assertEqual(len(await self.store.list("claims/")), 3)

    async def test_sweeper_whose_clock_is_ahead(self) -> None:
        """Every claim is gone, and each builder's repeat places its order again.

        A replaced VM sweeps before its clock is set.
        """
        await self.claim(3)
        self.wall += 100 * KEEP
        self.assertEqual(await self.sweeper("claims/").step(), 0)

    async def test_claim_of_an_entry_whose_clock_is_ahead(self) -> None:
        await self.claim(3)
        await self.mark("claims/new")
        self.assertEqual(await self.sweeper("claims/").step(), 0)

    async def test_outcomes_go_too_and_other_objects_stay(self) -> None:
        memory = make_memory()
        memory.admit_request(make_key(), DIGEST, "a", 0.0, WALL)
        for page in close_and_export(memory):
            await self.store.put(page.name, page.value, ABSENT)
        await self.mark("outcomes/new")
        await self.store.put("outcomes/other", b"no JSON", ABSENT)
        self.wall += KEEP
        self.assertEqual(await self.sweeper("outcomes/").step(), 1)
        self.assertIsNotNone(self.store.peek("outcomes/new"))
        self.assertIsNotNone(self.store.peek("outcomes/other"))

    async def test_steps_are_small(self) -> None:
        await self.claim(5)
        await self.mark("claims/new")
        self.wall += KEEP
        sweeper = self.sweeper("claims/", deletions=2)
        self.assertEqual([await sweeper.step() for _ in range(4)], [2, 2, 1, 0])
        self.assertEqual(len(hex_prefixes("claims/")), 256)

    async def test_store_fails(self) -> None:
        await self.claim(2)
        await self.mark("claims/new")
        self.wall += KEEP
        self.store.fail_next(StoreFault.UNAVAILABLE)
        sweeper = self.sweeper("claims/")
        self.assertEqual([await sweeper.step(), await sweeper.step()], [0, 2])
