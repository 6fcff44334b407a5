"""A TCP proxy on loopback that harms the connections through it."""

import asyncio
from dataclasses import dataclass
from types import TracebackType
from typing import Self

__all__ = ["Harm", "LoopProxy"]

CHUNK = 65_536


@dataclass(frozen=True, slots=True)
class Harm:
    """What happens to connections.

    Attributes
    ----------
    delay : float
        Seconds by which bytes are late, each way.
    silent_there, silent_back : bool
        Bytes of open and new connections get lost that way, without a reset.
    refuse : bool
        New connections are reset.
    """

    delay: float = 0.0
    silent_there: bool = False
    silent_back: bool = False
    refuse: bool = False


class LoopProxy:
    """Forwards to one address; a context manager that owns its connections."""

    def __init__(self, host: str, port: int, to_host: str, to_port: int) -> None:
        self.address = (host, port)
        self._to = (to_host, to_port)
        self.harm = Harm()
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
            if self.harm.refuse:
                writer.transport.abort()
                return
            there_reader, there_writer = await asyncio.open_connection(*self._to)
            self._writers.add(there_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, there_writer, there=True),
                    self._pump(there_reader, writer, there=False),
                )
            finally:
                self._writers.discard(there_writer)
                there_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            # The other side is down or cut, or the proxy ends; the caller sees its connection end.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, there: bool
    ) -> None:
        while data := await reader.read(CHUNK):
            if self.harm.delay:
                await asyncio.sleep(self.harm.delay)
            lost = self.harm.silent_there if there else self.harm.silent_back
            if not lost:
                writer.write(data)
                await writer.drain()
        if not writer.is_closing():
            writer.write_eof()
