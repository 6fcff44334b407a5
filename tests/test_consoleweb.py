"""Tests of the console's HTTP server over loopback."""

import asyncio
import unittest
from typing import Any

from briarspur.consolepages import Page, PageRequest
from briarspur.operators import CsrfGuard
from tests import reactor

MAX_FORM_BYTES = 2_000


class EchoConsole:
    """Responds with the request it received."""

    async def handle(self, request: PageRequest) -> Page:
        if request.path == "/fail":
            raise RuntimeError("a fault")
        return Page(
            200, f"{request.method} {request.path} {dict(request.fields)} {request.session}"
        )


async def exchange(raw: bytes, host: str = "127.0.0.1") -> bytes:
    """Send a request to a new site and return the whole response."""
    from twisted.internet import reactor as installed

    from briarspur.consoleweb import ConsoleSite

    echo: Any = EchoConsole()
    site = ConsoleSite(echo, CsrfGuard(), host, MAX_FORM_BYTES)
    twisted_reactor: Any = installed
    port = twisted_reactor.listenTCP(0, site, 5, "127.0.0.1")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port.getHost().port)
        writer.write(raw)
        response = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return response
    finally:
        port.stopListening()


def request(head: str, body: bytes = b"", host: str = "localhost", kind: str = "") -> bytes:
    lines = [head, f"Host: {host}", "Connection: close"]
    if body:
        kind = kind or "application/x-www-form-urlencoded"
        lines += [f"Content-Type: {kind}", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ConsoleWebTest(unittest.TestCase):
    """Size limits, host names, sessions and errors of the HTTP server."""

    def send(self, raw: bytes, host: str = "127.0.0.1") -> bytes:
        return reactor.run(exchange(raw, host))

    def test_the_session_cookie_is_hidden_from_scripts_and_other_sites(self) -> None:
        response = self.send(request("GET /edit?a=1 HTTP/1.1"))
        self.assertIn(b"HTTP/1.1 200", response)
        self.assertRegex(
            response, rb"briarspur-session=[^;]{20,}; Path=/; HttpOnly; SameSite=strict"
        )
        self.assertIn(b"default-src 'none'", response)
        self.assertIn(b"GET /edit {'a': '1'}", response)

    def test_a_large_form_is_rejected_before_it_is_buffered(self) -> None:
        # A client declares a body above the limit, or sends one in chunks without declaring its
        # length. Buffering a few of these would exhaust the console's memory.
        head = "POST /edit HTTP/1.1\r\nHost: localhost\r\n"
        form = "Content-Type: application/x-www-form-urlencoded\r\n"
        declared = f"{head}{form}Content-Length: {MAX_FORM_BYTES + 1}\r\n\r\n".encode()
        self.assertIn(b"413", self.send(declared).split(b"\r\n")[0])
        chunk = b"%x\r\n%b\r\n" % (MAX_FORM_BYTES, b"a" * MAX_FORM_BYTES)
        chunked = f"{head}{form}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk * 2
        self.assertIn(b"413", self.send(chunked).split(b"\r\n")[0])
        self.assertIn(b"200", self.send(request("POST /edit HTTP/1.1", b"a=b")).split(b"\r\n")[0])

    def test_a_foreign_host_name_is_rejected_on_loopback_only(self) -> None:
        # DNS rebinding: a foreign site resolves its name to 127.0.0.1 to read the console's pages.
        raw = request("GET / HTTP/1.1", host="evil.example")
        self.assertIn(b"HTTP/1.1 421", self.send(raw))
        self.assertIn(b"HTTP/1.1 200", self.send(raw, host="10.0.0.1"))

    def test_only_forms_are_accepted_and_an_exception_yields_a_500(self) -> None:
        raw = request("POST /edit HTTP/1.1", b"{}", kind="application/json")
        self.assertIn(b"HTTP/1.1 415", self.send(raw))
        with self.assertLogs("briarspur", "ERROR"):
            self.assertIn(b"HTTP/1.1 500", self.send(request("GET /fail HTTP/1.1")))
        self.assertIn(b"text/css", self.send(request("GET /style.css HTTP/1.1")))
