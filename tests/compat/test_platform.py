"""The client of the object API against the stand-in that speaks docs/PLATFORM.md."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

from briarspur.coord.errors import (
    StoreConflictError,
    StoreError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.coord.store import ABSENT, ObjectStore
from briarspur.objects import HttpObjectStore, VmList, VmState
from briarspur.settings import PlatformSettings
from tests.compat import store_contract
from tests.reactor import run

VM = {
    "id": "vm-1",
    "host": "127.0.0.1",
    "zone": "a",
    "state": "leaving",
    "caller_port": 1,
    "forward_port": 2,
    "peer_port": 3,
}


async def with_platform(
    work: Callable[[HttpObjectStore, Any], Awaitable[None]], timeout_s: float = 5.0
) -> None:
    """Run ``work`` with a client and the stand-in it talks to."""
    from standins.platform import Platform
    from standins.serving import listen

    platform = Platform()
    listening = listen(platform, "127.0.0.1", 0)
    settings = PlatformSettings(
        host="127.0.0.1", port=listening.getHost().port, timeout_s=timeout_s
    )
    try:
        async with HttpObjectStore(settings) as store:
            await work(store, platform)
    finally:
        await listening.stopListening().asFuture(asyncio.get_running_loop())


class HttpStoreContractTest(store_contract.StoreContract):
    """The client keeps the contract of ``ObjectStore``."""

    def with_store(self, work: Callable[[ObjectStore], Awaitable[None]]) -> None:
        run(with_platform(lambda store, _: work(store)))


class FaultTest(unittest.TestCase):
    """Each fault of the platform becomes the error that says what is known of the write."""

    def test_a_lost_answer_is_unclear_and_the_write_stands(self) -> None:
        """An operator applies a policy and sees an error, yet the policy is in force.

        The write takes effect, then its answer is lost with the connection. Told "failed", the
        operator would write again over another operator's change.
        """

        async def work(store: HttpObjectStore, platform: Any) -> None:
            platform.control({"lose_writes": 2})
            with self.assertRaises(StoreUnclearError):
                await store.put("a", b"1", ABSENT)
            found = await store.get("a")
            assert found is not None
            self.assertEqual(found.value, b"1")
            with self.assertRaises(StoreUnclearError):
                await store.delete("a", found.version)
            self.assertIsNone(await store.get("a"))

        run(with_platform(work))

    def test_a_write_that_times_out_is_unclear(self) -> None:
        """A claim of a key times out, its request is refused, and the claim appears afterwards.

        The store is slow: it carries out the write after the writer has given up.
        """

        async def work(store: HttpObjectStore, platform: Any) -> None:
            platform.control({"slow_s": 0.3})
            with self.assertRaises(StoreUnclearError):
                await store.put("a", b"1", ABSENT)
            platform.control({"slow_s": 0.0})
            self.assertIsNotNone(await store.watch("a", ABSENT, 10.0))

        run(with_platform(work, timeout_s=0.1))

    def test_an_outage_is_without_effect_and_cuts_watches(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            watching = asyncio.ensure_future(store.watch("a", ABSENT, 30.0))
            while not platform._watching:
                await asyncio.sleep(0.001)
            platform.control({"outage": "refuse"})
            with self.assertRaises(StoreUnavailableError):
                await watching
            for call in (store.put("a", b"1", ABSENT), store.delete("a", 3)):
                with self.assertRaises(StoreUnavailableError):
                    await call
            platform.control({"outage": "none"})
            self.assertIsNone(await store.get("a"))

        run(with_platform(work))

    def test_a_platform_that_is_gone_is_unavailable(self) -> None:
        async def work() -> None:
            settings = PlatformSettings(host="127.0.0.1", port=1, timeout_s=5.0)
            async with HttpObjectStore(settings) as store:
                with self.assertRaises(StoreUnavailableError):
                    await store.put("a", b"1", ABSENT)

        run(work())

    def test_throttling_says_when_to_come_back(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            platform.control({"writes_per_s": 1e-9, "reads_per_s": 1e-9})
            for call in (store.put("a", b"1", ABSENT), store.get("a")):
                with self.assertRaises(StoreThrottledError) as caught:
                    await call
                self.assertEqual(caught.exception.retry_after, 1.0)

        run(with_platform(work))

    def test_stale_reads_do_not_loosen_writes(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            version = await store.put("a", b"1", ABSENT)
            platform.control({"stale_s": 60.0})
            self.assertIsNone(await store.get("a"))
            with self.assertRaises(StoreConflictError) as caught:
                await store.put("a", b"2", ABSENT)
            self.assertEqual(caught.exception.current_version, version)

        run(with_platform(work))

    def test_a_value_over_the_limit_is_refused(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            await store.put("a", bytes(1_048_576), ABSENT)
            with self.assertRaises(StoreError):
                await store.put("b", bytes(1_048_577), ABSENT)
            self.assertEqual(platform.counts["writes"], 1)

        run(with_platform(work))

    def test_a_watch_counts_as_one_call(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            await store.watch("a", ABSENT, 0.05)
            self.assertEqual(platform.counts["reads"], 1)

        run(with_platform(work))


class VmListTest(unittest.TestCase):
    """The VM list is read whole, or not at all."""

    def test_vms_are_typed(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            platform.control({"vms": [VM]})
            async with VmList(store_settings(store)) as vms:
                (vm,) = await vms.read()
            self.assertEqual((vm.vm_id, vm.state, vm.peer_port), ("vm-1", VmState.LEAVING, 3))

        run(with_platform(work))

    def test_a_malformed_list_is_unavailable(self) -> None:
        async def work(store: HttpObjectStore, platform: Any) -> None:
            platform.control({"vms": [{"id": "vm-1"}]})
            async with VmList(store_settings(store)) as vms:
                with self.assertRaises(StoreUnavailableError):
                    await vms.read()

        run(with_platform(work))


def store_settings(store: HttpObjectStore) -> PlatformSettings:
    """Return the settings a client was made of."""
    return store._client.settings
