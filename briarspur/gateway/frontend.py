"""HTTP server that receives the requests of callers."""

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
from briarspur.gateway.services import IncomingRequest
from briarspur.gateway.work import Refused
from briarspur.headers import CODE
from briarspur.limitsettings import LimitSettings
from briarspur.refusal import Refusal

__all__ = ["Frontend", "RequestHandler"]

NO_BODY_STATUSES = frozenset({204, 304})
MIN_HEADER_BYTES = 1_024
MAX_BODY_BYTES = 67_108_864
IDLE_MARGIN_S = 2.0
"""Added to the configured idle timeout before a connection is closed, so that a request sent just
within the timeout is not lost."""
BODY_TIMEOUT_S = 20.0
"""Time to receive a body in addition to the headers: enough for 10 MB at 5 Mbit/s."""
MAX_BODY_MEMORY_SHARE = 0.3
"""Largest share of the process's memory used for request bodies."""


class RequestHandler(Protocol):
    """Handles complete requests."""

    def handle(self, request: IncomingRequest, caller: "FrontendRequest") -> Exchange | None:
        """Start the exchange of a request and return it, or None if already answered."""

    def refused_unread(self, refusal: Refusal) -> None:
        """Count and log a request that was refused before it was received completely."""


class Frontend:
    """Accepts the connections of callers and limits their memory and number.

    Parameters
    ----------
    memory_bytes : float
        Memory available to the process.
    max_connections : int
        Maximum number of open connections of callers.
    added_header_bytes : int
        Room for headers that other entries add to requests that they pass on.
    """

    def __init__(
        self,
        clock: ChannelClock,
        handler: RequestHandler,
        memory_bytes: float,
        max_connections: int,
        added_header_bytes: int = 0,
    ) -> None:
        self._added_header_bytes = added_header_bytes
        self._handler = handler
        self._max_connections = max_connections
        self.factory = ChannelFactory(
            clock, self._limits(Limits()), self._make_request, lambda: "", handler.refused_unread
        )
        self.factory.max_buffered_bytes = int(memory_bytes * MAX_BODY_MEMORY_SHARE)

    def apply_limits(self, limits: Limits) -> None:
        """Apply the limits of a configuration to connections made from now on."""
        self.factory.limits = self._limits(limits)
        self.factory.idle_s = limits.idle_s + IDLE_MARGIN_S

    def close_connections(self) -> None:
        """Close idle connections now and the others after their pending response."""
        self.factory.close_idle()

    @property
    def has_connections(self) -> bool:
        """Whether any connection of a caller is open."""
        return bool(self.factory.channels)

    def refuse_incomplete(self, refusal: Refusal) -> None:
        """Refuse the requests that are still being received."""
        for channel in list(self.factory.channels):
            channel.refuse_incomplete(refusal)

    def _limits(self, limits: Limits) -> LimitSettings:
        return LimitSettings(
            header_bytes=max(MIN_HEADER_BYTES, limits.header_bytes) + self._added_header_bytes,
            body_bytes=min(MAX_BODY_BYTES, max(MIN_HEADER_BYTES, limits.body_bytes)),
            receive_s=max(0.1, limits.header_s) + BODY_TIMEOUT_S,
            callers=self._max_connections,
        )

    def _make_request(self, channel: HTTPChannel, queued: object) -> "FrontendRequest":
        return FrontendRequest(channel, self._handler)


class FrontendRequest(BufferedRequest):
    """One request of a caller; implements :class:`briarspur.gateway.exchange.Caller`."""

    def __init__(self, channel: HTTPChannel, handler: RequestHandler) -> None:
        super().__init__(channel)
        self._handler = handler
        self._exchange: Exchange | None = None

    def process(self) -> None:
        """Pass the complete request to the handler."""
        request = IncomingRequest(
            self.method,
            self.uri,
            self.requestHeaders,
            self.pop_body(),
            cast(CallerChannel, self.channel).receive_s,
        )
        self._exchange = self._handler.handle(request, self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Notify the exchange that the caller has disconnected."""
        super().connectionLost(reason)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.caller_disconnected()

    def begin(self, head: AnswerHead, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Send the status and headers of a response."""
        self.setResponseCode(head.status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        if (
            head.length is not None
            and self.method != b"HEAD"
            and head.status not in NO_BODY_STATUSES
        ):
            self.setHeader(b"content-length", b"%d" % head.length)
        self._announce_close()

    def register_flow(self, flow: Flow) -> None:
        """Pause the flow of the body while the caller does not read."""
        self.registerProducer(FlowProducer(flow), True)

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if not self._disconnected and not self.finished:
            super().write(data)

    def end(self) -> None:
        """Finish the response."""
        self._exchange = None
        if self._disconnected or self.finished:
            return
        if self.producer is not None:
            self.unregisterProducer()
        self.finish()

    def refuse(self, refusal: Refusal | Refused) -> None:
        """Send a final response generated by this process."""
        if self._disconnected or self.finished:
            return
        info = CODES[refusal.code]
        document = {"code": int(refusal.code), "error": refusal.code.name, "ran": info.ran.value}
        body = json.dumps(document).encode() + b"\n"
        self.setResponseCode(info.http_status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(CODE, b"%d" % refusal.code)
        self.setHeader(b"content-length", b"%d" % len(body))
        if refusal.retry_after is not None:
            self.setHeader(b"retry-after", b"%.3f" % refusal.retry_after)
        self._announce_close()
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Reset the connection."""
        self._exchange = None
        if self._disconnected:
            return
        if self.producer is not None:
            self.unregisterProducer()
        cast(CallerChannel, self.channel).abort()

    def _announce_close(self) -> None:
        """Add ``Connection: close`` to the last response before the connection closes."""
        channel = cast(CallerChannel, self.channel)
        if channel.factory.closing and not channel.has_next_request:
            channel.persistent = 0
            self.setHeader(b"connection", b"close")
