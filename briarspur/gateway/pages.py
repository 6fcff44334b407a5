"""HTTP server of an entry's own pages: readiness, look-ups and metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet.protocol import ServerFactory
from twisted.web.http import HTTPChannel, Request

__all__ = ["Page", "PageFactory"]

IDLE_TIMEOUT_S = 30.0
"""Time for which a connection may be open without a request."""
CLOSE = (b"connection", b"close")


@dataclass(frozen=True, slots=True)
class Page:
    """The response to a request for a page."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


class PageFactory(ServerFactory):
    """Serves pages by path.

    Parameters
    ----------
    pages_by_path : mapping
        Functions that return a page for the query string of a request.
    """

    noisy = False

    def __init__(self, pages_by_path: Mapping[bytes, Callable[[bytes], Page]]) -> None:
        self._pages_by_path = pages_by_path

    def buildProtocol(self, addr: object) -> HTTPChannel:  # noqa: N802
        """Return the protocol for a new connection."""
        channel = cast(Any, HTTPChannel())
        channel.factory = self
        channel.requestFactory = self._make_request
        channel.timeOut = IDLE_TIMEOUT_S
        return cast(HTTPChannel, channel)

    def log(self, request: object) -> None:
        """Override Twisted's access log: write none."""

    def page(self, uri: bytes) -> Page:
        """Return the page for a URI; status 404 if there is none."""
        path, _, query = uri.partition(b"?")
        make_page = self._pages_by_path.get(path)
        return Page(404) if make_page is None else make_page(query)

    def _make_request(self, channel: HTTPChannel, queued: bool = False) -> "_PageRequest":
        return _PageRequest(channel, self)


class _PageRequest(Request):
    def __init__(self, channel: HTTPChannel, factory: PageFactory) -> None:
        super().__init__(channel, False)
        self._factory = factory

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Open no temporary file: the VMs have no disks, and the bodies are ignored."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Discard the body."""

    def parseCookies(self) -> None:  # noqa: N802
        """Ignore cookies."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Send the page."""
        self.method, self.uri, self.clientproto = command, path, version
        page = self._factory.page(path)
        self.setResponseCode(page.status)
        self.setHeader(b"content-type", page.content_type)
        self.setHeader(b"content-length", b"%d" % len(page.body))
        self.write(page.body)
        self.finish()
