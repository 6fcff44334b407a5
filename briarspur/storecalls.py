"""Calls to the platform over persistent HTTP connections, each with a timeout.

The timeout applies to the time without any byte of the response. A response that is slow because of
its size is not abandoned: the next call would fail in the same way.

A failed call certainly had no effect if no byte of it can have left this process; otherwise it may
have taken effect. Different exceptions are raised for the two cases.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from briarspur.coord.store import ABSENT
from briarspur.endpoints import IPEndpointFactory
from briarspur.processsettings import PlatformSettings

__all__ = ["NoResponseError", "NotSentError", "PlatformClient", "Response"]

MAX_IDLE_CONNECTIONS = 8
DEFAULT_RETRY_AFTER_S = 1.0
MAX_BODY_S = 20.0
"""Time for the whole body of a response."""
NOT_SENT = (ConnectError, DNSLookupError, RequestNotSent)


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of the platform."""

    status: int
    headers: Headers
    body: bytes

    @property
    def version(self) -> int:
        """Version in the ETag; ``ABSENT`` if there is none."""
        tag = (self.headers.getRawHeaders(b"etag") or [b""])[0].strip(b'"')
        return int(tag) if tag.isdigit() else ABSENT

    @property
    def retry_after(self) -> float:
        """Seconds in the Retry-After header, or a default if they are missing or malformed."""
        text = (self.headers.getRawHeaders(b"retry-after") or [b""])[0]
        try:
            return max(0.0, float(text))
        except ValueError:
            return DEFAULT_RETRY_AFTER_S


class NotSentError(Exception):
    """No byte of the call left this process."""


class NoResponseError(Exception):
    """The call may have left this process, and no complete response arrived."""


@implementer(IBodyProducer)
class _Body:
    """A request body that records whether it was passed to a transport."""

    def __init__(self, value: bytes) -> None:
        self.value = value
        self.length = len(value)
        self.started = False

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        self.started = True
        consumer.write(self.value)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class _BodyReader(Protocol):
    """Collects the body of a response.

    Parameters
    ----------
    on_data : callable
        Called when a part of the body arrives.
    """

    def __init__(self, on_data: Callable[[], None]) -> None:
        self.body: Deferred[bytes] = Deferred(self._abort)
        self._on_data = on_data
        self._chunks: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._chunks.append(data)
        self._on_data()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        if self.body.called:
            return
        if reason.check(ResponseDone):
            self.body.callback(b"".join(self._chunks))
        else:
            self.body.errback(reason)

    def _abort(self, cancelled: "Deferred[bytes]") -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.loseConnection()


class PlatformClient:
    """Client of the platform; owns a pool of persistent connections."""

    def __init__(self, settings: PlatformSettings) -> None:
        from twisted.internet import reactor

        self.settings = settings
        self._base = f"http://{_format_host(settings.host)}:{settings.port}"
        self._timeout = settings.timeout_s
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = settings.idle_s  # type: ignore[assignment]
        # The pool would retry a DELETE after a broken connection. If the first one took effect, the
        # retry would fail with a conflict, and the caller would believe that nothing was written.
        self._pool.retryAutomatically = False
        endpoints = IPEndpointFactory(reactor, settings.timeout_s)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)

    async def close(self) -> None:
        """Close the idle connections."""
        loop = asyncio.get_running_loop()
        await self._pool.closeCachedConnections().asFuture(loop)

    async def call(
        self,
        method: bytes,
        path: str,
        headers: dict[bytes, bytes] | None = None,
        value: bytes | None = None,
        wait: float = 0.0,
    ) -> Response:
        """Send one request; ``wait`` seconds are added to the timeout for its first byte.

        Raises
        ------
        NotSentError, NoResponseError
            No complete response arrived.
        """
        body = None if value is None else _Body(value)
        try:
            async with asyncio.timeout(self._timeout + wait) as timeout:
                return await self._call(method, path, headers or {}, body, timeout)
        except NOT_SENT as error:
            raise NotSentError(str(error)) from None
        except TimeoutError:
            if body is not None and not body.started:
                raise NotSentError("timed out before the request was sent") from None
            raise NoResponseError("timed out") from None
        except Exception as error:
            raise NoResponseError(repr(error)) from None

    async def _call(
        self,
        method: bytes,
        path: str,
        headers: dict[bytes, bytes],
        body: Any,
        timeout: asyncio.Timeout,
    ) -> Response:
        loop = asyncio.get_running_loop()
        request_headers = Headers({name: [text] for name, text in headers.items()})
        deferred = self._agent.request(method, (self._base + path).encode(), request_headers, body)
        response: Any = await deferred.asFuture(loop)
        latest_end = loop.time() + MAX_BODY_S

        def extend() -> None:
            timeout.reschedule(min(latest_end, loop.time() + self._timeout))

        extend()
        reader = _BodyReader(extend)
        response.deliverBody(reader)
        response_body = await reader.body.asFuture(loop)
        return Response(response.code, response.headers, response_body)


def _format_host(host: str) -> str:
    """Return an IP address as written in URLs: IPv6 in brackets."""
    return f"[{host}]" if ":" in host else host
