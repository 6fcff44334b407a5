"""Tests of endpoints by IP address."""

import asyncio
import threading

from briarspur.errors import PeerError
from briarspur.fetch import Endpoint, HttpFetcher
from tests.loop import LoopTestCase, the_reactor


class IPEndpointFactoryTest(LoopTestCase):
    """Connecting starts no threads."""

    def test_a_fetch_starts_no_threads(self) -> None:
        """A daemon must exit when it is stopped, so that its VM can be replaced.

        Twisted's default endpoint calls a resolver in a thread pool even for an IP address; the
        pool's threads wait forever and prevent the process from exiting.
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
