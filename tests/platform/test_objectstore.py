"""Tests that the object store on the platform meets the contract of all object stores."""

import asyncio
from collections.abc import Awaitable, Callable

from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, ObjectStore
from briarspur.platform.calls import StoreCalls
from briarspur.platform.objectstore import MAX_VALUE_BYTES, PlatformObjectStore
from briarspur.processsettings import PlatformSettings
from briarspur.storecalls import PlatformClient
from standins.objectapi import ObjectApi
from standins.objectstate import PAGE_SIZE
from tests.compat import store_contract
from tests.loop import LoopTestCase, eventually
from tests.reactor import run

Work = Callable[[PlatformObjectStore, ObjectApi], Awaitable[None]]


async def with_api(work: Work, timeout_s: float = 5.0) -> None:
    """Run ``work`` with a client and the stand-in that it is connected to."""
    from standins.serving import listen

    api = ObjectApi()
    listening = listen(api, "127.0.0.1", 0)
    port = listening.getHost().port
    settings = PlatformSettings(host="127.0.0.1", port=port, timeout_s=timeout_s)
    try:
        async with PlatformObjectStore(StoreCalls(PlatformClient(settings))) as store:
            await work(store, api)
    finally:
        await listening.stopListening().asFuture(asyncio.get_running_loop())


class PlatformStoreContractTest(store_contract.StoreContract):
    """The client and the stand-in together satisfy the contract of ``ObjectStore``."""

    def with_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        run(with_api(lambda store, _: work(store)))


