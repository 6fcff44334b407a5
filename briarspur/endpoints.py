"""Endpoints of hosts given by IP number."""

from typing import cast

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IReactorTCP, IStreamClientEndpoint
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

__all__ = ["NumberEndpoints"]

ANY_PORT = 0


@implementer(IAgentEndpointFactory)
class NumberEndpoints:
    """Connects an ``Agent`` to IP numbers.

    Twisted's own endpoints ask a resolver first, which starts threads even for an IP number; they
    cost memory in every daemon and keep a process from ending.

    Parameters
    ----------
    timeout : float
        Seconds to wait for a connection.
    source : str or None
        IP number to connect from; None leaves the choice to the system.
    """

    def __init__(self, reactor: IReactorTCP, timeout: float, source: str | None = None) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._bind_address = None if source is None else (source, ANY_PORT)

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of an address."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = kind(
            self._reactor, host, uri.port, timeout=self._timeout, bindAddress=self._bind_address
        )
        return cast(IStreamClientEndpoint, endpoint)
