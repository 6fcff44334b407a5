"""The caller's HTTP: kept connections from an address of its own, bodies digested as they come."""

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

__all__ = ["CallHttp", "Got"]

CONNECT_TIMEOUT_S = 2.0
KEPT_CONNECTIONS = 256
KEPT_BODY = 65_536


@dataclass(frozen=True, slots=True)
class Got:
    """An answer read to its end.

    Attributes
    ----------
    body : bytes
        The first ``KEPT_BODY`` bytes.
    size, digest : int, str
        Length and SHA-256 of the whole body.
    whole : bool
        It ended as its headers said.
    """

    status: int
    headers: Headers
    body: bytes
    size: int
    digest: str
    whole: bool

    def header(self, name: bytes) -> str | None:
        """Return a header's last value."""
        values = self.headers.getRawHeaders(name)
        return values[-1].decode("latin-1") if values else None


class _Reader(Protocol):
    """Digests a body; its Deferred fires with whether the body is whole."""

    def __init__(self) -> None:
        self.done: Deferred[bool] = Deferred(lambda _: self._abort())
        self.size = 0
        self.kept = bytearray()
        self.digest = hashlib.sha256()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.size += len(data)
        self.digest.update(data)
        if len(self.kept) < KEPT_BODY:
            self.kept += data[: KEPT_BODY - len(self.kept)]

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        if not self.done.called:
            self.done.callback(reason.check(ResponseDone) is not None)

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class CallHttp:
    """Sends requests; owns its kept connections."""

    def __init__(self, host: str) -> None:
        from twisted.internet import reactor

        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = KEPT_CONNECTIONS
        self._pool.cachedConnectionTimeout = 20
        self._pool.retryAutomatically = False
        # The address tells briarspur the caller's block.
        endpoints = IPEndpointFactory(cast(Any, reactor), CONNECT_TIMEOUT_S, host)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)

    async def close(self) -> None:
        """Close the kept connections."""
        await self._pool.closeCachedConnections().asFuture(asyncio.get_running_loop())

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        patience: float,
        seen: Callable[[], None] = lambda: None,
    ) -> Got:
        """Send a request and read its answer; ``seen`` is called once its head is there.

        Raises
        ------
        TimeoutError
            No whole answer came within ``patience`` seconds.
        Exception
            The connection could not be made or broke before the head of an answer.
        """
        loop = asyncio.get_running_loop()
        sent = Headers({name.encode(): [value.encode()] for name, value in headers.items()})
        async with asyncio.timeout(patience):
            response: Any = await self._agent.request(method.encode(), url.encode(), sent).asFuture(
                loop
            )
            seen()
            reader = _Reader()
            response.deliverBody(reader)
            whole = await reader.done.asFuture(loop)
        digest = reader.digest.hexdigest()
        return Got(response.code, response.headers, bytes(reader.kept), reader.size, digest, whole)
