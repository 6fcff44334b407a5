"""The event loop that tests with Twisted share."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from threading import Thread
from typing import Any, TypeVar, cast

__all__ = ["run"]

T = TypeVar("T")
_loop: asyncio.AbstractEventLoop | None = None


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the shared loop; the first call installs Twisted's reactor on it."""
    global _loop
    if _loop is None:
        _loop = asyncio.new_event_loop()
        asyncio.set_event_loop(_loop)
        from twisted.internet import asyncioreactor

        asyncioreactor.install(_loop)
        from twisted.internet import reactor

        # Timers fire only in a running reactor; each test runs the loop itself.
        cast(Any, reactor).startRunning(installSignalHandlers=False)
        # The reactor never stops, so it never ends its threads. Python would wait for them at exit.
        cast(Any, reactor).getThreadPool().threadFactory = partial(Thread, daemon=True)
    return _loop.run_until_complete(coroutine)
