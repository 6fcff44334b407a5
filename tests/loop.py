"""Test case whose coroutines run on the event loop that tests with Twisted share."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from briarspur.coord.invariants import invariants
from tests.reactor import run

__all__ = ["LoopTestCase", "eventually", "fired", "the_reactor"]

T = TypeVar("T")
TEST_TIMEOUT_S = 30.0
"""Time after which a test that hangs fails; no test depends on its length otherwise."""


class LoopTestCase(unittest.TestCase):
    """A test case that runs coroutines on the shared loop; a violated invariant fails the test."""

    def setUp(self) -> None:
        self.addCleanup(setattr, invariants, "strict", invariants.strict)
        invariants.strict = True

    def run_on_loop(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine until it ends, for at most ``TEST_TIMEOUT_S`` seconds."""

        async def bounded() -> T:
            return await asyncio.wait_for(coroutine, TEST_TIMEOUT_S)

        return run(bounded())


def the_reactor() -> Any:
    """Return the reactor that uses the shared loop; call this on the loop."""
    from twisted.internet import reactor

    return reactor


async def eventually(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds; the test's timeout ends the wait otherwise."""
    while not condition():
        await asyncio.sleep(0.002)


async def fired(deferred: "Deferred[Any]") -> Any:
    """Wait until a Deferred fires; return its result."""
    return await deferred.asFuture(asyncio.get_running_loop())
