"""Tests of the memory limit of a gateway process during a burst of large uploads."""

import unittest
from collections.abc import Iterable
from typing import Any, cast

from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from briarspur.answerhead import AnswerHead
from briarspur.codes import Code
from briarspur.gateway.configuration import Limits
from briarspur.gateway.frontend import MAX_BODY_MEMORY_SHARE, Frontend, FrontendRequest
from briarspur.gateway.services import IncomingRequest
from briarspur.refusal import Refusal

MEMORY_BYTES = 20_000_000.0
BODY_BYTES = 360_000
ADDRESS = IPv4Address("TCP", "127.0.0.1", 80)


class RecordingHandler:
    """Accepts requests and never responds, as if all servers were slow."""

    def __init__(self) -> None:
        self.handled: list[IncomingRequest] = []
        self.refused: list[Refusal] = []

    def handle(self, request: IncomingRequest, caller: FrontendRequest) -> None:
        self.handled.append(request)

    def refused_unread(self, refusal: Refusal) -> None:
        self.refused.append(refusal)


class Transport:
    """Records what is written to the caller."""

    def __init__(self) -> None:
        self.written = b""
        self.disconnecting = False

    def write(self, data: bytes) -> None:
        self.written += data

    def writeSequence(self, data: Iterable[bytes]) -> None:  # noqa: N802
        self.write(b"".join(data))

    def getPeer(self) -> IPv4Address:  # noqa: N802
        return ADDRESS

    getHost = getPeer  # noqa: N815

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        pass

    def loseConnection(self) -> None:  # noqa: N802
        pass

    loseWriteConnection = abortConnection = loseConnection  # noqa: N815
    pauseProducing = resumeProducing = unregisterProducer = loseConnection  # noqa: N815


