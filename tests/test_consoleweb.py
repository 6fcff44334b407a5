"""Tests of the console's HTTP side, over loopback."""

import asyncio
import unittest
from typing import Any

from briarspur.consolepages import Asked, Page
from briarspur.operators import CsrfGuard
from tests import reactor

LIMIT = 2_000


class EchoConsole:
    """Answers with what it was asked."""

    async def answer(self, asked: Asked) -> Page:
        if asked.path == "/fail":
            raise RuntimeError("a fault")
        return Page(200, f"{asked.method} {asked.path} {dict(asked.fields)} {asked.session}")


async def exchange(raw: bytes, host: str = "127.0.0.1") -> bytes:
    """Send one request to a site of its own and return the whole answer."""
    from twisted.internet import reactor as installed

    from briarspur.consoleweb import ConsoleSite

    echo: Any = EchoConsole()
    site = ConsoleSite(echo, CsrfGuard(), host, LIMIT)
    twisted_reactor: Any = installed
    port = twisted_reactor.listenTCP(0, site, 5, "127.0.0.1")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port.getHost().port)
        writer.write(raw)
        answer = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        return answer
    finally:
        port.stopListening()


def request(head: str, body: bytes = b"", host: str = "localhost", kind: str = "") -> bytes:
    lines = [head, f"Host: {host}", "Connection: close"]
    if body:
        kind = kind or "application/x-www-form-urlencoded"
        lines += [f"Content-Type: {kind}", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


class ConsoleWebTest(unittest.TestCase):
    """Bounded, of one host name, with a session of its own."""

    def ask(self, raw: bytes, host: str = "127.0.0.1") -> bytes:
        return reactor.run(exchange(raw, host))

    def test_a_session_cookie_that_scripts_and_other_sites_cannot_use(self) -> None:
        answer = self.ask(request("GET /edit?a=1 HTTP/1.1"))
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertRegex(answer, rb"briarspur-session=[^;]{20,}; Path=/; HttpOnly; SameSite=strict")
        self.assertIn(b"default-src 'none'", answer)
        self.assertIn(b"GET /edit {'a': '1'}", answer)

    def test_a_large_form_is_refused_before_it_is_read(self) -> None:
        # A client announces, or sends in chunks without announcing, more than the limit. Read
        # whole, a few of them would take the console's memory.
        head = "POST /edit HTTP/1.1\r\nHost: localhost\r\n"
        form = "Content-Type: application/x-www-form-urlencoded\r\n"
        announced = f"{head}{form}Content-Length: {LIMIT + 1}\r\n\r\n".encode()
        self.assertIn(b"413", self.ask(announced).split(b"\r\n")[0])
        chunk = b"%x\r\n%b\r\n" % (LIMIT, b"a" * LIMIT)
        chunked = f"{head}{form}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk * 2
        self.assertIn(b"413", self.ask(chunked).split(b"\r\n")[0])
        self.assertIn(b"200", self.ask(request("POST /edit HTTP/1.1", b"a=b")).split(b"\r\n")[0])

    def test_another_host_name_is_refused_on_loopback_only(self) -> None:
        # A foreign page points its own name at 127.0.0.1 and reads the console as its own origin.
        raw = request("GET / HTTP/1.1", host="evil.example")
        self.assertIn(b"HTTP/1.1 421", self.ask(raw))
        self.assertIn(b"HTTP/1.1 200", self.ask(raw, host="10.0.0.1"))

    def test_only_forms_are_taken_and_a_fault_is_answered(self) -> None:
        raw = request("POST /edit HTTP/1.1", b"{}", kind="application/json")
        self.assertIn(b"HTTP/1.1 415", self.ask(raw))
        with self.assertLogs("briarspur", "ERROR"):
            self.assertIn(b"HTTP/1.1 500", self.ask(request("GET /fail HTTP/1.1")))
        self.assertIn(b"text/css", self.ask(request("GET /style.css HTTP/1.1")))
