"""Tests of the HTTP client: how failures are classified and when a body is complete."""

import asyncio
import socket

from briarspur.answerhead import AnswerHead
from briarspur.backend import Attempt, AttemptError, BackendClient, Outgoing
from briarspur.messages import Failure
from tests.httpfakes import HOST, Connection, RawBackend
from tests.loop import LoopTestCase, eventually, fired, the_reactor

CHUNK = b"x" * 65_536


class Recorder:
    """Records the events of one attempt and reads its body."""

    def __init__(self) -> None:
        self.head: AnswerHead | None = None
        self.body = b""
        self.ended = False
        self.failed: AttemptError | None = None
        self.attempt: Attempt | None = None

    def head_received(self, head: AnswerHead) -> None:
        self.head = head
        assert self.attempt is not None
        self.attempt.start_body()

    def data_received(self, data: bytes) -> None:
        self.body += data

    def body_ended(self) -> None:
        self.ended = True

    def attempt_failed(self, failed: AttemptError) -> None:
        self.failed = failed

    def is_over(self) -> bool:
        return self.ended or self.failed is not None


def outgoing(port: int, method: bytes = b"GET", body: bytes = b"", max_open: int = 9) -> Outgoing:
    from twisted.web.http_headers import Headers

    return Outgoing(HOST, port, method, b"/times/", Headers(), body, max_open)


async def send(client: BackendClient, request: Outgoing) -> Recorder:
    """Send a request and wait for its end."""
    recorder = Recorder()
    recorder.attempt = client.send(request, recorder)
    await eventually(recorder.is_over)
    return recorder


class FailureTest(LoopTestCase):
    """An attempt is reported as not sent only if that is certain."""

    def failure(self, script: object, method: bytes = b"GET") -> AttemptError:
        async def work() -> AttemptError:
            client = BackendClient(the_reactor())
            async with RawBackend(script) as backend:  # type: ignore[arg-type]
                recorder = await send(client, outgoing(backend.port, method))
            await fired(client.close())
            self.assertFalse(recorder.ended)
            assert recorder.failed is not None
            return recorder.failed

        return self.run_on_loop(work())

    def test_refused_connection_is_not_sent(self) -> None:
        async def work() -> Recorder:
            with socket.socket() as closed:
                closed.bind((HOST, 0))
                return await send(BackendClient(the_reactor()), outgoing(closed.getsockname()[1]))

        recorder = self.run_on_loop(work())
        assert recorder.failed is not None
        self.assertIs(recorder.failed.failure, Failure.NOT_SENT)
        self.assertTrue(recorder.failed.crashed)
        assert recorder.attempt is not None
        self.assertFalse(recorder.attempt.handed_over)

    def test_connect_timeout_is_not_sent(self) -> None:
        async def work() -> Recorder:
            with socket.socket() as full:
                full.bind((HOST, 0))
                full.listen(0)
                port = full.getsockname()[1]
                fillers = [socket.socket() for _ in range(4)]
                for filler in fillers:
                    filler.setblocking(False)
                    filler.connect_ex((HOST, port))
                recorder = await send(BackendClient(the_reactor(), 0.05), outgoing(port))
                for filler in fillers:
                    filler.close()
                return recorder

        recorder = self.run_on_loop(work())
        assert recorder.failed is not None
        self.assertIs(recorder.failed.failure, Failure.NOT_SENT)
        self.assertFalse(recorder.failed.crashed)

    def test_open_requests_to_a_target_are_limited(self) -> None:
        async def work() -> None:
            async def silent(connection: Connection, head: bytes) -> None:
                await asyncio.sleep(60)

            client = BackendClient(the_reactor())
            async with RawBackend(silent) as backend:
                first = Recorder()
                first.attempt = client.send(outgoing(backend.port, max_open=1), first)
                second = await send(client, outgoing(backend.port, max_open=1))
                assert second.failed is not None
                self.assertIs(second.failed.failure, Failure.NOT_SENT)
                await eventually(lambda: len(backend.heads) == 1)
                first.attempt.cancel()
                self.assertEqual(client.open_requests(), 0)

        self.run_on_loop(work())

    def test_reset_after_the_request_is_lost(self) -> None:
        async def reset(connection: Connection, head: bytes) -> None:
            connection.writer.transport.abort()

        failed = self.failure(reset)
        self.assertIs(failed.failure, Failure.LOST)
        self.assertTrue(failed.crashed)

    def test_malformed_answer_is_lost(self) -> None:
        async def garbage(connection: Connection, head: bytes) -> None:
            connection.send(b"what\r\n\r\n")

        self.assertIs(self.failure(garbage).failure, Failure.LOST)

    def test_loss_of_a_persistent_connection_after_the_request_is_not_retried(self) -> None:
        """Guard against a booking that the connection pool silently sends twice.

        The backend server reads a booking from a persistent connection, records it, and closes the
        connection without an answer. By default, Twisted's pool resends some methods on a new
        connection; the backend server records the booking again, and no log shows it.
        """
        for method in (b"POST", b"GET", b"DELETE"):
            with self.subTest(method=method):
                self._check_lost_connection(method)

    def _check_lost_connection(self, method: bytes) -> None:
        async def work() -> None:
            async def answer_once(connection: Connection, head: bytes) -> None:
                if len(backend.heads) == 1:
                    connection.send_answer(b"first")
                else:
                    connection.writer.close()

            client = BackendClient(the_reactor())
            async with RawBackend(answer_once) as backend:
                first = await send(client, outgoing(backend.port))
                self.assertEqual(first.body, b"first")
                second = await send(client, outgoing(backend.port, method))
                assert second.failed is not None
                self.assertIs(second.failed.failure, Failure.LOST)
                self.assertEqual(len(backend.heads), 2)
                self.assertEqual(len(backend.connections), 1)
            await fired(client.close())

        self.run_on_loop(work())


class BodyEndTest(LoopTestCase):
    """A truncated body never counts as complete."""

    def body(self, *parts: bytes) -> Recorder:
        async def work() -> Recorder:
            async def script(connection: Connection, head: bytes) -> None:
                for part in parts:
                    connection.send(part)
                connection.writer.close()

            async with RawBackend(script) as backend:
                return await send(BackendClient(the_reactor()), outgoing(backend.port))

        return self.run_on_loop(work())

    def expect_truncated(self, *parts: bytes) -> None:
        recorder = self.body(*parts)
        self.assertFalse(recorder.ended)
        assert recorder.failed is not None
        self.assertIs(recorder.failed.failure, Failure.CUT_SHORT)

    def test_body_shorter_than_its_length_is_truncated(self) -> None:
        self.expect_truncated(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", b"short")

    def test_chunked_body_without_the_last_chunk_is_truncated(self) -> None:
        self.expect_truncated(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"5\r\nshort\r\n"
        )

    def test_body_without_a_length_counts_as_truncated(self) -> None:
        self.expect_truncated(b"HTTP/1.1 200 OK\r\n\r\n", b"who knows")

    def test_complete_bodies(self) -> None:
        whole = self.body(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", b"whole")
        self.assertEqual((whole.body, whole.ended), (b"whole", True))
        chunks = b"5\r\nwhole\r\n0\r\n\r\n"
        whole = self.body(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunks)
        self.assertEqual((whole.body, whole.ended), (b"whole", True))
