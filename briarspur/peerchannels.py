"""Kept gRPC connections to other entries."""

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
class _Kept:
    channel: Channel
    used_at: float
    calls: int = 0


class PeerChannels:
    """Connections by address; owns them.

    Parameters
    ----------
    most : int
        Connections kept open at most.
    idle : float
        Seconds for which a connection without calls is kept.
    """

    def __init__(self, most: int, idle: float) -> None:
        self._most = most
        self._idle = idle
        self._kept_by_address: OrderedDict[Address, _Kept] = OrderedDict()

    def __len__(self) -> int:
        return len(self._kept_by_address)

    def close(self) -> None:
        """Close every connection."""
        while self._kept_by_address:
            self._kept_by_address.popitem()[1].channel.close()

    def close_idle(self) -> None:
        """Close connections that had no call for long."""
        oldest_wanted = asyncio.get_running_loop().time() - self._idle
        for address, kept in list(self._kept_by_address.items()):
            if kept.calls == 0 and kept.used_at < oldest_wanted:
                self._drop(address, kept)

    async def call(
        self, address: Address, call: Callable[[Channel], Awaitable[T]], timeout: float
    ) -> T:
        """Make a call; ``timeout`` in seconds.

        Raises
        ------
        PeerError
            The other entry can't be reached, or did not answer in time; it may have acted on the
            message.
        """
        kept = self._keep(address)
        kept.calls += 1
        try:
            async with asyncio.timeout(timeout):
                return await call(kept.channel)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError, ProtocolError) as error:
            # A connection cut without a word looks open: a new one tells whether the peer is there.
            self._drop(address, kept)
            raise PeerError(f"{address.host}:{address.port}: {error!r}") from None
        except ValueError as error:
            raise PeerError(f"{address.host}:{address.port}: malformed reply: {error}") from None
        finally:
            kept.calls -= 1
            kept.used_at = asyncio.get_running_loop().time()

    def _keep(self, address: Address) -> _Kept:
        """Return the connection to an address, made if need be; the longest unused one goes."""
        kept = self._kept_by_address.get(address)
        now = asyncio.get_running_loop().time()
        if kept is None:
            kept = _Kept(Channel(address.host, address.port), now)
            self._kept_by_address[address] = kept
        self._kept_by_address.move_to_end(address)
        if len(self._kept_by_address) > self._most:
            self._drop_unused()
        return kept

    def _drop_unused(self) -> None:
        for address, kept in self._kept_by_address.items():
            if kept.calls == 0:
                self._drop(address, kept)
                return

    def _drop(self, address: Address, kept: _Kept) -> None:
        if self._kept_by_address.get(address) is kept:
            del self._kept_by_address[address]
        kept.channel.close()
