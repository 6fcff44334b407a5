"""Tests of the pool of connections to other entries."""

import asyncio
import unittest
from unittest.mock import patch

from briarspur.coord.address import Address
from briarspur.errors import PeerError
from briarspur.peerchannels import PeerChannels

ADDRESS = Address("127.0.0.1", 1)


class FakeChannel:
    """A channel that connects when it is first used, also after it was closed."""

    def __init__(self, host: str, port: int) -> None:
        self.is_open = False

    def close(self) -> None:
        self.is_open = False


class PeerChannelsTest(unittest.IsolatedAsyncioTestCase):
    """The pool closes each connection that it opened."""

    async def test_a_channel_that_connects_after_it_was_closed_is_closed(self) -> None:
        """Guards against open connections that no pool knows."""
        used: list[FakeChannel] = []
        connected = asyncio.Event()

        async def fail(channel: FakeChannel) -> None:
            raise ConnectionRefusedError

        async def connect(channel: FakeChannel) -> None:
            used.append(channel)
            await connected.wait()
            channel.is_open = True

        with patch("briarspur.peerchannels.Channel", FakeChannel):
            channels = PeerChannels(max_channels=4, idle_timeout=1.0)
            connecting = asyncio.create_task(channels.call(ADDRESS, connect, 1.0))
            await asyncio.sleep(0)
            with self.assertRaises(PeerError):
                await channels.call(ADDRESS, fail, 1.0)
            connected.set()
            await connecting
        self.assertEqual([False], [channel.is_open for channel in used])
        self.assertEqual(0, len(channels))
