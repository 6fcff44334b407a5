"""HTTP client that sends requests to backend servers and other entries and reads the answers.

The failure of an attempt decides whether the request may be sent again. It is
:attr:`Failure.NOT_SENT` only if the attempt was never given a connection, so that no byte of the
request can have reached a transport.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Protocol, cast

from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.interfaces import IReactorTCP, IStreamClientEndpoint
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure as TwistedFailure
from twisted.web._newclient import HTTP11ClientProtocol, RequestNotSent
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from briarspur.answerhead import AnswerHead
from briarspur.endpoints import IPEndpointFactory
from briarspur.messages import Failure

__all__ = ["AnswerHead", "Attempt", "AttemptError", "AttemptEvents", "BackendClient", "Outgoing"]

CONNECT_TIMEOUT_S = 1.0
IDLE_LIFETIME_S = 20
"""How long an idle connection is kept; short, so that backend servers seldom close it first."""
MAX_IDLE_CONNECTIONS = 350
"""Per host and port. Open connections are limited by :attr:`Outgoing.max_open`."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request to send.

    Attributes
    ----------
    uri : bytes
        Path and query.
    max_open : int
        Maximum of concurrent requests to this host and port.
    """

    host: str
    port: int
    method: bytes
    uri: bytes
    headers: Headers
    body: bytes
    max_open: int


@dataclass(frozen=True, slots=True)
class AttemptError:
    """How an attempt failed.

    Attributes
    ----------
    crashed : bool
        The connection was refused, or was lost as if the receiver had crashed.
    """

    failure: Failure
    detail: str
    crashed: bool = False


class AttemptEvents(Protocol):
    """Receiver of the events of an attempt; none follows the end, a failure or a cancel."""

    def head_received(self, head: AnswerHead) -> None:
        """Handle the head; the body stays unread until ``Attempt.start_body``."""

    def data_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def body_ended(self) -> None:
        """Handle the end of a complete body."""

    def attempt_failed(self, failed: AttemptError) -> None:
        """Handle a failure: there will be no complete answer."""


class Response(Protocol):
    """The part of Twisted's response that is used here."""

    code: int
    headers: Headers
    length: int | str

    def deliverBody(self, protocol: TwistedProtocol) -> None:  # noqa: N802
        """Deliver the body to ``protocol``."""


class BodyTransport(Protocol):
    """The transport of a body that is being read."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection."""


class Consumer(Protocol):
    """The transport to which a request body is written."""

    def write(self, data: bytes) -> None:
        """Write a part of the body."""


