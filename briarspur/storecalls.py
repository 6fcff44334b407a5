"""Calls to the platform over kept HTTP connections, each with a timeout.

What is surely without effect and what may have taken effect are told apart by whether a byte of the
call could have left this process.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.error import ConnectError, DNSLookupError
from twisted.web._newclient import RequestNotSent
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from briarspur.coord.store import ABSENT
from briarspur.endpoints import NumberEndpoints
from briarspur.processsettings import PlatformSettings

__all__ = ["NoAnswerError", "NotSentError", "PlatformClient", "Response"]

KEPT_CONNECTIONS = 8
DEFAULT_RETRY_AFTER_S = 1.0
NOT_SENT = (ConnectError, DNSLookupError, RequestNotSent)


@dataclass(frozen=True, slots=True)
class Response:
    """A whole answer of the platform."""

    status: int
    headers: Headers
    body: bytes

    @property
    def version(self) -> int:
        """Version in the ETag, ``ABSENT`` if there is none."""
        tag = (self.headers.getRawHeaders(b"etag") or [b""])[0].strip(b'"')
        return int(tag) if tag.isdigit() else ABSENT

    @property
    def retry_after(self) -> float:
        """Seconds of the Retry-After header."""
        text = (self.headers.getRawHeaders(b"retry-after") or [b""])[0]
        try:
            return max(0.0, float(text))
        except ValueError:
            return DEFAULT_RETRY_AFTER_S


class NotSentError(Exception):
    """No byte of the call left this process."""


class NoAnswerError(Exception):
    """The call may have left this process, and no whole answer came."""


@implementer(IBodyProducer)
class _Body:
    """A request body that remembers whether it was handed to a transport."""

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


class PlatformClient:
    """Calls over kept connections, each with a timeout; owns its connections."""

    def __init__(self, settings: PlatformSettings) -> None:
        from twisted.internet import reactor

        self.settings = settings
        self._base = f"http://{_bracketed(settings.host)}:{settings.port}"
        self._timeout = settings.timeout_s
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = KEPT_CONNECTIONS
        self._pool.cachedConnectionTimeout = settings.idle_s  # type: ignore[assignment]
        # The pool would repeat a DELETE on a broken connection. A first one that took effect unseen
        # would turn the repeat into a conflict, and the caller would believe that it never wrote.
        self._pool.retryAutomatically = False
        endpoints = NumberEndpoints(reactor, settings.timeout_s)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=self._pool)

    async def close(self) -> None:
        """Close the kept connections."""
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
        """Make one call; ``wait`` seconds are added to its timeout.

        Raises
        ------
        NotSentError, NoAnswerError
            There was no whole answer.
        """
        body = None if value is None else _Body(value)
        try:
            async with asyncio.timeout(self._timeout + wait):
                return await self._call(method, path, headers or {}, body)
        except NOT_SENT as error:
            raise NotSentError(str(error)) from None
        except TimeoutError:
            if body is not None and not body.started:
                raise NotSentError("timed out before it was sent") from None
            raise NoAnswerError("timed out") from None
        except Exception as error:
            raise NoAnswerError(repr(error)) from None

    async def _call(
        self, method: bytes, path: str, headers: dict[bytes, bytes], body: Any
    ) -> Response:
        loop = asyncio.get_running_loop()
        sent = Headers({name: [text] for name, text in headers.items()})
        answering = self._agent.request(method, (self._base + path).encode(), sent, body)
        response: Any = await answering.asFuture(loop)
        answer = await readBody(response).asFuture(loop)
        return Response(response.code, response.headers, answer)


def _bracketed(host: str) -> str:
    """Return an IP number as URLs need it: version 6 in brackets."""
    return f"[{host}]" if ":" in host else host
