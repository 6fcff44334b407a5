"""Running one coroutine on the loop that Twisted and grpclib share, then ending."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, cast

__all__ = ["run_once"]

T = TypeVar("T")


def run_once(start: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Return what the coroutine returns, or raise what it raises; once a process.

    Parameters
    ----------
    start : callable
        Makes the coroutine; called once the reactor is installed.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed

    reactor = cast(asyncioreactor.AsyncioSelectorReactor, installed)
    running = loop.create_task(start())
    running.add_done_callback(lambda _: reactor.stop())
    reactor.run()
    if not running.done():
        # The reactor was stopped by a signal.
        running.cancel()
        raise KeyboardInterrupt
    return running.result()
