"""Tests of reading JSON from another program, over loopback."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from briarspur.errors import PeerError, PeerRefusalError
from tests import reactor

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


async def fetch(answer: bytes, timeout: float = 5.0) -> Any:
    """Fetch from a server that sends ``answer``, and keeps the connection if that is empty."""
    from twisted.internet import reactor as installed

    from briarspur.fetch import Endpoint, HttpFetcher

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if answer:
            writer.write(answer)
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        fetcher = HttpFetcher(installed, timeout)  # type: ignore[arg-type]
        return await fetcher.get_json(Endpoint("e1", "127.0.0.1", port), "/status")
    finally:
        server.close()


async def _fetch_without_threads() -> Any:
    from twisted.internet import reactor as installed

    pool = installed.getThreadPool()  # type: ignore[attr-defined]
    with mock.patch.object(pool, "callInThreadWithCallback", side_effect=AssertionError):
        return await fetch(WHOLE)


class FetchTest(unittest.TestCase):
    """Only a whole, valid answer is taken."""

    def test_a_whole_answer_without_a_thread(self) -> None:
        self.assertEqual(reactor.run(_fetch_without_threads()), {"a": 1})

    def test_what_is_not_whole_or_valid_is_no_answer(self) -> None:
        cut = WHOLE.replace(b"Content-Length: 8", b"Content-Length: 80")
        for answer in (cut, WHOLE.replace(b'{"a": 1}', b"{not js}"), b"nonsense\r\n\r\n"):
            with self.subTest(answer=answer), self.assertRaises(PeerError):
                reactor.run(fetch(answer))

    def test_a_refusal_carries_its_document(self) -> None:
        body = b'{"code": 2107, "name": "NOT_READY"}'
        head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n" % len(body)
        with self.assertRaises(PeerRefusalError) as caught:
            reactor.run(fetch(head + body))
        self.assertEqual(caught.exception.answer["code"], 2107)
        self.assertIn("e1: HTTP status 503 2107 NOT_READY", str(caught.exception))

    def test_a_silent_program_is_given_up(self) -> None:
        with self.assertRaises(PeerError):
            reactor.run(fetch(b"", timeout=0.1))
