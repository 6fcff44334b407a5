"""Tests of complete entries in this process, with a stand-in platform and raw backend server."""

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


async def accepts_connections(port: int) -> bool:
    """Return whether a port accepts connections."""
    try:
        _, writer = await asyncio.open_connection(HOST, port)
    except ConnectionError:
        return False
    writer.close()
    return True


class Deployment:
    """A platform, a backend server for all targets, and entries of one region.

    An asynchronous context manager that starts them.
    """

    def __init__(self, script: Any = answer_ok, entries: int = 1) -> None:
        self.backend = RawBackend(script)
        self.entries = entries
        self.daemons: list[EntryDaemon] = []

    async def __aenter__(self) -> "Deployment":
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

    async def send(self, request: bytes, number: int = 1) -> ReceivedAnswer:
        async with RawCaller(self.daemons[number - 1].caller_port) as caller:
            return await caller.send(request)

    async def get(self, path: bytes, number: int = 1) -> ReceivedAnswer:
        return await self.send(b"GET " + path + b" HTTP/1.1\r\nHost: x\r\n\r\n", number)

    async def wait_until_all_ready(self) -> None:
        """Wait until every entry is ready and its view includes all entries."""
        await eventually(lambda: all(daemon.is_ready() for daemon in self.daemons))
        await eventually(lambda: all(d.count_members() == len(self.daemons) for d in self.daemons))

    async def booking_request(self, number: int, suffix: bytes) -> bytes:
        """Return a booking request with a key whose home is the entry ``number``."""
        prefix = make_prefix(self.daemons[number - 1].incarnation, int(time.time()) + 60)
        head = b"POST /booking/ HTTP/1.1\r\nIdempotency-Key: %b.%b" % (prefix.encode(), suffix)
        return head + b"\r\nContent-Length: 4\r\n\r\nboat"


class EntryTest(LoopTestCase):
    """Look-up, request, booking and stop at a single entry."""

    def test_look_up_and_request_are_answered_once_a_policy_is_in_force(self) -> None:
        async def work() -> None:
            async with Deployment() as deployment:
                self.assertEqual((await deployment.get(b"/readyz")).status, 503)
                self.assertEqual((await deployment.get(b"/times/")).status, 503)
                version = await deployment.apply(deployment.policy())
                await eventually(deployment.daemon.is_ready)
                found = json.loads((await deployment.get(b"/v1/lookup?service=booking")).body)
                self.assertEqual(found["entries"][0]["port"], deployment.caller_port)
                self.assertEqual((await deployment.get(b"/times/today")).body, b"whole")
                status = json.loads((await deployment.get(b"/status")).body)
                self.assertEqual(status["policy_version"], version)
                levels = json.loads((await deployment.get(b"/status/service-level")).body)
                self.assertEqual(levels["services"]["times"]["counts"]["north"]["1000"], [1, 0])
                await deployment.daemon.stop()

        self.run_on_loop(work())

    def test_repeated_booking_runs_once_and_its_answer_is_replayed(self) -> None:
        async def work() -> None:
            async with Deployment() as deployment:
                await deployment.apply(deployment.policy())
                await eventually(deployment.daemon.is_ready)
                found = json.loads((await deployment.get(b"/v1/lookup?service=booking")).body)
                key = found["key_prefix"].encode() + b".abcdefgh"
                head = b"POST /booking/ HTTP/1.1\r\nIdempotency-Key: " + key
                request = head + b"\r\nContent-Length: 4\r\n\r\nboat"
                first, second = await deployment.send(request), await deployment.send(request)
                self.assertEqual((first.status, first.body), (200, b"whole"))
                self.assertEqual((second.status, second.body), (200, b"whole"))
                self.assertEqual(second.headers[b"briarspur-code"], b"1001")
                self.assertEqual(len(deployment.backend.heads), 1)
                foreign_request = request.replace(key, b"my-own-key-1")
                self.assertEqual((await deployment.send(foreign_request)).status, 200)
                self.assertEqual(len(deployment.backend.heads), 2)
                await deployment.daemon.stop()
                pages = deployment.platform.objects.history(
                    *kind_and_name(f"outcomes/{deployment.daemon.incarnation}")
                )
                self.assertEqual(1, len(pages))

        self.run_on_loop(work())

    def test_new_policy_is_applied_without_a_restart(self) -> None:
        async def work() -> None:
            async with Deployment() as deployment:
                document = deployment.policy()
                version = await deployment.apply(document)
                await eventually(deployment.daemon.is_ready)
                self.assertEqual((await deployment.get(b"/tides/")).status, 404)
                document["services"]["times"]["path"] = "/tides"
                newer = await deployment.apply(document, version)
                await eventually(lambda: deployment.daemon.policy_version() == newer)
                self.assertEqual((await deployment.get(b"/tides/")).status, 200)
                await deployment.daemon.stop()

        self.run_on_loop(work())

    def test_stop_waits_for_open_responses(self) -> None:
        """Guards against responses that are truncated when an entry is stopped.

        A download continues after the port was closed. The process may end only when the caller has
        received every byte.
        """

        async def work() -> None:
            resume = asyncio.Event()

            async def slow(connection: Connection, head: bytes) -> None:
                if b"/times/pack" not in head:
                    connection.send_answer(b"whole")
                    return
                connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
                await resume.wait()
                connection.send(b"half")

            async with Deployment(slow) as deployment:
                await deployment.apply(deployment.policy())
                await eventually(deployment.daemon.is_ready)
                download = asyncio.ensure_future(deployment.get(b"/times/pack"))
                await eventually(lambda: bool(deployment.backend.heads))
                stop = asyncio.ensure_future(deployment.daemon.stop())
                while await accepts_connections(deployment.caller_port):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.2)
                self.assertFalse(stop.done())
                resume.set()
                answer = await download
                self.assertEqual((answer.body, answer.truncated), (b"halfhalf", False))
                await stop

        self.run_on_loop(work())


