"""An event loop with virtual time: it skips to the next timer, so minutes pass in milliseconds."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualLoop", "run_virtual"]

T = TypeVar("T")


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop that, when no callback is ready, sets its clock to the next timer and never waits."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def time(self) -> float:
        return self.now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:  # type: ignore[attr-defined]
            self.now = max(self.now, self._scheduled[0]._when)  # type: ignore[attr-defined]
        super()._run_once()  # type: ignore[misc]


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine until it ends, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
