"""Graceful stop of an entry, without loss of requests or of callers with cached look-ups."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from briarspur import logs

__all__ = ["GracefulStop", "StoppingEntry"]

POLL_INTERVAL_S = 0.05
"""Interval between checks for open requests."""


class StoppingEntry(Protocol):
    """The operations of an entry that a graceful stop needs."""

    def leave(self) -> None:
        """Announce to the other entries and in look-ups that this entry is leaving.

        Its targets are reassigned to other owners.
        """

    def lookups_expire_at(self) -> float:
        """Return the time, in seconds, when the last look-up that may list this entry expires."""

    def open_requests(self) -> int:
        """Return the number of requests that are being received or have not ended."""

    async def close_server(self) -> None:
        """Accept no new connections; close open ones after their pending response."""

    async def write_outcomes(self) -> None:
        """Write the outcomes of this entry's keys to the store."""


class GracefulStop:
    """Stops an entry in steps.

    Parameters
    ----------
    entry : StoppingEntry
    clock : callable
        Returns monotonic seconds.
    grace : float
        Seconds to continue serving after the last look-up has expired.
    sleep : callable
        Waits for a number of seconds.
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
        """Leave, serve until cached look-ups expire, finish open requests, write the outcomes.

        The order matters. Until its cached look-up expires, a caller may send new requests at any
        time; they are served as before. Requests in flight are awaited without a limit, even a
        download of an hour. Outcomes are written last, when nothing can be dispatched any more, so
        that a key without an outcome was certainly not run.
        """
        self._entry.leave()
        logs.event("stop-leaving")
        await self._serve_until_lookups_expire()
        await self._entry.close_server()
        logs.event("stop-finishing", open_requests=self._entry.open_requests())
        while self._entry.open_requests():
            await self._sleep(POLL_INTERVAL_S)
        await self._entry.write_outcomes()

    async def _serve_until_lookups_expire(self) -> None:
        while (remaining := self._entry.lookups_expire_at() + self._grace - self._clock()) > 0.0:
            await self._sleep(remaining)
