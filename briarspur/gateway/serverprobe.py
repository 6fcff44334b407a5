"""Finds out whether a backend server accepts connections, without sending it a request."""

from collections.abc import Callable
from typing import Any

from briarspur.gateway.connection import TargetConnection
from briarspur.gateway.pool import ConnectionPool, PendingConnection
from briarspur.gateway.target import Target

__all__ = ["ServerProbe"]

HOLD_S = 0.1
"""Time for which a new connection must stay open: something on the way to a server that is gone may
accept connections and close them."""


class ServerProbe:
    """One connection to a server, which is closed again.

    Parameters
    ----------
    call_later : callable
        Schedules a call after a delay in seconds.
    on_result : callable
        Called with whether the server accepted the connection and kept it.
    """

    def __init__(
        self,
        target: Target,
        pool: ConnectionPool,
        call_later: Callable[..., Any],
        on_result: Callable[[bool], None],
    ) -> None:
        self._address = (target.registration.host, target.registration.port)
        self._pool = pool
        self._call_later = call_later
        self._on_result = on_result

    def start(self) -> None:
        """Open the connection."""
        self._pool.connect(self._address, PendingConnection(self._connected, self._failed))

    def _connected(self, connection: TargetConnection, seconds: float) -> None:
        self._call_later(HOLD_S, self._held, connection)

    def _held(self, connection: TargetConnection) -> None:
        is_open = not connection.closed
        connection.abort()
        self._on_result(is_open)

    def _failed(self, reason: str) -> None:
        self._on_result(False)
