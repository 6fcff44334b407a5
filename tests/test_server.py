"""Tests of the HTTP servers of an entry: valid and invalid requests, and closing."""

import asyncio
import json
import tempfile
import unittest.mock

from briarspur.codes import CODES, Code
from briarspur.limitsettings import LimitSettings
from briarspur.messages import TargetAddress
from tests.httpfakes import Connection, DirectCore, HttpEntry, RawBackend, RawCaller, ReceivedAnswer
from tests.loop import LoopTestCase, eventually

NOWHERE = TargetAddress("times-1", "127.0.0.1", 1)
SMALL = LimitSettings(header_bytes=1_024, body_bytes=1_024, receive_s=0.1, callers=2)


async def answer_ok(connection: Connection, head: bytes) -> None:
    connection.send_answer(b"whole", headers=b'ETag: "a"\r\nBriarspur-Code: 9\r\n')


class CallerTest(LoopTestCase):
    """Requests that are served."""

    def test_request_is_served_end_to_end(self) -> None:
        async def work() -> None:
            async with (
                RawBackend(answer_ok) as backend,
                HttpEntry(DirectCore(backend.address)) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                answer = await caller.get(b"/times/a?b=c", b"Request-Timeout-Ms: 400\r\n")
            self.assertEqual((answer.status, answer.body), (200, b"whole"))
            self.assertEqual(answer.headers[b"briarspur-code"], b"1000")
            self.assertEqual(answer.headers[b"briarspur-ran"], b"yes")
            self.assertEqual(answer.headers[b"briarspur-request-id"], b"abcd-1")
            head = backend.heads[0].lower()
            self.assertIn(b"get /times/a?b=c http/1.1", head)
            self.assertIn(b"request-timeout-ms: 3", head)

        self.run_on_loop(work())

    def test_connections_are_persistent_on_both_sides(self) -> None:
        async def work() -> None:
            async with (
                RawBackend(answer_ok) as backend,
                HttpEntry(DirectCore(backend.address)) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                for _ in range(5):
                    await caller.get(b"/times/")
            self.assertEqual((len(backend.heads), len(backend.connections)), (5, 1))

        self.run_on_loop(work())

    def test_look_up_and_status_pages(self) -> None:
        async def work() -> list[ReceivedAnswer]:
            async with (
                HttpEntry(DirectCore(NOWHERE)) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                paths = (
                    b"/v1/lookup?service=times",
                    b"/v1/lookup?service=times&block=10.0.0.1",
                    b"/v1/lookup?service=times&block=10.0.0",
                    b"/v1/lookup",
                    b"/v1/lookup?service=times&other=1",
                    b"/healthz",
                    b"/readyz",
                    b"/status",
                )
                return [await caller.get(path) for path in paths]

        answers = self.run_on_loop(work())
        self.assertEqual([a.status for a in answers], [200, 200, 400, 400, 400, 200, 200, 200])
        self.assertEqual(json.loads(answers[0].body)["block"], 127 << 24 | 1)
        self.assertEqual(json.loads(answers[1].body)["block"], 10 << 24 | 1)
        self.assertTrue(all(b"briarspur-request-id" in a.headers for a in answers))

    def test_request_bodies_are_not_written_to_files(self) -> None:
        """Guard against a valid large request that fails on a VM without disks.

        By default, Twisted writes request bodies of over 100 kB to a temporary file. Without a
        disk, or with a full one, the caller would get an internal error.
        """

        async def work() -> ReceivedAnswer:
            async with (
                RawBackend(answer_ok) as backend,
                HttpEntry(DirectCore(backend.address)) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                body = b"x" * 300_000
                head = b"POST /booking/ HTTP/1.1\r\nContent-Length: 300000\r\n\r\n"
                return await caller.send(head + body)

        with unittest.mock.patch.object(tempfile, "TemporaryFile", side_effect=OSError("no disk")):
            self.assertEqual(self.run_on_loop(work()).status, 200)


class BadInputTest(LoopTestCase):
    """Invalid input is refused immediately with a result code and does not affect other callers."""

    def expect(self, request: bytes, code: Code, limits: LimitSettings = SMALL) -> None:
        """Check the answer to ``request``, and that another caller is served after it."""

        async def work() -> None:
            async with RawBackend(answer_ok) as backend:
                core = DirectCore(backend.address)
                async with HttpEntry(core, limits) as entry, RawCaller(entry.caller_port) as bad:
                    answer = await bad.send(request)
                    async with RawCaller(entry.caller_port) as good:
                        served = await good.get(b"/times/")
            document = json.loads(answer.body)
            self.assertEqual(document["name"], code.name)
            self.assertEqual(document["ran"], CODES[code].ran.value)
            self.assertEqual(answer.headers[b"briarspur-code"], b"%d" % code)
            self.assertEqual(answer.headers[b"briarspur-ran"], CODES[code].ran.value.encode())
            self.assertIn(b"briarspur-request-id", answer.headers)
            self.assertEqual(served.body, b"whole")
            self.assertEqual(len(backend.heads), 1)

        self.run_on_loop(work())

    def test_garbage(self) -> None:
        self.expect(b"\x16\x03\x01 what\r\n\r\n", Code.BAD_REQUEST)

    def test_header_without_colon(self) -> None:
        self.expect(b"GET / HTTP/1.1\r\nnonsense\r\n\r\n", Code.BAD_REQUEST)

    def test_unknown_method(self) -> None:
        self.expect(b"BREW / HTTP/1.1\r\n\r\n", Code.BAD_REQUEST)

    def test_absolute_uri(self) -> None:
        self.expect(b"GET http://x/ HTTP/1.1\r\n\r\n", Code.BAD_REQUEST)

    def test_dot_segments(self) -> None:
        self.expect(b"GET /times/../booking HTTP/1.1\r\n\r\n", Code.BAD_REQUEST)
        self.expect(b"GET /times/%2E./booking HTTP/1.1\r\n\r\n", Code.BAD_REQUEST)

    def test_bad_timeout(self) -> None:
        self.expect(b"GET / HTTP/1.1\r\nRequest-Timeout-Ms: soon\r\n\r\n", Code.BAD_REQUEST)
        self.expect(b"GET / HTTP/1.1\r\nRequest-Timeout-Ms: 0\r\n\r\n", Code.BAD_REQUEST)

    def test_malformed_key(self) -> None:
        self.expect(b"POST / HTTP/1.1\r\nIdempotency-Key: a b\r\n\r\n", Code.MALFORMED_KEY)
        two = b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n"
        self.expect(b"POST / HTTP/1.1\r\n" + two + b"\r\n", Code.MALFORMED_KEY)

    def test_long_header_line(self) -> None:
        line = b"X: " + b"x" * 2_000
        self.expect(b"GET / HTTP/1.1\r\n" + line + b"\r\n\r\n", Code.HEADERS_TOO_LARGE)

    def test_endless_header_line(self) -> None:
        self.expect(b"GET / HTTP/1.1\r\nX: " + b"x" * 100_000, Code.HEADERS_TOO_LARGE)

    def test_many_headers(self) -> None:
        lines = b"".join(b"X%d: x\r\n" % n for n in range(200))
        self.expect(b"GET / HTTP/1.1\r\n" + lines + b"\r\n", Code.HEADERS_TOO_LARGE)

    def test_declared_body_is_refused_before_it_is_sent(self) -> None:
        self.expect(b"POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", Code.BODY_TOO_LARGE)

    def test_large_body_is_refused_while_it_is_sent(self) -> None:
        """A caller that sends far too large a body before it reads still reads the refusal.

        If the entry closed the connection after its answer, the kernel would reset it because of
        the unread bytes, and the caller would see the reset and not the answer.
        """

        async def work() -> ReceivedAnswer:
            async with (
                HttpEntry(DirectCore(NOWHERE), SMALL) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                caller.writer.write(b"POST / HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n")
                for _ in range(125):
                    caller.writer.write(b"x" * 64_000)
                    await caller.writer.drain()
                return await caller.read()

        self.assertEqual(json.loads(self.run_on_loop(work()).body)["name"], "BODY_TOO_LARGE")

    def test_chunked_body_is_limited_by_its_received_size(self) -> None:
        chunk = b"400\r\n" + b"x" * 1_024 + b"\r\n"
        head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.expect(head + chunk * 3, Code.BODY_TOO_LARGE)

    def test_two_lengths(self) -> None:
        lengths = b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
        self.expect(b"POST / HTTP/1.1\r\n" + lengths + b"\r\n", Code.BAD_REQUEST)

    def test_slow_caller(self) -> None:
        """A request that is not complete in time is refused."""
        self.expect(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n123", Code.CALLER_TOO_SLOW)

    def test_slow_request_that_may_have_a_key_is_not_refused_as_not_run(self) -> None:
        """Guard against a double booking after a repeat that was too slow to be read.

        The first copy of the booking was run, but the entry has not read the key of the repeat and
        cannot know that. If it refused the repeat as `not run`, the caller would book again.
        """
        keyed = b"POST / HTTP/1.1\r\nContent-Length: 9\r\nIdempotency-Key: 12345678\r\n\r\n123"
        self.expect(keyed, Code.NOT_READ)
        self.expect(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n", Code.NOT_READ)

    def test_connection_beyond_the_limit_is_refused(self) -> None:
        async def work() -> ReceivedAnswer:
            async with (
                HttpEntry(DirectCore(NOWHERE), SMALL) as entry,
                RawCaller(entry.caller_port) as one,
            ):
                await one.get(b"/healthz")
                async with RawCaller(entry.caller_port) as two:
                    await two.get(b"/healthz")
                    async with RawCaller(entry.caller_port) as three:
                        refused = await three.read()
                    self.assertEqual((await one.get(b"/healthz")).status, 200)
                    return refused

        answer = self.run_on_loop(work())
        self.assertEqual((answer.status, answer.headers[b"retry-after"]), (503, b"1"))

    def test_forward_port_accepts_only_entries(self) -> None:
        async def work() -> None:
            async with (
                HttpEntry(DirectCore(NOWHERE)) as entry,
                RawCaller(entry.forward_port) as caller,
            ):
                answer = await caller.get(b"/times/")
                self.assertEqual(json.loads(answer.body)["name"], "BAD_REQUEST")
            self.assertEqual(entry.core.requests, [])

        self.run_on_loop(work())

    def test_caller_cannot_impersonate_an_entry(self) -> None:
        async def work() -> None:
            async with (
                RawBackend(answer_ok) as backend,
                HttpEntry(DirectCore(backend.address)) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                await caller.get(b"/times/", b"Briarspur-Forwarded-By: entry-2\r\n")
            self.assertIsNone(entry.core.requests[0].forwarded_by)
            self.assertNotIn(b"forwarded-by", backend.heads[0].lower())

        self.run_on_loop(work())


class CloseTest(LoopTestCase):
    """Closing the server does not interrupt requests in flight."""

    def test_request_in_flight_is_answered_after_close(self) -> None:
        """A download completes although the entry is stopped for maintenance meanwhile.

        The port and idle connections are closed, but the open request must get its complete answer.
        """

        async def work() -> ReceivedAnswer:
            finish = asyncio.Event()

            async def slow(connection: Connection, head: bytes) -> None:
                connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
                await finish.wait()
                connection.send(b"half")

            async with (
                RawBackend(slow) as backend,
                HttpEntry(DirectCore(backend.address)) as entry,
                RawCaller(entry.caller_port) as caller,
            ):
                reading = asyncio.ensure_future(caller.get(b"/times/"))
                await eventually(lambda: bool(entry.core.events))
                await entry.server.close()
                finish.set()
                answer = await reading
                self.assertEqual(await caller.reader.read(), b"")
                return answer

        answer = self.run_on_loop(work())
        self.assertEqual((answer.body, answer.truncated), (b"halfhalf", False))
