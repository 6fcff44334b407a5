"""HTTP connections of callers, with limits on the resources that one caller can use."""

import math
from collections import deque
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

LINGER_S = 2.0
"""Time for a refused caller to read its answer before its connection is reset."""
SWEEP_INTERVAL_S = 0.25
"""Interval of the checks for slow and idle connections."""
IDLE_TIMEOUT_S = 60.0
"""Maximum time that a connection may be open without a request."""
FULL_RETRY_AFTER_S = 1.0
"""Retry-After of an entry that has too many connections or buffered request bodies."""


class ChannelClock(Protocol):
    """Monotonic time and delayed calls."""

    def seconds(self) -> float:
        """Return the time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., object], *args: object, **kw: object
    ) -> object:
        """Schedule a call after a delay in seconds."""


class Transport(Protocol):
    """The part of a TCP transport used to refuse a caller."""

    def write(self, data: bytes) -> None:
        """Send bytes."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Close the sending half once all data is sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Reset the connection."""


class CallerChannel(HTTPChannel):
    """One connection of a caller.

    Invalid input is refused immediately with a result code, even if the request is incomplete. The
    rest of the input is read and discarded for :data:`LINGER_S`: closing with unread bytes would
    make the kernel reset the connection, and the caller would see the reset and not its answer.
    """

    def __init__(self, factory: "ChannelFactory") -> None:
        super().__init__()
        self.factory = factory
        self.requestFactory = cast("type[Request]", factory.build_request)
        self.timeOut = None
        self.refused = False
        self.receiving_since = math.inf
        self.receive_s = 0.0
        self.idle_since = factory.clock.seconds()
        self.buffered_bytes = 0
        self.head_received = False
        # Time and size of each chunk of data that may contain bytes of requests not parsed yet.
        self._chunks: deque[tuple[float, int]] = deque()
        # Twisted passes the data of a further request to dataReceived again when it is parsed.
        self._is_replaying = False

    # Twisted reads these two limits during each request. The configuration may change while the
    # connection is open, so they are not copied.

    @property
    def totalHeadersSize(self) -> int:  # type: ignore[override]  # noqa: N802
        """Maximum size of a request's headers in bytes."""
        return int(self.factory.limits.header_bytes)

    @property
    def MAX_LENGTH(self) -> int:  # type: ignore[override]  # noqa: N802
        """Maximum size of one header line in bytes."""
        return int(self.factory.limits.header_bytes)

    def connectionMade(self) -> None:  # noqa: N802
        """Refuse the caller immediately if there are too many connections."""
        super().connectionMade()
        self.factory.channels.add(self)
        if len(self.factory.channels) > self.factory.limits.callers:
            self.refuse(Refusal(Code.NOT_READ, "too many connections", FULL_RETRY_AFTER_S))

    def connectionLost(self, reason: TwistedFailure) -> None:  # type: ignore[override] # noqa: N802
        """Report to the open request that its caller has disconnected."""
        self.factory.channels.discard(self)
        self.release_body()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data unless the caller was refused."""
        if self.refused:
            return
        if not self._is_replaying:
            self._record_received(len(data))
        super().dataReceived(data)

    def _record_received(self, size: int) -> None:
        now = self.factory.clock.seconds()
        if not self._handlingRequest:
            self._chunks.clear()
            if self.receiving_since == math.inf:
                self.receiving_since = now
        self._chunks.append((now, size))

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of a head."""
        if not self.refused:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that is longer than the limit of all headers."""
        self.refuse(Refusal(Code.HEADERS_TOO_LARGE))

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle a part of a body or of pipelined requests."""
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
        """Process the complete request."""
        if self.refused:
            return
        self.head_received = False
        self.receive_s = max(0.0, self.factory.clock.seconds() - self.receiving_since)
        self.receiving_since = math.inf
        self.idle_since = math.inf
        super().allContentReceived()

    def requestDone(self, request: object) -> None:  # noqa: N802
        """Wait for the next request of this connection, or handle one that was received already."""
        self.idle_since = self.factory.clock.seconds()
        self.release_body()
        if self.has_next_request:
            self.receiving_since = self._received_at(self._unread)
        elif self.factory.closing:
            self.persistent = 0
        self._is_replaying = True
        super().requestDone(request)
        self._is_replaying = False

    @property
    def has_next_request(self) -> bool:
        """Whether some of a further request was received while one is handled."""
        return bool(self.persistent) and self._unread > 0

    @property
    def _unread(self) -> int:
        """Number of bytes that were received after the request that is handled."""
        # Those behind a request without a body are in the first buffer until it was handled.
        return len(self._buffer) + sum(map(len, self._dataBuffer))

    def _received_at(self, unread: int) -> float:
        """Return when the first of the last ``unread`` bytes was received."""
        total = sum(size for _, size in self._chunks)
        while total - self._chunks[0][1] >= unread:
            total -= self._chunks.popleft()[1]
        return self._chunks[0][0]

    def account_body(self, size: int) -> None:
        """Account for a part of a request's body; refuse the request if a limit is exceeded."""
        self.buffered_bytes += size
        self.factory.buffered_bytes += size
        if self.buffered_bytes > self.factory.limits.body_bytes:
            self.refuse(Refusal(Code.BODY_TOO_LARGE))
        elif self.factory.buffered_bytes > self.factory.max_buffered_bytes:
            detail = "request bodies fill the entry's memory"
            self.refuse(Refusal(Code.NOT_READ, detail, FULL_RETRY_AFTER_S))

    def release_body(self) -> None:
        """Release the memory of the request's body."""
        self.factory.buffered_bytes -= self.buffered_bytes
        self.buffered_bytes = 0

    def refuse(self, refusal: Refusal) -> None:
        """Refuse a request that is not complete, and end the connection."""
        if self.refused:
            return
        self.refused = True
        self.receiving_since = math.inf
        self.release_body()
        answer = refusal_answer(refusal)
        transport = cast(Transport, self.transport)
        transport.write(_serialize(answer, self.factory.next_request_id()))
        transport.loseWriteConnection()
        self.factory.on_refused(refusal)
        self.factory.clock.callLater(LINGER_S, self._abort_if_open)

    def refuse_incomplete(self, refusal: Refusal) -> None:
        """Refuse a request that is still being received, if any."""
        if self.receiving_since != math.inf:
            self.refuse(refusal)

    def check_timeouts(self, now: float) -> None:
        """Refuse a caller that sends too slowly, and close a connection that is idle.

        A caller could keep a connection busy forever with single bytes, so the time of the whole
        request is limited, counted from its first byte.
        """
        if now - self.receiving_since > self.factory.limits.receive_s:
            self.refuse(self._timeout_refusal())
        elif self.receiving_since == math.inf and now - self.idle_since > self.factory.idle_s:
            self.loseConnection()

    def _timeout_refusal(self) -> Refusal:
        # A slow repeat of a booking that was run must not be refused as "not run": its caller would
        # book again. Only a request that certainly has no key may be refused so.
        unkeyed = self.head_received and not self._has_key()
        return Refusal(Code.CALLER_TOO_SLOW if unkeyed else Code.NOT_READ, "not sent in time")

    def _has_key(self) -> bool:
        return bool(self.requests) and self.requests[-1].requestHeaders.hasHeader(IDEMPOTENCY_KEY)

    def abort(self) -> None:
        """Reset the connection."""
        cast(Transport, self.transport).abortConnection()

    def _abort_if_open(self) -> None:
        if self in self.factory.channels:
            self.abort()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Refuse with a result code, which Twisted's own 400 answer lacks."""
        too_large = self._receivedHeaderSize > self.totalHeadersSize
        too_many = self._receivedHeaderCount > self.maxHeaders
        code = Code.HEADERS_TOO_LARGE if too_large or too_many else Code.BAD_REQUEST
        self.refuse(Refusal(code))


