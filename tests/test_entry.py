"""Tests of a whole entry in this process, with the stand-in platform and raw backend servers."""

import asyncio
import json
import time
from typing import Any

from briarspur.coord.keys import make_prefix
from briarspur.coord.memorystore import MemoryStore
from briarspur.documents import parse
from briarspur.entry import EntryDaemon
from briarspur.platform.objectstore import kind_and_name
from briarspur.policy import PolicyDocument
from briarspur.revision import Draft, encode_revision
from briarspur.settings import EntrySettings
from standins.ports import free_port
from tests.examples import small_policy
from tests.httpfakes import HOST, Connection, RawBackend, RawCaller, ReceivedAnswer
from tests.loop import LoopTestCase, eventually, fired


async def answer_ok(connection: Connection, head: bytes) -> None:
    connection.send_answer(b"whole")


async def accepts(port: int) -> bool:
    """Return whether a port takes connections."""
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except ConnectionError:
        return False
    writer.close()
    return True


class Whole:
    """A platform, a backend server for all targets, and entries of one region; a context."""

    def __init__(self, script: Any = answer_ok, entries: int = 1) -> None:
        self.backend = RawBackend(script)
        self.entries = entries
        self.daemons: list[EntryDaemon] = []

    async def __aenter__(self) -> "Whole":
        from standins.objectapi import ObjectApi
        from standins.serving import listen

        await self.backend.__aenter__()
        self.platform = ObjectApi()
        self.listening = listen(self.platform, HOST, 0)
        for number in range(1, self.entries + 1):
            daemon = EntryDaemon(self.settings(number))
            await daemon.start()
            self.daemons.append(daemon)
        self.daemon = self.daemons[0]
        self.caller_port = self.daemon.caller_port
        vms = [
            {
                "id": f"entry-{number}",
                "host": HOST,
                "zone": "north-a",
                "state": "live",
                "caller_port": daemon.caller_port,
                "forward_port": 1,
                "peer_port": daemon.settings.peer_port,
            }
            for number, daemon in enumerate(self.daemons, 1)
        ]
        self.platform.control({"vms": vms})
        return self

    async def __aexit__(self, *_: object) -> None:
        await fired(self.listening.stopListening())
        await self.backend.__aexit__()

    def settings(self, number: int) -> EntrySettings:
        document = {
            "platform": {"host": HOST, "port": self.listening.getHost().port},
            "entry_id": f"entry-{number}",
            "zone": "north-a",
            "host": HOST,
            "caller_port": 0,
            "forward_port": 0,
            "peer_port": free_port(HOST),
            "probe_interval_s": 0.05,
        }
        return parse(EntrySettings, json.dumps(document), "settings")

    def policy(self) -> dict[str, Any]:
        document = small_policy(entries=self.entries)
        document["lookup_lifetime_s"] = 1.0
        for target in document["targets"].values():
            target["port"] = self.backend.port
        return document

    async def apply(self, document: dict[str, Any], expected: int = 0) -> int:
        checked = parse(PolicyDocument, json.dumps(document), "policy")
        draft = Draft(checked, f"token-{expected}", "test", "", "")
        value = encode_revision(draft, expected)
        version: int = await self.daemon.store.put("policy", value, expected)
        return version

    async def ask(self, request: bytes, number: int = 1) -> ReceivedAnswer:
        async with RawCaller(self.daemons[number - 1].caller_port) as caller:
            return await caller.send(request)

    async def get(self, path: bytes, number: int = 1) -> ReceivedAnswer:
        return await self.ask(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n", number)

    async def all_ready(self) -> None:
        """Wait until every entry sees every other."""
        await eventually(lambda: all(daemon.is_ready() for daemon in self.daemons))
        await eventually(lambda: all(d.members() == len(self.daemons) for d in self.daemons))

    async def booking(self, number: int, suffix: bytes) -> bytes:
        """Return a booking whose key has this entry as its home."""
        prefix = make_prefix(self.daemons[number - 1].incarnation, int(time.time()) + 60)
        head = b"POST /booking/ HTTP/1.1\r\nIdempotency-Key: %b.%b" % (prefix.encode(), suffix)
        return head + b"\r\nContent-Length: 4\r\n\r\nboat"


class EntryTest(LoopTestCase):
    """Look-up, request, booking and stop, through every part but other entries."""

    def test_from_look_up_to_answer(self) -> None:
        async def work() -> None:
            async with Whole() as whole:
                self.assertEqual((await whole.get(b"/readyz")).status, 503)
                self.assertEqual((await whole.get(b"/times/")).status, 503)
                version = await whole.apply(whole.policy())
                await eventually(whole.daemon.is_ready)
                found = json.loads((await whole.get(b"/v1/lookup?service=booking")).body)
                self.assertEqual(found["entries"][0]["port"], whole.caller_port)
                self.assertEqual((await whole.get(b"/times/today")).body, b"whole")
                status = json.loads((await whole.get(b"/status")).body)
                self.assertEqual(status["policy_version"], version)
                levels = json.loads((await whole.get(b"/status/service-level")).body)
                self.assertEqual(levels["services"]["times"]["counts"]["north"]["1000"], [1, 0])
                await whole.daemon.stop()

        self.run_on_loop(work())

    def test_booking_is_run_once_and_answered_twice(self) -> None:
        async def work() -> None:
            async with Whole() as whole:
                await whole.apply(whole.policy())
                await eventually(whole.daemon.is_ready)
                found = json.loads((await whole.get(b"/v1/lookup?service=booking")).body)
                key = found["key_prefix"].encode() + b".abcdefgh"
                head = b"POST /booking/ HTTP/1.1\r\nIdempotency-Key: " + key
                request = head + b"\r\nContent-Length: 4\r\n\r\nboat"
                first, second = await whole.ask(request), await whole.ask(request)
                self.assertEqual((first.status, first.body), (200, b"whole"))
                self.assertEqual((second.status, second.body), (200, b"whole"))
                self.assertEqual(second.headers[b"briarspur-code"], b"1001")
                self.assertEqual(len(whole.backend.heads), 1)
                foreign = request.replace(key, b"my-own-key-1")
                self.assertEqual((await whole.ask(foreign)).status, 200)
                self.assertEqual(len(whole.backend.heads), 2)
                await whole.daemon.stop()
                left = whole.platform.objects.history(
                    *kind_and_name(f"outcomes/{whole.daemon.incarnation}")
                )
                self.assertEqual(1, len(left))

        self.run_on_loop(work())

    def test_policy_changes_without_a_restart(self) -> None:
        async def work() -> None:
            async with Whole() as whole:
                document = whole.policy()
                version = await whole.apply(document)
                await eventually(whole.daemon.is_ready)
                self.assertEqual((await whole.get(b"/tides/")).status, 404)
                document["services"]["times"]["path"] = "/tides"
                newer = await whole.apply(document, version)
                await eventually(lambda: whole.daemon.policy_version() == newer)
                self.assertEqual((await whole.get(b"/tides/")).status, 200)
                await whole.daemon.stop()

        self.run_on_loop(work())

    def test_stop_cuts_nothing(self) -> None:
        """An entry is stopped for maintenance while callers use it.

        A chart pack is on its way, and goes on after the port was closed. The process may end only
        when the caller has every byte.
        """

        async def work() -> None:
            go_on = asyncio.Event()

            async def slow(connection: Connection, head: bytes) -> None:
                if b"/times/pack" not in head:
                    connection.send_answer(b"whole")
                    return
                connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
                await go_on.wait()
                connection.send(b"half")

            async with Whole(slow) as whole:
                await whole.apply(whole.policy())
                await eventually(whole.daemon.is_ready)
                pack = asyncio.ensure_future(whole.get(b"/times/pack"))
                await eventually(lambda: bool(whole.backend.heads))
                stop = asyncio.ensure_future(whole.daemon.stop())
                while await accepts(whole.caller_port):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.2)
                self.assertFalse(stop.done())
                go_on.set()
                read = await pack
                self.assertEqual((read.body, read.truncated), (b"halfhalf", False))
                await stop

        self.run_on_loop(work())


