"""Tests of the request driver: answers, failures and callers that disconnect."""

import asyncio
import json

from briarspur.limitsettings import LimitSettings
from briarspur.messages import Failure
from tests.httpfakes import Connection, DirectCore, HttpEntry, RawBackend, RawCaller, ReceivedAnswer
from tests.loop import LoopTestCase, eventually

CHUNK = b"x" * 65_536


async def silent(connection: Connection, head: bytes) -> None:
    await connection.reader.read()


async def truncated(connection: Connection, head: bytes) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
    connection.writer.close()


async def shed(connection: Connection, head: bytes) -> None:
    connection.send_answer(b"busy", b"503 Busy", b"Request-Not-Run: true\r\nRetry-After: 3\r\n")


class FailureTest(LoopTestCase):
    """What a caller receives when an attempt fails."""

    def read_answer(self, script: object, core: DirectCore) -> ReceivedAnswer:
        async def work() -> ReceivedAnswer:
            async with RawBackend(script) as backend:  # type: ignore[arg-type]
                core.target = backend.address
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    answer = await caller.get(b"/times/")
                    await eventually(lambda: entry.driver.open_requests == 0)
                    return answer

        return self.run_on_loop(work())

    def test_shed_request_is_reported_as_not_run(self) -> None:
        core = DirectCore(None)  # type: ignore[arg-type]
        answer = self.read_answer(shed, core)
        self.assertEqual(json.loads(answer.body)["ran"], "no")
        self.assertEqual(answer.headers[b"retry-after"], b"3")
        self.assertEqual(core.events, [("failed", Failure.SHED, 3.0, 0, False, False)])

    def test_504_of_a_backend_server_counts_as_a_passed_deadline(self) -> None:
        """Guard against an empty timetable that is shown as a complete answer.

        A backend server that misses the deadline that it was sent answers 504. On a busy machine,
        such a 504 was relayed as an answer with code 1000.
        """

        async def too_late(connection: Connection, head: bytes) -> None:
            connection.send_answer(b"", b"504 Gateway Timeout")

        core = DirectCore(None)  # type: ignore[arg-type]
        answer = self.read_answer(too_late, core)
        self.assertEqual(json.loads(answer.body)["ran"], "unknown")
        self.assertEqual(core.events, [("failed", Failure.DEADLINE, None, 0, False, False)])

    def test_plain_503_is_an_answer(self) -> None:
        async def unavailable(connection: Connection, head: bytes) -> None:
            connection.send_answer(b"busy", b"503 Busy")

        core = DirectCore(None)  # type: ignore[arg-type]
        answer = self.read_answer(unavailable, core)
        self.assertEqual((answer.status, answer.headers[b"briarspur-ran"]), (503, b"yes"))

    def test_truncated_body_resets_the_connection_of_the_caller(self) -> None:
        """Guard against a truncated download that looks complete to the caller.

        The backend server crashes during the download. The caller's connection is reset, so that
        its own check of the length fails.
        """
        core = DirectCore(None)  # type: ignore[arg-type]
        answer = self.read_answer(truncated, core)
        self.assertTrue(answer.truncated)
        self.assertEqual(core.events[-1], ("failed", Failure.CUT_SHORT, None, 5, False, True))

    def test_truncated_answer_that_is_to_be_kept_is_refused(self) -> None:
        core = DirectCore(None, keep_answer=True)  # type: ignore[arg-type]
        answer = self.read_answer(truncated, core)
        self.assertEqual(json.loads(answer.body)["name"], "OUTCOME_UNKNOWN")
        self.assertEqual(core.events, [("failed", Failure.CUT_SHORT, None, 0, False, True)])

    def test_answer_that_the_core_does_not_begin_is_dropped(self) -> None:
        async def work() -> None:
            async def late(connection: Connection, head: bytes) -> None:
                connection.send_answer(b"late")

            async with RawBackend(late) as backend:
                core = DirectCore(backend.address, relays=False)
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    answer = await caller.get(b"/times/")
                    self.assertEqual(answer.status, 502)
                    self.assertNotIn(b"late", answer.body)
                    self.assertEqual(core.events, [("began", 200)])
                    self.assertEqual(entry.client.open_requests(), 0)

        self.run_on_loop(work())

    def test_truncated_download_is_resumed(self) -> None:
        """A download continues after a backend server crashes in the middle of it.

        The first answer ends after half of a file with a strong entity tag. The rest is requested
        with Range and If-Range, and the caller reads one complete body.
        """

        async def work() -> ReceivedAnswer:
            tag = b'ETag: "v1"\r\nAccept-Ranges: bytes\r\n'

            async def die_once(connection: Connection, head: bytes) -> None:
                if len(backend.heads) == 1:
                    connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + tag)
                    connection.send(b"\r\n01234")
                    connection.writer.close()
                else:
                    part = tag + b"Content-Range: bytes 5-9/10\r\n"
                    connection.send_answer(b"56789", b"206 Partial Content", part)

            async with RawBackend(die_once) as backend:
                core = DirectCore(backend.address, resume=True)
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    answer = await caller.get(b"/times/")
            self.assertIn(b"range: bytes=5-", backend.heads[1].lower())
            self.assertIn(b'if-range: "v1"', backend.heads[1].lower())
            return answer

        answer = self.run_on_loop(work())
        self.assertEqual(
            (answer.status, answer.body, answer.truncated), (200, b"0123456789", False)
        )

    def test_rest_of_a_replaced_file_is_not_appended(self) -> None:
        """Guard against a download that joins the halves of two versions of a file.

        The file is replaced between the two halves. Joined, they would have the right length, but
        such a file was never published. The second answer has another entity tag, so the caller's
        connection is reset.
        """

        async def work() -> ReceivedAnswer:
            async def replaced(connection: Connection, head: bytes) -> None:
                tag = b'ETag: "v%d"\r\nAccept-Ranges: bytes\r\n' % len(backend.heads)
                if len(backend.heads) == 1:
                    connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + tag)
                    connection.send(b"\r\n01234")
                    connection.writer.close()
                else:
                    part = tag + b"Content-Range: bytes 5-9/10\r\n"
                    connection.send_answer(b"56789", b"206 Partial Content", part)

            async with RawBackend(replaced) as backend:
                core = DirectCore(backend.address, resume=True)
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    return await caller.get(b"/times/")

        self.assertTrue(self.run_on_loop(work()).truncated)


