"""Fetches JSON documents over HTTP from other programs, with limits on time and size."""

import asyncio
import json
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers

from briarspur.endpoints import IPEndpointFactory
from briarspur.errors import PeerError, PeerRefusalError

__all__ = ["Endpoint", "Fetcher", "HttpFetcher"]

MAX_BODY_BYTES = 4 * 1024 * 1024
OK = 200


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The HTTP address of a program.

    Attributes
    ----------
    name : str
        Name of the program in messages.
    """

    name: str
    host: str
    port: int


class Fetcher(Protocol):
    """Fetches JSON documents from other programs."""

    async def get_json(self, endpoint: Endpoint, path: str) -> Any:
        """Fetch the document at ``path``.

        Raises
        ------
        PeerRefusalError
            The status of the answer was not 200.
        PeerError
            There was no complete, valid answer in time.
        """


class HttpFetcher:
    """Fetches documents with twisted.web.

    Parameters
    ----------
    timeout : float
        Seconds to wait for a complete answer.
    """

    def __init__(self, reactor: IReactorTCP, timeout: float) -> None:
        pool = HTTPConnectionPool(reactor, persistent=False)
        endpoints = IPEndpointFactory(reactor, timeout)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool=pool)
        self._timeout = timeout

    async def get_json(self, endpoint: Endpoint, path: str) -> Any:
        """Fetch the document at ``path``."""
        host = f"[{endpoint.host}]" if ":" in endpoint.host else endpoint.host
        url = f"http://{host}:{endpoint.port}{path}".encode()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeout):
                headers = Headers({b"Accept": [b"application/json"]})
                response = await self._agent.request(b"GET", url, headers).asFuture(loop)
                body = await _read_body(response).asFuture(loop)
        except TimeoutError:
            raise PeerError(f"{endpoint.name}: no answer within {self._timeout:g} s") from None
        except Exception as error:
            # Twisted raises many unrelated classes; each means that there is no complete answer.
            raise PeerError(f"{endpoint.name}: {_reason(error)}") from error
        if response.code != OK:
            raise PeerRefusalError(endpoint.name, response.code, _parse_refusal(body))
        try:
            return json.loads(body)
        except ValueError:
            raise PeerError(f"{endpoint.name}: the answer to {path} is not JSON") from None


class _Body(TwistedProtocol):
    """Collects a body of up to ``MAX_BODY_BYTES``."""

    def __init__(self, done: "Deferred[bytes]") -> None:
        self._done = done
        self._chunks: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Collect a chunk."""
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            self._chunks.clear()
            transport: Any = self.transport
            transport.loseConnection()
            return
        self._chunks.append(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Deliver the body if it is complete, or an error."""
        if self._done.called:
            return
        if self._size > MAX_BODY_BYTES:
            self._done.errback(ValueError(f"more than {MAX_BODY_BYTES} bytes"))
        elif reason is not None and reason.check(ResponseDone):
            self._done.callback(b"".join(self._chunks))
        else:
            self._done.errback(ValueError("the answer was cut short"))


def _read_body(response: Any) -> "Deferred[bytes]":
    done: Deferred[bytes] = Deferred()
    response.deliverBody(_Body(done))
    return done


def _parse_refusal(body: bytes) -> dict[str, Any]:
    """Parse the document of a refusal; empty if the body is not a JSON object."""
    try:
        document = json.loads(body)
    except ValueError:
        return {}
    return document if isinstance(document, dict) else {}


def _reason(error: Exception) -> str:
    return str(error).splitlines()[0] if str(error) else type(error).__name__
