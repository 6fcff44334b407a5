"""HTTP connections of callers, with bounds on what one caller may cost."""

import math
from collections.abc import Callable
from typing import Protocol, cast

from twisted.internet import protocol
from twisted.internet.interfaces import IAddress
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.http import HTTPChannel, Request

from briarspur.codes import Code
from briarspur.headers import IDEMPOTENCY_KEY
from briarspur.limitsettings import LimitSettings
from briarspur.refusal import Answer, Refusal, refusal_answer

__all__ = ["CallerChannel", "ChannelClock", "ChannelFactory"]

LINGER = 2.0
"""Seconds a refused caller has to read its answer before its connection is cut."""
SWEEP = 0.25
"""Seconds between two looks at slow and idle connections."""
IDLE = 60.0
"""Seconds a connection may be open without a request."""
FULL_RETRY_AFTER = 1.0
"""Seconds after which a caller may come back to an entry that has too many connections."""


class ChannelClock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> object:
        """Call after a delay in seconds."""


class Transport(Protocol):
    """The part of a TCP transport used to refuse a caller."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Close the sending half once all is sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Cut the connection."""


class CallerChannel(HTTPChannel):
    """One connection of a caller.

    Bad input is answered at once, with a result code, whatever part of it has come; the rest is
    read and thrown away for :data:`LINGER` seconds. Closing with unread bytes would make the
    kernel reset the connection, and the caller would see the reset in place of its answer.
    """

    def __init__(self, factory: "ChannelFactory") -> None:
        super().__init__()
        self.factory = factory
        self.requestFactory = cast("type[Request]", factory.make_request)
        self.totalHeadersSize = factory.limits.header_bytes
        self.MAX_LENGTH = factory.limits.header_bytes
        self.timeOut = None
        self.refused = False
        self.receiving_since = math.inf
        self.idle_since = factory.clock.seconds()
        self.held_bytes = 0
        self.head_received = False

    def connectionMade(self) -> None:  # noqa: N802
        """Refuse the caller at once if too many are connected."""
        super().connectionMade()
        self.factory.channels.add(self)
        if len(self.factory.channels) > self.factory.limits.callers:
            self.refuse(Refusal(Code.NOT_READ, "too many connections", FULL_RETRY_AFTER))

    def connectionLost(self, reason: TwistedFailure) -> None:  # type: ignore[override] # noqa: N802
        """Tell the open request that its caller is gone."""
        self.factory.channels.discard(self)
        self.release_body()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what came, unless the caller was refused."""
        if self.refused:
            return
        if not self._handlingRequest and self.receiving_since == math.inf:
            self.receiving_since = self.factory.clock.seconds()
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of a head."""
        if not self.refused:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line longer than all headers may be."""
        self.refuse(Refusal(Code.HEADERS_TOO_LARGE))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of a body, or of requests sent ahead."""
        if not self.refused:
            super().rawDataReceived(data)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Refuse a body by its declared length, before any of it is read."""
        if self.length is not None and self.length > self.factory.limits.body_bytes:
            self.refuse(Refusal(Code.BODY_TOO_LARGE))
            return
        self.head_received = True
        super().allHeadersReceived()

    def allContentReceived(self) -> None:  # noqa: N802
        """Hand the whole request over."""
        if self.refused:
            return
        self.head_received = False
        self.receiving_since = math.inf
        self.idle_since = math.inf
        super().allContentReceived()

    def requestDone(self, request: object) -> None:  # noqa: N802
        """Wait for the next request of this connection."""
        self.idle_since = self.factory.clock.seconds()
        self.release_body()
        if self.factory.closing:
            self.persistent = 0
        super().requestDone(request)

    def hold_body(self, size: int) -> None:
        """Account for a part of a request's body; refuse it if a bound is reached."""
        self.held_bytes += size
        self.factory.held_bytes += size
        if self.held_bytes > self.factory.limits.body_bytes:
            self.refuse(Refusal(Code.BODY_TOO_LARGE))
        elif self.factory.held_bytes > self.factory.most_held:
            detail = "request bodies fill the entry's memory"
            self.refuse(Refusal(Code.NOT_READ, detail, FULL_RETRY_AFTER))

    def release_body(self) -> None:
        """Give the request body's memory back."""
        self.factory.held_bytes -= self.held_bytes
        self.held_bytes = 0

    def refuse(self, refusal: Refusal) -> None:
        """Answer a request that did not come whole, and end the connection."""
        if self.refused:
            return
        self.refused = True
        self.receiving_since = math.inf
        self.release_body()
        answer = refusal_answer(refusal)
        transport = cast(Transport, self.transport)
        transport.write(_wire_form(answer, self.factory.next_request_id()))
        transport.loseWriteConnection()
        self.factory.refused(refusal)
        self.factory.clock.callLater(LINGER, self._end)

    def look(self, now: float) -> None:
        """Refuse a caller that is slow to send, and close a connection that is not used.

        Bytes that trickle in keep a connection busy for ever, so the whole request is timed from
        its first byte, not from its last.
        """
        if now - self.receiving_since > self.factory.limits.receive_s:
            self.refuse(self._too_slow())
        elif self.receiving_since == math.inf and now - self.idle_since > self.factory.idle_s:
            self.loseConnection()

    def _too_slow(self) -> Refusal:
        # A slow repeat of a booking that was run must not be told "not run": its caller would book
        # again. Only a request that surely has no key may be told so.
        unkeyed = self.head_received and not self._has_key()
        return Refusal(Code.CALLER_TOO_SLOW if unkeyed else Code.NOT_READ, "not sent in time")

    def _has_key(self) -> bool:
        return bool(self.requests) and self.requests[-1].requestHeaders.hasHeader(IDEMPOTENCY_KEY)

    def abort(self) -> None:
        """Cut the connection with a reset."""
        cast(Transport, self.transport).abortConnection()

    def _end(self) -> None:
        if self in self.factory.channels:
            self.abort()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Answer in place of Twisted's bare 400, which has no result code."""
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        too_many = self._receivedHeaderCount > self.maxHeaders
        code = Code.HEADERS_TOO_LARGE if too_large or too_many else Code.BAD_REQUEST
        self.refuse(Refusal(code))


