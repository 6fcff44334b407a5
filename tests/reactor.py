"""The one loop that tests with Twisted share."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from threading import Thread
from typing import Any, TypeVar, cast

__all__ = ["run"]

T = TypeVar("T")
_loop: asyncio.AbstractEventLoop | None = None


def run(work: Coroutine[Any, Any, T]) -> T:
    """Run ``work`` on the loop under Twisted's reactor, which is installed at the first call."""
    global _loop
    if _loop is None:
        _loop = asyncio.new_event_loop()
        asyncio.set_event_loop(_loop)
        from twisted.internet import asyncioreactor

        asyncioreactor.install(_loop)
        from twisted.internet import reactor

        # Timers only fire in a reactor that runs; the loop itself is run by each test.
        cast(Any, reactor).startRunning(installSignalHandlers=False)
        # A reactor that never stops never ends its threads, and Python would wait for them at exit.
        cast(Any, reactor).getThreadPool().threadFactory = partial(Thread, daemon=True)
    return _loop.run_until_complete(work)
