"""A TCP relay on loopback whose link carries only so many bytes a second towards the caller."""

import asyncio
import socket
from types import TracebackType

__all__ = ["SlowLink"]

HOST = "127.0.0.1"
CHUNK_BYTES = 4_096
SOCKET_BUFFER_BYTES = 8_192
"""Small buffers, so that the sender waits for the link, as it would for one of a VM."""


class SlowLink:
    """Relays connections to a port.

    Parameters
    ----------
    port : int
        Port on loopback to connect to.
    bytes_per_s : float
        Rate towards the side that connected; all connections share it.
    """

    def __init__(self, port: int, bytes_per_s: float) -> None:
        self._target = port
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_silent = False
        self.port = 0

    async def __aenter__(self) -> "SlowLink":
        self._server = await asyncio.start_server(self._accepted, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        remote = socket.socket()
        remote.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        remote.setblocking(False)
        await asyncio.get_running_loop().sock_connect(remote, (HOST, self._target))
        remote_reader, remote_writer = await asyncio.open_connection(
            sock=remote, limit=SOCKET_BUFFER_BYTES
        )
        for work in (
            self._forward(reader, remote_writer, is_slow=False),
            self._forward(remote_reader, writer, is_slow=True),
        ):
            task = asyncio.ensure_future(work)
            self._tasks.add(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_slow: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                while is_slow and self.is_silent:
                    await asyncio.sleep(0.02)
                if is_slow:
                    self._free_at = max(self._free_at, loop.time()) + len(data) / self._bytes_per_s
                    await asyncio.sleep(self._free_at - loop.time())
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
