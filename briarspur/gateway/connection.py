"""A persistent HTTP connection to a backend server and the parser of its responses."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import HTTPClientParser
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH

from briarspur.answerhead import AnswerHead

__all__ = ["ConnectionOwner", "ExpectedResponse", "ResponseSink", "TargetConnection"]

HEAD_METHOD = b"HEAD"
MAX_HEAD_BYTES = 65_536
"""Largest size of a response's head, interim responses included. A head without end would be read
until the request's deadline."""

MAX_DISCARDED_BYTES = 262_144
"""Largest size of other requests' responses that are read before the one to the pending request."""


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """Identifies the response to a request.

    Attributes
    ----------
    method : bytes
        Method of the request.
    matches : callable
        Returns whether response headers have the id of this request; None if they have no id.
    needs_id : bool
        Whether responses without an id may belong to other requests.
    accepts_without_id : callable
        Returns whether such a response over a used connection is taken all the same.
    """

    method: bytes
    matches: Callable[[Headers], bool | None]
    needs_id: bool = True
    accepts_without_id: Callable[[AnswerHead], bool] = lambda head: False


class ResponseSink(Protocol):
    """Receives a response; ``response_complete`` or ``response_failed`` is the last call."""

    def response_unidentified(self) -> None:
        """Handle a response that is discarded, since it may belong to another request."""

    def response_started(self, head: AnswerHead) -> None:
        """Handle the status and headers."""

    def data_received(self, data: bytes) -> None:
        """Handle a chunk of the body."""

    def response_complete(self) -> None:
        """Handle the end of a complete response."""

    def response_failed(self, reason: str) -> None:
        """Handle a response that was not received completely."""


class ConnectionOwner(Protocol):
    """Manages idle connections."""

    def connection_idle(self, connection: "TargetConnection") -> None:
        """Keep a connection that can be reused."""

    def connection_closed(self, connection: "TargetConnection") -> None:
        """Forget a closed connection."""

    def id_missing(self, address: tuple[str, int]) -> None:
        """Record that a response of a server had no request id."""


