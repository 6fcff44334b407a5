"""Pool of gRPC connections to other entries."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from briarspur.coord.address import Address
from briarspur.errors import PeerError

__all__ = ["Address", "PeerChannels"]

T = TypeVar("T")


@dataclass(slots=True)
class _OpenChannel:
    channel: Channel
    used_at: float
    calls: int = 0


class PeerChannels:
    """Pool of connections by address; the pool closes them.

    Parameters
    ----------
    max_channels : int
        Maximum number of open connections. Connections with calls in progress may exceed it.
    idle_timeout : float
        Seconds after which a connection without calls is closed.
    """

    def __init__(self, max_channels: int, idle_timeout: float) -> None:
        self._max_channels = max_channels
        self._idle_timeout = idle_timeout
        self._channels_by_address: OrderedDict[Address, _OpenChannel] = OrderedDict()

    def __len__(self) -> int:
        return len(self._channels_by_address)

    def close(self) -> None:
        """Close every connection."""
        while self._channels_by_address:
            self._channels_by_address.popitem()[1].channel.close()

    def close_idle(self) -> None:
        """Close the connections that were idle for longer than the idle timeout."""
        idle_before = asyncio.get_running_loop().time() - self._idle_timeout
        for address, open_channel in list(self._channels_by_address.items()):
            if open_channel.calls == 0 and open_channel.used_at < idle_before:
                self._close_channel(address, open_channel)

    async def call(
        self, address: Address, call: Callable[[Channel], Awaitable[T]], timeout: float
    ) -> T:
        """Make a call to the entry at ``address``; ``timeout`` in seconds.

        Raises
        ------
        PeerError
            If the other entry can't be reached or doesn't reply in time. It may have processed the
            message nevertheless.
        """
        open_channel = self._get_or_open(address)
        open_channel.calls += 1
        try:
            async with asyncio.timeout(timeout):
                return await call(open_channel.channel)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError, ProtocolError) as error:
            # A connection that was cut without a FIN or RST looks open. The next call opens a new
            # one, which shows whether the peer is reachable.
            self._close_channel(address, open_channel)
            raise PeerError(f"{address.host}:{address.port}: {error!r}") from None
        except ValueError as error:
            raise PeerError(f"{address.host}:{address.port}: malformed reply: {error}") from None
        finally:
            open_channel.calls -= 1
            open_channel.used_at = asyncio.get_running_loop().time()
            is_pooled = self._channels_by_address.get(address) is open_channel
            if not is_pooled and open_channel.calls == 0:
                # A call that was connecting when another one closed the channel has opened it anew.
                open_channel.channel.close()

    def _get_or_open(self, address: Address) -> _OpenChannel:
        """Return the connection to an address; open one if there is none.

        Above the maximum, the least recently used connection without calls is closed.
        """
        open_channel = self._channels_by_address.get(address)
        now = asyncio.get_running_loop().time()
        if open_channel is None:
            open_channel = _OpenChannel(Channel(address.host, address.port), now)
            self._channels_by_address[address] = open_channel
        self._channels_by_address.move_to_end(address)
        if len(self._channels_by_address) > self._max_channels:
            self._close_least_recently_used()
        return open_channel

    def _close_least_recently_used(self) -> None:
        for address, open_channel in self._channels_by_address.items():
            if open_channel.calls == 0:
                self._close_channel(address, open_channel)
                return

    def _close_channel(self, address: Address, open_channel: _OpenChannel) -> None:
        if self._channels_by_address.get(address) is open_channel:
            del self._channels_by_address[address]
        open_channel.channel.close()