class TwoEntriesTest(LoopTestCase):
    """Two entries of one region, with probes and forwarded requests between them."""

    def test_key_runs_once_at_whichever_entry_it_arrives(self) -> None:
        """Guards against a booking that runs twice because it is repeated through another entry.

        The key's home ran the first request. The other entry must fetch the answer from the home.
        """

        async def work() -> None:
            async with Deployment(entries=2) as deployment:
                await deployment.apply(deployment.policy())
                await deployment.wait_until_all_ready()
                for number in (1, 2):
                    request = await deployment.booking_request(number, b"abcdefgh")
                    answers = [await deployment.send(request, n) for n in (1, 2, 1)]
                    self.assertEqual([a.body for a in answers], [b"whole"] * 3)
                    codes = [a.headers[b"briarspur-code"] for a in answers]
                    self.assertEqual(codes.count(b"1000"), 1)
                self.assertEqual(len(deployment.backend.heads), 2)
                await asyncio.gather(*(daemon.stop() for daemon in deployment.daemons))

        self.run_on_loop(work())

    def test_key_chosen_by_the_caller_runs_once_at_any_entry(self) -> None:
        """Guards against a second run, or an unknown outcome, of a key without a home entry.

        The caller chose the key itself. The first entry claimed and ran it; the repeat arrives at
        the other entry, which must return the same answer.
        """

        async def work() -> None:
            async with Deployment(entries=2) as deployment:
                await deployment.apply(deployment.policy())
                await deployment.wait_until_all_ready()
                request = b"POST /booking/ HTTP/1.1\r\nIdempotency-Key: builders-key"
                request += b"\r\nContent-Length: 4\r\n\r\nboat"
                answers = [await deployment.send(request, number) for number in (1, 2, 1)]
                self.assertEqual([answer.body for answer in answers], [b"whole"] * 3)
                self.assertEqual(len(deployment.backend.heads), 1)
                await asyncio.gather(*(daemon.stop() for daemon in deployment.daemons))

        self.run_on_loop(work())

    def test_new_entry_starts_while_the_store_is_unavailable(self) -> None:
        """Guards against a replaced VM that stays unready until an outage of the store ends.

        The VM list is still available, and the other entry has the policy.
        """

        async def work() -> None:
            async with Deployment(entries=2) as deployment:
                await deployment.apply(deployment.policy())
                await deployment.wait_until_all_ready()
                await deployment.daemons[1].stop()
                new_daemon = EntryDaemon(deployment.daemons[1].settings)
                unavailable_store = MemoryStore()
                unavailable_store.stop()
                new_daemon._follow._store = unavailable_store
                await new_daemon.start()
                await eventually(new_daemon.is_ready)
                self.assertEqual(new_daemon.policy_version(), deployment.daemon.policy_version())
                await asyncio.gather(new_daemon.stop(), deployment.daemon.stop())

        self.run_on_loop(work())

    def test_only_two_entries_of_a_zone_watch_the_store(self) -> None:
        """Guards against a store that stays overloaded when all entries return after an outage.

        If the follower isn't notified of the members, each entry knows only itself and watches the
        store for its zone: 3,400 watches at 1,700 entries in place of 116.
        """

        async def work() -> None:
            async with Deployment(entries=3) as deployment:
                await deployment.apply(deployment.policy())
                await deployment.wait_until_all_ready()
                await eventually(
                    lambda: sum(d.is_watching_policy() for d in deployment.daemons) == 2
                )
                await asyncio.gather(*(daemon.stop() for daemon in deployment.daemons))

        self.run_on_loop(work())

    def test_leaving_entry_still_serves_and_its_outcomes_are_found(self) -> None:
        """An entry is replaced while callers still have it in their look-ups.

        It releases its targets and still answers requests through the new owners. After its exit, a
        booking that it ran is repeated at another entry, which answers from the outcomes that the
        first one wrote to the store.
        """

        async def work() -> None:
            async with Deployment(entries=2) as deployment:
                await deployment.apply(deployment.policy())
                await deployment.wait_until_all_ready()
                request = await deployment.booking_request(1, b"abcdefgh")
                self.assertEqual((await deployment.send(request)).body, b"whole")
                stop = asyncio.ensure_future(deployment.daemon.stop())
                await eventually(lambda: not deployment.daemon.is_ready())
                found = json.loads((await deployment.get(b"/v1/lookup?service=times")).body)
                self.assertEqual([e["id"] for e in found["entries"]], ["entry-2"])
                for path in (b"/times/a", b"/times/b"):
                    self.assertEqual((await deployment.get(path)).body, b"whole")
                await stop
                run_count = len(deployment.backend.heads)
                await eventually(lambda: deployment.daemons[1].count_members() == 1)
                repeated = await deployment.send(request, 2)
                self.assertEqual((repeated.status, repeated.body), (200, b"whole"))
                self.assertEqual(len(deployment.backend.heads), run_count)
                await deployment.daemons[1].stop()

        self.run_on_loop(work())

    def test_stop_waits_for_a_body_that_is_being_received(self) -> None:
        """Guards against uploads that are dropped, or run after the outcomes were written."""

        async def work() -> None:
            async with Deployment(entries=2) as deployment:
                await deployment.apply(deployment.policy())
                await deployment.wait_until_all_ready()
                request = await deployment.booking_request(1, b"abcdefgh")
                async with RawCaller(deployment.caller_port) as caller:
                    caller.writer.write(request[:-2])
                    await caller.writer.drain()
                    stop = asyncio.ensure_future(deployment.daemon.stop())
                    while await accepts_connections(deployment.caller_port):
                        await asyncio.sleep(0.01)
                    await asyncio.sleep(0.2)
                    self.assertFalse(stop.done())
                    answer = await caller.send(request[-2:])
                self.assertEqual((answer.status, answer.body), (200, b"whole"))
                await stop
                await deployment.daemons[1].stop()

        self.run_on_loop(work())
