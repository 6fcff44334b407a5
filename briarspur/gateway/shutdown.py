"""The shutdown of an entry: it serves its callers until nothing is open or its time is over."""

import asyncio
from collections.abc import Callable, Collection, Sequence

from briarspur import logs
from briarspur.codes import Code
from briarspur.gateway.exchange import Exchange
from briarspur.gateway.frontend import Frontend
from briarspur.refusal import Refusal

__all__ = ["Shutdown"]

LISTEN_S = 3.0
"""Time for which a leaving entry still accepts connections of callers with old look-ups."""
EXIT_MARGIN_S = 0.95
"""The process exits this long before the platform kills it: on 0.43 of a core under load, the end
of the interpreter alone takes over half a second."""
RECEIVE_MARGIN_S = 0.7
"""A request that is not complete this long before the exit is refused, so that its caller gets the
refusal before the connection closes."""
POLL_INTERVAL_S = 0.02
SEND_S = 0.1
"""Time for the sockets to send the last responses."""


class Shutdown:
    """One shutdown, from the signal to the exit.

    Parameters
    ----------
    open_exchanges : collection
        The requests that are being handled, at any time.
    clock : callable
        Returns monotonic seconds.
    grace_s : float
        Seconds after which the platform kills the process.
    """

    def __init__(
        self,
        frontends: Sequence[Frontend],
        open_exchanges: Collection[Exchange],
        clock: Callable[[], float],
        grace_s: float,
    ) -> None:
        self._frontends = frontends
        self._open_exchanges = open_exchanges
        self._clock = clock
        self._listen_until = clock() + LISTEN_S
        self._exit_by = clock() + grace_s - EXIT_MARGIN_S

    def remaining(self) -> float:
        """Return the seconds that are left for requests."""
        return self._exit_by - self._clock()

    async def run(self, stop_listening: Callable[[], None]) -> None:
        """Serve callers with old look-ups, finish what is open, and give up the rest."""
        self._close_connections()
        logs.event("stop-leaving", open_requests=len(self._open_exchanges))
        await asyncio.sleep(self._listen_until - self._clock())
        stop_listening()
        self._close_connections()
        logs.event("stop-finishing", open_requests=len(self._open_exchanges))
        while self._is_busy() and self.remaining() > 0.0:
            if self.remaining() < RECEIVE_MARGIN_S:
                self._refuse_incomplete()
            await asyncio.sleep(POLL_INTERVAL_S)
        for exchange in list(self._open_exchanges):
            exchange.expire()
        await asyncio.sleep(SEND_S)

    def _is_busy(self) -> bool:
        # A request that is still being received is no exchange yet.
        has_callers = any(frontend.has_connections for frontend in self._frontends)
        return has_callers or bool(self._open_exchanges)

    def _close_connections(self) -> None:
        for frontend in self._frontends:
            frontend.close_connections()

    def _refuse_incomplete(self) -> None:
        for frontend in self._frontends:
            frontend.refuse_incomplete(Refusal(Code.NOT_READ, "this entry is stopping"))
