"""Tests of the in-memory object store."""

import asyncio
import unittest

from briarspur.coord.errors import (
    StoreConflictError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.memorystore import MemoryStore, StoreFault
from briarspur.coord.store import ABSENT


class MemoryStoreTest(unittest.IsolatedAsyncioTestCase):
    """Conditional writes, watches and injected faults."""

    def setUp(self) -> None:
        self.store = MemoryStore()

    async def test_writes_are_conditional(self) -> None:
        self.assertEqual(await self.store.put("plan", b"1", ABSENT), 1)
        with self.assertRaises(StoreConflictError) as caught:
            await self.store.put("plan", b"2", ABSENT)
        self.assertEqual(caught.exception.current_version, 1)
        await self.store.delete("plan", 1)
        self.assertEqual(await self.store.put("plan", b"3", ABSENT), 2)

    async def test_lost_answer_takes_effect_and_lost_request_does_not(self) -> None:
        self.store.fail_next(StoreFault.LOST_REQUEST, StoreFault.LOST_ANSWER)
        with self.assertRaises(StoreUnclearError):
            await self.store.put("plan", b"1", ABSENT)
        self.assertIsNone(self.store.peek("plan"))
        with self.assertRaises(StoreUnclearError):
            await self.store.put("plan", b"2", ABSENT)
        self.assertIsNotNone(self.store.peek("plan"))

    async def test_refused_calls_have_no_effect(self) -> None:
        self.store.fail_next(StoreFault.THROTTLED)
        with self.assertRaises(StoreThrottledError):
            await self.store.put("plan", b"1", ABSENT)
        self.store.stop()
        with self.assertRaises(StoreUnavailableError):
            await self.store.put("plan", b"1", ABSENT)
        self.store.start()
        self.assertIsNone(await self.store.get("plan"))

    async def test_watch_ends_on_a_change_or_an_outage(self) -> None:
        watch = asyncio.create_task(self.store.watch("plan", ABSENT, wait=60.0))
        await asyncio.sleep(0)
        await self.store.put("plan", b"1", ABSENT)
        found = await watch
        assert found is not None
        watch = asyncio.create_task(self.store.watch("plan", found.version, wait=60.0))
        await asyncio.sleep(0)
        self.store.stop()
        with self.assertRaises(StoreUnavailableError):
            await watch

    async def test_stale_reads_return_an_earlier_state(self) -> None:
        await self.store.put("plan", b"1", ABSENT)
        await self.store.put("plan", b"2", 1)
        self.store.stale_by = 1
        found = await self.store.get("plan")
        assert found is not None
        self.assertEqual(found.version, 1)
        with self.assertRaises(StoreConflictError):
            await self.store.put("plan", b"3", found.version)

    async def test_held_calls_take_effect_in_the_order_of_release(self) -> None:
        self.store.hold_calls = True
        first = asyncio.create_task(self.store.put("plan", b"1", ABSENT))
        second = asyncio.create_task(self.store.put("plan", b"2", ABSENT))
        await asyncio.sleep(0)
        self.store.held_calls[1].release()
        self.assertEqual(await second, 1)
        self.store.held_calls[0].release()
        with self.assertRaises(StoreConflictError):
            await first
