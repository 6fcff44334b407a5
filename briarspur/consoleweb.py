"""HTTP server of the console: size limits, session cookies and browser security headers."""

import asyncio
import logging
from http import HTTPStatus
from importlib.resources import files
from typing import Any

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from briarspur import logs
from briarspur.consolepages import Console, Page, PageRequest
from briarspur.operators import CsrfGuard

__all__ = ["ConsoleRequest", "ConsoleSite"]

SESSION_COOKIE = b"briarspur-session"
IDLE_TIMEOUT_S = 60
FORM_TYPE = b"application/x-www-form-urlencoded"
LOOPBACK_NAMES = frozenset({"127.0.0.1", "localhost", "[::1]"})
SECURITY_HEADERS = (
    (
        b"Content-Security-Policy",
        b"default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self'; "
        b"frame-ancestors 'none'; base-uri 'none'",
    ),
    (b"X-Content-Type-Options", b"nosniff"),
    (b"X-Frame-Options", b"DENY"),
    (b"Referrer-Policy", b"no-referrer"),
    (b"Cache-Control", b"no-store"),
)


class ConsoleRequest(Request):
    """A request; rejects a body above the size limit of the site before buffering it."""

    def __init__(self, channel: HTTPChannel, *arguments: Any, **keywords: Any) -> None:
        super().__init__(channel, *arguments, **keywords)
        # Twisted's Request is untyped, so its methods are called through this attribute.
        self._web: Any = self
        self._received_bytes = 0
        self._rejected = False

    @property
    def _site(self) -> "ConsoleSite":
        site: ConsoleSite = self.channel.factory
        return site

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a request whose declared body length is above the limit."""
        Request.gotLength(self, length)
        if length is not None and length > self._site.form_bytes:
            self._reject_size()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of the body, up to the limit."""
        self._received_bytes += len(data)
        if self._rejected:
            return
        if self._received_bytes > self._site.form_bytes:
            self._reject_size()
            return
        Request.handleContentChunk(self, data)

    def _reject_size(self) -> None:
        """Respond with 413 and close the connection without reading the rest of the body."""
        self._rejected = True
        self.channel.write(
            b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.channel.loseConnection()

    def process(self) -> None:
        """Respond to the request."""
        if self._rejected:
            return
        for name, value in SECURITY_HEADERS:
            self._web.setHeader(name, value)
        if not self._site.is_allowed_host(self._web.getRequestHostname()):
            # Guards against DNS rebinding: pages of a foreign name that resolves to this address
            # would have the console's origin and could read its pages.
            self._respond(
                Page(HTTPStatus.MISDIRECTED_REQUEST, "The console does not serve this host name.")
            )
        elif self.path == b"/style.css" and self.method == b"GET":
            self._web.setHeader(b"Content-Type", b"text/css; charset=utf-8")
            self._web.write(self._site.style)
            self._web.finish()
        elif self.path == b"/favicon.ico":
            self._respond(Page(HTTPStatus.NO_CONTENT, ""))
        elif self.method == b"POST" and not self._is_form():
            self._respond(Page(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "Only HTML forms are accepted."))
        else:
            self._start_handling()

    def _is_form(self) -> bool:
        content_type = self.getHeader(b"content-type") or b""
        return content_type.split(b";")[0].strip().lower() == FORM_TYPE

    def _start_handling(self) -> None:
        task = asyncio.get_running_loop().create_task(
            self._site.console.handle(self._page_request())
        )
        disconnected = self._web.notifyFinish()
        disconnected.addErrback(lambda _: None)
        task.add_done_callback(self._handling_done)

    def _page_request(self) -> PageRequest:
        fields = {
            name.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
            for name, values in self.args.items()
        }
        return PageRequest(
            method=self.method.decode("ascii", "replace"),
            path=self.path.decode("ascii", "replace"),
            session=self._session(),
            fields=fields,
        )

    def _session(self) -> str:
        """Return the session from the cookie; set a new cookie if there is none."""
        cookie = self._web.getCookie(SESSION_COOKIE)
        if cookie:
            return bytes(cookie).decode("ascii", "replace")
        session = self._site.guard.new_session()
        self._web.addCookie(
            SESSION_COOKIE, session.encode(), path=b"/", httpOnly=True, sameSite=b"strict"
        )
        return session

    def _handling_done(self, task: "asyncio.Task[Page]") -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logs.event(
                "internal-error", logging.ERROR, daemon="briarspur-console", error=repr(error)
            )
        if self._disconnected or self.finished:
            return
        if task.cancelled() or error is not None:
            self._respond(
                Page(
                    HTTPStatus.INTERNAL_SERVER_ERROR, "Internal error of the console; see its log."
                )
            )
        else:
            self._respond(task.result())

    def _respond(self, page: Page) -> None:
        body = page.html.encode("utf-8", "replace")
        self._web.setResponseCode(page.status, HTTPStatus(page.status).phrase.encode())
        self._web.setHeader(b"Content-Type", b"text/html; charset=utf-8")
        self._web.setHeader(b"Content-Length", str(len(body)).encode())
        self._web.write(body)
        self._web.finish()


class ConsoleSite(HTTPFactory):
    """Creates the console's connections.

    Parameters
    ----------
    host : str
        Address that the console listens on; on loopback, only loopback host names are served.
    form_bytes : int
        Maximum size of a request body.
    """

    def __init__(self, console: Console, guard: CsrfGuard, host: str, form_bytes: int) -> None:
        super().__init__(timeout=IDLE_TIMEOUT_S)
        self.console = console
        self.guard = guard
        self.form_bytes = form_bytes
        self.style = (files("briarspur") / "templates" / "style.css").read_bytes()
        self._is_loopback = host.startswith("127.") or host == "::1"

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a connection that creates ``ConsoleRequest`` objects."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = ConsoleRequest
        return channel

    def log(self, request: Request) -> None:
        """Write no access log: changes are logged as events with operator and content."""

    def is_allowed_host(self, name: bytes) -> bool:
        """Return whether the console serves a host name."""
        return not self._is_loopback or name.decode("ascii", "replace") in LOOPBACK_NAMES
