"""The client side: sends one request to a backend server or another entry, and reads its answer.

What is known of an attempt that fails decides whether the request may be sent again. It is
:attr:`Failure.NOT_SENT` only if no connection was handed to the attempt, so that no byte of the
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

CONNECT_TIMEOUT = 1.0
"""Seconds to wait for a connection."""
KEPT_CONNECTION_LIFETIME = 20
"""Seconds an idle connection is kept; short, so that backend servers seldom close it first."""
MOST_KEPT = 350
"""Idle connections kept to one target; the bound on open ones comes with each request."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it is sent.

    Attributes
    ----------
    uri : bytes
        Path and query.
    most_open : int
        Requests that may be open to this host and port at once.
    """

    host: str
    port: int
    method: bytes
    uri: bytes
    headers: Headers
    body: bytes
    most_open: int


@dataclass(frozen=True, slots=True)
class AttemptError:
    """How an attempt failed.

    Attributes
    ----------
    crashed : bool
        The connection was refused or broke in a way that looks like a crash of the receiver.
    """

    failure: Failure
    detail: str
    crashed: bool = False


class AttemptEvents(Protocol):
    """Who hears of an attempt; nothing more is said after the end, a failure or a cancel."""

    def head_received(self, head: AnswerHead) -> None:
        """Take the head; the body stays unread until ``Attempt.start_body``."""

    def data_received(self, data: bytes) -> None:
        """Take a part of the body."""

    def body_ended(self) -> None:
        """Note that the body is whole."""

    def attempt_failed(self, failed: AttemptError) -> None:
        """Note that no whole answer will come."""


class Response(Protocol):
    """The part of Twisted's answer that is used here."""

    code: int
    headers: Headers
    length: int | str

    def deliverBody(self, protocol: TwistedProtocol) -> None:  # noqa: N802
        """Give the body to ``protocol``."""


class BodyTransport(Protocol):
    """The transport of a body that is being read."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on reading."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection."""


class Consumer(Protocol):
    """What a request's body is written to."""

    def write(self, data: bytes) -> None:
        """Write a part."""


