"""HTTP client of the stand-in caller: persistent connections, and a digest of each body."""

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

from briarspur.endpoints import IPEndpointFactory

__all__ = ["CallHttp", "CallResponse"]

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_CONNECTIONS = 256
MAX_KEPT_BODY_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A response that was read to its end.

    Attributes
    ----------
    body : bytes
        The first ``MAX_KEPT_BODY_BYTES`` bytes.
    size, digest : int, str
        Length and SHA-256 of the complete body.
    complete : bool
        The body ended as its headers announced.
    """

    status: int
    headers: Headers
    body: bytes
    size: int
    digest: str
    complete: bool

    def header(self, name: bytes) -> str | None:
        """Return the last value of a header, or None if it is absent."""
        values = self.headers.getRawHeaders(name)
        return values[-1].decode("latin-1") if values else None


class _Reader(Protocol):
    """Digests a body; ``done`` fires with whether the body is complete."""

    def __init__(self) -> None:
        self.done: Deferred[bool] = Deferred(lambda _: self._abort())
        self.size = 0
        self.kept = bytearray()
        self.digest = hashlib.sha256()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.size += len(data)
        self.digest.update(data)
        if len(self.kept) < MAX_KEPT_BODY_BYTES:
            self.kept += data[: MAX_KEPT_BODY_BYTES - len(self.kept)]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self.done.called:
            self.done.callback(reason.check(ResponseDone) is not None)

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class CallHttp:
    """HTTP client that sends from one address and owns its persistent connections."""

    def __init__(self, host: str) -> None:
        from twisted.internet import reactor

        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = 20
        self._pool.retryAutomatically = False
        # Entries derive the caller's block from its address.
        endpoints = IPEndpointFactory(cast(Any, reactor), CONNECT_TIMEOUT_S, host)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        timeout: float,
        on_headers: Callable[[], None] = lambda: None,
    ) -> CallResponse:
        """Send a request and read the response; call ``on_headers`` once its headers arrived.

        Raises
        ------
        TimeoutError
            No complete response arrived within ``timeout`` seconds.
        Exception
            The connection failed, or broke before the headers of a response.
        """
        loop = asyncio.get_running_loop()
        header_lines = Headers({name.encode(): [value.encode()] for name, value in headers.items()})
        async with asyncio.timeout(timeout):
            response: Any = await self._agent.request(
                method.encode(), url.encode(), header_lines
            ).asFuture(loop)
            on_headers()
            reader = _Reader()
            response.deliverBody(reader)
            complete = await reader.done.asFuture(loop)
        digest = reader.digest.hexdigest()
        return CallResponse(
            response.code, response.headers, bytes(reader.kept), reader.size, digest, complete
        )
