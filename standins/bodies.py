"""JSON request bodies for Twisted's HTTP client."""

import json
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["JsonBody"]


@implementer(IBodyProducer)
class JsonBody:
    """A request body that holds a JSON document."""

    def __init__(self, document: object) -> None:
        self._body = json.dumps(document).encode()
        self.length = len(self._body)

    def startProducing(self, consumer: Any) -> "Deferred[None]":  # noqa: N802
        """Write the complete body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing, because the body is written at once."""
