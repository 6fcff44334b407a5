"""The HTTP servers of an entry: for callers, and for requests that other entries forward."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from expression import Result
from twisted.web.http import HTTPChannel

from briarspur import logs
from briarspur.callerrequest import ReceivedRequest, RequestHandler
from briarspur.channel import ChannelClock, ChannelFactory
from briarspur.codes import Code
from briarspur.inbound import parse_forwarded, parse_lookup, parse_request
from briarspur.levels import LEVELS_PATH
from briarspur.limitsettings import LimitSettings
from briarspur.metrics import Metrics
from briarspur.refusal import Answer, Refusal

__all__ = ["EntryServer", "Lookup", "ServerSettings", "StatusPages"]

Lookup = Callable[[str, int], Result[bytes, Refusal]]
"""Answers a look-up of a service, for a block of client addresses, with a JSON document."""

LOOKUP_PATH = b"/v1/lookup"
NOT_READY_RETRY_AFTER_S = 1.0
LISTEN_BACKLOG = 1_024
LEVELS_PAGE = LEVELS_PATH.encode()
STATUS_PATHS = frozenset({b"/healthz", b"/readyz", b"/status", LEVELS_PAGE})


class StatusPages(Protocol):
    """The status pages of an entry."""

    def is_ready(self) -> bool:
        """Return whether the entry is ready for requests."""

    def status(self) -> dict[str, object]:
        """Return the fields of the status page."""

    def service_levels(self) -> dict[str, object]:
        """Return the counts of the service-level page."""


class PortAddress(Protocol):
    """The address of a listening port."""

    port: int


class ListeningPort(Protocol):
    """A port that accepts connections."""

    def getHost(self) -> PortAddress:  # noqa: N802
        """Return the address."""

    def stopListening(self) -> object:  # noqa: N802
        """Stop accepting connections."""


class PortReactor(ChannelClock, Protocol):
    """The part of Twisted's reactor used here."""

    def listenTCP(  # noqa: N802
        self, port: int, factory: ChannelFactory, backlog: int = 50, interface: str = ""
    ) -> ListeningPort:
        """Listen on a port."""


@dataclass(frozen=True, slots=True)
class ServerSettings:
    """Settings of a server.

    Attributes
    ----------
    incarnation : str
        Random id of this process, the first part of each request id.
    entry_id : str
        Id of the entry in log lines.
    """

    incarnation: str
    limits: LimitSettings
    entry_id: str = ""


class EntryServer:
    """Listens for callers and for other entries."""

    def __init__(
        self,
        reactor: "PortReactor",
        request_handler: RequestHandler,
        lookup: Lookup,
        pages: StatusPages,
        metrics: Metrics,
        settings: ServerSettings,
    ) -> None:
        self.request_handler: RequestHandler = request_handler
        self.lookup = lookup
        self.pages = pages
        self.clock: ChannelClock = reactor
        self._reactor = reactor
        self._metrics = metrics
        self._settings = settings
        self._last_number = 0
        self._ports: list[ListeningPort] = []
        self._caller_factory = self._make_factory(CallerRequest)
        self._forward_factory = self._make_factory(ForwardedRequest)

    def listen(self, host: str, caller_port: int, forward_port: int) -> tuple[int, int]:
        """Listen on both ports and return their numbers; 0 lets the system choose one."""
        for number, factory in (
            (caller_port, self._caller_factory),
            (forward_port, self._forward_factory),
        ):
            self._ports.append(self._reactor.listenTCP(number, factory, LISTEN_BACKLOG, host))
        caller, forward = (port.getHost().port for port in self._ports)
        return caller, forward

    async def close(self) -> None:
        """Stop accepting connections; open requests are still answered."""
        for port in self._ports:
            port.stopListening()
        self._ports.clear()
        for factory in (self._caller_factory, self._forward_factory):
            factory.close_idle()
            factory.stop_sweeping()

    @property
    def receiving(self) -> int:
        """Number of requests that are being received."""
        return self._caller_factory.receiving + self._forward_factory.receiving

    def next_request_id(self) -> str:
        """Return a request id that is unique among all entries."""
        self._last_number += 1
        return f"{self._settings.incarnation}-{self._last_number:x}"

    def record_refusal(self, refusal: Refusal) -> None:
        """Count and log a refusal by the server itself."""
        self._metrics.count("answers", refusal.code.name)
        code, entry = refusal.code, self._settings.entry_id
        logs.event("refused", code=int(code), code_name=code.name, entry=entry)

    def _make_factory(
        self, request_type: "type[CallerRequest | ForwardedRequest]"
    ) -> ChannelFactory:
        def make(channel: HTTPChannel, queued: object) -> ReceivedRequest:
            return request_type(channel, self)

        return ChannelFactory(
            self.clock, self._settings.limits, make, self.next_request_id, self.record_refusal
        )


