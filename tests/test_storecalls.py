"""Tests of reading large objects from the platform's store over a slow link."""

import asyncio
from collections.abc import Awaitable, Callable

from briarspur.processsettings import PlatformSettings
from briarspur.storecalls import NoResponseError, PlatformClient, Response
from standins.objectapi import ObjectApi
from tests.gateway.slowlink import SlowLink
from tests.loop import LoopTestCase

HOST = "127.0.0.1"
TIMEOUT_S = 0.5
LINK_BYTES_PER_S = 60_000.0
VALUE = "v" * int(3.0 * TIMEOUT_S * LINK_BYTES_PER_S)
"""Takes the link longer than the timeout."""

Work = Callable[[PlatformClient, SlowLink], Awaitable[None]]


class LargeReadTest(LoopTestCase):
    """A response is received whatever its size, and a silent store doesn't hold up its caller."""

    def run_over_slow_link(self, work: Work) -> None:
        from standins.serving import listen

        async def bounded() -> None:
            listening = listen(ObjectApi(), HOST, 0)
            async with SlowLink(listening.getHost().port, LINK_BYTES_PER_S) as link:
                settings = PlatformSettings(host=HOST, port=link.port, timeout_s=TIMEOUT_S)
                client = PlatformClient(settings)
                body = b'{"metadata":{"name":"main"},"spec":"%s","status":null}' % VALUE.encode()
                headers = {b"Content-Type": b"application/json"}
                await client.call(b"POST", "/objects/config", headers, body, wait=10.0)
                await work(client, link)
                await client.close()
            await listening.stopListening().asFuture(asyncio.get_running_loop())

        self.run_on_loop(bounded())

    def test_a_response_that_takes_longer_than_the_timeout_is_received(self) -> None:
        """Guards against entries on slow links that never read a large configuration."""

        async def work(client: PlatformClient, link: SlowLink) -> None:
            response: Response = await client.call(b"GET", "/objects/config")
            self.assertEqual(200, response.status)
            self.assertIn(VALUE.encode(), response.body)

        self.run_over_slow_link(work)

    def test_a_store_that_falls_silent_midway_fails_after_the_timeout(self) -> None:
        """Guards against reads that hang on a connection which was cut off midway."""

        async def work(client: PlatformClient, link: SlowLink) -> None:
            asyncio.get_running_loop().call_later(TIMEOUT_S, setattr, link, "is_silent", True)
            with self.assertRaises(NoResponseError):
                await client.call(b"GET", "/objects/config")

        self.run_over_slow_link(work)
