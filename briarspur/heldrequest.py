"""A request that is read whole before it is taken, and the flow of its answer."""

import logging
from typing import Protocol, cast

from twisted.web.http import HTTPChannel, Request

from briarspur import logs
from briarspur.channel import CallerChannel
from briarspur.codes import Code
from briarspur.refusal import Refusal

__all__ = ["Flow", "FlowProducer", "HeldRequest"]


class Flow(Protocol):
    """What can be slowed while a caller reads slowly."""

    def pause(self) -> None:
        """Stop producing."""

    def resume(self) -> None:
        """Go on producing."""


class HeldRequest(Request):
    """One request whose body is kept in memory, within the bound of its channel.

    Twisted would write a body of over 100 kB to a temporary file, and the VMs have no disks.
    """

    def __init__(self, channel: HTTPChannel) -> None:
        super().__init__(channel, False)
        self._parts: list[bytes] = []

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Open no file."""

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies to the backend server."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, within the bounds."""
        channel = cast(CallerChannel, self.channel)
        channel.hold_body(len(data))
        if not channel.refused:
            self._parts.append(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Take the whole request."""
        self.method, self.uri, self.clientproto = command, path, version
        try:
            self.process()
        except Exception as error:
            # A fault in one request must not end its connection silently, nor reach others.
            logs.event("internal-error", logging.ERROR, error=repr(error), path=path)
            if not self.startedWriting and not self._disconnected:
                self.refuse(Refusal(Code.INTERNAL_ERROR))

    def take_body(self) -> bytes:
        """Return the body, once."""
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    def refuse(self, refusal: Refusal) -> None:
        """Send a final answer of our own."""
        raise NotImplementedError


class FlowProducer:
    """Twisted's view of a flow that is slowed while the caller does not read.

    Attributes
    ----------
    paused : bool
        The caller does not read at the moment.
    """

    def __init__(self, flow: Flow, paused: bool = False) -> None:
        self._flow = flow
        self.paused = paused
        if paused:
            flow.pause()

    def pauseProducing(self) -> None:  # noqa: N802
        """Slow the flow."""
        self.paused = True
        self._flow.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Let the flow go on."""
        self.paused = False
        self._flow.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Leave it to ``connectionLost``, which always follows."""
