"""The graceful stop of an entry: it cuts off no request, and no caller with a cached look-up."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from briarspur import logs

__all__ = ["GracefulStop", "StoppingEntry"]

POLL = 0.05
"""Seconds between two looks at what is still open."""


class StoppingEntry(Protocol):
    """What an entry can do to end in order."""

    def leave(self) -> None:
        """Tell the other entries and callers' look-ups that this one is leaving.

        Its targets get other owners.
        """

    def lookups_lapse_at(self) -> float:
        """Return when the last look-up that may name this entry has lapsed, in seconds."""

    def open_requests(self) -> int:
        """Return how many requests have not ended."""

    async def close_server(self) -> None:
        """Take no new connections; open ones end after the answer they wait for."""

    async def write_outcomes(self) -> None:
        """Leave what became of this entry's keys in the store."""


class GracefulStop:
    """Ends an entry step by step.

    Parameters
    ----------
    entry : StoppingEntry
    clock : callable
        Monotonic seconds.
    grace : float
        Seconds to serve on after the last look-up lapsed.
    sleep : callable
        Waits for some seconds.
    """

    def __init__(
        self,
        entry: StoppingEntry,
        clock: Callable[[], float],
        grace: float,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._entry = entry
        self._clock = clock
        self._grace = grace
        self._sleep = sleep

    async def run(self) -> None:
        """Leave, serve on until cached look-ups lapsed, finish what is open, leave the outcomes.

        The order is the guard. A caller whose look-up is still fresh may send a new request at any
        time until it lapses; it is answered here as before. A request in flight, a download of an
        hour included, is waited for without a limit. Outcomes are written last, when nothing can be
        dispatched any more, so that a key missing from them was surely not run.
        """
        self._entry.leave()
        logs.event("stop-leaving")
        await self._serve_on()
        await self._entry.close_server()
        logs.event("stop-finishing", open_requests=self._entry.open_requests())
        while self._entry.open_requests():
            await self._sleep(POLL)
        await self._entry.write_outcomes()

    async def _serve_on(self) -> None:
        while (left := self._entry.lookups_lapse_at() + self._grace - self._clock()) > 0.0:
            await self._sleep(left)
