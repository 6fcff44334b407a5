"""Tests that every implementation of ``ObjectStore`` must pass."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from briarspur.coord.errors import StoreConflictError
from briarspur.coord.store import ABSENT, ObjectStore

__all__ = ["StoreContract"]


class StoreContract(unittest.TestCase):
    """Base of a ``TestCase`` that calls each ``work`` with a new, empty store."""

    def with_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        """Run ``work`` with a new, empty store."""
        raise NotImplementedError

    def test_a_write_is_read_back_with_its_version(self) -> None:
        async def work(store: ObjectStore) -> None:
            version = await store.put("a/b", b"\x00one", ABSENT)
            found = await store.get("a/b")
            assert found is not None
            self.assertEqual((found.name, found.version, found.value), ("a/b", version, b"\x00one"))
            self.assertIsNone(await store.get("a/c"))

        self.with_store(work)

    def test_get_newer_returns_nothing_for_the_known_version(self) -> None:
        async def work(store: ObjectStore) -> None:
            self.assertIsNone(await store.get_newer("a", 7))
            first = await store.put("a", b"1", ABSENT)
            self.assertIsNone(await store.get_newer("a", first))
            second = await store.put("a", b"2", first)
            found = await store.get_newer("a", first)
            assert found is not None
            self.assertEqual((found.version, found.value), (second, b"2"))

        self.with_store(work)

    def test_versions_increase_even_after_a_deletion(self) -> None:
        async def work(store: ObjectStore) -> None:
            first = await store.put("a", b"1", ABSENT)
            second = await store.put("a", b"2", first)
            await store.delete("a", second)
            self.assertIsNone(await store.get("a"))
            third = await store.put("a", b"3", ABSENT)
            self.assertLess(first, second)
            self.assertLess(second, third)

        self.with_store(work)

    def test_versions_of_all_objects_are_in_one_order(self) -> None:
        async def work(store: ObjectStore) -> None:
            versions = [
                await store.put("a/1", b"", ABSENT),
                await store.put("b/1", b"", ABSENT),
                await store.put("a/2", b"", ABSENT),
                await store.put("c", b"", ABSENT),
            ]
            self.assertEqual(sorted(set(versions)), versions)

        self.with_store(work)

    def test_a_write_at_another_version_is_a_conflict(self) -> None:
        async def work(store: ObjectStore) -> None:
            version = await store.put("a", b"1", ABSENT)
            for call in (
                store.put("a", b"2", ABSENT),
                store.put("a", b"2", version + 7),
                store.delete("a", version + 7),
            ):
                with self.assertRaises(StoreConflictError) as caught:
                    await call
                self.assertEqual(caught.exception.current_version, version)
            with self.assertRaises(StoreConflictError) as caught:
                await store.put("none", b"", version)
            self.assertEqual(caught.exception.current_version, ABSENT)

        self.with_store(work)

    def test_a_list_is_sorted_by_name(self) -> None:
        async def work(store: ObjectStore) -> None:
            for name in ("p/b", "q/a", "p/a"):
                await store.put(name, name.encode(), ABSENT)
            found = await store.list("p/")
            self.assertEqual([(o.name, o.value) for o in found], [("p/a", b"p/a"), ("p/b", b"p/b")])

        self.with_store(work)

    def test_a_watch_ends_on_a_write_or_on_timeout(self) -> None:
        async def work(store: ObjectStore) -> None:
            version = await store.put("a", b"1", ABSENT)
            now = await store.watch("a", version - 1, 30.0)
            assert now is not None
            self.assertEqual(now.value, b"1")
            self.assertIsNone(await store.watch("a", version, 0.01))
            waiting = asyncio.ensure_future(store.watch("a", version, 30.0))
            await asyncio.sleep(0)
            later = await store.put("a", b"2", version)
            seen = await waiting
            assert seen is not None
            self.assertEqual((seen.version, seen.value), (later, b"2"))

        self.with_store(work)