class DeadlineTest(LoopTestCase):
    """No attempt stays open after its deadline."""

    def read_answer(self, script: object) -> tuple[ReceivedAnswer, DirectCore]:
        async def work() -> tuple[ReceivedAnswer, DirectCore]:
            async with RawBackend(script) as backend:  # type: ignore[arg-type]
                core = DirectCore(backend.address)
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    answer = await caller.get(b"/times/", b"Request-Timeout-Ms: 500\r\n")
                    self.assertEqual(entry.client.open_requests(), 0)
                    await eventually(lambda: backend.ended == 1)
                    return answer, core

        return self.run_on_loop(work())

    def test_backend_server_that_never_answers(self) -> None:
        """Guard against a caller that waits forever for a backend server that hangs.

        The backend server reads the request, does not answer, and keeps its connection open. The
        caller must get a final answer at its deadline, and the connection to the backend server
        must be closed.
        """
        answer, core = self.read_answer(silent)
        self.assertEqual(json.loads(answer.body)["ran"], "unknown")
        self.assertEqual(core.events, [("failed", Failure.DEADLINE, None, 0, False, False)])

    def test_body_that_stalls_half_way(self) -> None:
        async def half(connection: Connection, head: bytes) -> None:
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
            await connection.reader.read()

        answer, core = self.read_answer(half)
        self.assertTrue(answer.truncated)
        self.assertEqual(core.events[-1], ("failed", Failure.DEADLINE, None, 4, False, False))

    def test_caller_that_stops_reading(self) -> None:
        async def work() -> None:
            async def large(connection: Connection, head: bytes) -> None:
                connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n")
                for _ in range(1_024):
                    connection.send(CHUNK)
                    await connection.writer.drain()

            async with RawBackend(large) as backend:
                core = DirectCore(backend.address)
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    caller.writer.write(b"GET /times/ HTTP/1.1\r\nRequest-Timeout-Ms: 1000\r\n\r\n")
                    await eventually(lambda: len(core.events) == 2)
                    self.assertEqual(entry.client.open_requests(), 0)
                    self.assertEqual(core.events[1][1], Failure.DEADLINE)

        self.run_on_loop(work())


