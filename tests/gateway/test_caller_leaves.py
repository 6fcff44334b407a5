"""Tests over real sockets of callers that disconnect: nothing of their requests stays open."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from briarspur.gateway.configuration import Limits, RouteKind
from briarspur.gateway.exchange import Exchange
from briarspur.gateway.frontend import Frontend, FrontendRequest
from briarspur.gateway.outcome import Outcome
from briarspur.gateway.pool import ConnectionPool
from briarspur.gateway.services import IncomingRequest, Services
from briarspur.gateway.work import Work
from briarspur.platform.dialect import PlatformDialect
from briarspur.refusal import Refusal
from tests.gateway.exchangecase import Recorder, Script
from tests.gateway.samples import arrival, registration, route, steering
from tests.httpfakes import HOST, Connection, RawBackend, RawCaller
from tests.loop import LoopTestCase, eventually, fired, the_reactor

MEMORY_BYTES = 50_000_000.0
PIECE = b"x" * 65_536
LENGTH = 400_000_000
MAX_CLEAN_UP_S = 0.5
"""Time from a caller's leaving within which the work for it has ended."""


def streams(framing: bytes, piece: bytes) -> Script:
    """Send a response of many pieces until the connection closes."""

    async def script(connection: Connection, head: bytes) -> None:
        connection.send(b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" + framing + b"\r\n")
        while True:
            connection.send(piece)
            await connection.writer.drain()

    return script


WITH_LENGTH = streams(b"Content-Length: %d\r\n" % LENGTH, PIECE)
CHUNKED = streams(b"Transfer-Encoding: chunked\r\n", b"10000\r\n" + PIECE + b"\r\n")
UNTIL_CLOSE = streams(b"", PIECE)


async def waits(connection: Connection, head: bytes) -> None:
    """Work until the connection closes."""
    await connection.reader.read()


class Handler:
    """Handles requests with exchanges, and keeps those that have not ended."""

    def __init__(self, services: Services) -> None:
        self._services = services
        self.exchanges: list[Exchange] = []
        self.open: set[Exchange] = set()

    def handle(self, request: IncomingRequest, caller: FrontendRequest) -> Exchange:
        core, now = self._services.steering, self._services.clock.seconds()
        work = core.begin(arrival(path=request.uri.decode(), timeout=9.0), now)
        assert isinstance(work, Work)
        exchange = Exchange(self._services, request, work, caller, self.open.discard)
        self.exchanges.append(exchange)
        self.open.add(exchange)
        exchange.start()
        return exchange

    def refused_unread(self, refusal: Refusal) -> None:
        raise AssertionError(refusal)


class CallerLeavesTest(LoopTestCase):
    """A caller closes its connection before it has its response."""

    @asynccontextmanager
    async def gateway(self, script: Script) -> AsyncIterator[tuple[Handler, RawBackend, int]]:
        routes = [route(timeout=9.0), route("book", "/book/", RouteKind.ONCE_ONLY, timeout=9.0)]
        core = steering(0, routes)
        pool = ConnectionPool(the_reactor())
        services = Services(core, pool, the_reactor(), PlatformDialect(), Recorder())
        handler = Handler(services)
        frontend = Frontend(the_reactor(), handler, MEMORY_BYTES, 100)
        frontend.apply_limits(Limits())
        listening = the_reactor().listenTCP(0, frontend.factory, interface=HOST)
        async with RawBackend(script) as backend:
            core.targets.registered(registration("t-0", port=backend.port), the_reactor().seconds())
            try:
                yield handler, backend, listening.getHost().port
            finally:
                frontend.factory.stop_sweeping()
                pool.close()
                await fired(listening.stopListening())

    async def leave(self, script: Script, path: bytes, reads: bool, stays_s: float) -> None:
        """Send a request, leave, and check that its work ends in time."""
        async with self.gateway(script) as (handler, backend, port):
            async with RawCaller(port) as caller:
                caller.writer.write(b"GET " + path + b" HTTP/1.1\r\nHost: quay.example\r\n\r\n")
                await eventually(lambda: bool(backend.heads))
                if reads:
                    await caller.reader.readexactly(len(PIECE))
                await asyncio.sleep(stays_s)
                caller.writer.transport.abort()
            async with asyncio.timeout(MAX_CLEAN_UP_S):
                await eventually(lambda: backend.ended == 1 and not handler.open)
            exchange = handler.exchanges[0]
            self.assertTrue(exchange.done)
            self.assertEqual(([], []), (exchange._active, exchange._timers))

    def test_the_servers_connection_is_closed(self) -> None:
        """Guards against responses that are received for callers which have left."""
        for name, script in (
            ("length", WITH_LENGTH),
            ("chunked", CHUNKED),
            ("until close", UNTIL_CLOSE),
        ):
            for reads in (True, False):
                with self.subTest(name, reads=reads):
                    self.run_on_loop(self.leave(script, b"/times/1", reads, 0.2))

    def test_a_caller_that_leaves_before_the_response_ends_its_request(self) -> None:
        self.run_on_loop(self.leave(waits, b"/times/1", False, 0.1))

    def test_a_booking_is_received_and_discarded(self) -> None:
        """Guards against memory that fills with responses which nobody gets."""

        async def work() -> None:
            async with self.gateway(WITH_LENGTH) as (handler, backend, port):
                async with RawCaller(port) as caller:
                    caller.writer.write(b"GET /book/1 HTTP/1.1\r\nHost: quay.example\r\n\r\n")
                    await caller.reader.readexactly(len(PIECE))
                    caller.writer.transport.abort()
                await eventually(lambda: handler.exchanges[0].done)
                await asyncio.sleep(0.3)
                outgoing = handler.exchanges[0]._active[0]
                self.assertLess(outgoing.buffered_bytes, 1_000_000)
                self.assertFalse(backend.ended)
                handler.exchanges[0]._abandon_all(Outcome.TIMED_OUT)
                self.assertEqual(set(), handler.open)

        self.run_on_loop(work())