class ChannelFactory(protocol.ServerFactory):
    """Makes and watches the connections of one listening port.

    Attributes
    ----------
    held_bytes : int
        Request bodies in memory.
    most_held : int
        Bound on them, in bytes.
    idle_s : float
        Seconds a connection may be open without a request.
    closing : bool
        Each connection is to end after the answer it waits for.
    """

    def __init__(
        self,
        clock: ChannelClock,
        limits: LimitSettings,
        make_request: Callable[[HTTPChannel, object], object],
        next_request_id: Callable[[], str],
        refused: Callable[[Refusal], None],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.make_request = make_request
        self.next_request_id = next_request_id
        self.refused = refused
        self.channels: set[CallerChannel] = set()
        self.held_bytes = 0
        self.most_held = 64 * limits.body_bytes
        self.closing = False
        self.idle_s = IDLE
        self._sweeping = False

    def buildProtocol(self, addr: IAddress | None) -> CallerChannel:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerChannel(self)

    def startFactory(self) -> None:  # noqa: N802
        """Begin to look for slow callers."""
        self._sweeping = True
        self.clock.callLater(SWEEP, self._sweep)

    def stopFactory(self) -> None:  # noqa: N802
        """Nothing is listened to any more; open connections are still looked at."""

    def log(self, request: object) -> None:
        """Write no access log: Twisted would write a line for each request."""

    def close_idle(self) -> None:
        """Close connections that wait for no answer, and let the others end after theirs."""
        self.closing = True
        for channel in list(self.channels):
            if not channel.requests and channel.receiving_since == math.inf:
                channel.loseConnection()

    def stop_sweeping(self) -> None:
        """Look at connections no more."""
        self._sweeping = False

    def _sweep(self) -> None:
        if not self._sweeping:
            return
        now = self.clock.seconds()
        for channel in list(self.channels):
            channel.look(now)
        self.clock.callLater(SWEEP, self._sweep)


def _wire_form(answer: Answer, request_id: str) -> bytes:
    lines = [b"HTTP/1.1 %d Refused" % answer.status]
    lines += [name + b": " + value for name, value in answer.headers]
    lines.append(b"Briarspur-Request-Id: " + request_id.encode())
    lines.append(b"Content-Length: %d" % len(answer.body))
    lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body
