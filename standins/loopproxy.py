"""A TCP proxy on loopback that injects faults into its connections."""

import asyncio
from dataclasses import dataclass
from types import TracebackType
from typing import Self

__all__ = ["Fault", "LoopProxy"]

CHUNK_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault to inject into connections.

    Attributes
    ----------
    delay : float
        Seconds by which data is delayed, in each direction.
    drop_requests, drop_responses : bool
        Discard data from the client or to the client, without a reset.
    refuse : bool
        Reset new connections.
    """

    delay: float = 0.0
    drop_requests: bool = False
    drop_responses: bool = False
    refuse: bool = False


class LoopProxy:
    """Forwards connections to one address; a context manager that closes them at its end."""

    def __init__(self, host: str, port: int, to_host: str, to_port: int) -> None:
        self.address = (host, port)
        self._server_address = (to_host, to_port)
        self.fault = Fault()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, *self.address)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.fault.refuse:
                writer.transport.abort()
                return
            server_reader, server_writer = await asyncio.open_connection(*self._server_address)
            self._writers.add(server_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, server_writer, to_server=True),
                    self._pump(server_reader, writer, to_server=False),
                )
            finally:
                self._writers.discard(server_writer)
                server_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            # The other side is unreachable or was reset, or the proxy ends. The client sees this as
            # the end of its connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.fault.delay:
                await asyncio.sleep(self.fault.delay)
            dropped = self.fault.drop_requests if to_server else self.fault.drop_responses
            if not dropped:
                writer.write(data)
                await writer.drain()
        if not writer.is_closing():
            writer.write_eof()
