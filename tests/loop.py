"""Tests whose steps run on the loop that tests with Twisted share."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from briarspur.coord.invariants import invariants
from tests.reactor import run

__all__ = ["LoopTestCase", "eventually", "fired", "the_reactor"]

T = TypeVar("T")
WAIT = 30.0
"""Seconds after which a test that hangs is ended; no test measures time by it."""


class LoopTestCase(unittest.TestCase):
    """A test whose steps run on the loop; an invariant that fails, fails the test."""

    def setUp(self) -> None:
        self.addCleanup(setattr, invariants, "strict", invariants.strict)
        invariants.strict = True

    def run_on_loop(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine to its end; a test that hangs is ended after some seconds."""

        async def bounded() -> T:
            return await asyncio.wait_for(work, WAIT)

        return run(bounded())


def the_reactor() -> Any:
    """Return the reactor over the shared loop; call it on the loop."""
    from twisted.internet import reactor

    return reactor


async def eventually(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds; the test's own limit ends a vain wait."""
    while not holds():
        await asyncio.sleep(0.002)


async def fired(deferred: "Deferred[Any]") -> Any:
    """Wait for a Deferred."""
    return await deferred.asFuture(asyncio.get_running_loop())
