"""One kept HTTP connection to a backend server, and the answers that come over it."""

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

__all__ = ["ResponseSink", "ConnectionOwner", "ExpectedResponse", "TargetConnection"]

HEAD_METHOD = b"HEAD"


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """The request whose answer is awaited.

    Attributes
    ----------
    belongs : callable
        Tells from the headers of an answer whether it is the one to this request.
    """

    method: bytes
    belongs: Callable[[Headers], bool]


class ResponseSink(Protocol):
    """Who takes an answer; nothing follows ``response_complete`` or ``response_failed``."""

    def response_started(self, head: AnswerHead) -> None:
        """Take the head."""

    def data_received(self, data: bytes) -> None:
        """Take a part of the body."""

    def response_complete(self) -> None:
        """Note that the body is whole."""

    def response_failed(self, reason: str) -> None:
        """Note that no whole answer will come."""


class ConnectionOwner(Protocol):
    """Who keeps idle connections."""

    def connection_idle(self, connection: "TargetConnection") -> None:
        """Take a connection that can be used again."""

    def connection_closed(self, connection: "TargetConnection") -> None:
        """Drop a connection."""


class TargetConnection(TwistedProtocol):
    """Sends one request at a time.

    Bytes that belong to no request end the connection. An answer to an earlier request, which some
    servers send twice and late, is read and dropped: it would otherwise be taken for the answer to
    the request that waits now, and one caller would get what another one asked for.

    Attributes
    ----------
    idle_since : float
        When the last answer ended, on the owner's clock.
    keeps_for : float or None
        Seconds for which the server keeps an idle connection, if it said so.
    """

    def __init__(self, owner: ConnectionOwner, address: tuple[str, int]) -> None:
        self.owner = owner
        self.address = address
        self.idle_since = 0.0
        self.keeps_for: float | None = None
        self.used = 0
        self.closed = False
        self._sink: ResponseSink | None = None
        self._expected: ExpectedResponse | None = None
        self._parser: _AnswerParser | None = None

    @property
    def busy(self) -> bool:
        """Whether an answer is awaited."""
        return self._sink is not None

    def send(self, request: bytes, expected: ExpectedResponse, sink: ResponseSink) -> None:
        """Send a request; its answer goes to ``sink``."""
        assert self._sink is None and not self.closed
        self._sink = sink
        self._expected = expected
        self._parser = self._new_parser()
        self.used += 1
        self._transport.write(request)

    def abort(self) -> None:
        """Close at once; the sink hears no more.

        Most servers drop a request whose connection closes, so this also ends work for a caller
        that has gone.
        """
        self._sink = None
        if not self.closed:
            self._transport.abortConnection()

    def pause(self) -> None:
        """Stop reading."""
        if not self.closed:
            self._transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        if not self.closed:
            self._transport.resumeProducing()

    @property
    def _transport(self) -> Any:
        return self.transport

    def connectionMade(self) -> None:  # noqa: N802
        """Send small writes at once."""
        self._transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of an answer."""
        while data and not self.closed:
            parser = self._parser
            if parser is None or self._sink is None:
                # Nothing was asked: bytes after a whole answer, or a second answer to it.
                self._transport.abortConnection()
                return
            try:
                parser.dataReceived(data)
            except Exception as error:
                # Whatever the parser objects to, the rest of this connection can't be trusted.
                self._break(f"not an HTTP answer: {type(error).__name__}")
                return
            if not parser.done:
                return
            data = parser.rest
            self._answer_read(parser, bool(data))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Settle the open answer: one without a length ends with its connection."""
        self.closed = True
        self.owner.connection_closed(self)
        sink, parser = self._sink, self._parser
        self._sink = None
        if sink is None:
            return
        if parser is not None and parser.ends_with_connection and reason.check(ConnectionDone):
            sink.response_complete()
        else:
            sink.response_failed(type(reason.value).__name__)

    def _new_parser(self) -> "_AnswerParser":
        assert self._expected is not None
        parser = _AnswerParser(self._expected, self._head_read, self._data_read)
        parser.makeConnection(_ParserTransport())
        return parser

    def _head_read(self, head: AnswerHead, kept: float | None) -> None:
        self.keeps_for = kept if kept is not None else self.keeps_for
        if self._sink is not None:
            self._sink.response_started(head)

    def _data_read(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.data_received(data)

    def _answer_read(self, parser: "_AnswerParser", more: bool) -> None:
        if parser.foreign:
            if parser.closes:
                self._break("closed after a foreign answer")
                return
            self._parser = self._new_parser()
            return
        sink, self._sink, self._parser = self._sink, None, None
        if parser.closes or more:
            self._transport.abortConnection()
        else:
            self.owner.connection_idle(self)
        if sink is not None:
            sink.response_complete()

    def _break(self, reason: str) -> None:
        sink, self._sink = self._sink, None
        self._transport.abortConnection()
        if sink is not None:
            sink.response_failed(reason)


class _ParserTransport:
    """The parser's transport: it may not pause the connection, which reads on by itself."""

    disconnecting = False

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def loseConnection(self) -> None:  # noqa: N802
        pass


class _AnswerParser(HTTPClientParser):
    """Twisted's parser for one answer."""

    def __init__(
        self,
        expected: ExpectedResponse,
        on_head: Callable[[AnswerHead, float | None], None],
        on_data: Callable[[bytes], None],
    ) -> None:
        super().__init__(expected, self._finished_reading)
        self._expected = expected
        self._on_head = on_head
        self._on_data = on_data
        self.foreign = False
        self.done = False
        self.rest = b""
        self._head_passed = False

    @property
    def closes(self) -> bool:
        """Whether the server closes the connection after this answer."""
        values = self.connHeaders.getRawHeaders(b"connection") or []
        return self.response.version < (b"HTTP", 1, 1) or any(
            b"close" in value.lower() for value in values
        )

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has no length and is being read."""
        return (
            self._head_passed
            and not self.done
            and not self.foreign
            and self.response.length is UNKNOWN_LENGTH
            and not self.connHeaders.hasHeader(b"transfer-encoding")
        )

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Pass the head on before the body, unless the answer is another request's."""
        status = self.response.code
        if status >= 200:
            self.foreign = not self._expected.belongs(self.headers)
            self.response.deliverBody(cast(Any, _BodyReader(self)))
            self._head_passed = True
            if not self.foreign:
                self._on_head(self._head(status), self._kept_for())
        super().allHeadersReceived()

    def body_data(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self.foreign:
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

    def _kept_for(self) -> float | None:
        for value in self.connHeaders.getRawHeaders(b"keep-alive") or []:
            for part in value.split(b","):
                name, _, number = part.partition(b"=")
                if name.strip().lower() == b"timeout" and number.strip().isdigit():
                    return float(number)
        return None

    def _finished_reading(self, rest: bytes) -> None:
        self.done = True
        self.rest = rest


class _BodyReader(TwistedProtocol):
    def __init__(self, parser: _AnswerParser) -> None:
        self._parser = parser

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.body_data(data)
