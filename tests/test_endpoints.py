"""Tests of endpoints by IP number."""

import asyncio
import threading

from briarspur.errors import PeerError
from briarspur.fetch import Endpoint, HttpFetcher
from tests.loop import LoopTestCase, the_reactor


class NumberEndpointsTest(LoopTestCase):
    """Connecting starts no thread."""

    def test_a_fetch_starts_no_thread(self) -> None:
        """A daemon that was told to stop never ends, and its VM can't be replaced.

        Twisted's default endpoint asks a resolver in a thread pool even for an IP number; the
        pool's threads wait for ever and keep the process from ending.
        """

        async def work() -> None:
            before = threading.active_count()
            server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            fetcher = HttpFetcher(the_reactor(), 5.0)
            with self.assertRaises(PeerError):
                await fetcher.get_json(Endpoint("peer", "127.0.0.1", port), "/status")
            server.close()
            self.assertEqual(threading.active_count(), before)

        self.run_on_loop(work())
