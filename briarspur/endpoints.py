"""Endpoints of hosts given by IP address."""

from typing import cast

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IReactorTCP, IStreamClientEndpoint
from twisted.web.client import URI
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

__all__ = ["IPEndpointFactory"]

ANY_PORT = 0


@implementer(IAgentEndpointFactory)
class IPEndpointFactory:
    """Connects an ``Agent`` to IP addresses without a resolver.

    Twisted's own endpoint factory calls a resolver first, which starts threads even for an IP
    address; they cost memory in every daemon and prevent the process from exiting.

    Parameters
    ----------
    timeout : float
        Connection timeout in seconds.
    source : str or None
        IP address to connect from; if None, the system chooses it.
    """

    def __init__(self, reactor: IReactorTCP, timeout: float, source: str | None = None) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._bind_address = None if source is None else (source, ANY_PORT)

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint for a URI whose host is an IP address."""
        host = uri.host.decode("ascii").strip("[]")
        endpoint_class = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_class(
            self._reactor, host, uri.port, timeout=self._timeout, bindAddress=self._bind_address
        )
        return cast(IStreamClientEndpoint, endpoint)
