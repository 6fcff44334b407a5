"""Tests of what a burst of large uploads may cost a gateway's process."""

import unittest

from twisted.internet.address import IPv4Address
from twisted.internet.task import Clock

from briarspur.gateway.configuration import Limits
from briarspur.gateway.front import HELD_SHARE, Front, FrontRequest
from briarspur.gateway.sending import IncomingRequest
from briarspur.refusal import Refusal

MEMORY = 20_000_000.0
BODY = 360_000
HERE = IPv4Address("TCP", "127.0.0.1", 80)


class Taker:
    """Takes requests and never answers, as while all servers are slow."""

    def __init__(self) -> None:
        self.taken: list[IncomingRequest] = []
        self.refused: list[Refusal] = []

    def take(self, request: IncomingRequest, caller: FrontRequest) -> None:
        self.taken.append(request)

    def refused_unread(self, refusal: Refusal) -> None:
        self.refused.append(refusal)


class Transport:
    """Keeps what is written; the caller's side is played by the test."""

    def __init__(self) -> None:
        self.written = b""
        self.disconnecting = False

    def write(self, data: bytes) -> None:
        self.written += data

    def getPeer(self) -> IPv4Address:  # noqa: N802
        return HERE

    getHost = getPeer  # noqa: N815

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        pass

    def loseConnection(self) -> None:  # noqa: N802
        pass

    loseWriteConnection = abortConnection = loseConnection  # noqa: N815


class UploadBurstTest(unittest.TestCase):
    """All growers send their delivery notes at once, 360 kB each, and servers are slow.

    A process that kept them all would pass its memory and be killed with every request it carries.
    """

    def setUp(self) -> None:
        self.taker = Taker()
        self.front = Front(Clock(), self.taker, MEMORY, 1_000)
        self.front.limits_changed(Limits(body_bytes=1_000_000))

    def upload(self, part: float = 1.0) -> Transport:
        channel = self.front.factory.buildProtocol(HERE)
        transport = Transport()
        channel.makeConnection(transport)
        head = b"POST /notes/x HTTP/1.1\r\nHost: quay.example\r\nContent-Length: %d\r\n\r\n" % BODY
        channel.dataReceived(head)
        for _ in range(int(part * 10)):
            channel.dataReceived(b"x" * (BODY // 10))
        return transport

    def test_bodies_are_held_up_to_their_share_of_the_memory(self) -> None:
        for _ in range(50):
            self.upload()
        held = self.front.factory.buffered_bytes
        self.assertLessEqual(held, HELD_SHARE * MEMORY)
        self.assertEqual(int(HELD_SHARE * MEMORY) // BODY, len(self.taker.taken))
        self.assertEqual(50, len(self.taker.taken) + len(self.taker.refused))

    def test_who_is_refused_is_told_at_once_when_to_come_back(self) -> None:
        for _ in range(20):
            self.upload()
        answer = self.upload().written.lower()
        self.assertIn(b"http/1.1 503", answer)
        self.assertIn(b"retry-after:", answer)

    def test_a_body_that_breaks_off_reaches_no_server(self) -> None:
        """A grower's connection breaks in the middle of a delivery note.

        Nothing of it may run: the whole note comes again, as another request.
        """
        self.upload(0.5)
        self.assertEqual([], self.taker.taken)