class CallerRequest(ReceivedRequest):
    """A request on the port for callers."""

    def __init__(self, channel: HTTPChannel, server: EntryServer) -> None:
        super().__init__(channel, server)
        self._server = server

    def process(self) -> None:
        """Answer a look-up or a status page; pass any other request to the handler."""
        server = self._server
        self.request_id = server.next_request_id()
        path, _, query = self.uri.partition(b"?")
        if path == LOOKUP_PATH and self.method == b"GET":
            self._look_up(query)
            return
        if path in STATUS_PATHS and self.method == b"GET":
            self._show_page(path)
            return
        raw = self.build_raw()
        if raw is None:
            self.refuse(Refusal(Code.BAD_REQUEST, "the caller has no IP number"))
            return
        self.handle(raw, parse_request(raw, self.request_id, server.clock.seconds()))

    def _look_up(self, query: bytes) -> None:
        """Answer a look-up without Twisted's header objects, which would take half of its time."""
        service, block = parse_lookup(query, self.client.host)
        if block is None:
            self._refuse_lookup(Refusal(Code.BAD_REQUEST, "malformed look-up"))
            return
        found = self._server.lookup(service, block)
        if found.is_error():
            self._refuse_lookup(found.error)
            return
        body = found.ok
        close = b"" if self.channel.persistent else b"Connection: close\r\n"
        self.startedWriting = 1
        self.channel.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nBriarspur-Code: 1000\r\n"
            b"Briarspur-Request-Id: %b\r\n%bContent-Length: %d\r\n\r\n%b"
            % (self.request_id.encode(), close, len(body), body)
        )
        self.finish()

    def _refuse_lookup(self, refusal: Refusal) -> None:
        self._server.record_refusal(refusal)
        self.refuse(refusal)

    def _show_page(self, path: bytes) -> None:
        pages = self._server.pages
        if path == b"/readyz" and not pages.is_ready():
            self.refuse(Refusal(Code.NOT_READY, retry_after=NOT_READY_RETRY_AFTER_S))
            return
        document: dict[str, object] = {"ok": True}
        if path == b"/status":
            document = pages.status()
        elif path == LEVELS_PAGE:
            document = pages.service_levels()
        body = json.dumps(document).encode() + b"\n"
        self.reply(Answer(200, ((b"Content-Type", b"application/json"),), body), Code.ANSWERED)


class ForwardedRequest(ReceivedRequest):
    """A request on the port for other entries."""

    def __init__(self, channel: HTTPChannel, server: EntryServer) -> None:
        super().__init__(channel, server)
        self._server = server

    def process(self) -> None:
        """Pass the request to the handler."""
        self.request_id = self._server.next_request_id()
        raw = self.build_raw()
        if raw is None:
            self.refuse(Refusal(Code.BAD_REQUEST, "the sender has no IP number"))
            return
        self.handle(raw, parse_forwarded(raw, self._server.clock.seconds()))