class BackendClient:
    """Sends requests over persistent connections, of which there is one pool per client.

    Parameters
    ----------
    reactor : IReactorTCP
        The reactor of the process.
    connect_timeout : float
        Seconds to wait for a connection.
    source : str or None
        IP address to connect from.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        connect_timeout: float = CONNECT_TIMEOUT_S,
        source: str | None = None,
    ) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        # By default, Twisted resends a GET, HEAD or DELETE when a persistent connection is lost
        # before an answer. The core would count one dispatch where there were two, so the retry
        # budget, the crash count of the request and the at-most-once guarantee would be wrong, and
        # no log would show it. Instead, report each lost connection to the core, which alone
        # decides on a retry.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_LIFETIME_S
        self._endpoints = IPEndpointFactory(reactor, connect_timeout, source)
        self._open_by_address: Counter[tuple[str, int]] = Counter()

    def send(self, outgoing: Outgoing, events: AttemptEvents) -> "Attempt":
        """Send a request; ``events`` may receive a failure before this returns."""
        address = (outgoing.host, outgoing.port)
        attempt = Attempt(events, lambda: self._closed(address))
        self._open_by_address[address] += 1
        if self._open_by_address[address] > outgoing.max_open:
            attempt.fail(AttemptError(Failure.NOT_SENT, "the target's connections are used up"))
            return attempt
        attempt.wait_for_head(self._request(outgoing, attempt))
        return attempt

    def open_requests(self) -> int:
        """Return the number of open requests."""
        return self._open_by_address.total()

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return cast("Deferred[None]", self._pool.closeCachedConnections())

    def _request(self, outgoing: Outgoing, attempt: "Attempt") -> Deferred[Response]:
        pool = cast(HTTPConnectionPool, _HandoverPool(self._pool, attempt))
        agent = Agent.usingEndpointFactory(self._reactor, self._endpoints, pool)
        host = f"[{outgoing.host}]" if ":" in outgoing.host else outgoing.host
        uri = f"http://{host}:{outgoing.port}".encode() + outgoing.uri
        body = _BufferedBody(outgoing.body) if outgoing.body else None
        waiting = agent.request(outgoing.method, uri, outgoing.headers, body)
        return cast("Deferred[Response]", waiting)

    def _closed(self, address: tuple[str, int]) -> None:
        self._open_by_address[address] -= 1
        if not self._open_by_address[address]:
            del self._open_by_address[address]


class Attempt(TwistedProtocol):
    """Sends a request once and reads its answer.

    Attributes
    ----------
    handed_over : bool
        The request was given a connection, so bytes of it may have left this process.
    """

    def __init__(self, events: AttemptEvents, on_closed: "_Callback") -> None:
        self._events: AttemptEvents | None = events
        self._on_closed = on_closed
        self._pending: Deferred[Response] | None = None
        self._response: Response | None = None
        self._length: int | None = None
        self._received = 0
        self._reading = False
        self.handed_over = False

    def wait_for_head(self, pending: Deferred[Response]) -> None:
        """Wait for the answer's head."""
        self._pending = pending
        pending.addCallbacks(self._head_arrived, self._head_failed)

    def start_body(self) -> None:
        """Read the body; parts may arrive before this returns."""
        assert self._response is not None
        self._reading = True
        self._response.deliverBody(self)

    def pause(self) -> None:
        """Stop reading the body; TCP flow control then makes the sender wait."""
        if self._reading and self._events is not None:
            self._body_transport().pauseProducing()

    def resume(self) -> None:
        """Resume reading the body."""
        if self._reading and self._events is not None:
            self._body_transport().resumeProducing()

    def cancel(self) -> None:
        """Cancel the attempt and close its connection; no event follows."""
        if self._events is None:
            return
        self._close()
        if self._response is None:
            if self._pending is not None:
                self._pending.cancel()
            return
        if not self._reading:
            # The transport is paused until the body is read. If it stayed paused, it would never
            # notice that its peer closes, and the socket would leak.
            self._response.deliverBody(self)
        self._body_transport().loseConnection()

    def discard_body(self) -> None:
        """End the attempt without an event, but read its body to keep the connection usable."""
        self._close()
        if self._response is not None:
            self._response.deliverBody(self)

    def fail(self, failed: AttemptError) -> None:
        """End the attempt with a failure, once."""
        events = self._events
        self._close()
        if events is not None:
            events.attempt_failed(failed)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Receive a part of the body from Twisted."""
        if self._events is None:
            return
        self._received += len(data)
        self._events.data_received(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Handle the end of the body; unless it is known to be complete, the attempt fails."""
        events = self._events
        if events is None:
            return
        if reason.check(ResponseDone) and self._length in (None, self._received):
            self._close()
            events.body_ended()
            return
        # A body that is delimited only by the end of its connection can't be distinguished from a
        # truncated one, so it counts as truncated: a caller must never regard half of a chart
        # pack as a complete one.
        detail = "no length" if reason.check(PotentialDataLoss) else _reason(reason)
        crashed = not reason.check(PotentialDataLoss)
        self.fail(AttemptError(Failure.CUT_SHORT, detail, crashed))

    def _body_transport(self) -> BodyTransport:
        return cast(BodyTransport, self.transport)

    def _head_arrived(self, response: Response) -> None:
        self._response = response
        if self._events is None:
            return
        self._length = response.length if isinstance(response.length, int) else None
        self._events.head_received(AnswerHead(response.code, response.headers, self._length))

    def _head_failed(self, reason: TwistedFailure) -> None:
        if self._events is None:
            return
        if reason.check(RequestNotSent) or not self.handed_over:
            refused = bool(reason.check(error.ConnectionRefusedError))
            self.fail(AttemptError(Failure.NOT_SENT, _reason(reason), refused))
            return
        cancelled = reason.check(CancelledError)
        self.fail(AttemptError(Failure.LOST, _reason(reason), crashed=not cancelled))

    def _close(self) -> None:
        """End the attempt, once.

        Drop the reference to the receiver of events. It refers to this attempt too, and such a
        cycle would stay in memory until a garbage collection, during which every caller waits.
        """
        if self._events is None:
            return
        self._events = None
        self._on_closed()


class _Callback(Protocol):
    def __call__(self) -> None: ...


class _HandoverPool:
    """Wrapper of the pool for one attempt that records when the request is given a connection.

    From then on the request may have been run, however the connection fails. If it were reported as
    not sent, a booking could be sent twice. The handover is recorded before Twisted writes the
    first byte, so there is no gap between the two.
    """

    persistent = True

    def __init__(self, pool: HTTPConnectionPool, attempt: Attempt) -> None:
        self._pool = pool
        self._attempt = attempt

    def getConnection(  # noqa: N802
        self, key: object, endpoint: IStreamClientEndpoint
    ) -> Deferred[HTTP11ClientProtocol]:
        """Return an idle or a new connection."""
        waiting = self._pool.getConnection(key, endpoint)
        return waiting.addCallback(self._record_handover)

    def _record_handover(self, connection: HTTP11ClientProtocol) -> HTTP11ClientProtocol:
        self._attempt.handed_over = True
        return connection


@implementer(IBodyProducer)
class _BufferedBody:
    """Produces a request body that is completely in memory."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Consumer) -> Deferred[None]:  # noqa: N802
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


def _reason(reason: TwistedFailure) -> str:
    """Return the class names of the errors that Twisted wraps, or of the error itself."""
    inner = getattr(reason.value, "reasons", None)
    if inner:
        return ", ".join(type(item.value).__name__ for item in inner)
    return type(reason.value).__name__
