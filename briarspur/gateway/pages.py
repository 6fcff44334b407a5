"""The small HTTP servers of an entry: readiness, look-ups and metrics."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet.protocol import ServerFactory
from twisted.web.http import HTTPChannel, Request

__all__ = ["Page", "PageFactory"]

IDLE = 30.0
"""Seconds a connection may be open without a request."""
CLOSE = (b"connection", b"close")


@dataclass(frozen=True, slots=True)
class Page:
    """One answer."""

    status: int
    body: bytes = b""
    content_type: bytes = b"application/json"


class PageFactory(ServerFactory):
    """Serves pages by path.

    Parameters
    ----------
    pages_by_path : mapping
        Functions that make a page from a request's query.
    """

    noisy = False

    def __init__(self, pages_by_path: Mapping[bytes, Callable[[bytes], Page]]) -> None:
        self._pages_by_path = pages_by_path

    def buildProtocol(self, addr: object) -> HTTPChannel:  # noqa: N802
        """Return the protocol of a new connection."""
        channel = cast(Any, HTTPChannel())
        channel.factory = self
        channel.requestFactory = self._make
        channel.timeOut = IDLE
        return cast(HTTPChannel, channel)

    def log(self, request: object) -> None:
        """Write no access log."""

    def page(self, uri: bytes) -> Page:
        """Return the page of a path."""
        path, _, query = uri.partition(b"?")
        make = self._pages_by_path.get(path)
        return Page(404) if make is None else make(query)

    def _make(self, channel: HTTPChannel, queued: bool = False) -> "_PageRequest":
        return _PageRequest(channel, self)


class _PageRequest(Request):
    def __init__(self, channel: HTTPChannel, factory: PageFactory) -> None:
        super().__init__(channel, False)
        self._pages = factory

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Open no file: the VMs have no disks, and these requests have no bodies of use."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Drop the body."""

    def parseCookies(self) -> None:  # noqa: N802
        """Read no cookies."""

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Answer."""
        self.method, self.uri, self.clientproto = command, path, version
        page = self._pages.page(path)
        self.setResponseCode(page.status)
        self.setHeader(b"content-type", page.content_type)
        self.setHeader(b"content-length", b"%d" % len(page.body))
        self.write(page.body)
        self.finish()
