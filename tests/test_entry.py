"""Tests of a whole entry in this process, with the stand-in platform and raw backend servers."""

import asyncio
import json
from typing import Any

from briarspur.documents import parse
from briarspur.entry import EntryDaemon
from briarspur.policy import PolicyDocument
from briarspur.revision import Draft, encode_revision
from briarspur.settings import EntrySettings
from tests.examples import small_policy
from tests.httpfakes import HOST, Connection, RawBackend, RawCaller, Read
from tests.loop import LoopTestCase, eventually, fired


async def answer_ok(connection: Connection, head: bytes) -> None:
    connection.send_answer(b"whole")


class Whole:
    """A platform with a policy, a backend server for all targets, and one entry; a context."""

    def __init__(self, script: Any = answer_ok) -> None:
        self.backend = RawBackend(script)

    async def __aenter__(self) -> "Whole":
        from standins.platform import Platform
        from standins.serving import listen

        await self.backend.__aenter__()
        self.platform = Platform()
        self.listening = listen(self.platform, HOST, 0)
        settings = {
            "platform": {"host": HOST, "port": self.listening.getHost().port},
            "entry_id": "entry-1",
            "zone": "north-a",
            "host": HOST,
            "caller_port": 0,
            "forward_port": 0,
            "peer_port": 0,
            "probe_interval_s": 0.05,
        }
        self.daemon = EntryDaemon(parse(EntrySettings, json.dumps(settings), "settings"))
        await self.daemon.start()
        self.caller_port = self.daemon.caller_port
        return self

    async def __aexit__(self, *_: object) -> None:
        await fired(self.listening.stopListening())
        await self.backend.__aexit__()

    def policy(self) -> dict[str, Any]:
        document = small_policy(entries=1)
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

    async def ask(self, request: bytes) -> Read:
        async with RawCaller(self.caller_port) as caller:
            return await caller.ask(request)

    async def get(self, path: bytes) -> Read:
        return await self.ask(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n")


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
                self.assertEqual(levels["services"]["times"]["counts"][0]["good"], 1)
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
                left = whole.platform.objects.version_of(f"outcomes/{whole.daemon.incarnation}")
                self.assertGreater(left, 0)

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

        A chart pack is on its way, and another caller still has this entry in its look-up. The
        first must get every byte, the second must be served until its look-up has lapsed.
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
                await eventually(lambda: not whole.daemon.is_ready())
                self.assertFalse(stop.done())
                go_on.set()
                read = await pack
                self.assertEqual((read.body, read.cut), (b"halfhalf", False))
                await stop

        self.run_on_loop(work())
