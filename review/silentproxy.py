"""A TCP proxy whose open channels can be made silent, while new ones work."""

import asyncio
import time
from contextlib import suppress
from dataclasses import dataclass, field

from harness import HOST

__all__ = ["Channel", "SilentProxy"]

CHUNK_BYTES = 65_536


@dataclass(eq=False)
class Channel:
    """One channel; it is never closed by the proxy once it is silent.

    Attributes
    ----------
    latest_request : bytes
        The first line of the latest request that passed.
    active_at : float
        When a byte last passed, on the monotonic clock.
    """

    latest_request: bytes = b""
    active_at: float = field(default_factory=time.monotonic)
    is_silent: bool = False

    @property
    def idle_s(self) -> float:
        """Seconds since a byte passed."""
        return time.monotonic() - self.active_at


class SilentProxy:
    """Forwards channels to one port on the loopback address."""

    def __init__(self, port: int, to_port: int) -> None:
        self.port = port
        self._to_port = to_port
        self.channels: set[Channel] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept channels."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def silence(self, min_idle_s: float) -> list[Channel]:
        """Make the channels silent for good that were idle for some time; return them."""
        chosen = [c for c in self.channels if not c.is_silent and c.idle_s >= min_idle_s]
        for channel in chosen:
            channel.is_silent = True
        return chosen

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel()
        self.channels.add(channel)
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self._to_port)
            try:
                pumps = [
                    asyncio.ensure_future(self._pump(channel, reader, far_writer, True)),
                    asyncio.ensure_future(self._pump(channel, far_reader, writer, False)),
                ]
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
            finally:
                far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            # The store refused the channel, or the script ends; the gateway sees it closed.
            pass
        finally:
            self.channels.discard(channel)
            writer.transport.abort()

    @staticmethod
    async def _pump(
        channel: Channel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if channel.is_silent:
                    continue
                channel.active_at = time.monotonic()
                if is_request:
                    channel.latest_request = data.partition(b"\r\n")[0]
                writer.write(data)
                await writer.drain()
        if channel.is_silent and not is_request:
            # The far end closed the channel, which the gateway must not see.
            await asyncio.Event().wait()
