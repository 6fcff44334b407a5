"""Tests of responses without a request id, over connections that are used again."""

import asyncio

from briarspur.codes import Code
from briarspur.gateway.exchange import Exchange
from briarspur.gateway.notrun import Proof
from briarspur.gateway.outcome import Outcome
from tests.gateway.exchangecase import (
    SIGNATURE,
    ExchangeCase,
    Recorder,
    Script,
    answers,
    full_response,
    request_id,
    sheds,
)
from tests.gateway.samples import registration
from tests.httpfakes import Connection, RawBackend
from tests.loop import eventually

REJECTIONS = (b"503 Busy", b"429 Slow down", b"421 Not me", b"400 No id")


REJECTED = (
    b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n\r\n"
)


def first_then(script: Script) -> Script:
    """Answer the first request over each connection, and the others by the script."""
    used: set[int] = set()

    async def respond(connection: Connection, head: bytes) -> None:
        is_first = id(connection) not in used
        used.add(id(connection))
        await (answers if is_first else script)(connection, head)

    return respond


def rejection(status: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % status


def sends(*parts: bytes, pause: float = 0.01) -> Script:
    """Send some bytes, one part after the other, and then the response to the request."""

    async def script(connection: Connection, head: bytes) -> None:
        for part in parts:
            connection.writer.write(part)
            await asyncio.sleep(pause)
        connection.writer.write(full_response(head, b"own"))

    return script


class CopyingServer:
    """Rejects the first request over each connection, and again when the next one arrives."""

    def __init__(self) -> None:
        self.used: set[int] = set()

    async def __call__(self, connection: Connection, head: bytes) -> None:
        rejected = REJECTED % request_id(head)
        if not self.used:
            self.used.add(id(connection))
            await asyncio.sleep(0.05)
            connection.writer.write(rejected)
            return
        if id(connection) in self.used:
            connection.writer.write(rejected)
            await asyncio.sleep(0.05)
        connection.writer.write(full_response(head, b"own"))


async def rejects_only(connection: Connection, head: bytes) -> None:
    connection.writer.write(rejection(b"503 Busy"))


class ResponseIdTest(ExchangeCase):
    """Only its id shows to which request a response over a used connection belongs."""

    def test_a_rejection_of_no_request_does_not_end_a_booking(self) -> None:
        """Guards against bookings reported as not run, or run twice, for a stray rejection."""

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            self.assertIsNone(second.refused)
            self.assertEqual((200, b"own", 1), (second.status, second.body, second.attempts))
            self.assertEqual([2, 0], [len(backend.heads) for backend in backends])

        for status in REJECTIONS:
            with self.subTest(status):
                script = first_then(sends(rejection(status)))
                self.run_request([script, script], check, path="/book/1")

    def test_a_copy_of_a_rejection_does_not_end_the_next_attempt_at_the_same_server(self) -> None:
        """Guards against bookings reported as not run by a response to their earlier attempt."""

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: exchange.work.sent == 1)
            targets = exchange._services.steering.targets
            now = exchange._services.clock.seconds()
            targets.removed("t-0")
            targets.registered(registration("t-0", port=backends[0].port), now)
            await eventually(lambda: caller.finished)
            self.assertIsNone(caller.refused)
            self.assertEqual((200, b"own", 2), (caller.status, caller.body, caller.attempts))

        self.run_request([CopyingServer()], check, path="/book/1")

    def test_a_success_of_no_request_is_not_delivered(self) -> None:
        """Guards against callers that get the answer to another request."""
        stray = b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"Content-Length: 5\r\n\r\nstray"

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            self.assertEqual((200, b"own", 1), (second.status, second.body, second.attempts))

        for path in ("/book/1", "/times/1"):
            with self.subTest(path):
                self.run_request([first_then(sends(stray))], check, path=path)

    def test_a_booking_whose_only_response_has_no_id_has_an_unknown_outcome(self) -> None:
        """Guards against bookings that wait until their deadlines for a second response."""

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            assert second.refused is not None
            self.assertIs(Code.OUTCOME_UNKNOWN, second.refused.code)
            self.assertEqual([Outcome.INVALID], second.outcomes)
            self.assertEqual([2, 0], [len(backend.heads) for backend in backends])

        script = first_then(rejects_only)
        self.run_request([script, script], check, path="/book/1", timeout=30.0)

    def test_a_booking_gets_a_new_connection_after_a_response_without_an_id(self) -> None:
        """Guards against unknown outcomes of bookings that a full server rejects without ids."""

        class Server:
            """Answers slowly; once it is full, it rejects requests without their ids."""

            is_full = False

            async def __call__(self, connection: Connection, head: bytes) -> None:
                await asyncio.sleep(0.05)
                await (rejects_only if self.is_full else answers)(connection, head)

        server = Server()

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            beside = self.send_next(exchange)
            await eventually(lambda: caller.finished and beside.finished)
            self.assertEqual(2, len(backends[0].connections))
            server.is_full = True
            for outcome in (Outcome.INVALID, Outcome.REJECTED):
                rejected = self.send_next(exchange)
                await eventually(lambda rejected=rejected: rejected.finished)
                self.assertEqual([outcome], rejected.outcomes)
            self.assertIs(Proof.SERVER, rejected.proof)

        self.run_request([server], check, path="/book/1", timeout=30.0)

    def test_a_repeatable_request_is_sent_again_at_once_after_a_rejection_without_an_id(
        self,
    ) -> None:
        """Guards against requests that wait at full servers, which send no ids."""

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            self.assertEqual((200, 2), (second.status, second.attempts))
            self.assertEqual([Outcome.REJECTED, Outcome.ANSWERED], second.outcomes)

        self.run_request([first_then(rejects_only), answers], check, timeout=30.0)

    def test_a_rejection_without_an_id_does_not_prove_that_a_request_was_not_run(self) -> None:
        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            assert second.refused is not None
            self.assertIs(Code.CONNECTION_LOST, second.refused.code)

        self.run_request([first_then(rejects_only), sheds], check, timeout=30.0)

    def test_a_connection_whose_server_sends_no_ids_is_not_used_again(self) -> None:
        """Guards against responses that can't be told from those to other requests."""

        async def answers_without_id(connection: Connection, head: bytes) -> None:
            connection.writer.write(
                b"HTTP/1.1 200 OK\r\n" + SIGNATURE + b"Content-Length: 5\r\n\r\ntimes"
            )

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            self.assertEqual([200, 200], [caller.status, second.status])
            self.assertEqual([2, 2], [len(backends[0].heads), len(backends[0].connections)])

        self.run_request([answers_without_id], check, path="/book/1")

    def test_a_request_without_an_id_gets_a_new_connection(self) -> None:
        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange, request_id="")
            await eventually(lambda: second.finished)
            self.assertEqual(2, len(backends[0].connections))
            assert second.refused is not None
            self.assertIs(Code.ATTEMPTS_SPENT, second.refused.code)

        script = first_then(answers)

        async def sheds_without_id(connection: Connection, head: bytes) -> None:
            await (script if b"r-1" in head else sheds)(connection, head)

        self.run_request([sheds_without_id, sheds_without_id], check, path="/book/1")

    def test_many_responses_without_an_id_are_awaited_once(self) -> None:
        """Guards against a timer for each response of a server that sends them without end."""

        async def rejects_often(connection: Connection, head: bytes) -> None:
            connection.writer.write(rejection(b"503 Busy") * 500)

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            scheduled = self._exchanges[-1]._timers
            most = 0
            while not second.finished:
                most = max(most, len(scheduled))
                await asyncio.sleep(0.0)
            self.assertLess(most, 5)
            self.assertEqual([Outcome.INVALID], second.outcomes)

        self.run_request([first_then(rejects_often)], check, path="/book/1", timeout=30.0)

    def test_a_slow_response_after_a_stray_one_is_delivered(self) -> None:
        """Guards against responses that are given up although they are being received."""
        body = b"." * 600_000

        async def sends_slowly(connection: Connection, head: bytes) -> None:
            connection.writer.write(rejection(b"503 Busy"))
            response = full_response(head, body)
            for start in range(0, len(response), 100_000):
                connection.writer.write(response[start : start + 100_000])
                await asyncio.sleep(0.3)

        async def check(caller: Recorder, exchange: Exchange, backends: list[RawBackend]) -> None:
            await eventually(lambda: caller.finished)
            second = self.send_next(exchange)
            await eventually(lambda: second.finished)
            self.assertEqual((200, len(body)), (second.status, len(second.body)))
            self.assertFalse(second.aborted)

        self.run_request([first_then(sends_slowly)], check, path="/book/1", timeout=30.0)
