"""Tests of fetching JSON documents from another program, over loopback."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from briarspur.errors import PeerError, PeerRefusalError
from tests import reactor

COMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"a": 1}'


async def fetch(answer: bytes, timeout: float = 5.0) -> Any:
    """Fetch from a server that sends ``answer``; if that is empty, it never answers."""
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
        return await fetch(COMPLETE)


class FetchTest(unittest.TestCase):
    """Only a complete, valid answer is accepted."""

    def test_a_complete_answer_is_fetched_without_a_thread(self) -> None:
        self.assertEqual(reactor.run(_fetch_without_threads()), {"a": 1})

    def test_a_truncated_or_invalid_answer_is_an_error(self) -> None:
        truncated = COMPLETE.replace(b"Content-Length: 8", b"Content-Length: 80")
        for answer in (truncated, COMPLETE.replace(b'{"a": 1}', b"{not js}"), b"nonsense\r\n\r\n"):
            with self.subTest(answer=answer), self.assertRaises(PeerError):
                reactor.run(fetch(answer))

    def test_a_refusal_contains_its_document(self) -> None:
        body = b'{"code": 2107, "name": "NOT_READY"}'
        head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n" % len(body)
        with self.assertRaises(PeerRefusalError) as caught:
            reactor.run(fetch(head + body))
        self.assertEqual(caught.exception.answer["code"], 2107)
        self.assertIn("e1: HTTP status 503 2107 NOT_READY", str(caught.exception))

    def test_a_program_that_never_answers_is_an_error(self) -> None:
        with self.assertRaises(PeerError):
            reactor.run(fetch(b"", timeout=0.1))
