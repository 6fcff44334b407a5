"""Tests of the store's client against a stand-in that speaks the published protocol."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.web.server import Site

from briarspur.coord.errors import (
    StoreConflictError,
    StoreThrottledError,
    StoreUnavailableError,
    StoreUnclearError,
)
from briarspur.gateway.objectsource import HistoryGoneError
from briarspur.gateway.replica import Kind
from briarspur.platform.calls import StoreCalls
from briarspur.platform.store import PlatformStore
from briarspur.processsettings import PlatformSettings
from briarspur.storecalls import PlatformClient
from standins.objectapi import ObjectApi
from standins.objectstate import PAGE
from tests.loop import LoopTestCase, eventually, the_reactor

HOST = "127.0.0.1"
Work = Callable[[PlatformStore, ObjectApi], Awaitable[None]]


def beat(api: ObjectApi, name: str, **spec: Any) -> None:
    """Register a server, or renew its registration."""
    path = "/objects/servers"
    if name in api.objects.by_kind["servers"]:
        api.write(b"PUT", f"{path}/{name}", {"spec": spec})
    else:
        api.write(b"POST", path, {"metadata": {"name": name}, "spec": spec})


class PlatformStoreTest(LoopTestCase):
    """Every answer of the protocol has its meaning."""

    def play(self, work: Work, timeout: float = 0.3) -> None:
        async def run() -> None:
            api = ObjectApi()
            port = the_reactor().listenTCP(0, Site(api), interface=HOST)
            settings = PlatformSettings(host=HOST, port=port.getHost().port, timeout_s=timeout)
            store = PlatformStore(StoreCalls(PlatformClient(settings)))
            try:
                await work(store, api)
            finally:
                await store.close()
                port.stopListening()

        self.run_on_loop(run())

    def test_a_list_has_all_pages(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            for number in range(2 * PAGE + 7):
                beat(api, f"t-{number:03}", seq=number)
            batch = await store.list(Kind.TARGETS)
            self.assertEqual(2 * PAGE + 7, len(batch.changes))
            self.assertTrue(batch.whole)
            self.assertEqual(api.objects.revision, batch.revision)

        self.play(work)

    def test_a_list_that_may_be_old_is_asked_for_as_such(self) -> None:
        """Guards against the full price for what is as good some seconds old."""

        async def work(store: PlatformStore, api: ObjectApi) -> None:
            for number in range(PAGE + 1):
                beat(api, f"t-{number:03}", seq=number)
            await store.list(Kind.TARGETS)
            self.assertEqual(0, api.calls["old_reads"])
            batch = await store.list(Kind.TARGETS, may_be_old=True)
            self.assertEqual(PAGE + 1, len(batch.changes))
            self.assertEqual(2, api.calls["old_reads"])

        self.play(work)

    def test_a_watch_tells_of_changes_and_deletions(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            beat(api, "t-1", seq=1)
            revision = (await store.list(Kind.TARGETS)).revision
            waiting = asyncio.ensure_future(store.watch(Kind.TARGETS, revision, 5.0))
            await eventually(lambda: bool(api._waiting))
            beat(api, "t-1", seq=2)
            batch = await waiting
            self.assertEqual([{"seq": 2}], [change.value for change in batch.changes])
            api.write(b"DELETE", "/objects/servers/t-1", {})
            batch = await store.watch(Kind.TARGETS, batch.revision, 5.0)
            self.assertEqual([("t-1", None)], [(c.name, c.value) for c in batch.changes])
            self.assertEqual((), (await store.watch(Kind.TARGETS, batch.revision, 0.0)).changes)

        self.play(work)

    def test_a_forgotten_history_is_told(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            beat(api, "t-1", seq=1)
            waiting = asyncio.ensure_future(store.watch(Kind.TARGETS, api.objects.revision, 5.0))
            await eventually(lambda: bool(api._waiting))
            beat(api, "t-2", seq=1)
            await waiting
            api.control({"forget": True})
            with self.assertRaises(HistoryGoneError):
                await store.watch(Kind.TARGETS, 1, 0.0)

        self.play(work)

    def test_a_write_creates_or_replaces(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            await store.write(Kind.ENTRIES, "e-1", {"started": 1})
            await store.write(Kind.ENTRIES, "e-1", {"started": 2})
            batch = await store.list(Kind.ENTRIES)
            self.assertEqual([{"started": 2}], [change.value for change in batch.changes])
            with self.assertRaises(StoreConflictError):
                await store.delete(Kind.ENTRIES, "e-1", batch.changes[0].revision - 1)
            await store.delete(Kind.ENTRIES, "e-1", batch.changes[0].revision)
            await store.delete(Kind.ENTRIES, "e-1", 7)

        self.play(work)

    def test_an_object_that_was_written_before_is_replaced_by_one_call(self) -> None:
        """A record that is written every few seconds costs two calls each time.

        The first of them only learnt that the record was there.
        """

        async def work(store: PlatformStore, api: ObjectApi) -> None:
            for number in range(4):
                await store.write(Kind.WARMTH, "latest", {"at_ms": number})
            self.assertEqual(4, api.calls["writes"])
            revision = (await store.list(Kind.WARMTH)).changes[0].revision
            await store.delete(Kind.WARMTH, "latest", revision)
            await store.write(Kind.WARMTH, "latest", {"at_ms": 9})
            batch = await store.list(Kind.WARMTH)
            self.assertEqual([{"at_ms": 9}], [change.value for change in batch.changes])

        self.play(work)

    def test_outages_are_told_apart_from_unclear_writes(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            for outage in ("busy", "reset", "silent"):
                api.control({"outage": outage})
                with self.subTest(outage), self.assertRaises(StoreUnavailableError):
                    await store.list(Kind.TARGETS)
            with self.assertRaises(StoreUnclearError):
                await store.write(Kind.ENTRIES, "e-1", {})
            api.control({"outage": "none", "reads_per_s": 1.0})
            await store.list(Kind.TARGETS)
            with self.assertRaises(StoreThrottledError):
                await store.list(Kind.TARGETS)

        self.play(work)

    def test_a_lost_answer_leaves_the_write_unclear(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            api.control({"lose_answers": 1})
            with self.assertRaises(StoreUnclearError):
                await store.write(Kind.ENTRIES, "e-1", {"started": 1})
            self.assertEqual(1, len((await store.list(Kind.ENTRIES)).changes))

        self.play(work)

    def test_an_envelope_that_cant_be_read_is_skipped(self) -> None:
        async def work(store: PlatformStore, api: ObjectApi) -> None:
            beat(api, "good", seq=1)
            api.objects.by_kind["servers"]["bad"] = {"metadata": None}
            batch = await store.list(Kind.TARGETS)
            self.assertEqual(["good"], [change.name for change in batch.changes])

        self.play(work)