class BackendClient:
    """Sends requests over kept connections; a context of one process.

    Parameters
    ----------
    reactor : IReactorTCP
        The reactor of the one loop.
    connect_timeout : float
        Seconds to wait for a connection.
    source : str or None
        IP number to connect from.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        connect_timeout: float = CONNECT_TIMEOUT,
        source: str | None = None,
    ) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        # Twisted would send a GET, HEAD, PUT-less DELETE again by itself when a kept connection
        # breaks before an answer. The core would count one dispatch where there were two: retry
        # budget, poison count and at-most-once would all be wrong, and no log would show it.
        # Without it each break is told to the core, which alone decides on a repeat.
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MOST_KEPT
        self._pool.cachedConnectionTimeout = KEPT_CONNECTION_LIFETIME
        self._endpoints = IPEndpointFactory(reactor, connect_timeout, source)
        self._open_by_address: Counter[tuple[str, int]] = Counter()

    def send(self, outgoing: Outgoing, events: AttemptEvents) -> "Attempt":
        """Send a request; ``events`` may hear of a failure before this returns."""
        address = (outgoing.host, outgoing.port)
        attempt = Attempt(events, lambda: self._closed(address))
        self._open_by_address[address] += 1
        if self._open_by_address[address] > outgoing.most_open:
            attempt.fail(AttemptError(Failure.NOT_SENT, "the target's connections are used up"))
            return attempt
        attempt.follow(self._request(outgoing, attempt))
        return attempt

    def open_requests(self) -> int:
        """Return how many requests are open."""
        return self._open_by_address.total()

    def close(self) -> Deferred[None]:
        """Close the kept connections."""
        return cast("Deferred[None]", self._pool.closeCachedConnections())

    def _request(self, outgoing: Outgoing, attempt: "Attempt") -> Deferred[Response]:
        pool = cast(HTTPConnectionPool, _HandoverPool(self._pool, attempt))
        agent = Agent.usingEndpointFactory(self._reactor, self._endpoints, pool)
        host = f"[{outgoing.host}]" if ":" in outgoing.host else outgoing.host
        uri = f"http://{host}:{outgoing.port}".encode() + outgoing.uri
        body = _WholeBody(outgoing.body) if outgoing.body else None
        waiting = agent.request(outgoing.method, uri, outgoing.headers, body)
        return cast("Deferred[Response]", waiting)

    def _closed(self, address: tuple[str, int]) -> None:
        self._open_by_address[address] -= 1
        if not self._open_by_address[address]:
            del self._open_by_address[address]


class Attempt(TwistedProtocol):
    """One sending of a request, and the reading of its answer.

    Attributes
    ----------
    handed_over : bool
        A connection was given to the request, so bytes of it may have left this process.
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

    def follow(self, pending: Deferred[Response]) -> None:
        """Wait for the answer's head."""
        self._pending = pending
        pending.addCallbacks(self._head, self._no_head)

    def start_body(self) -> None:
        """Read the body; parts may arrive before this returns."""
        assert self._response is not None
        self._reading = True
        self._response.deliverBody(self)

    def pause(self) -> None:
        """Stop reading the body, so that the sender is slowed by its full window."""
        if self._reading and self._events is not None:
            self._body_transport().pauseProducing()

    def resume(self) -> None:
        """Go on reading the body."""
        if self._reading and self._events is not None:
            self._body_transport().resumeProducing()

    def cancel(self) -> None:
        """Give the attempt up and close its connection; no event follows."""
        if self._events is None:
            return
        self._close()
        if self._response is None:
            if self._pending is not None:
                self._pending.cancel()
            return
        if not self._reading:
            # A transport that stays paused until someone reads the body would never notice the
            # close of its peer and would leak its socket.
            self._response.deliverBody(self)
        self._body_transport().loseConnection()

    def discard_body(self) -> None:
        """Say no more of this attempt, but read its body so that the connection can be kept."""
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
        """Take a part of the body from Twisted."""
        if self._events is None:
            return
        self._received += len(data)
        self._events.data_received(data)

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Take the end of the body from Twisted; only a body known to be whole counts as ended."""
        events = self._events
        if events is None:
            return
        if reason.check(ResponseDone) and self._length in (None, self._received):
            self._close()
            events.body_ended()
            return
        # A body that only the end of its connection ends can't be told from one that was cut, so
        # it is passed on as cut: a caller must never take half a chart pack for a whole one.
        detail = "no length" if reason.check(PotentialDataLoss) else _reason(reason)
        crashed = not reason.check(PotentialDataLoss)
        self.fail(AttemptError(Failure.CUT_SHORT, detail, crashed))

    def _body_transport(self) -> BodyTransport:
        return cast(BodyTransport, self.transport)

    def _head(self, response: Response) -> None:
        self._response = response
        if self._events is None:
            return
        self._length = response.length if isinstance(response.length, int) else None
        self._events.head_received(AnswerHead(response.code, response.headers, self._length))

    def _no_head(self, reason: TwistedFailure) -> None:
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

        The listener is let go here. It holds this attempt too, and such a pair would stay in memory
        until a garbage collection, which makes every caller wait.
        """
        if self._events is None:
            return
        self._events = None
        self._on_closed()


class _Callback(Protocol):
    def __call__(self) -> None: ...


class _HandoverPool:
    """The pool as one attempt sees it: notes when a connection is given to the request.

    A request handed to a connection may have been run, however the connection then fails. If it
    were called not sent, a booking could be sent twice. Noting the handover before Twisted writes
    the first byte leaves no gap between the two.
    """

    persistent = True

    def __init__(self, pool: HTTPConnectionPool, attempt: Attempt) -> None:
        self._pool = pool
        self._attempt = attempt

    def getConnection(  # noqa: N802
        self, key: object, endpoint: IStreamClientEndpoint
    ) -> Deferred[HTTP11ClientProtocol]:
        """Return a kept or new connection."""
        waiting = self._pool.getConnection(key, endpoint)
        return waiting.addCallback(self._hand_over)

    def _hand_over(self, connection: HTTP11ClientProtocol) -> HTTP11ClientProtocol:
        self._attempt.handed_over = True
        return connection


@implementer(IBodyProducer)
class _WholeBody:
    """A request body that is in memory already."""

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
    """Return what went wrong, with the reasons that Twisted wraps."""
    inner = getattr(reason.value, "reasons", None)
    if inner:
        return ", ".join(type(item.value).__name__ for item in inner)
    return type(reason.value).__name__
