"""Tests of writing claims again that the store lost."""

import copy
import unittest
from collections.abc import Sequence

from briarspur.coord.claimrecord import ClaimRecord
from briarspur.coord.heldclaims import HeldClaims
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.store import ABSENT

UNIX_TIME = 1e9
LIFETIME_S = 600.0


class HeldClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Each held claim is in the store after :meth:`HeldClaims.restore`, with few calls."""

    def setUp(self) -> None:
        self.store = MemoryStore()
        self.wall = UNIX_TIME
        self.held = HeldClaims(self.store, lambda: LIFETIME_S, wall=lambda: self.wall)

    async def acquire(self, *names: str) -> None:
        for name in names:
            record = ClaimRecord(f"token-{name}", "a", b"", self.wall)
            version = await self.store.put(name, record.encode(), ABSENT)
            self.held.add(name, record, version)

    async def restore(self, lost: int) -> bool:
        self.store.restore(lost)
        self.store.calls_by_kind.clear()
        return await self.held.restore(self.store.era)

    def assert_in_store(self, *names: str) -> None:
        for name in names:
            found = self.store.peek(name)
            assert found is not None, name
            record = ClaimRecord.decode(found.value)
            self.assertEqual((f"token-{name}", "a"), (record.token, record.incarnation))

    async def test_lost_claims_are_written_as_they_were(self) -> None:
        """Guards against a claim whose new age keeps it in the store or whose token is unknown."""
        await self.acquire("c1", "c2")
        written = {name: self.store.peek(name) for name in ("c1", "c2")}
        self.wall += 5.0
        self.assertTrue(await self.restore(2))
        for name, first in written.items():
            found = self.store.peek(name)
            assert first is not None and found is not None
            self.assertEqual(first.value, found.value)
        self.assertEqual((2, 1), (self.held.rewritten, self.held.restored_era))

    async def test_claims_older_than_one_that_the_copy_has_cost_nothing(self) -> None:
        """Guards against a write for each held claim after each return."""
        await self.acquire(*(f"c{number:02d}" for number in range(10)))
        self.assertTrue(await self.restore(2))
        self.assert_in_store("c08", "c09")
        self.assertEqual({"put": 3, "get": 1}, dict(self.store.calls_by_kind))

    async def test_a_failed_write_is_repeated_with_all_that_follow(self) -> None:
        """Guards against taking a claim that was just written again for one of the copy."""
        for fault in (StoreFault.UNAVAILABLE, StoreFault.LOST_ANSWER, StoreFault.LOST_REQUEST):
            with self.subTest(fault=fault):
                self.setUp()
                await self.acquire("c1", "c2", "c3")
                self.store.restore(3)
                self.store.fail_next(fault)
                self.assertFalse(await self.held.restore(1))
                self.assertEqual(0, self.held.restored_era)
                self.assertTrue(await self.held.restore(1))
                self.assert_in_store("c1", "c2", "c3")

    async def test_a_second_return_loses_what_was_written_again(self) -> None:
        """Guards against claims that are restored once only."""
        await self.acquire("c1", "c2", "c3")
        self.assertTrue(await self.restore(2))
        self.assertTrue(await self.restore(1))
        self.assert_in_store("c1", "c2", "c3")

    async def test_a_second_return_from_a_copy_of_before_the_first(self) -> None:
        """Guards against an order of claims that only holds for the latest copy."""
        await self.acquire("c1", "c2", "c3")
        objects_by_name = copy.copy(self.store._objects_by_name)
        del objects_by_name["c3"]
        self.assertTrue(await self.restore(3))
        self.store._objects_by_name = objects_by_name
        self.assertTrue(await self.restore(0))
        self.assert_in_store("c1", "c2", "c3")

    async def test_a_claim_that_another_entry_created_meanwhile_is_replaced(self) -> None:
        """Guards against an entry that did not know of the return and claimed a lost key."""
        other = ClaimRecord("token-of-b", "b", b"", self.wall)
        for value in (other.encode(), b"malformed", b"{}"):
            self.setUp()
            await self.acquire("c1")
            self.store.restore(1)
            await self.store.put("c1", value, ABSENT)
            self.assertTrue(await self.held.restore(1))
            self.assert_in_store("c1")

    async def test_a_return_during_the_repair_is_not_overlooked(self) -> None:
        """Guards against an entry that reports claims as restored which the store lost again."""
        for names in (("c1", "c2"), ("c1",)):
            with self.subTest(names=names):
                self.setUp()
                await self.acquire(*names)
                await self.return_during_repair(names)

    async def return_during_repair(self, names: Sequence[str]) -> None:
        self.store.restore(2)
        put = self.store.put

        async def put_and_lose(name: str, value: bytes, expected_version: int) -> int:
            version = await put(name, value, expected_version)
            self.store.put = put  # type: ignore[method-assign]
            self.store.restore(1)
            return version

        self.store.put = put_and_lose  # type: ignore[method-assign]
        self.assertFalse(await self.held.restore(1))
        self.assertTrue(await self.held.restore(2))
        self.assert_in_store(*names)

    async def test_a_write_before_the_return_restores_nothing(self) -> None:
        """Guards against an entry that hears of a return before its own calls reach that era."""
        await self.acquire("c1")
        self.assertTrue(await self.restore(1))
        self.assertFalse(await self.held.restore(self.store.era + 1))
        self.assertTrue(await self.restore(1))
        self.assert_in_store("c1")

    async def test_expired_claims_are_dropped(self) -> None:
        """Guards against a memory that grows for ever, and claims that nobody needs."""
        await self.acquire("c1")
        self.wall += LIFETIME_S + 1.0
        self.assertTrue(await self.restore(1))
        self.assertEqual((0, None), (len(self.held), self.store.peek("c1")))