class TwoEntriesTest(LoopTestCase):
    """Two entries of one region, with probes and forwards between them."""

    def test_key_is_run_once_whichever_entry_it_comes_to(self) -> None:
        """A skipper's booking is repeated through another entry.

        The first copy was run by the key's home. The other entry must get the answer from there;
        if it ran the copy itself, two boats would come.
        """

        async def work() -> None:
            async with Whole(entries=2) as whole:
                await whole.apply(whole.policy())
                await whole.all_ready()
                for number in (1, 2):
                    request = await whole.booking(number, b"abcdefgh")
                    answers = [await whole.ask(request, n) for n in (1, 2, 1)]
                    self.assertEqual([a.body for a in answers], [b"whole"] * 3)
                    codes = [a.headers[b"briarspur-code"] for a in answers]
                    self.assertEqual(codes.count(b"1000"), 1)
                self.assertEqual(len(whole.backend.heads), 2)
                await asyncio.gather(*(daemon.stop() for daemon in whole.daemons))

        self.run_on_loop(work())

    def test_callers_own_key_is_run_once_at_any_entry(self) -> None:
        """A builder's order gets no answer at one entry and its answer is lost at the next.

        The key is of the builder's own making. The first entry claimed and ran it; the repeat
        comes to the other one, which must neither run it nor say that nobody knows.
        """

        async def work() -> None:
            async with Whole(entries=2) as whole:
                await whole.apply(whole.policy())
                await whole.all_ready()
                request = b"POST /booking/ HTTP/1.1\r\nIdempotency-Key: builders-key"
                request += b"\r\nContent-Length: 4\r\n\r\nboat"
                answers = [await whole.ask(request, number) for number in (1, 2, 1)]
                self.assertEqual([answer.body for answer in answers], [b"whole"] * 3)
                self.assertEqual(len(whole.backend.heads), 1)
                await asyncio.gather(*(daemon.stop() for daemon in whole.daemons))

        self.run_on_loop(work())

    def test_fresh_entry_begins_while_the_store_is_out(self) -> None:
        """A VM is replaced in an outage of the store, and its callers wait for minutes.

        The VM list still answers; the other entry has the policy.
        """

        async def work() -> None:
            async with Whole(entries=2) as whole:
                await whole.apply(whole.policy())
                await whole.all_ready()
                await whole.daemons[1].stop()
                fresh = EntryDaemon(whole.daemons[1].settings)
                out = MemoryStore()
                out.stop()
                fresh._follow._store = out
                await fresh.start()
                await eventually(fresh.is_ready)
                self.assertEqual(fresh.policy_version(), whole.daemon.policy_version())
                await asyncio.gather(fresh.stop(), whole.daemon.stop())

        self.run_on_loop(work())

    def test_only_two_entries_of_a_zone_watch_the_store(self) -> None:
        """After an outage every entry comes back to the store at once, and it stays overloaded.

        Each entry knew itself alone, because nobody told the follower of the members, and so held
        the watch of its zone: 3,400 watches at 1,700 entries in place of 116.
        """

        async def work() -> None:
            async with Whole(entries=3) as whole:
                await whole.apply(whole.policy())
                await whole.all_ready()
                await eventually(lambda: sum(d.watches_policy() for d in whole.daemons) == 2)
                await asyncio.gather(*(daemon.stop() for daemon in whole.daemons))

        self.run_on_loop(work())

    def test_leaving_entry_serves_on_and_its_outcomes_are_found(self) -> None:
        """An entry is replaced while callers still have it in their look-ups.

        It gives its targets away and goes on answering through the new owners. After its exit a
        booking it ran is repeated elsewhere, and is answered from what it left in the store.
        """

        async def work() -> None:
            async with Whole(entries=2) as whole:
                await whole.apply(whole.policy())
                await whole.all_ready()
                request = await whole.booking(1, b"abcdefgh")
                self.assertEqual((await whole.ask(request)).body, b"whole")
                stop = asyncio.ensure_future(whole.daemon.stop())
                await eventually(lambda: not whole.daemon.is_ready())
                found = json.loads((await whole.get(b"/v1/lookup?service=times")).body)
                self.assertEqual([e["id"] for e in found["entries"]], ["entry-2"])
                for path in (b"/times/a", b"/times/b"):
                    self.assertEqual((await whole.get(path)).body, b"whole")
                await stop
                ran = len(whole.backend.heads)
                await eventually(lambda: whole.daemons[1].members() == 1)
                again = await whole.ask(request, 2)
                self.assertEqual((again.status, again.body), (200, b"whole"))
                self.assertEqual(len(whole.backend.heads), ran)
                await whole.daemons[1].stop()

        self.run_on_loop(work())
