"""Exceptions that no callback handled: one log event each, and their number."""

import asyncio
import logging
import traceback
from types import TracebackType
from typing import Any, cast

from twisted.logger import ILogObserver, LogEvent, globalLogPublisher

from briarspur import logs

__all__ = ["UnhandledErrors", "errors"]

UNKNOWN_PLACE = "unknown"


class UnhandledErrors:
    """Reports the exceptions that Twisted and asyncio catch as the last.

    Attributes
    ----------
    count : int
        Number of exceptions since the start of the process.
    """

    def __init__(self) -> None:
        self.count = 0

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Report the exceptions of a loop and of Twisted's reactor."""
        loop.set_exception_handler(self._asyncio_error)
        globalLogPublisher.addObserver(cast(ILogObserver, self.observe))

    def observe(self, event: LogEvent) -> None:
        """Report the failure of a Twisted log event, if it has one."""
        failure = event.get("log_failure")
        if failure is not None:
            self._record(failure.value, failure.getTracebackObject())

    def _asyncio_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        self._record(error or context.get("message"), getattr(error, "__traceback__", None))
        loop.default_exception_handler(context)

    def _record(self, error: object, trace: TracebackType | None) -> None:
        self.count += 1
        frames = traceback.extract_tb(trace)
        place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else UNKNOWN_PLACE
        logs.event("unhandled-error", logging.ERROR, error=repr(error), place=place)


errors = UnhandledErrors()
"""The exceptions of this process."""