class TargetConnection(TwistedProtocol):
    """Sends one request at a time.

    Bytes received while no request is pending close the connection. A duplicate response to an
    earlier request, which some servers send late, is read and discarded: otherwise it would be
    regarded as the response to the pending request and delivered to the wrong caller. So is a
    response without a request id, unless it is the first one over the connection, which is then
    not used again.

    Attributes
    ----------
    idle_since : float
        When the last response ended, on the owner's clock.
    keep_alive_s : float or None
        Seconds for which the server keeps an idle connection open, if its response specified it.
    used : int
        Number of requests sent.
    """

    def __init__(self, owner: ConnectionOwner, address: tuple[str, int]) -> None:
        self.owner = owner
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.used = 0
        self.closed = False
        self._sink: ResponseSink | None = None
        self._expected: ExpectedResponse | None = None
        self._parser: _ResponseParser | None = None
        self._discarded_bytes = 0

    @property
    def busy(self) -> bool:
        """Whether a response is pending."""
        return self._sink is not None

    def send(self, request: bytes, expected: ExpectedResponse, sink: ResponseSink) -> None:
        """Send a request and pass its response to ``sink``."""
        assert self._sink is None and not self.closed
        self._sink = sink
        self._expected = expected
        self._parser = self._new_parser(is_first=not self.used)
        self._discarded_bytes = 0
        self.used += 1
        self._transport.write(request)

    def abort(self) -> None:
        """Close immediately, without further calls to the sink.

        Most servers cancel a request whose connection closes, so this also stops the work for a
        caller that has disconnected.
        """
        self._sink = None
        if not self.closed:
            self._transport.abortConnection()

    def pause(self) -> None:
        """Stop reading."""
        if not self.closed:
            self._transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        if not self.closed:
            self._transport.resumeProducing()

    @property
    def _transport(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small writes are sent immediately."""
        self._transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a chunk of a response."""
        while data and not self.closed:
            parser = self._parser
            if parser is None or self._sink is None:
                # No request is pending: bytes after a complete response, or a duplicate of it.
                self._transport.abortConnection()
                return
            try:
                parser.dataReceived(data)
            except Exception as error:
                # After any parse error, nothing else on this connection can be trusted.
                self._fail(f"invalid HTTP response: {type(error).__name__}")
                return
            if parser.mismatched:
                self._discarded_bytes += len(data) - len(parser.remaining)
                if self._discarded_bytes > MAX_DISCARDED_BYTES:
                    self._fail("responses to other requests are too long")
                    return
            if not parser.done:
                return
            data = parser.remaining
            self._response_parsed(parser, bool(data))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the pending response; one without a length is complete when the server closes."""
        self.closed = True
        self.owner.connection_closed(self)
        sink, parser = self._sink, self._parser
        self._sink = None
        if sink is None:
            return
        if parser is not None and parser.ends_on_close and reason.check(ConnectionDone):
            sink.response_complete()
        else:
            sink.response_failed(type(reason.value).__name__)

    def _new_parser(self, is_first: bool = False) -> "_ResponseParser":
        assert self._expected is not None
        parser = _ResponseParser(self._expected, is_first, self._head_parsed, self._data_parsed)
        parser.makeConnection(_ParserTransport())
        return parser

    def _head_parsed(self, head: AnswerHead, keep_alive_s: float | None) -> None:
        self.keep_alive_s = keep_alive_s if keep_alive_s is not None else self.keep_alive_s
        if self._sink is not None:
            self._sink.response_started(head)

    def _data_parsed(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.data_received(data)

    def _response_parsed(self, parser: "_ResponseParser", has_extra_bytes: bool) -> None:
        if parser.lacks_id:
            self.owner.id_missing(self.address)
        if parser.mismatched:
            if parser.closes_connection:
                self._fail("connection closed after a response to another request")
                return
            self._parser = self._new_parser()
            if parser.lacks_id and self._sink is not None:
                self._sink.response_unidentified()
            return
        sink, self._sink, self._parser = self._sink, None, None
        if sink is None or parser.closes_connection or has_extra_bytes or parser.lacks_id:
            self._transport.abortConnection()
        else:
            # The last chunk may have filled the buffers of a slow caller, whose flow then paused
            # this connection.
            self.resume()
            self.owner.connection_idle(self)
        if sink is not None:
            sink.response_complete()

    def _fail(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        self._transport.abortConnection()
        if sink is not None:
            sink.response_failed(reason)


class _ParserTransport:
    """Transport of the parser: it must not pause the connection, which controls its own reading."""

    disconnecting = False

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def loseConnection(self) -> None:  # noqa: N802
        pass


class _ResponseParser(HTTPClientParser):
    """Parses one response.

    Attributes
    ----------
    mismatched : bool
        The response belongs to another request, or may do so.
    lacks_id : bool
        The response has no request id, although it needs one.
    remaining : bytes
        Bytes received after the end of the response.
    """

    def __init__(
        self,
        expected: ExpectedResponse,
        is_first: bool,
        on_head: Callable[[AnswerHead, float | None], None],
        on_data: Callable[[bytes], None],
    ) -> None:
        super().__init__(expected, self._on_finished)
        self._expected = expected
        self._is_first = is_first
        self._on_head = on_head
        self._on_data = on_data
        self.mismatched = False
        self.lacks_id = False
        self.done = False
        self.remaining = b""
        self._head_delivered = False
        self._head_bytes = 0

    @property
    def closes_connection(self) -> bool:
        """Whether the server closes the connection after this response."""
        values = self.connHeaders.getRawHeaders(b"connection") or []
        return self.response.version < (b"HTTP", 1, 1) or any(
            b"close" in value.lower() for value in values
        )

    @property
    def ends_on_close(self) -> bool:
        """Whether the body being read ends when the connection closes."""
        return (
            self._head_delivered
            and not self.done
            and not self.mismatched
            and self.response.length is UNKNOWN_LENGTH
            and not self.connHeaders.hasHeader(b"transfer-encoding")
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a chunk; raise an error if the head is too long."""
        self._head_bytes += len(data)
        super().dataReceived(data)
        if not self._head_delivered and self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("the head is too long")

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Raise an error: by default, the line would be dropped and the rest parsed."""
        raise ValueError("a line is too long")

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Deliver the headers before the body, unless the response is another request's."""
        status = self.response.code
        if status >= 200:
            matches = self._expected.matches(self.headers)
            self.lacks_id = matches is None and self._expected.needs_id
            self.mismatched = matches is False or (self.lacks_id and not self._is_accepted(status))
            self.response.deliverBody(cast(Any, _BodyProtocol(self)))
            self._head_delivered = True
            if not self.mismatched:
                self._on_head(self._head(status), self._keep_alive_s())
        super().allHeadersReceived()

    def _is_accepted(self, status: int) -> bool:
        return self._is_first or self._expected.accepts_without_id(self._head(status))

    def body_data(self, data: bytes) -> None:
        """Deliver a chunk of the body."""
        if not self.mismatched:
            self._on_data(data)

    def _head(self, status: int) -> AnswerHead:
        return AnswerHead(status, self.headers, self._length(status))

    def _length(self, status: int) -> int | None:
        if status in self.NO_BODY_CODES or self._expected.method == HEAD_METHOD:
            return 0
        if self.connHeaders.hasHeader(b"transfer-encoding"):
            return None
        values = self.connHeaders.getRawHeaders(b"content-length")
        return int(values[0]) if values else None

    def _keep_alive_s(self) -> float | None:
        for value in self.connHeaders.getRawHeaders(b"keep-alive") or []:
            for part in value.split(b","):
                name, _, number = part.partition(b"=")
                if name.strip().lower() == b"timeout" and number.strip().isdigit():
                    return float(number)
        return None

    def _on_finished(self, remaining: bytes) -> None:
        self.done = True
        self.remaining = remaining


class _BodyProtocol(TwistedProtocol):
    def __init__(self, parser: _ResponseParser) -> None:
        self._parser = parser

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.body_data(data)
