"""The one loop of the tests that need Twisted: installed once, driven by ``run``."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar, cast

from twisted.internet import asyncioreactor
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.defer import Deferred

from briarspur.coord.invariants import invariants

__all__ = ["LOOP", "REACTOR", "LoopTestCase", "eventually", "fired"]

T = TypeVar("T")
WAIT = 10.0

LOOP = asyncio.new_event_loop()
asyncioreactor.install(LOOP)
from twisted.internet import reactor as _installed  # noqa: E402

REACTOR = cast(AsyncioSelectorReactor, _installed)


class LoopTestCase(unittest.TestCase):
    """A test whose steps run on the loop; an invariant that fails, fails the test."""

    def setUp(self) -> None:
        invariants.strict = True

    def run_on_loop(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end; a test that hangs is ended after some seconds."""
        asyncio.set_event_loop(LOOP)
        return LOOP.run_until_complete(asyncio.wait_for(work, WAIT))


async def eventually(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds; the test's own limit ends a vain wait."""
    while not holds():
        await asyncio.sleep(0.002)


async def fired(deferred: "Deferred[T]") -> T:
    """Wait for a Deferred."""
    return cast(T, await deferred.asFuture(LOOP))