class FaultTest(LoopTestCase):
    """Each fault of the store raises the error that says whether a write may have taken effect."""

    def test_a_lost_response_is_unclear_and_the_write_took_effect(self) -> None:
        """An operator who applies a policy gets an error although the policy is in force."""

        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            api.control({"lose_answers": 1})
            with self.assertRaises(StoreUnclearError):
                await store.put("a", b"1", ABSENT)
            found = await store.get("a")
            assert found is not None
            self.assertEqual(b"1", found.value)

        self.run_on_loop(with_api(work, timeout_s=0.2))

    def test_calls_during_an_outage_have_no_effect(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            api.control({"outage": "busy"})
            for call in (store.put("a", b"1", ABSENT), store.delete("a", 3), store.get("a")):
                with self.assertRaises(StoreUnavailableError):
                    await call
            api.control({"outage": "none"})
            self.assertIsNone(await store.get("a"))

        self.run_on_loop(with_api(work))

    def test_a_write_that_times_out_is_unclear(self) -> None:
        """A claim of a key times out, its request is refused, and the claim appears later.

        A slow store executes the write after the client has timed out.
        """

        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            api.control({"slow_s": 0.3})
            with self.assertRaises(StoreUnclearError):
                await store.put("a", b"1", ABSENT)
            api.control({"slow_s": 0.0})
            self.assertIsNotNone(await store.watch("a", ABSENT, 10.0))

        self.run_on_loop(with_api(work, timeout_s=0.1))

    def test_an_outage_interrupts_watches(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            version = await store.put("a", b"1", ABSENT)
            watching = asyncio.ensure_future(store.watch("a", version, 30.0))
            await eventually(lambda: bool(api._watches))
            api.control({"outage": "busy"})
            with self.assertRaises(StoreUnavailableError):
                await watching

        self.run_on_loop(with_api(work))

    def test_a_store_that_refuses_connections_is_unavailable(self) -> None:
        async def work() -> None:
            settings = PlatformSettings(host="127.0.0.1", port=1, timeout_s=5.0)
            async with PlatformObjectStore(StoreCalls(PlatformClient(settings))) as store:
                with self.assertRaises(StoreUnavailableError):
                    await store.put("a", b"1", ABSENT)

        self.run_on_loop(work())

    def test_a_throttling_error_has_the_retry_delay(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            api.control({"writes_per_s": 1e-9, "reads_per_s": 1e-9})
            for call in (store.put("a", b"1", ABSENT), store.get("a")):
                with self.assertRaises(StoreThrottledError) as caught:
                    await call
                self.assertEqual(1.0, caught.exception.retry_after)

        self.run_on_loop(with_api(work))

    def test_stale_reads_do_not_weaken_the_version_check_of_writes(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            version = await store.put("a", b"1", ABSENT)
            api.control({"stale_s": 60.0})
            self.assertIsNone(await store.get("a"))
            with self.assertRaises(StoreConflictError) as caught:
                await store.put("a", b"2", ABSENT)
            self.assertEqual(version, caught.exception.current_version)

        self.run_on_loop(with_api(work))

    def test_a_watch_counts_as_one_call(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            await store.watch("a", ABSENT, 0.05)
            self.assertEqual(1, api.calls["reads"])

        self.run_on_loop(with_api(work))

    def test_a_list_reads_only_the_pages_of_its_prefix(self) -> None:
        """Otherwise the sweep of old claims, part by part, would read all claims for each part."""

        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            for number in range(4 * PAGE_SIZE):
                await store.put(f"claims/{number % 16:x}{number:04x}", b"", ABSENT)
            api.calls.clear()
            found = await store.list("claims/3")
            self.assertEqual(4 * PAGE_SIZE // 16 + 1, len(found))
            self.assertEqual(1, api.calls["reads"])

        self.run_on_loop(with_api(work))

    def test_a_watch_continues_after_the_history_is_gone(self) -> None:
        """An entry watches the policy, and the store loses the changes made during an outage.

        Without a fallback the entry would receive no later policy.
        """

        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            first = await store.put("a", b"1", ABSENT)
            await store.put("b", b"x", ABSENT)
            api.control({"forget": True})
            waiting = asyncio.ensure_future(store.watch("a", first, 10.0))
            await asyncio.sleep(0.05)
            second = await store.put("a", b"2", first)
            seen = await waiting
            assert seen is not None
            self.assertEqual((second, b"2"), (seen.version, seen.value))
            api.control({"forget": True})
            newer = await store.get_newer("a", first)
            assert newer is not None
            self.assertEqual(b"2", newer.value)

        self.run_on_loop(with_api(work))

    def test_changes_of_other_objects_of_the_kind_do_not_end_a_watch(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            version = await store.put("p/a", b"1", ABSENT)
            waiting = asyncio.ensure_future(store.watch("p/a", version, 0.2))
            await asyncio.sleep(0.02)
            await store.put("p/b", b"1", ABSENT)
            self.assertIsNone(await waiting)

        self.run_on_loop(with_api(work))

    def test_names_with_several_slashes_are_restored(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            for name in ("p/a/b/c", "p/a/d", "p/x"):
                await store.put(name, b"", ABSENT)
            names = [stored.name for stored in await store.list("p/a/")]
            self.assertEqual(["p/a/b/c", "p/a/d"], names)

        self.run_on_loop(with_api(work))

    def test_a_malformed_value_of_another_writer_is_an_error(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            for spec in (7, "%%%", {"value": ""}):
                body = {"metadata": {"name": "only"}, "spec": spec}
                api.write(b"POST", "objects/briarspur-object-a", body)
                with self.assertRaises(StoreUnavailableError):
                    await store.get("a")
                api.write(b"DELETE", "objects/briarspur-object-a/only", {})

        self.run_on_loop(with_api(work))

    def test_a_value_that_is_too_long_and_a_list_without_a_group_are_rejected(self) -> None:
        async def work(store: PlatformObjectStore, api: ObjectApi) -> None:
            with self.assertRaises(StoreError):
                await store.put("a", bytes(MAX_VALUE_BYTES + 1), ABSENT)
            self.assertEqual(0, api.calls["writes"])
            await store.put("a", bytes(MAX_VALUE_BYTES), ABSENT)
            with self.assertRaises(StoreError):
                await store.list("p")

        self.run_on_loop(with_api(work))