class ChannelFactory(protocol.ServerFactory):
    """Creates and monitors the connections of one listening port.

    Attributes
    ----------
    buffered_bytes : int
        Size of the request bodies in memory.
    max_buffered_bytes : int
        Limit of that size.
    idle_s : float
        Maximum time in seconds that a connection may be open without a request.
    closing : bool
        Whether each connection ends after its current answer.
    """

    def __init__(
        self,
        clock: ChannelClock,
        limits: LimitSettings,
        build_request: Callable[[HTTPChannel, object], object],
        next_request_id: Callable[[], str],
        on_refused: Callable[[Refusal], None],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.build_request = build_request
        self.next_request_id = next_request_id
        self.on_refused = on_refused
        self.channels: set[CallerChannel] = set()
        self.buffered_bytes = 0
        self.max_buffered_bytes = 64 * limits.body_bytes
        self.closing = False
        self.idle_s = IDLE_TIMEOUT_S
        self._sweeping = False

    def buildProtocol(self, addr: IAddress | None) -> CallerChannel:  # noqa: N802
        """Return the protocol of a new connection."""
        return CallerChannel(self)

    def startFactory(self) -> None:  # noqa: N802
        """Start the periodic checks of connections."""
        self._sweeping = True
        self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)

    def stopFactory(self) -> None:  # noqa: N802
        """Do nothing when the port is closed: open connections are still checked."""

    def log(self, request: object) -> None:
        """Do not write Twisted's access log, which has a line for each request."""

    def close_idle(self) -> None:
        """Close connections without an open request, and the others after their answer."""
        self.closing = True
        for channel in list(self.channels):
            if not channel.requests and channel.receiving_since == math.inf:
                channel.loseConnection()

    @property
    def receiving(self) -> int:
        """Number of requests that are being received."""
        return sum(channel.receiving_since != math.inf for channel in self.channels)

    def stop_sweeping(self) -> None:
        """Stop the periodic checks once no connection is open."""
        self._sweeping = False

    def _sweep(self) -> None:
        if not self._sweeping and not self.channels:
            return
        now = self.clock.seconds()
        for channel in list(self.channels):
            channel.check_timeouts(now)
        self.clock.callLater(SWEEP_INTERVAL_S, self._sweep)


def _serialize(answer: Answer, request_id: str) -> bytes:
    lines = [b"HTTP/1.1 %d Refused" % answer.status]
    lines += [name + b": " + value for name, value in answer.headers]
    lines.append(b"Briarspur-Request-Id: " + request_id.encode())
    lines.append(b"Content-Length: %d" % len(answer.body))
    lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + answer.body