class DisconnectTest(LoopTestCase):
    """The disconnect of a caller cancels its request, unless the answer must be recorded."""

    def test_idempotent_request_is_cancelled(self) -> None:
        async def work() -> None:
            async with RawBackend(silent) as backend:
                core = DirectCore(backend.address)
                async with HttpEntry(core) as entry:
                    async with RawCaller(entry.caller_port) as caller:
                        caller.writer.write(b"GET /times/ HTTP/1.1\r\n\r\n")
                        await eventually(lambda: bool(backend.heads))
                    await eventually(lambda: entry.driver.open_requests == 0)
                    self.assertEqual(entry.client.open_requests(), 0)
            self.assertEqual(core.events, [("gone",)])

        self.run_on_loop(work())

    def test_once_only_request_continues_and_is_recorded(self) -> None:
        """Guard against a booking whose answer is lost when its caller disconnects.

        The caller loses its connection while the booking is written. The attempt must run to its
        end, and its answer must be kept for the caller's repeat.
        """

        async def work() -> None:
            finish = asyncio.Event()

            async def booking(connection: Connection, head: bytes) -> None:
                await finish.wait()
                connection.send_answer(b"booked")

            async with RawBackend(booking) as backend:
                core = DirectCore(backend.address, keep_answer=True, continues_without_caller=True)
                async with HttpEntry(core) as entry:
                    async with RawCaller(entry.caller_port) as caller:
                        caller.writer.write(b"POST /booking/ HTTP/1.1\r\n\r\n")
                        await eventually(lambda: bool(backend.heads))
                    await eventually(lambda: ("gone",) in core.events)
                    finish.set()
                    await eventually(lambda: entry.driver.open_requests == 0)
            self.assertEqual(core.events[-1], ("ended", b"booked", 6))

        self.run_on_loop(work())


class BackpressureTest(LoopTestCase):
    """A caller that reads slowly makes the backend server wait; the entry does not buffer."""

    def test_slow_reader_pauses_the_backend_server(self) -> None:
        """Guard against large answers that fill the entry's memory while callers read slowly.

        Without backpressure, the entry reads each answer at the speed of the backend server and
        buffers what its caller has not read. The limit here is the sum of all sockets' buffers.
        """

        async def work() -> int:
            sent = 0

            async def large(connection: Connection, head: bytes) -> None:
                nonlocal sent
                connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n")
                for _ in range(1_024):
                    connection.send(CHUNK)
                    await connection.writer.drain()
                    sent += len(CHUNK)

            async with RawBackend(large) as backend:
                core = DirectCore(backend.address)
                async with HttpEntry(core) as entry, RawCaller(entry.caller_port) as caller:
                    caller.writer.write(b"GET /times/ HTTP/1.1\r\n\r\n")
                    before = -1
                    while sent != before:
                        before = sent
                        await asyncio.sleep(0.2)
                    stalled_at = sent
                    answer = await caller.read()
            self.assertEqual((len(answer.body), answer.truncated), (67_108_864, False))
            return stalled_at

        self.assertLess(self.run_on_loop(work()), 32_000_000)

    def test_answer_too_large_to_keep_is_relayed(self) -> None:
        async def work() -> None:
            async def large(connection: Connection, head: bytes) -> None:
                connection.send_answer(CHUNK)

            async with RawBackend(large) as backend:
                core = DirectCore(backend.address, keep_answer=True)
                limits = LimitSettings(remembered_answer_bytes=1_000)
                async with HttpEntry(core, limits) as entry, RawCaller(entry.caller_port) as caller:
                    answer = await caller.get(b"/booking/")
            self.assertEqual(answer.body, CHUNK)
            self.assertEqual(core.events[-1], ("ended", None, len(CHUNK)))

        self.run_on_loop(work())
