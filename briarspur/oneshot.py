"""Run one coroutine to completion on the event loop that Twisted and grpclib share."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, cast

__all__ = ["run_once"]

T = TypeVar("T")


def run_once(start: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run a coroutine; return its result or raise its exception.

    Can be called only once per process, since a reactor cannot be restarted.

    Parameters
    ----------
    start : callable
        Creates the coroutine; called after the reactor is installed.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor as installed

    reactor = cast(asyncioreactor.AsyncioSelectorReactor, installed)
    task = loop.create_task(start())
    task.add_done_callback(lambda _: reactor.stop())
    reactor.run()
    if not task.done():
        # The reactor was stopped by a signal.
        task.cancel()
        raise KeyboardInterrupt
    return task.result()
