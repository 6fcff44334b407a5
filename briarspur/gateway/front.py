"""The HTTP server for callers' requests."""

import json
from collections.abc import Iterable
from typing import Protocol, cast

from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel

from briarspur.answerhead import AnswerHead
from briarspur.bufferedrequest import BufferedRequest, Flow, FlowProducer
from briarspur.channel import CallerChannel, ChannelClock, ChannelFactory
from briarspur.codes import CODES
from briarspur.gateway.configuration import Limits
from briarspur.gateway.exchange import Exchange
from briarspur.gateway.sending import IncomingRequest
from briarspur.gateway.work import Refused
from briarspur.limitsettings import LimitSettings
from briarspur.refusal import Refusal

__all__ = ["Front", "RequestTaker"]

NO_BODY = frozenset({204, 304})
LEAST_HEADER_BYTES = 1_024
MOST_BODY_BYTES = 67_108_864
IDLE_MARGIN = 2.0
"""Seconds beyond the configured idle time before we close a connection, so that a request sent just
within that time does not meet the close."""
BODY_TIME = 20.0
"""Seconds for a request's body beside the time for its headers: 10 MB from a caller at 5 Mbit/s."""
HELD_SHARE = 0.3
"""Share of the process's memory that request bodies may take."""


class RequestTaker(Protocol):
    """Who carries requests."""

    def take(self, request: IncomingRequest, caller: "FrontRequest") -> Exchange | None:
        """Carry a request; None if it was answered at once."""

    def refused_unread(self, refusal: Refusal) -> None:
        """Count and log a request that was refused before it came whole."""


class Front:
    """Makes the connections of callers and bounds what they may cost.

    Parameters
    ----------
    memory : float
        Bytes that the process may use.
    connections : int
        Callers' connections that may be open.
    """

    def __init__(
        self, clock: ChannelClock, taker: RequestTaker, memory: float, connections: int
    ) -> None:
        self._taker = taker
        self._connections = connections
        self.factory = ChannelFactory(
            clock, self._limits(Limits()), self._make, lambda: "", taker.refused_unread
        )
        self.factory.max_buffered_bytes = int(memory * HELD_SHARE)

    def limits_changed(self, limits: Limits) -> None:
        """Take the limits of a configuration, for connections made from now on."""
        self.factory.limits = self._limits(limits)
        self.factory.idle_s = limits.idle_s + IDLE_MARGIN

    def leave(self) -> None:
        """Let each connection end after the answer it waits for, and close the idle ones."""
        self.factory.close_idle()

    def _limits(self, limits: Limits) -> LimitSettings:
        return LimitSettings(
            header_bytes=max(LEAST_HEADER_BYTES, limits.header_bytes),
            body_bytes=min(MOST_BODY_BYTES, max(LEAST_HEADER_BYTES, limits.body_bytes)),
            receive_s=max(0.1, limits.header_s) + BODY_TIME,
            callers=self._connections,
        )

    def _make(self, channel: HTTPChannel, queued: object) -> "FrontRequest":
        return FrontRequest(channel, self._taker)


class FrontRequest(BufferedRequest):
    """One request of a caller; implements :class:`briarspur.gateway.exchange.Caller`."""

    def __init__(self, channel: HTTPChannel, taker: RequestTaker) -> None:
        super().__init__(channel)
        self._taker = taker
        self._exchange: Exchange | None = None

    def process(self) -> None:
        """Hand the whole request over."""
        request = IncomingRequest(self.method, self.uri, self.requestHeaders, self.pop_body())
        self._exchange = self._taker.take(request, self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Tell the exchange that nobody waits any more."""
        super().connectionLost(reason)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.caller_gone()

    def begin(self, head: AnswerHead, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Send the head of an answer."""
        self.setResponseCode(head.status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if head.length is not None and self.method != b"HEAD" and head.status not in NO_BODY:
            self.setHeader(b"content-length", b"%d" % head.length)
        self._say_close()

    def follow(self, flow: Flow) -> None:
        """Slow the flow of the body while the caller does not read."""
        self.registerProducer(FlowProducer(flow), True)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._disconnected and not self.finished:
            super().write(data)

    def end(self) -> None:
        """End the answer."""
        self._exchange = None
        if self._disconnected or self.finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.finish()

    def refuse(self, refusal: Refusal | Refused) -> None:
        """Send a final answer of our own."""
        if self._disconnected or self.finished:
            return
        info = CODES[refusal.code]
        document = {"code": int(refusal.code), "error": refusal.code.name, "ran": info.ran.value}
        body = json.dumps(document).encode() + b"\n"
        self.setResponseCode(info.http_status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", b"%d" % len(body))
        if refusal.retry_after is not None:
            self.setHeader(b"retry-after", b"%.3f" % refusal.retry_after)
        self._say_close()
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Cut the connection with a reset."""
        self._exchange = None
        if self.producer is not None:
            self.unregisterProducer()
        if not self._disconnected:
            cast(CallerChannel, self.channel).abort()

    def _say_close(self) -> None:
        """Tell the caller that the connection ends if this process is leaving."""
        channel = cast(CallerChannel, self.channel)
        if channel.factory.closing:
            channel.persistent = 0
            self.setHeader(b"connection", b"close")
