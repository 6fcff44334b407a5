"""Event loop, HTTP listeners and shutdown that all stand-in processes share."""

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

__all__ = ["install_reactor", "listen", "run", "send_json"]

JSON_TYPE = b"application/json"
LISTEN_BACKLOG = 512


def install_reactor() -> Any:
    """Install Twisted's reactor over a new asyncio loop; return it."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    return reactor


def listen(resource: Resource, host: str, port: int) -> Any:
    """Listen for HTTP requests to ``resource``; return the listening port."""
    from twisted.internet import reactor

    site = Site(resource)
    site.displayTracebacks = False
    return cast(Any, reactor).listenTCP(port, site, backlog=LISTEN_BACKLOG, interface=host)


def run(start: Callable[[], None]) -> None:
    """Run until SIGTERM or SIGINT; call ``start`` once the loop runs.

    An exception in ``start`` ends the process; otherwise a launcher would wait for it until the
    timeout.
    """
    reactor = install_reactor()
    errors: list[BaseException] = []

    def begin() -> None:
        try:
            start()
        except Exception as error:
            errors.append(error)
            reactor.stop()

    reactor.callWhenRunning(begin)
    reactor.run()
    if errors:
        raise errors[0]


def send_json(request: Request, value: object, status: int = 200) -> None:
    """Answer ``request`` with a JSON document, unless its caller disconnected."""
    if request.transport is None or request._disconnected:
        return
    body = json.dumps(value).encode()
    request.setResponseCode(status)
    request.setHeader(b"content-type", JSON_TYPE)
    request.setHeader(b"content-length", str(len(body)).encode())
    request.write(body)
    request.finish()
