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

RETENTION_S = 7 * 86_400.0


class SweeperTest(unittest.IsolatedAsyncioTestCase):
    """No object is deleted that a caller may still need."""

    def setUp(self) -> None:
        self.wall = WALL
        self.store = MemoryStore()

    def make_sweeper(self, *prefixes: str, max_deletions: int = 50) -> Sweeper:
        return Sweeper(self.store, prefixes, RETENTION_S, lambda: self.wall, max_deletions)

    async def write_claims(self, count: int) -> None:
        claims = Claims(self.store, "a", lambda: "t", wall=lambda: self.wall)
        for n in range(count):
            await claims.claim(Key(f"foreign-key-{self.wall}-{n}"), DIGEST)

    async def write_new_object(self, name: str) -> None:
        """Write an object dated one retention time ahead, so that current objects may be old."""
        await self.store.put(name, json.dumps({"at": self.wall + RETENTION_S}).encode(), ABSENT)

    async def test_only_old_claims_are_deleted(self) -> None:
        await self.write_claims(3)
        self.wall += RETENTION_S - 1.0
        await self.write_claims(2)
        sweeper = self.make_sweeper("claims/")
        self.assertEqual(await sweeper.step(), 0)
        self.wall += 1.0
        await self.write_claims(1)
        self.assertEqual(await sweeper.step(), 3)
        self.assertEqual(len(await self.store.list("claims/")), 3)

    async def test_sweeper_with_a_fast_clock_deletes_nothing(self) -> None:
        """A replaced VM that sweeps before its clock is set must not delete every claim.

        Otherwise each repeat of a builder would place its order again.
        """
        await self.write_claims(3)
        self.wall += 100 * RETENTION_S
        self.assertEqual(await self.make_sweeper("claims/").step(), 0)

    async def test_claim_of_an_entry_with_a_fast_clock_deletes_no_others(self) -> None:
        await self.write_claims(3)
        await self.write_new_object("claims/new")
        self.assertEqual(await self.make_sweeper("claims/").step(), 0)

    async def test_outcomes_are_deleted_and_other_objects_are_kept(self) -> None:
        memory = make_memory()
        memory.admit_request(make_key(), DIGEST, "a", 0.0, WALL)
        for page in close_and_export(memory):
            await self.store.put(page.name, page.value, ABSENT)
        await self.write_new_object("outcomes/new")
        await self.store.put("outcomes/other", b"no JSON", ABSENT)
        self.wall += RETENTION_S
        self.assertEqual(await self.make_sweeper("outcomes/").step(), 1)
        self.assertIsNotNone(self.store.peek("outcomes/new"))
        self.assertIsNotNone(self.store.peek("outcomes/other"))

    async def test_deletions_per_step_are_limited(self) -> None:
        await self.write_claims(5)
        await self.write_new_object("claims/new")
        self.wall += RETENTION_S
        sweeper = self.make_sweeper("claims/", max_deletions=2)
        self.assertEqual([await sweeper.step() for _ in range(4)], [2, 2, 1, 0])
        self.assertEqual(len(hex_prefixes("claims/")), 256)

    async def test_step_after_a_store_error_continues(self) -> None:
        await self.write_claims(2)
        await self.write_new_object("claims/new")
        self.wall += RETENTION_S
        self.store.fail_next(StoreFault.UNAVAILABLE)
        sweeper = self.make_sweeper("claims/")
        self.assertEqual([await sweeper.step(), await sweeper.step()], [0, 2])
