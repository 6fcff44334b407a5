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
    """Forwards connections to one address; a context manager that closes them at its end.

    Attributes
    ----------
    fault : Fault
        Fault of all connections.
    fault_by_source : dict of str to Fault
        Faults of the connections from some IP addresses, in place of ``fault``.
    """

    def __init__(self, host: str, port: int, to_host: str, to_port: int) -> None:
        self.address = (host, port)
        self._server_address = (to_host, to_port)
        self.fault = Fault()
        self.fault_by_source: dict[str, Fault] = {}
        self._writers: dict[asyncio.StreamWriter, str] = {}
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

    def reset(self, source: str | None = None) -> None:
        """Reset the open connections, only those from one IP address if it is given."""
        for writer, connected_from in list(self._writers.items()):
            if source is None or connected_from == source:
                writer.transport.abort()

    def _fault(self, source: str) -> Fault:
        return self.fault_by_source.get(source, self.fault)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source = writer.get_extra_info("peername")[0]
        self._writers[writer] = source
        try:
            if self._fault(source).refuse:
                writer.transport.abort()
                return
            server_reader, server_writer = await asyncio.open_connection(*self._server_address)
            self._writers[server_writer] = source
            try:
                await asyncio.gather(
                    self._pump(reader, server_writer, source, to_server=True),
                    self._pump(server_reader, writer, source, to_server=False),
                )
            finally:
                self._writers.pop(server_writer, None)
                server_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            # The other side is unreachable or was reset, or the proxy ends. The client sees this as
            # the end of its connection.
            pass
        finally:
            self._writers.pop(writer, None)
            writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        to_server: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            fault = self._fault(source)
            if fault.delay:
                await asyncio.sleep(fault.delay)
            dropped = fault.drop_requests if to_server else fault.drop_responses
            if not dropped:
                writer.write(data)
                await writer.drain()
        if not writer.is_closing():
            writer.write_eof()
