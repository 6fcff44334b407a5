"""A request that is handled once its body is complete, and flow control of its answer."""

import logging
from typing import Protocol, cast

from twisted.web.http import HTTPChannel, Request

from briarspur import logs
from briarspur.channel import CallerChannel
from briarspur.codes import Code
from briarspur.refusal import Refusal

__all__ = ["Flow", "FlowProducer", "BufferedRequest"]


class Flow(Protocol):
    """Producer of an answer that can be paused while the caller does not read."""

    def pause(self) -> None:
        """Stop producing."""

    def resume(self) -> None:
        """Resume producing."""


class BufferedRequest(Request):
    """One request whose body is buffered in memory, within the limits of its channel.

    By default, Twisted writes a body of over 100 kB to a temporary file, but the VMs have no disks.
    """

    def __init__(self, channel: HTTPChannel) -> None:
        super().__init__(channel, False)
        self._parts: list[bytes] = []

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Do not open a temporary file, as Twisted does by default."""

    def parseCookies(self) -> None:  # noqa: N802
        """Do not parse cookies; they are for the backend server."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Buffer a part of the body unless a limit is exceeded."""
        channel = cast(CallerChannel, self.channel)
        channel.account_body(len(data))
        if not channel.refused:
            self._parts.append(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Process the complete request."""
        self.method, self.uri, self.clientproto = command, path, version
        try:
            self.process()
        except Exception as error:
            # An error in one request must not close its connection without an answer, nor affect
            # other requests.
            logs.event("internal-error", logging.ERROR, error=repr(error), path=path)
            if not self.startedWriting and not self._disconnected:
                self.refuse(Refusal(Code.INTERNAL_ERROR))

    def pop_body(self) -> bytes:
        """Return the body and release its memory; can be called once."""
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the final answer."""
        raise NotImplementedError


class FlowProducer:
    """Adapts a flow to Twisted's push producer, which pauses while the caller does not read.

    Attributes
    ----------
    paused : bool
        Whether the flow is paused because the caller does not read.
    """

    def __init__(self, flow: Flow, paused: bool = False) -> None:
        self._flow = flow
        self.paused = paused
        if paused:
            flow.pause()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the flow."""
        self.paused = True
        self._flow.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the flow."""
        self.paused = False
        self._flow.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost``, which always follows, ends the request."""