class UploadBurstTest(unittest.TestCase):
    """Guards against a process that is killed for its memory along with all its requests.

    All growers send their delivery notes of 360 kB at the same time while the servers are slow, and
    a process that buffered them all would exceed its memory.
    """

    def setUp(self) -> None:
        self.handler = RecordingHandler()
        self.frontend = Frontend(Clock(), self.handler, MEMORY_BYTES, 1_000)
        self.frontend.apply_limits(Limits(body_bytes=1_000_000))

    def upload(self, sent_share: float = 1.0) -> Transport:
        channel = self.frontend.factory.buildProtocol(ADDRESS)
        transport = Transport()
        channel.makeConnection(transport)
        head = (
            b"POST /notes/x HTTP/1.1\r\nHost: quay.example\r\nContent-Length: %d\r\n\r\n"
            % BODY_BYTES
        )
        channel.dataReceived(head)
        for _ in range(int(sent_share * 10)):
            channel.dataReceived(b"x" * (BODY_BYTES // 10))
        return transport

    def test_buffered_bodies_do_not_exceed_their_share_of_memory(self) -> None:
        for _ in range(50):
            self.upload()
        held = self.frontend.factory.buffered_bytes
        self.assertLessEqual(held, MAX_BODY_MEMORY_SHARE * MEMORY_BYTES)
        self.assertEqual(
            int(MAX_BODY_MEMORY_SHARE * MEMORY_BYTES) // BODY_BYTES, len(self.handler.handled)
        )
        self.assertEqual(50, len(self.handler.handled) + len(self.handler.refused))

    def test_a_refused_upload_receives_retry_after_immediately(self) -> None:
        for _ in range(20):
            self.upload()
        answer = self.upload().written.lower()
        self.assertIn(b"http/1.1 503", answer)
        self.assertIn(b"retry-after:", answer)

    def test_the_time_of_a_slow_upload_is_part_of_its_callers_time(self) -> None:
        """Guards against servers that are given the caller's whole time once more."""
        clock = Clock()
        frontend = Frontend(clock, self.handler, MEMORY_BYTES, 1_000)
        frontend.apply_limits(Limits(body_bytes=1_000_000))
        channel = frontend.factory.buildProtocol(ADDRESS)
        channel.makeConnection(Transport())
        channel.dataReceived(b"POST /notes/x HTTP/1.1\r\nHost: quay.example\r\n")
        clock.advance(0.5)
        channel.dataReceived(b"Content-Length: 20\r\n\r\n" + b"x" * 10)
        clock.advance(1.0)
        channel.dataReceived(b"x" * 10)
        self.assertEqual(2.5, self.handler.handled[0].remaining(4.0))

    def test_a_truncated_body_is_not_handled(self) -> None:
        """A grower's connection is lost in the middle of a delivery note.

        No part of it may run, because the grower sends the complete note again as another
        request.
        """
        self.upload(0.5)
        self.assertEqual([], self.handler.handled)


class AddedHeadersTest(unittest.TestCase):
    """Requests near the limit of headers are accepted from other entries, too."""

    def test_headers_that_entries_add_do_not_count(self) -> None:
        """Guards against 431 for a request only because its entry passed it on."""
        for added, is_accepted in ((0, False), (1_024, True)):
            handler = RecordingHandler()
            frontend = Frontend(Clock(), handler, MEMORY_BYTES, 1_000, added)
            frontend.apply_limits(Limits(header_bytes=2_000))
            channel = frontend.factory.buildProtocol(ADDRESS)
            channel.makeConnection(cast(Any, Transport()))
            lines = [b"GET / HTTP/1.1", b"Host: x", b"X-Long: " + b"a" * 1_980]
            lines.append(b"Briarspur-Source-Address: 100.100.100.100")
            channel.dataReceived(b"\r\n".join(lines) + b"\r\n\r\n")
            with self.subTest(added):
                self.assertEqual(is_accepted, len(handler.handled) == 1)


class OpenChannelTest(unittest.TestCase):
    """Limits of a new configuration apply to connections that are open."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.handler = RecordingHandler()
        self.frontend = Frontend(self.clock, self.handler, MEMORY_BYTES, 1_000)
        self.frontend.apply_limits(Limits(header_bytes=2_048, body_bytes=2_048, idle_s=5.0))
        self.channel = self.frontend.factory.buildProtocol(ADDRESS)
        self.transport = Transport()
        self.channel.makeConnection(self.transport)

    def send(self, header_bytes: int = 10, body_bytes: int = 0) -> None:
        head = b"POST /notes/x HTTP/1.1\r\nHost: quay.example\r\nX-Note: %b\r\n"
        length = b"Content-Length: %d\r\n\r\n" % body_bytes
        self.channel.dataReceived(head % (b"n" * header_bytes) + length + b"x" * body_bytes)

    def test_longer_headers_are_accepted(self) -> None:
        """Guards against 431 on connections that were open when the limit rose."""
        self.frontend.apply_limits(Limits(header_bytes=16_384))
        self.send(header_bytes=4_096)
        self.assertEqual((1, []), (len(self.handler.handled), self.handler.refused))

    def test_too_long_headers_are_refused(self) -> None:
        self.frontend.apply_limits(Limits(header_bytes=1_024))
        self.send(header_bytes=1_500)
        self.assertEqual([Code.HEADERS_TOO_LARGE], [r.code for r in self.handler.refused])

    def test_larger_bodies_are_accepted(self) -> None:
        self.frontend.apply_limits(Limits(body_bytes=1_000_000))
        self.send(body_bytes=4_096)
        self.assertEqual((1, []), (len(self.handler.handled), self.handler.refused))

    def test_idle_and_receive_times_are_the_new_ones(self) -> None:
        closed: list[float] = []
        self.transport.loseConnection = lambda: closed.append(self.clock.seconds())  # type: ignore
        self.frontend.apply_limits(Limits(idle_s=20.0, header_s=40.0))
        self.clock.advance(10.0)
        self.channel.check_timeouts(self.clock.seconds())
        self.assertEqual([], closed)
        self.channel.dataReceived(b"POST /notes/x HTTP/1.1\r\n")
        self.clock.advance(50.0)
        self.channel.check_timeouts(self.clock.seconds())
        self.assertEqual([], self.handler.refused)
        self.frontend.apply_limits(Limits(idle_s=20.0, header_s=1.0))
        self.channel.check_timeouts(self.clock.seconds())
        self.assertEqual(1, len(self.handler.refused))


REFUSED_URI = b"/refused"


class AnsweringHandler(RecordingHandler):
    """Accepts requests, which the test answers, but for one that is refused at once."""

    def __init__(self) -> None:
        super().__init__()
        self.callers: list[FrontendRequest] = []

    def handle(self, request: IncomingRequest, caller: FrontendRequest) -> None:
        super().handle(request, caller)
        if request.uri == REFUSED_URI:
            caller.refuse(Refusal(Code.OVERLOADED))
        else:
            self.callers.append(caller)

    def answer_next(self) -> None:
        caller = self.callers.pop(0)
        caller.begin(AnswerHead(200, Headers(), 2), ())
        caller.write(b"ok")
        caller.end()


class PipelinedRequestTest(unittest.TestCase):
    """A caller sends further requests before its first one is answered."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.handler = AnsweringHandler()
        self.frontend = Frontend(self.clock, self.handler, MEMORY_BYTES, 1_000)
        self.channel = self.frontend.factory.buildProtocol(ADDRESS)
        self.transport = Transport()
        self.closed_at: list[float] = []
        self.transport.loseConnection = lambda: self.closed_at.append(self.clock.seconds())  # type: ignore
        self.channel.makeConnection(self.transport)

    def send(self, count: int, end: bytes = b"\r\n") -> None:
        head = b"POST /notes/x HTTP/1.1\r\nHost: quay.example\r\nContent-Length: 2\r\n"
        self.channel.dataReceived((head + end + b"xx") * count)

    def test_requests_that_were_read_are_answered_before_a_connection_closes(self) -> None:
        """Guards against a stopped entry that drops requests which it has read."""
        self.send(3)
        self.frontend.close_connections()
        for _ in range(3):
            self.handler.answer_next()
        self.assertEqual(3, self.transport.written.count(b"HTTP/1.1 200"))
        last = self.transport.written.lower().rpartition(b"http/1.1 200")[2]
        self.assertIn(b"connection: close", last)
        self.assertEqual(1, self.transport.written.lower().count(b"connection: close"))
        self.assertEqual(1, len(self.closed_at))

    def test_requests_behind_one_that_is_refused_at_once_are_answered(self) -> None:
        """Guards against requests that are dropped as they are not in the expected buffer."""
        head = b"GET %b HTTP/1.1\r\nHost: quay.example\r\n\r\n"
        self.channel.dataReceived(b"".join(head % uri for uri in (b"/a", REFUSED_URI, b"/b")))
        self.frontend.close_connections()
        self.clock.advance(0.5)
        self.handler.answer_next()
        self.assertEqual(1, self.transport.written.count(b"HTTP/1.1 503"))
        self.assertNotIn(b"connection: close", self.transport.written.lower())
        self.handler.answer_next()
        self.assertEqual(2, self.transport.written.count(b"HTTP/1.1 200"))
        self.assertEqual(1, len(self.closed_at))
        self.assertEqual([2.0, 1.5, 1.5], [r.remaining(2.0) for r in self.handler.handled])

    def test_a_connection_without_a_further_request_closes_after_its_response(self) -> None:
        self.send(1)
        self.frontend.close_connections()
        self.handler.answer_next()
        self.assertIn(b"connection: close", self.transport.written.lower())
        self.assertEqual(1, len(self.closed_at))

    def test_an_incomplete_further_request_is_refused_as_the_entry_ends(self) -> None:
        """Guards against a connection that closes without a response as the process ends."""
        self.send(1)
        self.channel.dataReceived(b"POST /notes/x HTTP/1.1\r\nHost: quay.example\r\n")
        self.frontend.close_connections()
        self.handler.answer_next()
        self.assertEqual([], self.closed_at)
        self.frontend.refuse_incomplete(Refusal(Code.NOT_READ))
        self.assertIn(b"HTTP/1.1 503", self.transport.written)

    def test_time_spent_waiting_is_part_of_the_callers_time(self) -> None:
        """Guards against servers that are given the caller's whole time once more."""
        self.send(1)
        self.clock.advance(0.5)
        self.send(1)
        self.clock.advance(0.25)
        self.send(1)
        self.clock.advance(0.25)
        self.handler.answer_next()
        self.clock.advance(1.0)
        self.handler.answer_next()
        self.assertEqual([4.0, 3.5, 2.75], [r.remaining(4.0) for r in self.handler.handled])
