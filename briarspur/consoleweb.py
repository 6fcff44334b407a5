"""HTTP for the console: bounded requests, session cookies, and headers against other pages."""

import asyncio
import logging
from http import HTTPStatus
from importlib.resources import files
from typing import Any

from twisted.web.http import HTTPChannel, HTTPFactory, Request

from briarspur import logs
from briarspur.consolepages import Asked, Console, Page
from briarspur.operators import CsrfGuard

__all__ = ["ConsoleRequest", "ConsoleSite"]

SESSION_COOKIE = b"briarspur-session"
IDLE_S = 60
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
    """One request; larger ones than the site allows are refused before they are kept."""

    def __init__(self, channel: HTTPChannel, *arguments: Any, **named: Any) -> None:
        super().__init__(channel, *arguments, **named)
        # Twisted's request is untyped: its methods are called by this name.
        self._web: Any = self
        self._received = 0
        self._refused = False

    @property
    def _site(self) -> "ConsoleSite":
        site: ConsoleSite = self.channel.factory
        return site

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body that is announced as too large."""
        Request.gotLength(self, length)
        if length is not None and length > self._site.form_bytes:
            self._refuse_size()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, up to the limit."""
        self._received += len(data)
        if self._refused:
            return
        if self._received > self._site.form_bytes:
            self._refuse_size()
            return
        Request.handleContentChunk(self, data)

    def _refuse_size(self) -> None:
        """Answer at once and close: what is still to come is not read."""
        self._refused = True
        self.channel.write(
            b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
        self.channel.loseConnection()

    def process(self) -> None:
        """Answer the request."""
        if self._refused:
            return
        for name, value in SECURITY_HEADERS:
            self._web.setHeader(name, value)
        if not self._site.is_allowed_host(self._web.getRequestHostname()):
            # Guards against a foreign name that was pointed at this address: its pages would be
            # of the same origin as ours and could read them.
            self._answer(
                Page(HTTPStatus.MISDIRECTED_REQUEST, "This console does not answer to that name.")
            )
        elif self.path == b"/style.css" and self.method == b"GET":
            self._web.setHeader(b"Content-Type", b"text/css; charset=utf-8")
            self._web.write(self._site.style)
            self._web.finish()
        elif self.path == b"/favicon.ico":
            self._answer(Page(HTTPStatus.NO_CONTENT, ""))
        elif self.method == b"POST" and not self._is_form():
            self._answer(Page(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, "Only forms are taken."))
        else:
            self._begin()

    def _is_form(self) -> bool:
        content_type = self.getHeader(b"content-type") or b""
        return content_type.split(b";")[0].strip().lower() == FORM_TYPE

    def _begin(self) -> None:
        task = asyncio.get_running_loop().create_task(self._site.console.answer(self._asked()))
        gone = self._web.notifyFinish()
        gone.addErrback(lambda _: None)
        task.add_done_callback(self._done)

    def _asked(self) -> Asked:
        fields = {
            name.decode("utf-8", "replace"): values[-1].decode("utf-8", "replace")
            for name, values in self.args.items()
        }
        return Asked(
            method=self.method.decode("ascii", "replace"),
            path=self.path.decode("ascii", "replace"),
            session=self._session(),
            fields=fields,
        )

    def _session(self) -> str:
        """Return the session in the cookie; a new one is set where there is none."""
        found = self._web.getCookie(SESSION_COOKIE)
        if found:
            return bytes(found).decode("ascii", "replace")
        session = self._site.guard.new_session()
        self._web.addCookie(
            SESSION_COOKIE, session.encode(), path=b"/", httpOnly=True, sameSite=b"strict"
        )
        return session

    def _done(self, task: "asyncio.Task[Page]") -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logs.event(
                "internal-error", logging.ERROR, daemon="briarspur-console", error=repr(error)
            )
        if self._disconnected or self.finished:
            return
        if task.cancelled() or error is not None:
            self._answer(
                Page(HTTPStatus.INTERNAL_SERVER_ERROR, "A fault of the console; see its log.")
            )
        else:
            self._answer(task.result())

    def _answer(self, page: Page) -> None:
        body = page.html.encode("utf-8", "replace")
        self._web.setResponseCode(page.status, HTTPStatus(page.status).phrase.encode())
        self._web.setHeader(b"Content-Type", b"text/html; charset=utf-8")
        self._web.setHeader(b"Content-Length", str(len(body)).encode())
        self._web.write(body)
        self._web.finish()


class ConsoleSite(HTTPFactory):
    """Makes the console's connections.

    Parameters
    ----------
    host : str
        Where it listens; on loopback only loopback's names are answered to.
    form_bytes : int
        Largest body of a request.
    """

    def __init__(self, console: Console, guard: CsrfGuard, host: str, form_bytes: int) -> None:
        super().__init__(timeout=IDLE_S)
        self.console = console
        self.guard = guard
        self.form_bytes = form_bytes
        self.style = (files("briarspur") / "templates" / "style.css").read_bytes()
        self._is_loopback = host.startswith("127.") or host == "::1"

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return a connection that makes our requests."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = ConsoleRequest
        return channel

    def log(self, request: Request) -> None:
        """Write no access log: changes are logged as events, with who and what."""

    def is_allowed_host(self, name: bytes) -> bool:
        """Return whether the console answers to a host name."""
        return not self._is_loopback or name.decode("ascii", "replace") in LOOPBACK_NAMES
