"""Tests of the HTTP calls to the platform's store."""

import asyncio
import contextlib

from briarspur.settings import PlatformSettings
from briarspur.storecalls import NoAnswerError, PlatformClient
from tests.loop import LoopTestCase, eventually

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class TimeoutTest(LoopTestCase):
    """What a call that had no answer means for the next ones."""

    def test_kept_connections_are_not_used_after_a_timeout(self) -> None:
        """An entry is cut off for 12 s, and learns what changed only 1.7 s after the cut.

        Calls went out on connections kept from before. What had been lost on them was to be
        repeated first, at pauses that had grown to seconds.
        """
        made = ended = 0
        silent = False

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal made, ended
            made += 1
            with contextlib.suppress(ConnectionError):
                while await reader.readline():
                    while (await reader.readline()).strip():
                        pass
                    if not silent:
                        writer.write(ANSWER)
            ended += 1
            writer.close()

        async def work() -> None:
            nonlocal silent
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = PlatformClient(PlatformSettings(host="127.0.0.1", port=port, timeout_s=0.3))
            await asyncio.gather(client.call(b"GET", "/a"), client.call(b"GET", "/b"))
            self.assertEqual(2, made)
            silent = True
            with self.assertRaises(NoAnswerError):
                await client.call(b"GET", "/c")
            silent = False
            await eventually(lambda: ended == 2)
            await client.call(b"GET", "/d")
            self.assertEqual(3, made)
            await client.close()
            server.close()

        self.run_on_loop(work())
